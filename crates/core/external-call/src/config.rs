//! Configuration of external processing calls.

use lemonusher::Idempotency;
use std::time::Duration;

/// The settings of the proxies that matter to their calls, and the limits of this processor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallConfig {
    /// The proxies' `message_timeout`: how long a proxy waits for the response to a message.
    pub message_timeout: Duration,
    /// The proxies' `failure_mode_allow`: whether a proxy forwards a request when it gets no response in time.
    pub failure_mode_allow: bool,
    /// Maximum total extension of the message timeout for one call (the proxies' `max_message_timeout`); zero
    /// if extensions are not allowed.
    pub max_timeout_extension: Duration,
    /// How long a call stays open after a failed attempt, waiting for the proxy's retry.
    pub retry_window: Duration,
    /// How long the outcome of a finished call is kept. Must be at least the longest deadline of any request,
    /// so that every retry arrives within it.
    pub unknown_outcome_retention: Duration,
    /// Whether requests may run twice, by request class. A missing class is treated as non-idempotent.
    pub idempotency: Vec<Idempotency>,
    /// Maximum number of open calls; further requests are rejected.
    pub max_calls: usize,
    /// Maximum number of finished calls whose outcome is kept; the oldest is dropped first.
    pub max_finished_calls: usize,
}
