//! Stores for a limited time whether a finished call's request may have run, so that a late retry is not
//! forwarded again unless the request is idempotent.

use crate::earlier_attempts::{SeenAttempts, shows_earlier_attempt};
use crate::messages::CallRequest;
use lemonusher::RequestId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Whether the request of a finished call may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum FinishedOutcome {
    /// None of these attempts ran. Nothing is known of any other. Without them, only a new request of a client that
    /// was invited to retry is known to be safe.
    NeverRan(Option<SeenAttempts>),
    /// An attempt ran, or may have run.
    MayHaveRun,
}

impl FinishedOutcome {
    pub(crate) fn of(may_have_run: bool, seen: SeenAttempts) -> FinishedOutcome {
        if may_have_run { FinishedOutcome::MayHaveRun } else { FinishedOutcome::NeverRan(Some(seen)) }
    }
}

/// What the finished calls and a message tell together about earlier attempts of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EarlierAttempts {
    /// None ran. These are the ones that this processor has seen, if any.
    NeverRan(Option<SeenAttempts>),
    /// One ran, or may have run.
    MayHaveRun,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FinishedCall {
    outcome: FinishedOutcome,
    finished_at: Duration,
    expires_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Expiry {
    expires_at: Duration,
    request: RequestId,
}

/// Finished calls, limited in number and age.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct FinishedCalls {
    retention: Duration,
    /// How long after a call a message without a continuation token can be the proxy's retry.
    retry_window: Duration,
    max_entries: usize,
    by_request: BTreeMap<RequestId, FinishedCall>,
    /// Expiry times in ascending order. An entry is obsolete if its request's call has finished again since.
    expiries: VecDeque<Expiry>,
}

impl FinishedCalls {
    pub(crate) fn new(retention: Duration, retry_window: Duration, max_entries: usize) -> FinishedCalls {
        FinishedCalls {
            retention,
            retry_window,
            max_entries,
            by_request: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Returns what is known about earlier attempts when a message arrives about a request without an open call.
    pub(crate) fn earlier_attempts(&self, now: Duration, message: &CallRequest) -> EarlierAttempts {
        let Some(call) = self.by_request.get(&message.request) else {
            return match shows_earlier_attempt(message) {
                true => EarlierAttempts::MayHaveRun,
                false => EarlierAttempts::NeverRan(None),
            };
        };
        match call.outcome {
            FinishedOutcome::NeverRan(seen) if self.is_explained(now, call, seen, message) => {
                EarlierAttempts::NeverRan(seen)
            }
            _ => EarlierAttempts::MayHaveRun,
        }
    }

    /// Returns whether a message shows no other attempts than those that a finished call has seen. Without a token
    /// only the time tells the proxy's retry from an attempt of a client that came back.
    fn is_explained(
        &self,
        now: Duration,
        call: &FinishedCall,
        seen: Option<SeenAttempts>,
        message: &CallRequest,
    ) -> bool {
        if !shows_earlier_attempt(message) {
            return true;
        }
        let is_in_time = now <= call.finished_at + self.retry_window;
        seen.is_some_and(|seen| seen.explain(message) && (is_in_time || seen.have_token()))
    }

    pub(crate) fn insert(&mut self, now: Duration, request: RequestId, outcome: FinishedOutcome) {
        let expires_at = now + self.retention;
        self.by_request.insert(request.clone(), FinishedCall { outcome, finished_at: now, expires_at });
        self.expiries.push_back(Expiry { expires_at, request });
        while self.expiries.len() > self.max_entries {
            self.remove_oldest();
        }
    }

    pub(crate) fn remove_expired(&mut self, now: Duration) {
        while self.expiries.front().is_some_and(|expiry| expiry.expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some(expiry) = self.expiries.pop_front() else { return };
        let is_current =
            self.by_request.get(&expiry.request).is_some_and(|call| call.expires_at == expiry.expires_at);
        if is_current {
            self.by_request.remove(&expiry.request);
        }
    }
}
