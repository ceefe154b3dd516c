use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Spans since an origin that lies a known span before the start, so that an engine which had started by then
/// has a date of its own. Unix times are converted by the one reading taken at the start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    before: Duration,
    unix_origin: Duration,
}

impl Clock {
    /// The origin lies `before` ahead of now.
    pub fn with_history(before: Duration) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), before, unix_origin: unix.saturating_sub(before) }
    }

    /// When this process started.
    pub fn process_start(&self) -> Duration {
        self.before
    }

    pub fn now(&self) -> Duration {
        self.before + self.start.elapsed()
    }

    pub fn instant(&self, span: Duration) -> Instant {
        self.start + span.saturating_sub(self.before)
    }

    /// When an engine started that did so at this Unix time: zero for long ago, else no earlier than the
    /// origin allows, so that one that is still cold is never taken for warm.
    pub fn engine_start(&self, unix: Duration, now: Duration, cold_for: Duration) -> Duration {
        let span = unix.saturating_sub(self.unix_origin);
        let unix_now = self.unix_origin + now;
        if !span.is_zero() || unix + cold_for <= unix_now { span } else { Duration::from_nanos(1) }
    }
}

#[cfg(test)]
mod tests;
