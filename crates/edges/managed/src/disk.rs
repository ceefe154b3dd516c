//! The log's file. The rule: a commit is acknowledged only once its record is synced. A record that could not be written is
//! truncated, and where that fails too nothing further is written.

use lemonusher_model::Schema;
use lemonusher_store::{
    Bounds, HEADER, Record, Recovered, RecoveryError, Store, compact, encode_record, recover,
};
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOG_FILE: &str = "state.log";
const NEXT_LOG_FILE: &str = "state.log.next";
const LOCK_FILE: &str = "lock";
/// The length beyond which a log may be compacted.
const MIN_COMPACTION_BYTES: u64 = 256 * 1024;
/// How many times its length after the last compaction a log must have before the next one.
const COMPACTION_GROWTH: u64 = 4;

/// The log of the state, in a folder that no other process uses.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    /// The log's length in bytes.
    length: u64,
    /// Its length when it was opened or last compacted.
    compacted_length: u64,
    /// A record is half written and could not be truncated.
    broken: bool,
    _lock: File,
}

/// Why the log can't be used.
#[derive(Debug)]
pub enum DiskError {
    /// A file or folder could not be accessed.
    Io(PathBuf, io::Error),
    /// Another process uses the folder.
    InUse(PathBuf),
    /// The log is corrupt or does not fit.
    Recovery(PathBuf, RecoveryError),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiskError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            DiskError::InUse(path) => write!(f, "{}: another process uses it", path.display()),
            DiskError::Recovery(path, error) => write!(f, "{}: {error}; it is left as it is", path.display()),
        }
    }
}

impl Disk {
    /// Opens or creates the log, and recovers the store from it. A tail that was cut short is truncated.
    pub fn open(folder: &Path, schema: Arc<Schema>, bounds: Bounds) -> Result<(Disk, Store), DiskError> {
        std::fs::create_dir_all(folder).map_err(io_error(folder))?;
        let lock = lock(folder)?;
        remove_unfinished_compaction(folder)?;
        let path = folder.join(LOG_FILE);
        let options = OpenOptions::new().read(true).write(true).create(true).truncate(false).clone();
        let mut log = options.open(&path).map_err(io_error(&path))?;
        let mut bytes = Vec::new();
        log.read_to_end(&mut bytes).map_err(io_error(&path))?;
        let recovered = recover(schema, bounds, &bytes);
        let Recovered { store, valid_length, records } =
            recovered.map_err(|error| DiskError::Recovery(path.clone(), error))?;
        if valid_length < bytes.len() {
            tracing::warn!(bytes = bytes.len() - valid_length, "the log's tail was cut short and is cut off");
        }
        let length = prepare_to_append(&mut log, valid_length as u64).map_err(io_error(&path))?;
        sync_folder(folder).map_err(io_error(folder))?;
        tracing::info!(records, version = store.running().number, "state read from {}", path.display());
        let folder = folder.to_owned();
        let disk = Disk { folder, log, length, compacted_length: length, broken: false, _lock: lock };
        Ok((disk, store))
    }

    /// Writes a record and syncs it. After an error the record is not in the log.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        if self.broken {
            return Err(io::Error::other("an earlier record is half written and can't be taken back"));
        }
        let bytes = encode_record(record);
        let written = self.log.write_all(&bytes).and_then(|()| self.log.sync_data());
        match written {
            Ok(()) => {
                self.length += bytes.len() as u64;
                Ok(())
            }
            Err(error) => {
                // Whether it is there is not known: it must not be, as it will not be acknowledged.
                let truncated = self.log.set_len(self.length);
                let truncated = truncated.and_then(|()| self.log.seek(SeekFrom::Start(self.length)));
                self.broken = truncated.and_then(|_| self.log.sync_all()).is_err();
                Err(error)
            }
        }
    }

    /// Whether the log has grown enough to be compacted.
    pub fn needs_compaction(&self) -> bool {
        !self.broken
            && self.length > MIN_COMPACTION_BYTES
            && self.length > self.compacted_length * COMPACTION_GROWTH
    }

    /// Replaces the log by the shortest one with the same content. A crash at any point leaves one or the other.
    pub fn compact(&mut self, store: &Store) -> io::Result<()> {
        let bytes = compact(store);
        let next = self.folder.join(NEXT_LOG_FILE);
        let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(&next)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&next, self.folder.join(LOG_FILE))?;
        sync_folder(&self.folder)?;
        self.log = file;
        self.length = bytes.len() as u64;
        self.compacted_length = self.length;
        Ok(())
    }

    /// The log's length in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }
}

fn io_error(path: &Path) -> impl Fn(io::Error) -> DiskError + use<> {
    let path = path.to_owned();
    move |error| DiskError::Io(path.clone(), error)
}

/// Locks a folder for this process, until the file is closed.
fn lock(folder: &Path) -> Result<File, DiskError> {
    let path = folder.join(LOCK_FILE);
    let lock = File::create(&path).map_err(io_error(&path))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(DiskError::InUse(folder.to_owned())),
        Err(TryLockError::Error(error)) => Err(DiskError::Io(path, error)),
    }
}

/// A compacted log that was not in place yet when the process ended holds nothing new.
fn remove_unfinished_compaction(folder: &Path) -> Result<(), DiskError> {
    let path = folder.join(NEXT_LOG_FILE);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(DiskError::Io(path, error)),
        _ => Ok(()),
    }
}

/// Truncates a log to its valid part, with a header if that is empty, and returns its length.
fn prepare_to_append(log: &mut File, valid_length: u64) -> io::Result<u64> {
    log.set_len(valid_length)?;
    let mut length = valid_length;
    if length == 0 {
        log.seek(SeekFrom::Start(0))?;
        log.write_all(HEADER)?;
        length = HEADER.len() as u64;
    }
    log.seek(SeekFrom::Start(length))?;
    log.sync_all()?;
    Ok(length)
}

/// A file's name lasts only once its folder is synced.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

#[cfg(test)]
#[path = "../tests/unit/disk.rs"]
mod tests;
