//! The states of one call.

use crate::messages::{AttemptToken, StreamId};
use lemonusher::{AttemptOutcome, EngineId, Idempotency, RequestId};
use std::time::Duration;

/// An attempt that the request router has granted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GrantedAttempt {
    pub token: AttemptToken,
    pub engine: EngineId,
    pub upstream_timeout: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CallState {
    /// The proxy waits for a response.
    AwaitingResponse {
        stream: StreamId,
        /// When the response has to be sent at the latest.
        respond_by: Duration,
        /// By how much the proxy's timeout has been extended already.
        extended: Duration,
    },
    /// The proxy has been told to forward the request; the engine's response has not begun.
    InFlight { stream: StreamId, granted: GrantedAttempt },
    /// The engine's response has begun, with this outcome; the stream has not ended.
    Responding { stream: StreamId, granted: GrantedAttempt, outcome: AttemptOutcome },
    /// An attempt has failed, and the proxy may retry.
    AwaitingRetry {
        /// The attempt that the retry will be given, if one has been granted already.
        granted: Option<GrantedAttempt>,
        /// When the retry is no longer waited for.
        until: Duration,
    },
}

/// A request that is not finished.
#[derive(Debug)]
pub(crate) struct Call {
    pub state: CallState,
    pub idempotency: Idempotency,
    /// Attempts that the proxy was told to forward.
    pub forwarded: u32,
    /// Whether an attempt may have run. Once true, it stays so.
    pub may_have_run: bool,
}

/// The time at which a call's state has to change without an event. A call in `AwaitingResponse` or `AwaitingRetry`
/// has exactly one, in another state none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timeout {
    pub at: Duration,
    pub request: RequestId,
}
