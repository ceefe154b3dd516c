//! Stores for a limited time whether a finished call's request may have run, so that a late retry is not
//! forwarded again unless the request is idempotent.

use lemonusher::RequestId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Whether the request of a finished call may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinishedOutcome {
    /// No attempt ran.
    NeverRan,
    /// An attempt ran, or may have run.
    MayHaveRun,
}

impl FinishedOutcome {
    pub(crate) fn of(may_have_run: bool) -> FinishedOutcome {
        if may_have_run { FinishedOutcome::MayHaveRun } else { FinishedOutcome::NeverRan }
    }
}

#[derive(Debug)]
struct FinishedCall {
    outcome: FinishedOutcome,
    expires_at: Duration,
}

#[derive(Debug)]
struct Expiry {
    expires_at: Duration,
    request: RequestId,
}

/// Finished calls, limited in number and age.
#[derive(Debug)]
pub(crate) struct FinishedCalls {
    retention: Duration,
    max_entries: usize,
    by_request: BTreeMap<RequestId, FinishedCall>,
    /// Expiry times in ascending order. An entry is obsolete if its request's call has finished again since.
    expiries: VecDeque<Expiry>,
}

impl FinishedCalls {
    pub(crate) fn new(retention: Duration, max_entries: usize) -> FinishedCalls {
        FinishedCalls { retention, max_entries, by_request: BTreeMap::new(), expiries: VecDeque::new() }
    }

    pub(crate) fn outcome(&self, request: &RequestId) -> Option<FinishedOutcome> {
        self.by_request.get(request).map(|call| call.outcome)
    }

    pub(crate) fn insert(&mut self, now: Duration, request: RequestId, outcome: FinishedOutcome) {
        let expires_at = now + self.retention;
        self.by_request.insert(request.clone(), FinishedCall { outcome, expires_at });
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
