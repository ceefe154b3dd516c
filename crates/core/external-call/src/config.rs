//! Configuration of external processing calls.

use lemonusher::Idempotency;
use std::time::Duration;

/// The proxies' configuration, as far as it matters here, and the bounds of this processor.
#[derive(Debug, Clone)]
pub struct CallConfig {
    /// The proxies' `message_timeout`: how long they wait for the response to a message.
    pub message_timeout: Duration,
    /// The proxies' `failure_mode_allow`: whether a request is forwarded although no response came in time.
    pub failure_mode_allow: bool,
    /// How much longer in all a proxy may be asked to wait (its `max_message_timeout`); zero if it allows none.
    pub max_timeout_extension: Duration,
    /// How long after a failed attempt the proxy's retry is waited for.
    pub retry_window: Duration,
    /// How long the outcome of a finished call is remembered. At least the longest deadline of any request, so that
    /// no retry comes later.
    pub unknown_outcome_retention: Duration,
    /// Whether requests may run twice, by request class. A class that is missing is taken as non-idempotent.
    pub idempotency: Vec<Idempotency>,
    /// Maximum number of open calls; a request beyond it is rejected.
    pub max_calls: usize,
    /// Maximum number of finished calls that are remembered; the oldest is dropped first.
    pub max_remembered: usize,
}
