//! Adaptive concurrency limit of one front at one engine: additive increase, multiplicative decrease.
//!
//! Inputs: the latency of each attempt that returned against its latency objective. A response that takes more than
//! [`PRESSURE_SHARE`] of the objective shows pressure, from other fronts, other programs, slow cores or short memory
//! alike: the limit, in threads, is multiplied by [`DECREASE_FACTOR`], at most once in [`DECREASE_INTERVAL`]. A response
//! without pressure, while the limit is used, raises it by [`INCREASE_STEP`] threads for each limit's worth of
//! responses. The limit begins at this front's share of the threads that admit all (`admission`). Requests that
//! are slow of their own lower it for a while.

use crate::engine::{Engine, PRIORITIES};
use std::time::Duration;

/// A response after more than this share of the latency objective shows pressure.
const PRESSURE_SHARE: f64 = 0.4;
/// What a decrease leaves of the limit.
const DECREASE_FACTOR: f64 = 0.6;
/// The least time between two decreases, as a share of the shortest latency objective.
const DECREASE_INTERVAL: f64 = 0.5;
/// Threads by which the limit grows for each limit's worth of responses without pressure.
const INCREASE_STEP: f64 = 0.5;
/// The lowest limit, in threads.
const MIN_LIMIT: f64 = 0.5;
/// How priorities share cores and disks that are short: the share of each, against the lowest.
const PRIORITY_SHARES: [f64; PRIORITIES] = [1.0, 4.0, 8.0, 16.0];

/// The bounds within which an engine's limit moves.
pub(crate) struct LimitBounds {
    /// The highest limit, in threads.
    pub(crate) max_threads: f64,
    /// The shortest latency objective of all classes.
    pub(crate) min_objective: Duration,
}

/// Whether a response shows pressure. `latency` and `objective` in seconds.
pub(crate) fn shows_pressure(latency: f64, objective: f64) -> bool {
    latency > objective * PRESSURE_SHARE
}

impl Engine {
    /// Moves the limit after a response to a request of so many threads.
    pub(crate) fn adjust_concurrency_limit(
        &mut self,
        now: Duration,
        pressure: bool,
        threads: f64,
        bounds: &LimitBounds,
    ) {
        let interval = bounds.min_objective.mul_f64(DECREASE_INTERVAL);
        if pressure && now >= self.limit_decreased_at + interval {
            self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(MIN_LIMIT);
            self.limit_decreased_at = now;
        } else if !pressure && self.own_threads + threads > self.concurrency_limit {
            let step = INCREASE_STEP * threads / self.concurrency_limit;
            self.concurrency_limit = (self.concurrency_limit + step).min(bounds.max_threads);
        }
    }

    /// Whether this front has seen no pressure there for a report's age.
    pub(crate) fn is_unpressured(&self, now: Duration, max_report_age: Duration) -> bool {
        now >= self.limit_decreased_at + max_report_age
    }

    /// This front's threads there as a request of a priority feels them: those of lower priority by their share of the cores.
    pub(crate) fn contending_threads(&self, priority: u8) -> f64 {
        let own = PRIORITY_SHARES[usize::from(priority)];
        let weighted = |(threads, share): (&f64, f64)| threads * (share / own).min(1.0);
        self.threads_by_priority.iter().zip(PRIORITY_SHARES).map(weighted).sum()
    }
}
