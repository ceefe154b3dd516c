//! Errors of commands, and their exit codes.

use std::path::Path;

/// An error that ends a command.
#[derive(Debug)]
pub enum CommandError {
    /// A file can't be read or is invalid; one message per line.
    File(Vec<String>),
    /// The command failed, with the reason.
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

/// Reads a file that is named in the operator's file or on the command line.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path).map_err(|error| CommandError::File(vec![format!("{}: {error}", path.display())]))
}
