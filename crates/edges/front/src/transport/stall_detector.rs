use std::cell::Cell;
use std::time::{Duration, Instant};

/// Tells how long what is read may have waited unread because this process did not run: it was stopped, or
/// its core was another's.
pub struct StallDetector {
    period: Duration,
    /// When it beat last, and by how much too late.
    last: Cell<(Instant, Duration)>,
}

impl StallDetector {
    pub fn new(period: Duration) -> Self {
        StallDetector { period, last: Cell::new((Instant::now(), Duration::ZERO)) }
    }

    pub fn period(&self) -> Duration {
        self.period
    }

    /// To be called each period.
    pub fn poll(&self, now: Instant) {
        // A gap leaves a backlog that takes a while to read.
        let (_, late) = self.last.get();
        let gap = self.gap(now);
        self.last.set((now, if gap.is_zero() { self.counts(late / 2) } else { gap }));
    }

    /// How long what is read now may have waited.
    pub fn delay(&self, now: Instant) -> Duration {
        self.last.get().1.max(self.gap(now))
    }

    /// By how much the next beat is late.
    fn gap(&self, now: Instant) -> Duration {
        self.counts(now.saturating_duration_since(self.last.get().0).saturating_sub(self.period))
    }

    /// A few periods are nothing out of the ordinary.
    fn counts(&self, late: Duration) -> Duration {
        if late > self.period * 4 { late } else { Duration::ZERO }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stall_detector.rs"]
mod tests;
