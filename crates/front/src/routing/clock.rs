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
    pub fn starting(before: Duration) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), before, unix_origin: unix.saturating_sub(before) }
    }

    pub fn now(&self) -> Duration {
        self.before + self.start.elapsed()
    }

    pub fn instant(&self, span: Duration) -> Instant {
        self.start + span.saturating_sub(self.before)
    }

    /// Zero for what lies before the origin.
    pub fn of_unix(&self, unix: Duration) -> Duration {
        unix.saturating_sub(self.unix_origin)
    }
}
