//! Detects that this process did not run for some time, because it was stopped or its core ran another process.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A delay of up to this many periods is ordinary and does not count as a stall.
const TOLERATED_PERIODS: u32 = 4;

/// Estimates how long incoming bytes may have waited unread because this process did not run.
pub struct StallDetector {
    period: Duration,
    last_poll: Cell<Instant>,
    /// Delay of the last stall, halved with each poll since then.
    last_delay: Cell<Duration>,
}

impl StallDetector {
    /// Creates a detector that expects a call of [`poll`](Self::poll) once per `period`.
    pub fn new(period: Duration) -> Self {
        StallDetector { period, last_poll: Cell::new(Instant::now()), last_delay: Cell::new(Duration::ZERO) }
    }

    /// Interval between two polls.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Records that the process runs. To be called once per period.
    pub fn poll(&self, now: Instant) {
        let delay = self.current_delay(now);
        // Reading the backlog after a stall takes time, so its delay fades instead of ending at once.
        let faded_delay = self.zero_if_ordinary(self.last_delay.get() / 2);
        self.last_delay.set(if delay.is_zero() { faded_delay } else { delay });
        self.last_poll.set(now);
    }

    /// Returns the longest time that bytes read now may have waited.
    pub fn delay(&self, now: Instant) -> Duration {
        self.last_delay.get().max(self.current_delay(now))
    }

    /// Returns how late the next poll is at `now`; zero unless that is a stall.
    fn current_delay(&self, now: Instant) -> Duration {
        let since_poll = now.saturating_duration_since(self.last_poll.get());
        self.zero_if_ordinary(since_poll.saturating_sub(self.period))
    }

    /// Returns the delay, or zero if it is ordinary.
    fn zero_if_ordinary(&self, delay: Duration) -> Duration {
        if delay > self.period * TOLERATED_PERIODS { delay } else { Duration::ZERO }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stall_detector.rs"]
mod tests;
