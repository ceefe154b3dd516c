//! The rule that decides whether a message shows an attempt that this processor knows nothing about.
//!
//! Inputs are the proxy's attempt count, the continuation token and the client's retry mark of the message, and the
//! attempts that this processor has seen. Other processors of the deployment serve the same requests, so what this
//! one remembers proves nothing about an attempt that it has not seen: such an attempt may have run.

use crate::messages::{AttemptToken, CallRequest, TokenEvidence};

/// The attempts of a request that this processor has seen, by what identifies the proxy's next retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct SeenAttempts {
    /// The proxy's attempt count of the last one.
    last_count: u32,
    /// Whether the client marked the request as a retry. All attempts that a proxy makes of a request have the
    /// same mark.
    client_retry: bool,
    /// The last one that the proxy was instructed to forward. The proxy's retry has its continuation token.
    forwarded: Option<AttemptToken>,
}

impl SeenAttempts {
    /// Returns the attempts seen when a call begins with this message. `earlier` are those of an earlier call.
    pub(crate) fn begin(message: &CallRequest, earlier: Option<SeenAttempts>) -> SeenAttempts {
        let mut seen =
            SeenAttempts { last_count: message.attempt, client_retry: message.client_retry, forwarded: None };
        if shows_earlier_attempt(message) {
            seen.forwarded = earlier.and_then(|earlier| earlier.forwarded);
        }
        seen
    }

    /// Adds the attempt that a message announces.
    pub(crate) fn add(&mut self, message: &CallRequest) {
        *self = SeenAttempts::begin(message, Some(*self));
    }

    /// Records that the proxy was instructed to forward the last attempt.
    pub(crate) fn forward(&mut self, token: AttemptToken) {
        self.forwarded = Some(token);
    }

    /// Returns whether a retry of these attempts must have a continuation token.
    pub(crate) fn have_token(&self) -> bool {
        self.forwarded.is_some()
    }

    /// Returns whether a message shows no other attempts than these: it shows none at all, or it is the proxy's
    /// retry that follows the last of them.
    pub(crate) fn explain(&self, message: &CallRequest) -> bool {
        !shows_earlier_attempt(message) || self.are_followed_by(message)
    }

    fn are_followed_by(&self, message: &CallRequest) -> bool {
        let is_next = self.last_count.checked_add(1) == Some(message.attempt);
        let has_expected_token = match (message.token, self.forwarded) {
            (TokenEvidence::Absent, None) => message.client_retry == self.client_retry,
            (TokenEvidence::ForwardedHere(token), Some(forwarded)) => token == forwarded,
            _ => false,
        };
        is_next && has_expected_token
    }
}

/// Returns whether a message shows that its proxy has tried the request before.
pub(crate) fn shows_earlier_attempt(message: &CallRequest) -> bool {
    message.attempt > 1 || message.token != TokenEvidence::Absent
}
