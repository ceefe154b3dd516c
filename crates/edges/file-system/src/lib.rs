//! The file operations that stored state needs. Tests replace them by a file system that fails and forgets.

#![warn(missing_docs)]

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// A folder and the files in it.
pub trait FileSystem {
    /// An open file.
    type File: StoredFile;
    /// An open folder.
    type Folder;

    /// Creates a folder and its parents, unless it exists, and makes the names of the new ones durable.
    fn create_folder(&self, path: &Path) -> io::Result<()>;
    /// Opens a folder, so that it can be synced later without another descriptor.
    fn open_folder(&self, path: &Path) -> io::Result<Self::Folder>;
    /// Makes the names in a folder durable.
    fn sync_folder(&self, folder: &Self::Folder) -> io::Result<()>;
    /// Opens a file as it is; fails with `NotFound` if there is none.
    fn open_existing_file(&self, path: &Path) -> io::Result<Self::File>;
    /// Opens a file as it is, or creates it.
    fn open_file(&self, path: &Path) -> io::Result<Self::File>;
    /// Creates an empty file, or empties the one that is there.
    fn create_file(&self, path: &Path) -> io::Result<Self::File>;
    /// Creates a file and locks it against other processes, until it is closed.
    fn lock_file(&self, path: &Path) -> Result<Self::File, TryLockError>;
    /// Renames a file over another one.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove_file(&self, path: &Path) -> io::Result<()>;
}

/// A file that is read whole, written at its end, and truncated.
pub trait StoredFile {
    /// Reads the whole file, from its beginning.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    /// Writes bytes at the end. After an error any part of them may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to this length in bytes; later writes continue there.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Makes the file's contents durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The file system of the machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct RealFileSystem;

impl FileSystem for RealFileSystem {
    type File = File;
    type Folder = File;

    fn create_folder(&self, path: &Path) -> io::Result<()> {
        let missing: Vec<&Path> = path.ancestors().take_while(|folder| !folder.exists()).collect();
        std::fs::create_dir_all(path)?;
        for folder in missing {
            let parent = folder.parent().filter(|parent| !parent.as_os_str().is_empty());
            File::open(parent.unwrap_or(Path::new(".")))?.sync_all()?;
        }
        Ok(())
    }

    fn open_folder(&self, path: &Path) -> io::Result<File> {
        File::open(path)
    }

    fn sync_folder(&self, folder: &File) -> io::Result<()> {
        folder.sync_all()
    }

    fn open_existing_file(&self, path: &Path) -> io::Result<File> {
        File::open(path)
    }

    fn open_file(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
    }

    fn create_file(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)
    }

    fn lock_file(&self, path: &Path) -> Result<File, TryLockError> {
        let lock = File::create(path).map_err(TryLockError::Error)?;
        lock.try_lock()?;
        Ok(lock)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn remove_file(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }
}

impl StoredFile for File {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.seek(SeekFrom::Start(0))?;
        self.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::Start(length))?;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
