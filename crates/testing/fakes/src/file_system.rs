//! A file system in memory that fails on demand, and that keeps what is durable apart from what is only written.

use lemonusher_file_system::{FileSystem, StoredFile};
use std::collections::BTreeMap;
use std::fs::TryLockError;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

/// What an operation that fails has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing, as when no descriptor is free.
    None,
    /// A part: half of the bytes are written, as when no space is left; any other operation does nothing.
    Half,
    /// All of it, though an error is returned.
    Whole,
}

/// A fault: this many operations fail, from the one with this number on, counted from 0.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Number of the first operation that fails.
    pub first: usize,
    /// Number of operations that fail.
    pub count: usize,
    /// What those operations do all the same.
    pub effect: Effect,
}

#[derive(Debug, Clone, Default)]
struct Contents {
    written: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Debug, Default)]
struct World {
    files: Vec<Contents>,
    /// The file of each name, and what of that is durable.
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    operations: Vec<&'static str>,
    fault: Option<Fault>,
    /// From this operation on, nothing is done any more: the process has been killed.
    killed_at: Option<usize>,
}

/// A file system in memory. Its clones share the files.
#[derive(Debug, Clone, Default)]
pub struct FaultyFileSystem(Arc<Mutex<World>>);

/// An open file of a [`FaultyFileSystem`].
#[derive(Debug)]
pub struct OpenFile {
    file_system: FaultyFileSystem,
    file: usize,
}

impl FaultyFileSystem {
    /// Creates an empty file system with at most one fault, whose process is killed before the operation `killed_at`.
    pub fn new(fault: Option<Fault>, killed_at: Option<usize>) -> FaultyFileSystem {
        FaultyFileSystem(Arc::new(Mutex::new(World { fault, killed_at, ..World::default() })))
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap()
    }

    /// Names of all operations so far.
    pub fn operations(&self) -> Vec<&'static str> {
        self.world().operations.clone()
    }

    /// Whether the process has been killed.
    pub fn is_killed(&self) -> bool {
        let world = self.world();
        world.killed_at.is_some_and(|at| world.operations.len() > at)
    }

    /// The contents that a start after a kill or a crash finds. Of names and of contents, each may be as written
    /// or as it was made durable.
    pub fn after_crash(&self, names_durable: bool, contents_durable: bool) -> FaultyFileSystem {
        let world = self.world();
        let names = if names_durable { &world.durable_names } else { &world.names };
        let contents = |file: &Contents| {
            let bytes = if contents_durable { &file.durable } else { &file.written };
            Contents { written: bytes.clone(), durable: bytes.clone() }
        };
        let files = world.files.iter().map(contents).collect();
        let found = World { files, names: names.clone(), durable_names: names.clone(), ..World::default() };
        FaultyFileSystem(Arc::new(Mutex::new(found)))
    }

    /// Counts an operation, and returns what of it is to be done and whether it succeeds.
    fn begin(&self, operation: &'static str) -> (Effect, io::Result<()>) {
        let mut world = self.world();
        let number = world.operations.len();
        world.operations.push(operation);
        let failed = || Err(io::Error::other(format!("injected into operation {number}, {operation}")));
        if world.killed_at.is_some_and(|at| number >= at) {
            return (Effect::None, failed());
        }
        match world.fault {
            Some(fault) if (fault.first..fault.first + fault.count).contains(&number) => {
                (fault.effect, failed())
            }
            _ => (Effect::Whole, Ok(())),
        }
    }

    /// An operation that is done whole or not at all.
    fn perform(&self, operation: &'static str, act: impl FnOnce(&mut World)) -> io::Result<()> {
        let (effect, result) = self.begin(operation);
        if effect == Effect::Whole {
            act(&mut self.world());
        }
        result
    }

    fn open(&self, operation: &'static str, path: &Path, empty: bool) -> io::Result<OpenFile> {
        let mut file = 0;
        self.perform(operation, |world| {
            file = match world.names.get(path) {
                Some(file) => *file,
                None => {
                    world.files.push(Contents::default());
                    world.names.insert(path.to_owned(), world.files.len() - 1);
                    world.files.len() - 1
                }
            };
            if empty {
                world.files[file].written.clear();
            }
        })?;
        Ok(OpenFile { file_system: self.clone(), file })
    }
}

impl FileSystem for FaultyFileSystem {
    type File = OpenFile;
    type Folder = ();

    fn create_folder(&self, _: &Path) -> io::Result<()> {
        self.perform("create the folder", |_| ())
    }

    fn open_folder(&self, _: &Path) -> io::Result<()> {
        self.perform("open the folder", |_| ())
    }

    fn sync_folder(&self, _: &()) -> io::Result<()> {
        self.perform("sync the folder", |world| world.durable_names = world.names.clone())
    }

    fn open_existing_file(&self, path: &Path) -> io::Result<OpenFile> {
        let mut file = None;
        self.perform("open the existing file", |world| file = world.names.get(path).copied())?;
        let file = file.ok_or(io::ErrorKind::NotFound)?;
        Ok(OpenFile { file_system: self.clone(), file })
    }

    fn open_file(&self, path: &Path) -> io::Result<OpenFile> {
        self.open("open the file", path, false)
    }

    fn create_file(&self, path: &Path) -> io::Result<OpenFile> {
        self.open("create the file", path, true)
    }

    fn lock_file(&self, path: &Path) -> Result<OpenFile, TryLockError> {
        self.open("lock", path, true).map_err(TryLockError::Error)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.perform("rename the file", |world| {
            if let Some(file) = world.names.remove(from) {
                world.names.insert(to.to_owned(), file);
            }
        })
    }

    fn remove_file(&self, path: &Path) -> io::Result<()> {
        let mut existed = false;
        self.perform("remove the file", |world| existed = world.names.remove(path).is_some())?;
        if existed { Ok(()) } else { Err(io::ErrorKind::NotFound.into()) }
    }
}

impl StoredFile for OpenFile {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file_system.perform("read the file", |world| bytes = world.files[self.file].written.clone())?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (effect, result) = self.file_system.begin("write");
        let written = match effect {
            Effect::None => 0,
            Effect::Half => bytes.len() / 2,
            Effect::Whole => bytes.len(),
        };
        self.file_system.world().files[self.file].written.extend_from_slice(&bytes[..written]);
        result
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file_system.perform("truncate", |world| world.files[self.file].written.truncate(length as usize))
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file_system.perform("sync", |world| {
            let file = &mut world.files[self.file];
            file.durable = file.written.clone();
        })
    }
}
