//! What lasts in a folder: the highest number, and a voter's registers. Each is written beside and put in place whole.

use lemonusher_registers::PersistentState;
use std::io;
use std::path::{Path, PathBuf};

const TOKEN_RESERVE: u64 = 1000; // Numbers that the folder is ahead of what is granted.
const HASH_BYTES: usize = 32;

pub struct StateFolder {
    folder: PathBuf,
    token_floor: u64,
    registers: Option<PersistentState>,
}

impl StateFolder {
    pub fn open(folder: &Path) -> io::Result<StateFolder> {
        std::fs::create_dir_all(folder)?;
        let number = match std::fs::read_to_string(folder.join("fleet-number")) {
            Ok(text) => {
                text.trim().parse().map_err(|_| io::Error::other("'fleet-number' holds no number"))?
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => 0, // The first start of all.
            Err(error) => return Err(error),
        };
        let registers = match std::fs::read(folder.join("fleet-registers")) {
            Ok(bytes) => Some(decode(&bytes).ok_or_else(|| io::Error::other("'fleet-registers' is spoilt"))?),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(error),
        };
        Ok(StateFolder { folder: folder.to_owned(), token_floor: number, registers })
    }

    pub fn token_floor(&self) -> u64 {
        self.token_floor
    }

    /// What this voter had promised and accepted; none if it never voted here.
    pub fn registers(&self) -> Option<PersistentState> {
        self.registers.clone()
    }

    /// Numbers up to this may have been granted.
    pub fn store_token(&mut self, number: u64) -> io::Result<()> {
        if number > self.token_floor {
            write_atomically(&self.folder, "fleet-number", (number + TOKEN_RESERVE).to_string().as_bytes())?;
            self.token_floor = number + TOKEN_RESERVE;
        }
        Ok(())
    }

    pub fn store_registers(&mut self, state: PersistentState) -> io::Result<()> {
        if self.registers.as_ref() != Some(&state) {
            let payload = postcard::to_allocvec(&state).map_err(io::Error::other)?;
            let mut bytes = blake3::hash(&payload).as_bytes().to_vec();
            bytes.extend(payload);
            write_atomically(&self.folder, "fleet-registers", &bytes)?;
            self.registers = Some(state);
        }
        Ok(())
    }
}

fn decode(bytes: &[u8]) -> Option<PersistentState> {
    let (sum, payload) = bytes.split_at_checked(HASH_BYTES)?;
    (blake3::hash(payload).as_bytes() == sum).then(|| postcard::from_bytes(payload).ok()).flatten()
}

fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let file = folder.join(name);
    let new = file.with_extension("new");
    std::fs::write(&new, bytes)?;
    std::fs::File::open(&new)?.sync_all()?;
    std::fs::rename(&new, &file)?;
    // The name must last too, or an older file may stand there after a loss of power.
    std::fs::File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_kept_is_read_again_and_what_is_spoilt_is_refused() {
        let folder = std::env::temp_dir().join(format!("lemonusher-disk-{}", std::process::id()));
        let mut disk = StateFolder::open(&folder).unwrap();
        assert_eq!((disk.token_floor(), disk.registers()), (0, None));
        disk.store_token(5).unwrap();
        let state = PersistentState { epoch: 7, registers: Vec::new() };
        disk.store_registers(state.clone()).unwrap();
        let again = StateFolder::open(&folder).unwrap();
        assert_eq!((again.token_floor(), again.registers()), (5 + TOKEN_RESERVE, Some(state)));
        std::fs::write(folder.join("fleet-registers"), b"spoilt").unwrap();
        assert!(StateFolder::open(&folder).is_err());
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
