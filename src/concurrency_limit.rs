//! Adaptive concurrency limit of one front at one engine: additive increase, multiplicative decrease.
//!
//! Inputs: the latency of each attempt that returned, and its latency objective. A response that takes more
//! than [`PRESSURE_SHARE`] of the objective shows pressure, whatever the cause: other fronts, other
//! programs, slow cores or lack of memory.
//!
//! - With pressure, the limit (in threads) is multiplied by [`DECREASE_FACTOR`], at most once in
//!   [`DECREASE_INTERVAL`].
//! - Without pressure, if the limit is in use, it grows by [`INCREASE_STEP`] threads per limit's worth of
//!   responses.
//!
//! The limit starts at this front's share of the threads of an engine that counts as not loaded
//! (`admission`).
//!
//! The limit guards against overload by other fronts, whose requests this front can't see. The drawback: a
//! request that is slow for a reason of its own also lowers the limit for some time.

use crate::engine::{Engine, PRIORITIES};
use std::time::Duration;

/// A response that takes more than this share of the latency objective shows pressure.
const PRESSURE_SHARE: f64 = 0.4;
/// The limit is multiplied by this when it is decreased.
const DECREASE_FACTOR: f64 = 0.6;
/// The shortest time between two decreases, as a share of the shortest latency objective.
const DECREASE_INTERVAL: f64 = 0.5;
/// Threads by which the limit grows per limit's worth of responses without pressure.
const INCREASE_STEP: f64 = 0.5;
/// The lowest limit, in threads.
const MIN_LIMIT: f64 = 0.5;
/// Weights by which engines divide cores and disks that are short among the priorities, relative to the
/// lowest one.
const PRIORITY_SHARES: [f64; PRIORITIES] = [1.0, 4.0, 8.0, 16.0];

/// Parameters of a limit's adjustment.
pub(crate) struct LimitParameters {
    /// The highest limit, in threads.
    pub(crate) max_threads: f64,
    /// The shortest latency objective of all classes.
    pub(crate) min_objective: Duration,
}

/// Whether a response shows pressure. `latency` and `objective` are in seconds.
pub(crate) fn shows_pressure(latency: f64, objective: f64) -> bool {
    latency > objective * PRESSURE_SHARE
}

impl Engine {
    /// Adjusts the limit after a response to a request that runs on `threads` threads.
    pub(crate) fn adjust_concurrency_limit(
        &mut self,
        now: Duration,
        pressure: bool,
        threads: f64,
        parameters: &LimitParameters,
    ) {
        let interval = parameters.min_objective.mul_f64(DECREASE_INTERVAL);
        if pressure && now >= self.limit_decreased_at + interval {
            self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.limit_decreased_at = now;
        } else if !pressure && self.own_threads + threads > self.concurrency_limit {
            let step = INCREASE_STEP * threads / self.concurrency_limit;
            self.concurrency_limit = (self.concurrency_limit + step).min(parameters.max_threads);
        }
    }

    /// Whether the limit has not been decreased within the maximum age of a report.
    pub(crate) fn is_unpressured(&self, now: Duration, max_report_age: Duration) -> bool {
        now >= self.limit_decreased_at + max_report_age
    }

    /// This front's threads at the engine that compete with a request of a priority. Threads of a lower
    /// priority are weighted by the ratio of that priority's share of the cores to the request's.
    pub(crate) fn contending_threads(&self, priority: u8) -> f64 {
        let own = PRIORITY_SHARES[usize::from(priority)];
        let weighted = |(threads, share): (&f64, f64)| threads * (share / own).min(1.0);
        self.threads_by_priority.iter().zip(PRIORITY_SHARES).map(weighted).sum()
    }
}
