//! The router's clock. Times are spans since an origin that lies a known span before the start of the process, so that
//! an engine which had started by then has a time of its own. Unix times are converted by one reading of the system's
//! clock, taken at the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts between monotonic time, Unix time and spans since the origin.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// From the origin to the start of the process.
    before_start: Duration,
    /// Unix time of the origin.
    unix_origin: Duration,
}

impl Clock {
    /// A clock whose origin lies `history` before now.
    pub fn with_history(history: Duration) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), before_start: history, unix_origin: unix.saturating_sub(history) }
    }

    /// When this process started.
    pub fn process_start(&self) -> Duration {
        self.before_start
    }

    /// The present time.
    pub fn now(&self) -> Duration {
        self.before_start + self.start.elapsed()
    }

    /// A time as an `Instant`; times before the start of the process are the start.
    pub fn instant(&self, time: Duration) -> Instant {
        self.start + time.saturating_sub(self.before_start)
    }

    /// When an engine started, given its Unix time and the length of slow start: zero for long ago, else no earlier than
    /// the origin allows, so that an engine in slow start is never taken for one that is past it.
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
