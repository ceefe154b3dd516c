//! Admission limits: the maximum number of open requests of each request class, and the Retry-After of
//! rejected requests.
//!
//! A request is open from [`AdmissionLimiter::admit`] to [`AdmissionLimiter::release`]. Each request over the
//! limit is rejected. Its retry time is the retry time of the previous rejected request plus the recent mean
//! interval between two releases, limited to the minimum and maximum Retry-After from now. So clients do not all
//! retry at once, and retry about as fast as open requests end. A time is a duration since an origin that the
//! caller chooses.

use std::time::Duration;

/// The admission limit of one request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Maximum number of open requests of the class.
    pub max_open: u32,
    /// Minimum Retry-After of a rejected request.
    pub retry_after: Duration,
    /// Maximum Retry-After of a rejected request.
    pub max_retry_after: Duration,
}

/// Time constant of the exponential average of the release rate, as a multiple of [`Limit::retry_after`].
const RELEASE_RATE_WINDOW: f64 = 8.0;

/// The state of one request class.
#[derive(Debug, Clone, Default)]
struct ClassState {
    limit: Option<Limit>,
    open: u32,
    /// Number of recently released requests, decaying exponentially; as of `updated_at`.
    recent_releases: f64,
    updated_at: Duration,
    /// The retry time given to the last rejected request.
    last_retry_time: Duration,
}

/// Counts open requests by class and rejects requests over the limit.
#[derive(Debug, Clone, Default)]
pub struct AdmissionLimiter {
    classes: Vec<ClassState>,
    max_retry_after: Duration,
}

impl AdmissionLimiter {
    /// Creates a limiter without limits for this number of request classes. `max_retry_after` caps the maximum
    /// Retry-After of every limit, but never below the limit's own minimum.
    pub fn new(request_classes: usize, max_retry_after: Duration) -> AdmissionLimiter {
        AdmissionLimiter { classes: vec![ClassState::default(); request_classes], max_retry_after }
    }

    /// Replaces the limits, by request class. Open requests stay open, even if there are more than a lower
    /// limit allows.
    pub fn set(&mut self, limits: &[Option<Limit>]) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            let limit = limits.get(index).copied().flatten();
            if class.limit != limit {
                class.limit = limit;
                class.last_retry_time = Duration::ZERO;
            }
        }
    }

    /// Admits a request, which is open from now on, or rejects it with a Retry-After. A request of a class
    /// that the limiter does not know is admitted and not counted.
    pub fn admit(&mut self, now: Duration, request_class: usize) -> Result<(), Duration> {
        let max_retry_after = self.max_retry_after;
        let Some(class) = self.classes.get_mut(request_class) else { return Ok(()) };
        match class.limit.filter(|limit| class.open >= limit.max_open) {
            None => {
                class.open += 1;
                Ok(())
            }
            Some(limit) => Err(class.next_retry_after(now, limit, max_retry_after)),
        }
    }

    /// Records that an admitted request has ended.
    pub fn release(&mut self, now: Duration, request_class: usize) {
        let Some(class) = self.classes.get_mut(request_class) else { return };
        class.open = class.open.saturating_sub(1);
        if let Some(limit) = class.limit {
            class.decay_to(now, limit);
            class.recent_releases += 1.0;
        }
    }

    /// Number of open requests of a class; zero for a class that the limiter does not know.
    pub fn open(&self, request_class: usize) -> u32 {
        self.classes.get(request_class).map_or(0, |class| class.open)
    }

    /// Resets the number of open requests of all classes to zero.
    pub fn clear(&mut self) {
        self.classes.iter_mut().for_each(|class| class.open = 0);
    }
}

impl ClassState {
    fn decay_to(&mut self, now: Duration, limit: Limit) {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.recent_releases *= (-elapsed_seconds / window_seconds(limit)).exp();
        self.updated_at = now;
    }

    /// Computes the Retry-After of the next rejected request and records its retry time in `last_retry_time`.
    fn next_retry_after(&mut self, now: Duration, limit: Limit, max_retry_after: Duration) -> Duration {
        self.decay_to(now, limit);
        let releases_per_second = self.recent_releases / window_seconds(limit);
        let gap_seconds = if releases_per_second > 0.0 {
            (1.0 / releases_per_second).min(max_retry_after.as_secs_f64())
        } else {
            0.0
        };
        let earliest = now + limit.retry_after;
        let latest = now + max_retry_after.min(limit.max_retry_after).max(limit.retry_after);
        let next = self.last_retry_time + Duration::from_secs_f64(gap_seconds);
        self.last_retry_time = earliest.max(next).min(latest);
        self.last_retry_time - now
    }
}

fn window_seconds(limit: Limit) -> f64 {
    (limit.retry_after.as_secs_f64() * RELEASE_RATE_WINDOW).max(f64::MIN_POSITIVE)
}
