//! Retries: the retry budget (safety rule 7), and the migration of an attempt in flight to another engine.
//!
//! **Retry budget.** Within any window of the configured length the number of attempts that are retries is
//! at most
//!
//! free_retries + retry_ratio × arrivals
//!
//! Inputs: the times of arrivals and of retries at this front. Arrivals are counted over the window less one
//! tick, retries over the window plus one tick, so that the budget holds wherever within a tick the window
//! starts.
//!
//! **Migration.** An attempt in flight is cancelled and its request queued again, provided that another
//! attempt is allowed, if
//! - its engine reports that the attempt waits for a bulk load, and the request is not a bulk load itself, or
//! - at its current pace the rest would take more than [`MIGRATE_FACTOR`] × the usual latency of its class.
//!
//! This guards against bad query plans, slow engines and hung requests. The work done so far is lost. From
//! attempt [`FIRST_ATTEMPT_NOT_MIGRATED`] on a slow attempt is not migrated, as the request is then taken to
//! be really large; an attempt that waits for a bulk load still is. An idempotent request that has had an
//! earlier attempt is given up instead if the slow attempt will not end before the client's deadline.

use crate::deployment::{Idempotency, RetryBudget};
use crate::endpoint::EngineId;
use crate::event::{AttemptProgress, RequestId};
use crate::gateway::Gateway;
use crate::request::{InFlight, RequestGoal};
use std::time::Duration;

/// An attempt is migrated if the rest of it would take more than this multiple of the class's usual latency.
const MIGRATE_FACTOR: f64 = 6.0;
/// From this attempt on, counted from 1, a slow attempt is not migrated. One that waits for a bulk load
/// still is.
const FIRST_ATTEMPT_NOT_MIGRATED: u32 = 3;
/// Lower limit of the reported share of work done; avoids a division by zero.
const MIN_SHARE_DONE: f64 = 1e-3;
/// Upper limit of the estimated time to the end of an attempt, in seconds.
const MAX_REMAINING_SECONDS: f64 = 1e6;

/// Times of arrivals and retries within the retry budget's window.
#[derive(Default)]
pub(crate) struct RetryWindow {
    arrivals: Vec<Duration>,
    retries: Vec<Duration>,
}

impl RetryWindow {
    pub(crate) fn record_arrival(&mut self, now: Duration) {
        self.arrivals.push(now);
    }

    pub(crate) fn record_retry(&mut self, now: Duration) {
        self.retries.push(now);
    }

    /// Whether the budget allows one more retry now.
    fn allows_retry(&mut self, now: Duration, budget: &RetryBudget, tick: Duration) -> bool {
        self.arrivals.retain(|at| *at + budget.window > now + tick);
        self.retries.retain(|at| *at + budget.window + tick >= now);
        let allowed = budget.free_retries + budget.retry_ratio * self.arrivals.len() as f64;
        (self.retries.len() + 1) as f64 <= allowed
    }
}

impl Gateway {
    /// Whether a retry may begin now.
    pub(crate) fn has_retry_budget(&mut self, now: Duration) -> bool {
        let Some(budget) = self.deployment.safety_rules.retry_budget else { return true };
        self.retries.allows_retry(now, &budget, self.deployment.tick)
    }

    /// Handles a progress report of an attempt.
    pub(crate) fn handle_progress(
        &mut self,
        now: Duration,
        id: &RequestId,
        attempt: u32,
        progress: AttemptProgress,
    ) {
        let Some(sequence) = self.requests.sequence_of(id) else { return };
        let Some(request) = self.requests.get(sequence) else { return };
        let current = |in_flight: &&InFlight| in_flight.attempt == attempt && !in_flight.cancelled;
        let Some(in_flight) = request.in_flight.as_ref().filter(current) else { return };
        let (sent_at, engine) = (in_flight.sent_at, in_flight.engine);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.last_seen = now;
        }
        match progress {
            AttemptProgress::WaitingForBulkLoad => self.handle_blocked_attempt(now, sequence, engine),
            AttemptProgress::Done(share) => self.handle_share_done(now, sequence, sent_at, share),
            AttemptProgress::Spilling(_) | AttemptProgress::WaitingForMemory => {}
        }
    }

    /// Handles a report that an attempt waits for a bulk load of its table group. If this front runs none
    /// there, the bulk load is another front's.
    fn handle_blocked_attempt(&mut self, now: Duration, sequence: u64, engine: EngineId) {
        let (table_group, class) = (self.requests[sequence].table_group, self.requests[sequence].class);
        let until = now + self.deployment.progress_interval;
        if let Some(engine) = self.engines.get_mut(&engine)
            && !engine.bulk_loads.contains_key(&table_group)
        {
            engine.other_fronts_bulk_loads.insert(table_group, until);
        }
        if !self.classes[class].config.bulk_load {
            self.migrate(sequence);
        }
    }

    fn handle_share_done(&mut self, now: Duration, sequence: u64, sent_at: Duration, share: f64) {
        let request = &self.requests[sequence];
        let class = &self.classes[request.class];
        let age = now.saturating_sub(sent_at).as_secs_f64();
        let total = age / share.clamp(MIN_SHARE_DONE, 1.0);
        let far_behind = total - age > MIGRATE_FACTOR * class.usual_latency();
        if !far_behind {
            return;
        }
        let end = now + Duration::from_secs_f64((total - age).min(MAX_REMAINING_SECONDS));
        let too_late = end > request.deadline && request.deadline != Duration::MAX;
        if request.attempts > 1 && too_late && class.config.idempotency == Idempotency::Idempotent {
            self.give_up(now, sequence);
        } else if request.attempts < FIRST_ATTEMPT_NOT_MIGRATED {
            self.migrate(sequence);
        }
    }

    /// Queues a request in flight for another attempt, if it may have one. `reconcile` then cancels the
    /// attempt in flight.
    fn migrate(&mut self, sequence: u64) {
        let capabilities = &self.deployment.capabilities;
        let Some(request) = self.requests.get_mut(sequence) else { return };
        if request.deadline == Duration::MAX || request.finished {
            return;
        }
        let non_idempotent = self.classes[request.class].config.idempotency == Idempotency::NonIdempotent;
        if capabilities.cancel && !non_idempotent && request.attempts < capabilities.max_attempts.max(1) {
            request.goal = RequestGoal::Queued;
            self.changed.insert(sequence);
        }
    }
}
