//! Arrivals: a request is queued, and the time at which its client first sent it is estimated.
//!
//! A try is one arrival of a request from its client. A client that retries gives each try only what is left
//! of the deadline. The age of a retry is the class's deadline minus the client timeout. The age counts
//! against the request's objective, so that no work is spent on a response that comes too late.
//!
//! A retry is recognized by the client's mark, if the deployment's clients mark retries. Otherwise it is
//! recognized by a client timeout that differs from the usual one of first tries by at least
//! [`TIMEOUT_TOLERANCE`] of the deadline. In either case a request with a short client timeout, of at most
//! [`SHORT_CLIENT_TIMEOUT`] of the deadline, is taken for a first try.

use crate::event::Arrival;
use crate::gateway::Gateway;
use crate::request::Request;
use crate::request_class::UsualTimeout;
use std::time::Duration;

/// Two client timeouts are taken for equal if they differ by less than this share of the deadline.
const TIMEOUT_TOLERANCE: f64 = 0.005;
/// Weight of a vote against the usual timeout. A vote for it has weight 1.
const VOTE_WEIGHT_AGAINST: f64 = 0.25;
/// A client timeout of at most this share of the deadline is not taken for that of a retry.
const SHORT_CLIENT_TIMEOUT: f64 = 0.25;
/// The priority that engines assume for a request before one is set.
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
        self.add_probe_credit();
        let class = arrival.request_class.min(self.classes.len().saturating_sub(1));
        let sequence = self.requests.allocate();
        let key = arrival.key.filter(|_| self.classes[class].config.ordered);
        if let Some(key) = key {
            self.key_queues.push(key, sequence);
        }
        self.subsets.shedding.record_arrival();
        self.traffic.record(now, arrival.table_group, self.derived_times.max_deadline);
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

    /// The time since the client first sent the request.
    fn age_of(&mut self, class: usize, arrival: &Arrival) -> Duration {
        let class = &mut self.classes[class];
        let deadline = class.config.deadline;
        class.first_try_timeout.vote(arrival.client_timeout, deadline);
        let retry = if self.deployment.retries_marked {
            arrival.client_retry
        } else {
            !class.first_try_timeout.is_usual(arrival.client_timeout, deadline)
        };
        if retry && arrival.client_timeout > deadline.mul_f64(SHORT_CLIENT_TIMEOUT) {
            deadline.saturating_sub(arrival.client_timeout)
        } else {
            Duration::ZERO
        }
    }
}

impl UsualTimeout {
    fn is_usual(&self, timeout: Duration, deadline: Duration) -> bool {
        self.timeout.abs_diff(timeout) < deadline.mul_f64(TIMEOUT_TOLERANCE)
    }

    /// Counts one vote for or against the usual timeout. Once no votes are left, `timeout` becomes the usual one.
    fn vote(&mut self, timeout: Duration, deadline: Duration) {
        self.votes += if self.is_usual(timeout, deadline) { 1.0 } else { -VOTE_WEIGHT_AGAINST };
        if self.votes <= 0.0 {
            *self = UsualTimeout { timeout, votes: 1.0 };
        }
    }
}
