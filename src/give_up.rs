//! Give-up: decides when a request gets no further attempt, and how its client is answered.
//!
//! A request is given up
//! - [`RESPONSE_MARGIN_TICKS`] ticks before its deadline or before the shutdown of this front, even if it is
//!   in flight;
//! - while queued, once [`START_BY_SHARE`] of its objective has passed, as it would be late anyway (all of
//!   the objective if it has an ordering key, as it may have to wait for other requests of the key). The
//!   objective is the latency objective plus the part for the request's work;
//! - while queued, once repeats of it are no longer sure to be dropped (`idempotency`);
//! - when an attempt has failed and no other attempt is allowed.
//!
//! A request that was sent before, or that is a retry of its client, may be queued for the same share of
//! what is left of its objective, counted from the end of its last attempt. Otherwise nearly every migrated
//! request would be rejected. This applies only in many-front mode ([`Gateway::many_fronts`]) with load
//! probes, while the slow share is below [`MAX_SLOW_SHARE_FOR_RETRIES`] and more than
//! [`MIN_USUAL_LATENCIES_LEFT`] usual latencies are left.
//!
//! The client gets a rejection with a retry-after time if it may safely retry, or else a failure.

use crate::gateway::Gateway;
use crate::overload::SlowAttempt;
use crate::request::{Request, RequestGoal};
use std::time::Duration;

/// The share of the objective within which an attempt has to begin.
const START_BY_SHARE: f64 = 0.25;
/// A retry is queued for longer only if more than this many usual latencies of its class are left of its
/// objective.
const MIN_USUAL_LATENCIES_LEFT: f64 = 3.0;
/// A retry is queued for longer only while the slow share is below this.
const MAX_SLOW_SHARE_FOR_RETRIES: f64 = 0.2;
/// The retry-after time of a rejection, as a share of the latency objective without the part for work.
const RETRY_AFTER_SHARE: f64 = 0.5;
/// A request is given up this many ticks before its deadline or the shutdown, so that its client gets the
/// response in time.
const RESPONSE_MARGIN_TICKS: u32 = 2;

impl Gateway {
    /// Gives up requests that can no longer be answered at all or in time, and counts attempts that have
    /// become slow. Returns the time at which the next request has to be given up.
    pub(crate) fn give_up_late_requests(&mut self, now: Duration) -> Duration {
        let extend_retries = self.may_extend_retries();
        let mut due = Duration::MAX;
        let mut late: Vec<u64> = Vec::new();
        let mut slow: Vec<SlowAttempt> = Vec::new();
        for (sequence, request) in self.requests.iter().filter(|(_, request)| !request.finished) {
            slow.extend(self.newly_slow_attempt(now, sequence, request));
            let give_up_at = self.give_up_at(request, extend_retries);
            if give_up_at <= now {
                late.push(sequence);
            } else {
                due = due.min(give_up_at);
            }
        }
        for slow in slow {
            self.record_slow_attempt(now, &slow);
        }
        for sequence in late {
            self.give_up(now, sequence);
        }
        due
    }

    /// Whether retries may be queued for a share of what is left of their objective.
    fn may_extend_retries(&self) -> bool {
        self.many_fronts() && self.can_probe_load() && self.slow_share.value() < MAX_SLOW_SHARE_FOR_RETRIES
    }

    fn give_up_at(&self, request: &Request, extend_retries: bool) -> Duration {
        let response_margin = self.deployment.tick * RESPONSE_MARGIN_TICKS;
        let end = request.deadline.min(self.shutdown_deadline.unwrap_or(Duration::MAX));
        let answer_by = end.saturating_sub(response_margin);
        if request.in_flight.is_some() {
            return answer_by;
        }
        let deduplicated_until = self.deduplicated_until(request).unwrap_or(Duration::MAX);
        answer_by.min(self.start_by(request, extend_retries)).min(deduplicated_until)
    }

    /// The time by which a queued request has to begin an attempt.
    fn start_by(&self, request: &Request, extend_retries: bool) -> Duration {
        let class = &self.classes[request.class];
        let share = if request.key.is_some() { 1.0 } else { START_BY_SHARE };
        let objective = request.first_arrival + Duration::from_secs_f64(class.objective(class.work.mean()));
        let start_by = request.first_arrival + objective.saturating_sub(request.first_arrival).mul_f64(share);
        let left = objective.saturating_sub(request.last_attempt_ended);
        let enough_left = left.as_secs_f64() > MIN_USUAL_LATENCIES_LEFT * class.usual_latency();
        if request.is_retried() && extend_retries && enough_left {
            start_by.max(request.last_attempt_ended + left.mul_f64(share))
        } else {
            start_by
        }
    }

    /// Gives up a request whose attempt has ended without a response, if it may have no other attempt.
    pub(crate) fn give_up_if_no_attempt_left(&mut self, now: Duration, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        let no_attempt_left = self.may_not_be_sent_again(now, request)
            || request.attempts >= self.deployment.capabilities.max_attempts.max(1);
        if no_attempt_left && request.in_flight.is_none() && request.goal == RequestGoal::Queued {
            self.give_up(now, sequence);
        }
    }

    /// Gives up a request: it is rejected if its client may safely retry, or else it fails.
    pub(crate) fn give_up(&mut self, now: Duration, sequence: u64) {
        let Some(request) = self.requests.get(sequence) else { return };
        // A client that honours the retry-after time does not retry before this.
        let retry_at = now + self.retry_after(request.class).unwrap_or_default();
        let safe = self.client_may_retry(request, retry_at);
        let goal = if safe { RequestGoal::Rejected } else { RequestGoal::Failed };
        if let Some(request) = self.requests.get_mut(sequence) {
            request.goal = goal;
        }
        self.changed.insert(sequence);
    }

    /// The retry-after time of a rejection; `None` if the deployment does not allow one.
    pub(crate) fn retry_after(&self, class: usize) -> Option<Duration> {
        let capabilities = &self.deployment.capabilities;
        let objective = self.classes[class].config.latency_objective;
        let wait = objective.mul_f64(RETRY_AFTER_SHARE).min(capabilities.max_retry_after);
        capabilities.retry_after.then_some(wait)
    }
}
