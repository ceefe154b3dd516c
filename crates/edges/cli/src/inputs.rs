//! The configuration files that a command reads: the operator's file, and the front's start file that it names.

use crate::error::CommandError;
use crate::file;
use lemonusher_front::DeploymentNames;
use std::path::Path;

/// An operator's file, and the path of the front's start file.
pub struct Inputs {
    /// The operator's file, parsed.
    pub file: file::ConfigFile,
    /// Path of the start file.
    pub start_file: String,
}

impl Inputs {
    /// The names of zones, machine kinds and request classes in the start file.
    pub fn names(&self) -> Result<DeploymentNames, CommandError> {
        lemonusher_front::read_names(&self.start_file)
            .map_err(|error| CommandError::File(vec![error.to_string()]))
    }
}

/// Reads and validates an operator's file.
pub fn read_file(path: &Path) -> Result<file::ConfigFile, CommandError> {
    let to_lines = |errors: Vec<file::ConfigError>| {
        CommandError::File(errors.iter().map(|error| error.to_string()).collect())
    };
    file::read(path).map_err(to_lines)
}

/// Reads and validates an operator's file, and determines the path of the front's start file.
pub fn read_inputs(path: &Path) -> Result<Inputs, CommandError> {
    let file = read_file(path)?;
    let start_file = match &file.front.start_file {
        Some(path) => path.get_ref().to_string_lossy().into_owned(),
        None => std::env::var("PROXY_CONFIG").map_err(|_| {
            CommandError::File(vec![format!(
                "{}: [front] 'told' names no start file, and PROXY_CONFIG is not set",
                path.display()
            )])
        })?,
    };
    Ok(Inputs { file, start_file })
}
