//! `[log]`.

use serde::Deserialize;

/// `[log]`: the log on standard error.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Log")]
pub struct LogSection {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// How lines are written.
    #[serde(rename = "form")]
    pub format: LogFormat,
}

/// Severity of log lines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Level")]
pub enum LogLevel {
    /// Errors alone.
    Error,
    /// Warnings too.
    Warn,
    /// What operators usually want.
    #[default]
    Info,
    /// Details for finding faults.
    Debug,
    /// Everything.
    Trace,
}

/// How log lines are written.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Form")]
pub enum LogFormat {
    /// As text.
    #[default]
    Text,
    /// As one JSON object a line.
    Json,
}
