//! The write-ahead log on disk. A commit is acknowledged only after its record has been synced.
//!
//! What a start finds after each step:
//!
//! | step | a start finds | after an error |
//! | --- | --- | --- |
//! | append: write | the log, perhaps with a part of the record, which recovery cuts off | truncated, in use |
//! | append: sync | the log with or without the record | unknown |
//! | compaction: create, write and sync the next log | the log; the next one is removed | in use |
//! | compaction: rename | the old log or the new one, which recover the same state | unknown |
//! | compaction: sync the folder | the new log | unknown |
//!
//! While it is unknown what a start finds, nothing is appended: the next record is preceded by a new compaction, which
//! writes all that has been acknowledged to a new file. If that fails, the record is refused.

use lemonusher_file_system::{FileSystem, RealFileSystem, StoredFile};
use lemonusher_model::Schema;
use lemonusher_store::{
    Bounds, HEADER, Record, Recovered, RecoveryError, Store, compact, encode_record, recover,
};
use std::fmt;
use std::fs::TryLockError;
use std::io;
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
pub struct Disk<F: FileSystem = RealFileSystem> {
    file_system: F,
    folder: PathBuf,
    /// Kept open, so that a rename can be made durable when no descriptor is free.
    folder_handle: F::Folder,
    /// The file that a start would find, with all acknowledged records and no other. None after an error that leaves
    /// it unknown what a start would find.
    log: Option<F::File>,
    /// The log's length in bytes.
    length: u64,
    /// The log's length in bytes when it was opened or last compacted.
    compacted_length: u64,
    _lock: F::File,
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
        Disk::open_on(RealFileSystem, folder, schema, bounds)
    }
}

impl<F: FileSystem> Disk<F> {
    /// Opens or creates the log on a file system.
    fn open_on(
        file_system: F,
        folder: &Path,
        schema: Arc<Schema>,
        bounds: Bounds,
    ) -> Result<(Disk<F>, Store), DiskError> {
        file_system.create_folder(folder).map_err(io_error(folder))?;
        let lock = lock(&file_system, folder)?;
        let folder_handle = file_system.open_folder(folder).map_err(io_error(folder))?;
        remove_unfinished_compaction(&file_system, folder)?;
        let path = folder.join(LOG_FILE);
        let mut log = file_system.open_file(&path).map_err(io_error(&path))?;
        let bytes = log.read().map_err(io_error(&path))?;
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
        file_system.sync_folder(&folder_handle).map_err(io_error(folder))?;
        tracing::info!(
            records,
            version = store.running().number,
            "recovered the store from {}",
            path.display()
        );
        let folder = folder.to_owned();
        let log = Some(log);
        let compacted_length = length;
        Ok((Disk { file_system, folder, folder_handle, log, length, compacted_length, _lock: lock }, store))
    }

    /// Appends a record and syncs it. `store` holds what has been acknowledged so far. After an error the record is
    /// not acknowledged: it is truncated, and where that or the sync fails, the log is written anew from the store
    /// before the next record. While that fails too, all records are refused.
    pub fn append(&mut self, store: &Store, record: &Record) -> io::Result<()> {
        if self.log.is_none() {
            self.compact(store).map_err(|error| {
                io::Error::other(format!("the log can't be written anew after an earlier error: {error}"))
            })?;
        }
        let Some(log) = &mut self.log else { return Err(io::Error::other("the log is not open")) };
        let bytes = encode_record(record);
        let written = log.append(&bytes);
        let is_written = written.is_ok();
        let Err(error) = written.and_then(|()| log.sync()) else {
            self.length += bytes.len() as u64;
            return Ok(());
        };
        // Any part of the record may be in the file. It is not acknowledged, so recovery must not find it.
        let undone = log.truncate(self.length).and_then(|()| log.sync());
        // After a failed sync, what the file holds on disk is unknown even if a later sync succeeds.
        if is_written || undone.is_err() {
            self.log = None;
        }
        Err(error)
    }

    /// Whether the log has grown enough to be compacted. A log that must be written anew is so before the next record.
    pub fn needs_compaction(&self) -> bool {
        self.log.is_some()
            && self.length > MIN_COMPACTION_BYTES
            && self.length > self.compacted_length * COMPACTION_GROWTH
    }

    /// Replaces the log with a compacted one that recovers the same state. Until the rename, the old log is in use and
    /// stays so after an error. From the rename until the folder is synced, a start may find either.
    pub fn compact(&mut self, store: &Store) -> io::Result<()> {
        let next = self.folder.join(NEXT_LOG_FILE);
        let mut file = self.file_system.create_file(&next)?;
        let bytes = compact(store);
        file.append(&bytes)?;
        file.sync()?;
        // The old log has no name after the rename, so nothing may be appended to it whatever comes back.
        self.log = None;
        self.file_system.rename(&next, &self.folder.join(LOG_FILE))?;
        self.file_system.sync_folder(&self.folder_handle)?;
        self.log = Some(file);
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
fn lock<F: FileSystem>(file_system: &F, folder: &Path) -> Result<F::File, DiskError> {
    let path = folder.join(LOCK_FILE);
    file_system.lock_file(&path).map_err(|error| match error {
        TryLockError::WouldBlock => DiskError::InUse(folder.to_owned()),
        TryLockError::Error(error) => DiskError::Io(path, error),
    })
}

/// Deletes a compacted log that was not renamed into place before the process ended. The current log is complete.
fn remove_unfinished_compaction<F: FileSystem>(file_system: &F, folder: &Path) -> Result<(), DiskError> {
    let path = folder.join(NEXT_LOG_FILE);
    match file_system.remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(DiskError::Io(path, error)),
        _ => Ok(()),
    }
}

/// Truncates a log to its valid part, writes the header if that is empty, and returns the length in bytes.
fn prepare_to_append(log: &mut impl StoredFile, valid_length: u64) -> io::Result<u64> {
    log.truncate(valid_length)?;
    let mut length = valid_length;
    if length == 0 {
        log.append(HEADER)?;
        length = HEADER.len() as u64;
    }
    log.sync()?;
    Ok(length)
}

#[cfg(test)]
#[path = "../tests/unit/disk.rs"]
mod tests;

#[cfg(test)]
#[path = "../tests/unit/disk_faults.rs"]
mod fault_tests;
