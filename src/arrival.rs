//! A request arrives: it is queued, and it is worked out when its client first asked.
//!
//! A client that retries gives each try what is left of its deadline. A retry is told by its mark where clients mark them, or else by a
//! timeout that differs from the usual one of first tries by more than [`TIMEOUT_TOLERANCE`] of the deadline. A retry is as
//! old as its timeout is shorter than the deadline, so that it is not served when it comes too late to count. A timeout under
//! [`HURRIED_TIMEOUT`] of the deadline is a first try's in a hurry.

use crate::event::Arrival;
use crate::gateway::Gateway;
use crate::request::Request;
use crate::request_class::UsualTimeout;
use std::time::Duration;

/// Timeouts are alike within this share of the deadline.
const TIMEOUT_TOLERANCE: f64 = 0.005;
/// What a timeout that is not alike counts against the usual one; one that is alike counts 1 for it.
const TIMEOUT_VOTE_AGAINST: f64 = 0.25;
/// A timeout under this share of the deadline is not taken for a retry's.
const HURRIED_TIMEOUT: f64 = 0.25;
/// The priority that engines take a request to have before they are given one.
const INITIAL_PRIORITY: u8 = 1;

impl Gateway {
    /// Queues a request.
    pub(crate) fn handle_arrival(&mut self, now: Duration, arrival: Arrival) {
        if self.classes.is_empty() {
            return;
        }
        if self.deployment.safety_rules.retry_budget.is_some() {
            self.retries.record_arrival(now);
        }
        self.earn_probe_credit();
        let class = arrival.request_class.min(self.classes.len().saturating_sub(1));
        let sequence = self.requests.allocate();
        let key = arrival.key.filter(|_| self.classes[class].config.ordered);
        if let Some(key) = key {
            self.key_queues.push(key, sequence);
        }
        self.subsets.shedding.arrived();
        self.traffic.record(now, arrival.table_group, self.spans.max_deadline);
        let age = self.age_of(class, &arrival);
        let request = Request {
            first_arrival: now.saturating_sub(age),
            id: arrival.request,
            class,
            table_group: arrival.table_group,
            key,
            arrived_at: now,
            last_attempt_ended: now,
            deadline: now + arrival.client_timeout,
            priority: INITIAL_PRIORITY,
            next_admission_draw: now,
            shed_draw: self.random.draw(),
            ..Request::default()
        };
        self.requests.insert(sequence, request);
    }

    /// How long ago the client first asked.
    fn age_of(&mut self, class: usize, arrival: &Arrival) -> Duration {
        let class = &mut self.classes[class];
        let deadline = class.config.deadline;
        class.first_try_timeout.vote(arrival.client_timeout, deadline);
        let retry = if self.deployment.retries_marked {
            arrival.client_retry
        } else {
            !class.first_try_timeout.is_alike(arrival.client_timeout, deadline)
        };
        if retry && arrival.client_timeout > deadline.mul_f64(HURRIED_TIMEOUT) {
            deadline.saturating_sub(arrival.client_timeout)
        } else {
            Duration::ZERO
        }
    }
}

impl UsualTimeout {
    fn is_alike(&self, timeout: Duration, deadline: Duration) -> bool {
        self.timeout.abs_diff(timeout) < deadline.mul_f64(TIMEOUT_TOLERANCE)
    }

    /// Votes for the usual timeout or against it; one without votes left is replaced.
    fn vote(&mut self, timeout: Duration, deadline: Duration) {
        self.votes += if self.is_alike(timeout, deadline) { 1.0 } else { -TIMEOUT_VOTE_AGAINST };
        if self.votes <= 0.0 {
            *self = UsualTimeout { timeout, votes: 1.0 };
        }
    }
}
