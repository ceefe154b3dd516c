//! A front's stored state: an upper limit of the fencing tokens that it granted, and a voter's registers. Each
//! file is written under a temporary name and then renamed, so it is always complete.
//!
//! `fleet-number` contains the limit as decimal text. `fleet-registers` contains a BLAKE3 hash (32 bytes),
//! followed by the hashed bytes, which are the postcard encoding of [`PersistentState`].

use lemonusher_registers::PersistentState;
use std::io;
use std::path::{Path, PathBuf};

/// How far a newly stored limit is above the highest granted token, so that the file is seldom written.
const TOKEN_RESERVE: u64 = 1000;
/// Length in bytes of the hash before the encoded registers.
const HASH_BYTES: usize = 32;
const TOKEN_FILE: &str = "fleet-number";
const REGISTERS_FILE: &str = "fleet-registers";

/// An open state folder and its content.
pub struct StateFolder {
    folder: PathBuf,
    /// The stored limit, if there is one: no reply grants a token above it before a higher limit has been written.
    token_floor: Option<u64>,
    registers: Option<PersistentState>,
}

impl StateFolder {
    /// Creates the folder if it is missing and reads it. Returns an error if a file can't be read or is
    /// corrupt.
    pub fn open(folder: &Path) -> io::Result<StateFolder> {
        std::fs::create_dir_all(folder)?;
        let token_floor = read_token(folder)?;
        let registers = read_registers(folder)?;
        Ok(StateFolder { folder: folder.to_owned(), token_floor, registers })
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
            write_atomically(&self.folder, TOKEN_FILE, token_floor.to_string().as_bytes())?;
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
            write_atomically(&self.folder, REGISTERS_FILE, &bytes)?;
            self.registers = Some(state);
        }
        Ok(())
    }
}

/// Returns none if there is no file yet.
fn read_token(folder: &Path) -> io::Result<Option<u64>> {
    match std::fs::read_to_string(folder.join(TOKEN_FILE)) {
        Ok(text) => text.trim().parse().map(Some).map_err(|_| {
            io::Error::other("file 'fleet-number' does not contain a whole number (the fencing token limit)")
        }),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn read_registers(folder: &Path) -> io::Result<Option<PersistentState>> {
    match std::fs::read(folder.join(REGISTERS_FILE)) {
        Ok(bytes) => match decode(&bytes) {
            Some(state) => Ok(Some(state)),
            None => Err(io::Error::other("file 'fleet-registers' is corrupt")),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn decode(bytes: &[u8]) -> Option<PersistentState> {
    let (hash, payload) = bytes.split_at_checked(HASH_BYTES)?;
    (blake3::hash(payload).as_bytes() == hash).then(|| postcard::from_bytes(payload).ok()).flatten()
}

fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let file = folder.join(name);
    let new = file.with_extension("new");
    std::fs::write(&new, bytes)?;
    std::fs::File::open(&new)?.sync_all()?;
    std::fs::rename(&new, &file)?;
    // Without a sync of the folder, the older file may be back after a power failure.
    std::fs::File::open(folder)?.sync_all()
}

#[cfg(test)]
#[path = "../tests/unit/state_folder.rs"]
mod tests;
