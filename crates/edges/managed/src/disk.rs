//! The log's file. A commit is acknowledged only once its record is synced; what could not be written is taken
//! back, and where that fails too nothing further is written.

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
/// Bytes beyond which a log may be made shorter, and how many times as long as when it last was.
const MIN_COMPACTION_BYTES: u64 = 256 * 1024;
const COMPACTION_GROWTH: u64 = 4;

/// The log of the state, in a folder that no other process uses.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    length: u64,
    /// Its length when it was last as short as can be.
    compacted_length: u64,
    /// A record is half there and could not be taken back.
    broken: bool,
    _lock: File,
}

/// Why the log can't be used.
#[derive(Debug)]
pub enum DiskError {
    Io(PathBuf, io::Error),
    /// Another process uses the folder.
    InUse(PathBuf),
    Recovery(PathBuf, RecoveryError),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiskError::Io(path, error) => write!(f, "{}: {error}", path.display()),
            DiskError::InUse(path) => write!(f, "{}: another process uses it", path.display()),
            DiskError::Recovery(path, unfit) => write!(f, "{}: {unfit}; it is left as it is", path.display()),
        }
    }
}

impl Disk {
    /// Opens or makes the log, and brings back what it holds. A tail that was cut short is cut off.
    pub fn open(folder: &Path, schema: Arc<Schema>, bounds: Bounds) -> Result<(Disk, Store), DiskError> {
        let io = |path: &Path| {
            let path = path.to_owned();
            move |error| DiskError::Io(path, error)
        };
        std::fs::create_dir_all(folder).map_err(io(folder))?;
        let (lock_path, path) = (folder.join(LOCK_FILE), folder.join(LOG_FILE));
        let lock = File::create(&lock_path).map_err(io(&lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(DiskError::InUse(folder.to_owned())),
            Err(TryLockError::Error(error)) => return Err(DiskError::Io(lock_path, error)),
        }
        // A shorter log that was not yet in place when the process ended says nothing new.
        match std::fs::remove_file(folder.join(NEXT_LOG_FILE)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(DiskError::Io(folder.join(NEXT_LOG_FILE), error));
            }
            _ => {}
        }
        let options = OpenOptions::new().read(true).write(true).create(true).truncate(false).clone();
        let mut log = options.open(&path).map_err(io(&path))?;
        let mut bytes = Vec::new();
        log.read_to_end(&mut bytes).map_err(io(&path))?;
        let recovered = recover(schema, bounds, &bytes);
        let Recovered { store, valid_length: whole, records } =
            recovered.map_err(|unfit| DiskError::Recovery(path.clone(), unfit))?;
        if whole < bytes.len() {
            tracing::warn!(bytes = bytes.len() - whole, "the log's tail was cut short and is cut off");
        }
        let mut length = whole as u64;
        let mend = |log: &mut File, length: &mut u64| -> io::Result<()> {
            log.set_len(*length)?;
            if *length == 0 {
                log.seek(SeekFrom::Start(0))?;
                log.write_all(HEADER)?;
                *length = HEADER.len() as u64;
            }
            log.seek(SeekFrom::Start(*length))?;
            log.sync_all()
        };
        mend(&mut log, &mut length).map_err(io(&path))?;
        sync_folder(folder).map_err(io(folder))?;
        tracing::info!(records, version = store.running().number, "state read from {}", path.display());
        let base = length;
        Ok((
            Disk {
                folder: folder.to_owned(),
                log,
                length,
                compacted_length: base,
                broken: false,
                _lock: lock,
            },
            store,
        ))
    }

    /// Writes a record and syncs it.
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
                let back = self.log.set_len(self.length);
                let back = back.and_then(|()| self.log.seek(SeekFrom::Start(self.length)));
                self.broken = back.and_then(|_| self.log.sync_all()).is_err();
                Err(error)
            }
        }
    }

    /// Whether the log has grown enough to be made shorter.
    pub fn needs_compaction(&self) -> bool {
        !self.broken
            && self.length > MIN_COMPACTION_BYTES
            && self.length > self.compacted_length * COMPACTION_GROWTH
    }

    /// Puts the shortest log that says the same in place of this one. A crash at any point leaves one or the
    /// other.
    pub fn compact(&mut self, store: &Store) -> io::Result<()> {
        let bytes = compact(store);
        let next = self.folder.join(NEXT_LOG_FILE);
        let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(&next)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&next, self.folder.join(LOG_FILE))?;
        sync_folder(&self.folder)?;
        (self.log, self.length, self.compacted_length) = (file, bytes.len() as u64, bytes.len() as u64);
        Ok(())
    }

    pub fn length(&self) -> u64 {
        self.length
    }
}

/// A file's name lasts only once its folder is synced.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests {
    use super::*;
    use lemonusher_model::{Node, Op, parse_path};
    use lemonusher_store::{CommitOptions, Edit, Protocol};
    use std::time::Duration;

    const BOUNDS: Bounds = Bounds { history: 3, sessions: 4 };

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("lemonusher-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    fn open(folder: &Path) -> Result<(Disk, Store), DiskError> {
        Disk::open(folder, Arc::new(Schema::front().unwrap()), BOUNDS)
    }

    fn put(disk: &mut Disk, store: &mut Store, cell: u32) {
        let session = store.open_session("x", Protocol::Local).unwrap();
        let path = format!("/front/pool[name=a]/cell[.={cell}]");
        let place = store.schema().place(&parse_path(&path).unwrap()).unwrap();
        let edit = Edit { op: Op::Merge, place, value: Some(Node::Leaf(cell.to_string().into())) };
        let plan = store
            .edit_running(session, &[edit], &CommitOptions::default(), Duration::ZERO, 0)
            .unwrap()
            .unwrap();
        disk.append(&Record::commit(store.schema(), &plan)).unwrap();
        store.finish_commit(plan);
        store.close_session(session);
    }

    #[test]
    fn commits_come_back_also_from_a_shortened_log() {
        let folder = folder("back");
        let (mut disk, mut store) = open(&folder).unwrap();
        assert!(matches!(open(&folder), Err(DiskError::InUse(_))));
        for cell in 0..4 {
            put(&mut disk, &mut store, cell);
        }
        disk.compact(&store).unwrap();
        put(&mut disk, &mut store, 9);
        let tree = store.running().tree.clone();
        drop(disk);
        let (disk, store) = open(&folder).unwrap();
        assert_eq!((&store.running().tree, store.running().number), (&tree, 5));
        assert_eq!(disk.length(), std::fs::metadata(folder.join(LOG_FILE)).unwrap().len());
        drop(disk);
        std::fs::remove_dir_all(folder).unwrap();
    }

    /// The folder as it stands at each step of shortening brings the same state back.
    #[test]
    fn a_crash_at_any_step_of_shortening_loses_nothing() {
        let folder = folder("steps");
        let (mut disk, mut store) = open(&folder).unwrap();
        (0..4).for_each(|cell| put(&mut disk, &mut store, cell));
        drop(disk);
        let tree = store.running().tree.clone();
        let old = std::fs::read(folder.join(LOG_FILE)).unwrap();
        let new = compact(&store);
        let steps: Vec<(&[u8], Option<&[u8]>)> =
            vec![(&old, Some(b"")), (&old, Some(&new[..new.len() / 2])), (&old, Some(&new)), (&new, None)];
        for (log, next) in steps {
            std::fs::write(folder.join(LOG_FILE), log).unwrap();
            if let Some(next) = next {
                std::fs::write(folder.join(NEXT_LOG_FILE), next).unwrap();
            }
            let (_disk, store) = open(&folder).unwrap();
            assert_eq!(store.running().tree, tree);
            assert!(!folder.join(NEXT_LOG_FILE).exists());
        }
        std::fs::remove_dir_all(folder).unwrap();
    }

    /// The log is a fixture of the store's tests, written at commit ad164c9.
    #[test]
    fn a_folder_of_an_earlier_version_is_opened_and_written_further() {
        let log = include_bytes!("../../../core/store/tests/fixtures/state.log");
        let folder = folder("earlier");
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join(LOG_FILE), log).unwrap();
        std::fs::write(folder.join(LOCK_FILE), b"").unwrap();
        let (mut disk, mut store) = open(&folder).unwrap();
        assert_eq!((store.running().number, disk.length()), (19, log.len() as u64));
        assert!(store.startup().is_some() && store.pending().is_some_and(|pending| pending.orphaned));
        let plan = store.poll_timeout(Duration::ZERO, 3000).unwrap();
        let record = Record::commit(store.schema(), &plan);
        disk.append(&record).unwrap();
        store.finish_commit(plan);
        let mut wanted = log.to_vec();
        wanted.extend(encode_record(&record));
        assert_eq!(std::fs::read(folder.join(LOG_FILE)).unwrap(), wanted);
        let tree = store.running().tree.clone();
        drop(disk);
        let (disk, store) = open(&folder).unwrap();
        assert_eq!((&store.running().tree, store.running().number), (&tree, 20));
        drop(disk);
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_spoilt_log_is_left_as_it_is() {
        let folder = folder("spoilt");
        let (mut disk, mut store) = open(&folder).unwrap();
        (0..3).for_each(|cell| put(&mut disk, &mut store, cell));
        drop(disk);
        let mut bytes = std::fs::read(folder.join(LOG_FILE)).unwrap();
        bytes[HEADER.len() + 20] ^= 1;
        std::fs::write(folder.join(LOG_FILE), &bytes).unwrap();
        assert!(matches!(open(&folder), Err(DiskError::Recovery(..))));
        assert_eq!(std::fs::read(folder.join(LOG_FILE)).unwrap(), bytes);
        std::fs::remove_dir_all(folder).unwrap();
    }
}
