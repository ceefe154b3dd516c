//! The operator's file, in TOML. Unknown keys are rejected, and every error names its line and the accepted
//! values. Each section has a module; only the `rename` attributes there map keys of the file to names in the
//! code. The `expecting` attributes keep the type names in error messages independent of the names in the code.

mod fleet;
mod log;
mod maintenance;
mod management;
mod processor;
mod zones;

pub use fleet::{FleetSection, TaskSection};
pub use log::{LogFormat, LogLevel, LogSection};
pub use management::{Access, GnmiSection, ManagementSection, NetconfSection, UserSection};
pub use processor::{FailureMode, ProcessorSection};

use serde::Deserialize;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};
use toml::Spanned;

/// An operator's file: the parts of a front that it enables.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
pub struct ConfigFile {
    /// Location of the front's start file.
    #[serde(default)]
    pub front: FrontSection,
    /// The log.
    #[serde(default)]
    pub log: LogSection,
    /// The management protocols; off if absent.
    pub managed: Option<ManagementSection>,
    /// The external processor; off if absent.
    pub processor: Option<ProcessorSection>,
    /// Messages between fronts; off if absent.
    pub fleet: Option<FleetSection>,
}

/// `[front]`: the location of the front's start file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Front")]
pub struct FrontSection {
    /// The front's start file, relative to the folder of the operator's file; if absent, the environment variable
    /// `PROXY_CONFIG` names it.
    #[serde(rename = "told")]
    pub start_file: Option<Spanned<PathBuf>>,
}

/// An error in an operator's file, with its position.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// Line, from 1; none if the error concerns the whole file.
    pub line: Option<usize>,
    /// The error, with the accepted values.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        write!(f, " {}", self.message)
    }
}

/// Reads and validates a file.
pub fn read(path: &Path) -> Result<ConfigFile, Vec<ConfigError>> {
    let file_error = |message: String| vec![ConfigError { file: path.to_owned(), line: None, message }];
    let text =
        std::fs::read_to_string(path).map_err(|error| file_error(format!("can't be read: {error}")))?;
    parse(path, &text)
}

/// Parses and validates a file's text. Relative paths in it are resolved against the file's folder.
pub fn parse(path: &Path, text: &str) -> Result<ConfigFile, Vec<ConfigError>> {
    let mut checker = Checker { path, text, errors: Vec::new() };
    let mut file: ConfigFile = match toml::from_str(text) {
        Ok(file) => file,
        Err(error) => return Err(vec![checker.error(error.span(), one_line(error.message()))]),
    };
    file.resolve_paths(path.parent().unwrap_or(Path::new("")));
    file.check(&mut checker);
    if checker.errors.is_empty() { Ok(file) } else { Err(checker.errors) }
}

impl ConfigFile {
    fn resolve_paths(&mut self, folder: &Path) {
        resolve_optional(&mut self.front.start_file, folder);
        if let Some(processor) = &mut self.processor {
            processor.resolve_paths(folder);
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.resolve_paths(folder);
        }
        if let Some(management) = &mut self.managed {
            management.resolve_paths(folder);
        }
    }

    fn check(&self, checker: &mut Checker) {
        if let Some(management) = &self.managed {
            management.check(checker);
        }
        if let Some(processor) = &self.processor {
            processor.check(checker);
        }
        if let Some(fleet) = &self.fleet {
            fleet.check(checker);
        }
    }
}

/// Collects the errors in a file's values.
struct Checker<'a> {
    path: &'a Path,
    text: &'a str,
    errors: Vec<ConfigError>,
}

impl Checker<'_> {
    /// Adds an error. `span` is its position in the text, in bytes.
    fn report(&mut self, span: Range<usize>, message: impl Into<String>) {
        let error = self.error(Some(span), message.into());
        self.errors.push(error);
    }

    fn check_range<T>(&mut self, value: &Spanned<T>, key: &str, allowed: RangeInclusive<T>)
    where
        T: PartialOrd + fmt::Display,
    {
        if !allowed.contains(value.get_ref()) {
            let message = format!("'{key}' must be from {} to {}", allowed.start(), allowed.end());
            self.report(value.span(), message);
        }
    }

    fn error(&self, span: Option<Range<usize>>, message: String) -> ConfigError {
        let line = span.map(|span| line_at(self.text, span.start));
        ConfigError { file: self.path.to_owned(), line, message }
    }
}

fn resolve(path: &mut Spanned<PathBuf>, folder: &Path) {
    let resolved = folder.join(path.get_ref());
    *path.get_mut() = resolved;
}

fn resolve_optional(path: &mut Option<Spanned<PathBuf>>, folder: &Path) {
    if let Some(path) = path {
        resolve(path, folder);
    }
}

fn line_at(text: &str, position: usize) -> usize {
    text.bytes().take(position).filter(|byte| *byte == b'\n').count() + 1
}

fn one_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
#[path = "../../tests/unit/file.rs"]
mod tests;
