//! Errors of commands, and the exit codes that they end with.

use std::path::Path;

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file can't be used; each is one line.
    File(Vec<String>),
    /// It was tried and failed, for this reason.
    Failed(String),
}

impl CommandError {
    /// The exit code: 1 for a command that failed, 3 for a file that can't be used.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Failed(_) => 1,
            CommandError::File(_) => 3,
        }
    }
}

/// Reads a file that the operator's file or a command names.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path).map_err(|error| CommandError::File(vec![format!("{}: {error}", path.display())]))
}
