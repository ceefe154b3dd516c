//! The write-ahead log on disk. A commit is acknowledged only after its record has been synced. If writing or syncing
//! a record fails, the log is truncated to its previous length; if that fails too, all later appends are refused.

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
/// A log of at most this length is never compacted.
const MIN_COMPACTION_BYTES: u64 = 256 * 1024;
/// A log is compacted when it is longer than this multiple of its length when it was opened or last compacted.
const COMPACTION_GROWTH: u64 = 4;

/// The write-ahead log of the store, in a folder that is locked against other processes.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    /// The log's length in bytes.
    length: u64,
    /// The log's length in bytes when it was opened or last compacted.
    compacted_length: u64,
    /// A failed append could not be undone: the log may end with an incomplete or unacknowledged record.
    broken: bool,
    _lock: File,
}

/// The log can't be opened.
#[derive(Debug)]
pub enum DiskError {
    /// A file or folder could not be accessed.
    Io(PathBuf, io::Error),
    /// Another process uses the folder.
    InUse(PathBuf),
    /// The log is corrupt, or a record doesn't follow from those before it or doesn't fit the schema.
    Recovery(PathBuf, RecoveryError),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiskError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            DiskError::InUse(path) => write!(f, "{}: locked by another process", path.display()),
            DiskError::Recovery(path, error) => {
                write!(f, "{}: {error}; the log was not changed", path.display())
            }
        }
    }
}

impl Disk {
    /// Opens or creates the log, and recovers the store from it. An incomplete record at the end is truncated.
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
            tracing::warn!(
                bytes = bytes.len() - valid_length,
                "truncating an incomplete record at the end of the log"
            );
        }
        let length = prepare_to_append(&mut log, valid_length as u64).map_err(io_error(&path))?;
        sync_folder(folder).map_err(io_error(folder))?;
        tracing::info!(
            records,
            version = store.running().number,
            "recovered the store from {}",
            path.display()
        );
        let folder = folder.to_owned();
        let disk = Disk { folder, log, length, compacted_length: length, broken: false, _lock: lock };
        Ok((disk, store))
    }

    /// Appends a record and syncs it. After an error the log is truncated to its previous length; if that fails too,
    /// all further appends fail.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        if self.broken {
            // The text stays because clients receive it. The record may also be complete but not synced.
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
                // Any part of the record may be on disk. It is not acknowledged, so recovery must not find it.
                let truncated = self.log.set_len(self.length);
                let truncated = truncated.and_then(|()| self.log.seek(SeekFrom::Start(self.length)));
                self.broken = truncated.and_then(|_| self.log.sync_all()).is_err();
                Err(error)
            }
        }
    }

    /// Whether the log has grown enough to be compacted; false once a failed append could not be undone.
    pub fn needs_compaction(&self) -> bool {
        !self.broken
            && self.length > MIN_COMPACTION_BYTES
            && self.length > self.compacted_length * COMPACTION_GROWTH
    }

    /// Replaces the log with a compacted one that recovers the same state. The new file is synced and then renamed
    /// over the old one, so a crash at any point leaves one or the other complete.
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

/// Locks a folder for this process, until the returned file is closed.
fn lock(folder: &Path) -> Result<File, DiskError> {
    let path = folder.join(LOCK_FILE);
    let lock = File::create(&path).map_err(io_error(&path))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(DiskError::InUse(folder.to_owned())),
        Err(TryLockError::Error(error)) => Err(DiskError::Io(path, error)),
    }
}

/// Deletes a compacted log that was not renamed into place before the process ended. The current log is complete.
fn remove_unfinished_compaction(folder: &Path) -> Result<(), DiskError> {
    let path = folder.join(NEXT_LOG_FILE);
    match std::fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(DiskError::Io(path, error)),
        _ => Ok(()),
    }
}

/// Truncates a log to its valid part, writes the header if that is empty, and returns the length in bytes.
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

/// Syncs a folder: the creation or rename of a file survives a crash only once its folder is synced.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

#[cfg(test)]
#[path = "../tests/unit/disk.rs"]
mod tests;
