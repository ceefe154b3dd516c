//! Section `[processor]`.

use super::{Checker, resolve_optional};
use lemonusher_processor::{HeaderNames, PathClass};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// `[processor]`: the external processor. If it is enabled, the front serves proxies only: it has no listener for
/// clients and no connections to engines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Processor")]
pub struct ProcessorSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// The proxies' `message_timeout`, in milliseconds.
    #[serde(default = "ProcessorSection::default_message_timeout_ms")]
    pub message_timeout_ms: Spanned<u64>,
    /// Behavior of the proxies when they get no response in time.
    #[serde(rename = "fails", default)]
    pub failure_mode: FailureMode,
    /// Maximum total extension of the message timeout for one call (the proxies' `max_message_timeout`), in
    /// milliseconds; 0 if extensions are not allowed.
    #[serde(rename = "more_time_ms", default)]
    pub max_timeout_extension_ms: u64,
    /// How long a call stays open after a failed attempt, waiting for the proxy's retry, in milliseconds.
    #[serde(rename = "retry_within_ms", default = "ProcessorSection::default_retry_window_ms")]
    pub retry_window_ms: u64,
    /// File with the key that signs continuation tokens, the same for all processors of a deployment; if absent, a
    /// random key is used, and tokens are valid within one process only.
    pub key_file: Option<Spanned<PathBuf>>,
    /// Maximum number of open streams, over all proxies.
    #[serde(rename = "streams", default = "ProcessorSection::default_max_streams")]
    pub max_streams: Spanned<usize>,
    /// Maximum number of finished calls whose outcome is kept.
    #[serde(rename = "remembered", default = "ProcessorSection::default_max_remembered")]
    pub max_remembered: usize,
    /// Whether the request's body contains the statement, from which the table group is read.
    #[serde(rename = "statement", default)]
    pub body_is_statement: bool,
    /// Whether, after a start, engines count as just started, because it is unknown which requests the proxies
    /// have in flight.
    #[serde(default = "ProcessorSection::default_recovers")]
    pub recovers: bool,
    /// Interval between two decisions, in microseconds.
    #[serde(default = "ProcessorSection::default_tick_us")]
    pub tick_us: Spanned<u64>,
    /// Names of headers that differ from the default.
    #[serde(default)]
    pub headers: HeadersSection,
    /// Request classes by path prefix.
    #[serde(rename = "paths", default)]
    pub class_by_path: std::collections::BTreeMap<String, String>,
    /// Client timeout of a request that has no header for it, in milliseconds.
    #[serde(rename = "patience_ms", default = "ProcessorSection::default_client_timeout_ms")]
    pub client_timeout_ms: u64,
}

impl ProcessorSection {
    pub(super) fn resolve_paths(&mut self, folder: &Path) {
        resolve_optional(&mut self.key_file, folder);
    }

    pub(super) fn check(&self, checker: &mut Checker) {
        if !self.listen.get_ref().ip().is_loopback() && self.key_file.is_none() {
            let message = "unless 'listen' is a loopback address, a 'key_file' is needed, the same for all processors of the deployment";
            checker.report(self.listen.span(), message);
        }
        if !(5..=60_000).contains(self.message_timeout_ms.get_ref()) {
            let message =
                "'message_timeout_ms' must be from 5 to 60000, and the same as the proxies' message_timeout";
            checker.report(self.message_timeout_ms.span(), message);
        }
        checker.check_range(&self.tick_us, "tick_us", 50..=50_000);
        checker.check_range(&self.max_streams, "streams", 1..=1_000_000);
    }

    fn default_message_timeout_ms() -> Spanned<u64> {
        Spanned::new(0..0, 200)
    }

    fn default_tick_us() -> Spanned<u64> {
        Spanned::new(0..0, 250)
    }

    fn default_retry_window_ms() -> u64 {
        500
    }

    fn default_max_streams() -> Spanned<usize> {
        Spanned::new(0..0, 10_000)
    }

    fn default_max_remembered() -> usize {
        100_000
    }

    fn default_recovers() -> bool {
        true
    }

    fn default_client_timeout_ms() -> u64 {
        5000
    }

    /// The headers' names, with the default where the file gives none.
    pub fn header_names(&self) -> HeaderNames {
        let mut names = HeaderNames::default();
        let given = &self.headers;
        for (given, name) in [
            (&given.request_id, &mut names.request_id),
            (&given.request_class, &mut names.request_class),
            (&given.table_group, &mut names.table_group),
            (&given.client_timeout, &mut names.client_timeout),
            (&given.client_retry, &mut names.client_retry),
            (&given.attempt_count, &mut names.attempt_count),
            (&given.continuation_token, &mut names.continuation_token),
            (&given.engine_address, &mut names.engine_address),
            (&given.upstream_timeout, &mut names.upstream_timeout),
            (&given.outcome, &mut names.outcome),
        ] {
            if let Some(given) = given {
                *name = given.to_ascii_lowercase();
            }
        }
        // The first matching prefix counts, so the longest comes first.
        let class = |(prefix, class): (&String, &String)| PathClass {
            prefix: prefix.clone(),
            request_class: class.clone(),
        };
        names.path_classes = self.class_by_path.iter().map(class).collect();
        names.path_classes.sort_by_key(|class| std::cmp::Reverse(class.prefix.len()));
        names.default_client_timeout = Duration::from_millis(self.client_timeout_ms.max(1));
        names
    }
}

/// Behavior of proxies when they get no response in time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Fails")]
pub enum FailureMode {
    /// Forward the request (`failure_mode_allow`).
    Open,
    /// Respond with an error; the default.
    #[default]
    Closed,
}

/// `[processor.headers]`: names of headers, where they differ from the default; `HeaderNames` documents each header.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Headers")]
pub struct HeadersSection {
    #[serde(rename = "batch")]
    pub request_id: Option<String>,
    #[serde(rename = "service_group")]
    pub request_class: Option<String>,
    pub table_group: Option<String>,
    #[serde(rename = "patience")]
    pub client_timeout: Option<String>,
    #[serde(rename = "repeat")]
    pub client_retry: Option<String>,
    #[serde(rename = "attempt")]
    pub attempt_count: Option<String>,
    #[serde(rename = "ticket")]
    pub continuation_token: Option<String>,
    #[serde(rename = "engine")]
    pub engine_address: Option<String>,
    #[serde(rename = "time_limit")]
    pub upstream_timeout: Option<String>,
    pub outcome: Option<String>,
}
