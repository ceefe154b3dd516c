//! Section `[log]`.

use serde::Deserialize;

/// `[log]`: the log on standard error.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Log")]
pub struct LogSection {
    /// Minimum severity of the lines that are written.
    pub level: LogLevel,
    /// Format of the lines.
    #[serde(rename = "form")]
    pub format: LogFormat,
}

/// Severity of log lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Level")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Also warnings.
    Warn,
    /// Also messages on normal operation; the default.
    #[default]
    Info,
    /// Also details for diagnosing faults.
    Debug,
    /// All lines.
    Trace,
}

/// Format of log lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Form")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
