//! The states of one call.

use crate::earlier_attempts::SeenAttempts;
use crate::messages::{GrantedAttempt, StreamId};
use lemonusher::{AttemptOutcome, Idempotency, RequestId};
use std::time::Duration;

/// Until when a response to a proxy is of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ResponseDeadline {
    /// Latest time to send the response.
    pub respond_by: Duration,
    /// From then on, the proxy's timer may have expired.
    pub proxy_timeout: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum CallState {
    /// The proxy waits for a response from this processor.
    AwaitingResponse {
        stream: StreamId,
        deadline: ResponseDeadline,
        /// Total extension of the proxy's timeout so far.
        total_extension: Duration,
    },
    /// The proxy was instructed to forward the request; no headers of the engine's response were received so far.
    InFlight { stream: StreamId, granted: GrantedAttempt },
    /// The headers of the engine's response were received and state this outcome; the stream has not ended.
    Responding { stream: StreamId, granted: GrantedAttempt, outcome: AttemptOutcome },
    /// The last attempt failed, and the proxy may retry.
    AwaitingRetry {
        /// The attempt for the retry, if one has been granted already.
        granted: Option<GrantedAttempt>,
        /// Time at which the call ends if no retry has arrived.
        until: Duration,
    },
}

/// A call that is not finished.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Call {
    pub state: CallState,
    pub idempotency: Idempotency,
    /// Number of attempts that the proxy was instructed to forward.
    pub forwarded_attempts: u32,
    /// The attempts that this processor has seen.
    pub seen: SeenAttempts,
    /// Whether an earlier attempt may have run, in this call or before it. Never reset to false.
    pub may_have_run: bool,
    /// Whether such an attempt was not forwarded by this processor, so that the request router does not know of it.
    /// Never reset to false.
    pub may_have_run_elsewhere: bool,
}

/// The timeout of a call's state. A call in `AwaitingResponse` or `AwaitingRetry` has exactly one; a call in
/// another state has none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Timeout {
    pub at: Duration,
    pub request: RequestId,
}
