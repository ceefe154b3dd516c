//! Detects that this process did not run for a while: it was stopped, or its core was given to another.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Periods by which a poll may be late without a stall.
const ORDINARY_PERIODS: u32 = 4;

/// Estimates how long what is read may have waited unread because this process did not run.
pub struct StallDetector {
    period: Duration,
    last_poll: Cell<Instant>,
    /// By how much the last poll was late.
    last_delay: Cell<Duration>,
}

impl StallDetector {
    /// A detector that is polled once a period.
    pub fn new(period: Duration) -> Self {
        StallDetector { period, last_poll: Cell::new(Instant::now()), last_delay: Cell::new(Duration::ZERO) }
    }

    /// How often it is to be polled.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// To be called each period.
    pub fn poll(&self, now: Instant) {
        let delay = self.current_delay(now);
        // A stall leaves a backlog that takes a while to read: its delay fades.
        let faded = self.significant(self.last_delay.get() / 2);
        self.last_delay.set(if delay.is_zero() { faded } else { delay });
        self.last_poll.set(now);
    }

    /// How long what is read now may have waited.
    pub fn delay(&self, now: Instant) -> Duration {
        self.last_delay.get().max(self.current_delay(now))
    }

    /// By how much the next poll is late.
    fn current_delay(&self, now: Instant) -> Duration {
        let since_poll = now.saturating_duration_since(self.last_poll.get());
        self.significant(since_poll.saturating_sub(self.period))
    }

    /// Delays of a few periods are ordinary and count as none.
    fn significant(&self, delay: Duration) -> Duration {
        if delay > self.period * ORDINARY_PERIODS { delay } else { Duration::ZERO }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stall_detector.rs"]
mod tests;
