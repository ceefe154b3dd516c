//! Messages that the call state machine exchanges with proxies and with the request router.

use lemonusher::{AttemptOutcome, EngineId, RequestId};
use std::time::Duration;

/// Number that identifies one gRPC stream between a proxy and this processor.
pub type StreamId = u64;
/// Number that identifies one attempt, assigned by the request router.
pub type AttemptToken = u64;

/// What the continuation token of a request shows about an earlier attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum TokenEvidence {
    /// The request has no token.
    #[default]
    Absent,
    /// This processor instructed the proxy to forward this attempt.
    ForwardedHere(AttemptToken),
    /// Another processor instructed the proxy to forward an attempt, or an earlier process of this one did, or the token
    /// can't be verified.
    ForwardedElsewhere,
}

/// A proxy's call about a request: the first message of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallRequest {
    /// The stream of the call, on which the response is sent.
    pub stream: StreamId,
    /// The request's id, the same for all its attempts.
    pub request: RequestId,
    /// Index of its class in the deployment.
    pub request_class: usize,
    /// Number of the table group that it reads.
    pub table_group: u64,
    /// Client timeout.
    pub client_timeout: Duration,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// The proxy's attempt count, from 1 for the first attempt.
    pub attempt: u32,
    /// What its continuation token shows about an earlier attempt.
    pub token: TokenEvidence,
    /// Time that its message has waited in the queue since it was received.
    pub queued: Duration,
}

/// An attempt that the request router grants to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GrantedAttempt {
    /// Its number.
    pub token: AttemptToken,
    /// The engine that it goes to.
    pub engine: EngineId,
    /// Its deadline: it is not forwarded at this time or later, and the proxy waits for the engine's response until
    /// then.
    pub until: Duration,
    /// It may not start at this time or later; none sets no such limit.
    pub start_by: Option<Duration>,
}

impl GrantedAttempt {
    /// Returns whether the proxy may be instructed at `now` to forward it.
    pub(crate) fn may_start(&self, now: Duration) -> bool {
        now < self.until && self.start_by.is_none_or(|start_by| now < start_by)
    }
}

/// A response to the proxy: what it is to do with the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CallResponse {
    /// Forward the request to an engine.
    Forward {
        /// The engine.
        engine: EngineId,
        /// The attempt, which the continuation token names.
        token: AttemptToken,
        /// How long the proxy waits for the engine's response.
        upstream_timeout: Duration,
        /// Index among the attempts that the proxy was instructed to forward in this call, from 0.
        attempt: u32,
    },
    /// Respond to the client that the request did not run and a retry is safe.
    Reject {
        /// How long the client should wait before a retry, if known.
        retry_after: Option<Duration>,
    },
    /// Respond to the client that the request failed; it may have run.
    Fail,
    /// Wait for the response for this duration from now on.
    ExtendTimeout(Duration),
}

/// The request router's final response to a request, other than an engine's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResponse {
    /// Rejected without effect.
    Rejected {
        /// How long the client should wait before a retry, if known.
        retry_after: Option<Duration>,
    },
    /// Failed; it may have run.
    Failed,
}

/// An action for the caller. Actions must be executed in the order given.
#[derive(Debug, Clone)]
pub enum CallAction {
    /// Submit the request to the request router.
    Submit(CallRequest),
    /// Cancel the request at the request router: no client waits for it any more.
    Cancel(RequestId),
    /// Report the outcome of an attempt to the request router. Issued once for each attempt.
    EndAttempt {
        /// The attempt.
        token: AttemptToken,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Send a response to the proxy.
    Respond {
        /// The stream on which it is sent.
        stream: StreamId,
        /// The response.
        response: CallResponse,
    },
}
