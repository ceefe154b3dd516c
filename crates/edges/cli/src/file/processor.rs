//! `[processor]`.

use super::{Checker, resolve_optional};
use lemonusher_processor::{HeaderNames, PathClass};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// `[processor]`: the external processor. With it the front serves proxies alone: no listener for clients, no
/// connections to engines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Processor")]
pub struct ProcessorSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// The proxies' `message_timeout`, in milliseconds.
    #[serde(default = "ProcessorSection::default_message_timeout_ms")]
    pub message_timeout_ms: Spanned<u64>,
    /// What the proxies do when they get no response in time.
    #[serde(rename = "fails", default)]
    pub failure_mode: FailureMode,
    /// How much longer in all the proxies may be asked to wait (their `max_message_timeout`), in milliseconds.
    #[serde(rename = "more_time_ms", default)]
    pub max_timeout_extension_ms: u64,
    /// How long a proxy's retry is waited for, in milliseconds.
    #[serde(rename = "retry_within_ms", default = "ProcessorSection::default_retry_window_ms")]
    pub retry_window_ms: u64,
    /// File with the key that signs continuation tokens, the same for all processors of a deployment; without it
    /// tokens are valid for one process.
    pub key_file: Option<Spanned<PathBuf>>,
    /// Maximum number of open streams, over all proxies.
    #[serde(rename = "streams", default = "ProcessorSection::default_max_streams")]
    pub max_streams: Spanned<usize>,
    /// Maximum number of finished calls that are remembered.
    #[serde(rename = "remembered", default = "ProcessorSection::default_max_remembered")]
    pub max_remembered: usize,
    /// Whether the request's body holds the statement, from which its table group is read.
    #[serde(rename = "statement", default)]
    pub body_is_statement: bool,
    /// Whether engines count as just started at the start, as it is not known what proxies have in flight.
    #[serde(default = "ProcessorSection::default_recovers")]
    pub recovers: bool,
    /// Time between two decisions, in microseconds.
    #[serde(default = "ProcessorSection::default_tick_us")]
    pub tick_us: Spanned<u64>,
    /// Names of headers that are not the usual ones.
    #[serde(default)]
    pub headers: HeadersSection,
    /// Request classes by path prefix.
    #[serde(rename = "paths", default)]
    pub class_by_path: std::collections::BTreeMap<String, String>,
    /// Client timeout of a request that states none, in milliseconds.
    #[serde(rename = "patience_ms", default = "ProcessorSection::default_client_timeout_ms")]
    pub client_timeout_ms: u64,
}

impl ProcessorSection {
    pub(super) fn resolve_paths(&mut self, folder: &Path) {
        resolve_optional(&mut self.key_file, folder);
    }

    pub(super) fn check(&self, checker: &mut Checker) {
        if !self.listen.get_ref().ip().is_loopback() && self.key_file.is_none() {
            let message =
                "beyond loopback a 'key_file' is needed, the same for all processors of the deployment";
            checker.report(self.listen.span(), message);
        }
        if !(5..=60_000).contains(self.message_timeout_ms.get_ref()) {
            let message = "'message_timeout_ms' goes from 5 to 60000, as the proxies have it";
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

    /// The headers' names, the usual ones where none is given.
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
        // The longest prefix speaks first.
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

/// What proxies do when they get no response in time.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Fails")]
pub enum FailureMode {
    /// They forward the request (`failure_mode_allow`).
    Open,
    /// They answer with an error.
    #[default]
    Closed,
}

/// `[processor.headers]`: names of headers, if they are not the usual ones; `HeaderNames` says what each holds.
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
