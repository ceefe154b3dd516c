//! The scan: one pass over the queued requests, oldest first, that chooses an engine for each.
//!
//! A request is considered if
//! - it is the first in its key's queue;
//! - its next admission draw is due; or else an attempt has ended or a probe was answered since the last
//!   scan, and admission control has not refused the request;
//! - it was never sent, or the retry budget allows a retry.
//!
//! A request for which no engine is found draws again after [`REDRAW_INTERVAL`] of its latency objective.

use crate::action::Action;
use crate::gateway::Gateway;
use crate::request::RequestGoal;
use std::time::Duration;

/// The time between two admission draws of a request, as a share of its latency objective.
pub(crate) const REDRAW_INTERVAL: f64 = 0.05;

impl Gateway {
    /// Sends the requests for which an engine is found. Returns the time at which the next scan is due.
    pub(crate) fn scan(&mut self, now: Duration, actions: &mut Vec<Action>) -> Duration {
        let attempt_ended = std::mem::take(&mut self.attempt_ended);
        self.candidate_cache.clear();
        self.key_queues.drop_idle(now);
        let queued = self.requests.queued();
        self.reserve_for_oldest(now, &queued);
        for sequence in queued {
            if self.is_considered(now, sequence, attempt_ended) {
                self.place(now, sequence, actions);
            }
        }
        let next_draws =
            self.requests.iter().map(|(_, request)| request).filter(|request| request.is_queued());
        let next_scan = now + self.deployment.tick;
        next_draws.map(|request| request.next_admission_draw.max(next_scan)).min().unwrap_or(Duration::MAX)
    }

    fn is_considered(&mut self, now: Duration, sequence: u64, attempt_ended: bool) -> bool {
        let request = &self.requests[sequence];
        let is_next = request.key.is_none_or(|key| self.key_queues.is_next(now, key, sequence));
        let draws = request.next_admission_draw <= now || (attempt_ended && !request.admission_refused);
        let retry = request.attempts > 0;
        is_next && draws && (!retry || self.has_retry_budget(now))
    }

    fn place(&mut self, now: Duration, sequence: u64, actions: &mut Vec<Action>) {
        let class = &self.classes[self.requests[sequence].class];
        let redraw_at = now + class.config.latency_objective.mul_f64(REDRAW_INTERVAL);
        let engine = self.choose_engine(now, sequence);
        let Some(request) = self.requests.get_mut(sequence) else { return };
        match engine {
            Some(engine) => {
                request.goal = RequestGoal::SentTo(engine);
                self.changed.insert(sequence);
                self.reconcile(now, actions);
            }
            None => request.next_admission_draw = redraw_at,
        }
    }
}
