//! The rule for a request that gets no verdict: the response to its proxy, and what is stored about its attempts.
//!
//! A proxy that fails closed forwards nothing without a verdict, so the attempt never ran. A proxy that fails open
//! forwards the request by itself once its timer has expired, and this processor does not learn whether it read the
//! rejection before that. So a rejection that may come too late proves nothing, and no rejection explains the
//! proxy's next attempt: the attempt before it may have been forwarded without a verdict. A client that comes back
//! because it was told to proves that the rejection was read in time.

use crate::earlier_attempts::SeenAttempts;
use crate::finished::FinishedOutcome;
use crate::messages::CallResponse;
use std::time::Duration;

/// A request that gets no verdict.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unanswered {
    /// The attempts that this processor has seen.
    pub seen: SeenAttempts,
    /// Whether an attempt before this one may have run.
    pub may_have_run: bool,
    /// Whether such an attempt makes a retry unsafe.
    pub may_not_run_again: bool,
    /// From then on, the proxy's timer may have expired.
    pub proxy_timeout: Duration,
    /// Whether the proxy forwards the request when it gets no response in time.
    pub failure_mode_allow: bool,
}

/// The response to the proxy, and what is stored.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Rejection {
    pub response: CallResponse,
    pub outcome: FinishedOutcome,
}

impl Unanswered {
    /// Rejects the request if a retry is safe; otherwise it fails.
    pub(crate) fn reject(self, now: Duration, retry_after: Option<Duration>) -> Rejection {
        let is_too_late = self.failure_mode_allow && now >= self.proxy_timeout;
        let may_have_run = self.may_have_run || is_too_late;
        let response = match may_have_run && self.may_not_run_again {
            true => CallResponse::Fail,
            false => CallResponse::Reject { retry_after },
        };
        let outcome = match may_have_run {
            true => FinishedOutcome::MayHaveRun,
            false => FinishedOutcome::NeverRan((!self.failure_mode_allow).then_some(self.seen)),
        };
        Rejection { response, outcome }
    }
}
