//! The router's clock. A time is a `Duration` since an origin that lies a configured duration before the
//! start of the process, so that an engine that started shortly before this process has a start time after
//! the origin. Unix times are converted with one reading of the system clock, taken when the clock is
//! created.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts between monotonic time, Unix time and time since the origin.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Duration from the origin to the start of the process.
    before_start: Duration,
    /// Unix time of the origin.
    unix_origin: Duration,
}

impl Clock {
    /// Creates a clock whose origin lies `history` before now.
    pub fn with_history(history: Duration) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), before_start: history, unix_origin: unix.saturating_sub(history) }
    }

    /// The start of this process, since the origin.
    pub fn process_start(&self) -> Duration {
        self.before_start
    }

    /// The current time, since the origin.
    pub fn now(&self) -> Duration {
        self.before_start + self.start.elapsed()
    }

    /// Converts a time since the origin to an `Instant`. A time before the start of the process becomes the start.
    pub fn instant(&self, time: Duration) -> Instant {
        self.start + time.saturating_sub(self.before_start)
    }

    /// Converts an engine's Unix start time to a time since the origin. A start before the origin becomes
    /// 1 ns if the engine is still within `slow_start_window`, and otherwise zero, which means that slow start
    /// is over. So an engine in slow start is never treated as one past it.
    pub fn engine_start(&self, unix: Duration, now: Duration, slow_start_window: Duration) -> Duration {
        let since_origin = unix.saturating_sub(self.unix_origin);
        let unix_now = self.unix_origin + now;
        if !since_origin.is_zero() || unix + slow_start_window <= unix_now {
            since_origin
        } else {
            Duration::from_nanos(1)
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
