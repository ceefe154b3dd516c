//! A front's stored state: an upper limit of the fencing tokens that it granted, and a voter's registers. Each
//! file is written under a temporary name and then renamed, so it is always complete.
//!
//! | step | a start finds |
//! | --- | --- |
//! | create, write and sync the temporary file | the old contents |
//! | rename | the old contents or the new ones |
//! | sync the folder | the new contents |
//!
//! A reply is sent only after the last step. After an error the next one writes the file again. A start makes durable
//! what it has read, since it writes nothing that is stored already.
//!
//! `fleet-number` contains the limit as decimal text. `fleet-registers` contains a BLAKE3 hash (32 bytes),
//! followed by the hashed bytes, which are the postcard encoding of [`PersistentState`].

use lemonusher_file_system::{FileSystem, RealFileSystem, StoredFile};
use lemonusher_registers::PersistentState;
use std::io;
use std::path::{Path, PathBuf};

/// How far a newly stored limit is above the highest granted token, so that the file is seldom written.
const TOKEN_RESERVE: u64 = 1000;
/// Length in bytes of the hash before the encoded registers.
const HASH_BYTES: usize = 32;
const TOKEN_FILE: &str = "fleet-number";
const REGISTERS_FILE: &str = "fleet-registers";
/// Extension of the temporary files.
const TEMPORARY_EXTENSION: &str = "new";

/// An open state folder and its content.
pub struct StateFolder<F: FileSystem = RealFileSystem> {
    file_system: F,
    folder: PathBuf,
    folder_handle: F::Folder,
    /// The stored limit, if there is one: no reply grants a token above it before a higher limit has been written.
    token_floor: Option<u64>,
    registers: Option<PersistentState>,
}

impl StateFolder {
    /// Creates the folder if it is missing and reads it. Returns an error if a file can't be read or is
    /// corrupt.
    pub fn open(folder: &Path) -> io::Result<StateFolder> {
        StateFolder::open_on(RealFileSystem, folder)
    }
}

impl<F: FileSystem> StateFolder<F> {
    /// Opens the folder on a file system.
    fn open_on(file_system: F, folder: &Path) -> io::Result<StateFolder<F>> {
        file_system.create_folder(folder)?;
        let folder_handle = file_system.open_folder(folder)?;
        let token_floor = read_file(&file_system, folder, TOKEN_FILE)?.map(|bytes| parse_token(&bytes));
        let registers =
            read_file(&file_system, folder, REGISTERS_FILE)?.map(|bytes| decode_registers(&bytes));
        // An earlier process may have ended between a rename and its sync. What has been read is then not durable yet.
        file_system.sync_folder(&folder_handle)?;
        Ok(StateFolder {
            file_system,
            folder: folder.to_owned(),
            folder_handle,
            token_floor: token_floor.transpose()?,
            registers: registers.transpose()?,
        })
    }

    /// The stored limit, at least as high as any fencing token granted so far; none if the folder is new or was
    /// emptied.
    pub fn token_floor(&self) -> Option<u64> {
        self.token_floor
    }

    /// The promises and accepted values of this voter; none if no registers were ever stored in this folder.
    pub fn registers(&self) -> Option<PersistentState> {
        self.registers.clone()
    }

    /// Must be called before a reply that grants this token is sent. Writes only if the token is above the stored
    /// limit.
    pub fn store_token(&mut self, fencing_token: u64) -> io::Result<()> {
        if self.token_floor.is_none_or(|token_floor| fencing_token > token_floor) {
            let token_floor = fencing_token + TOKEN_RESERVE;
            self.replace_file(TOKEN_FILE, token_floor.to_string().as_bytes())?;
            self.token_floor = Some(token_floor);
        }
        Ok(())
    }

    /// Must be called before a reply to a register request is sent. Writes only if the state has changed.
    pub fn store_registers(&mut self, state: PersistentState) -> io::Result<()> {
        if self.registers.as_ref() != Some(&state) {
            let payload = postcard::to_allocvec(&state).map_err(io::Error::other)?;
            let mut bytes = blake3::hash(&payload).as_bytes().to_vec();
            bytes.extend(payload);
            self.replace_file(REGISTERS_FILE, &bytes)?;
            self.registers = Some(state);
        }
        Ok(())
    }

    /// Replaces a file whole.
    fn replace_file(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.folder.join(name);
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        let mut file = self.file_system.create_file(&temporary)?;
        file.append(bytes)?;
        file.sync()?;
        self.file_system.rename(&temporary, &path)?;
        // Without a sync of the folder, the older file may be back after a power failure.
        self.file_system.sync_folder(&self.folder_handle)
    }
}

/// Reads a file; none if there is none yet.
fn read_file<F: FileSystem>(file_system: &F, folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match file_system.open_existing_file(&folder.join(name)) {
        Ok(mut file) => file.read().map(Some),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn parse_token(bytes: &[u8]) -> io::Result<u64> {
    let token = std::str::from_utf8(bytes).ok().and_then(|text| text.trim().parse().ok());
    token.ok_or_else(|| {
        io::Error::other("file 'fleet-number' does not contain a whole number (the fencing token limit)")
    })
}

fn decode_registers(bytes: &[u8]) -> io::Result<PersistentState> {
    let corrupt = || io::Error::other("file 'fleet-registers' is corrupt");
    let (hash, payload) = bytes.split_at_checked(HASH_BYTES).ok_or_else(corrupt)?;
    if blake3::hash(payload).as_bytes() != hash {
        return Err(corrupt());
    }
    postcard::from_bytes(payload).map_err(|_| corrupt())
}

#[cfg(test)]
#[path = "../tests/unit/state_folder.rs"]
mod tests;

#[cfg(test)]
#[path = "../tests/unit/state_folder_faults.rs"]
mod fault_tests;
