//! Exponentially decaying sums and means.

use std::time::Duration;

/// An exponentially decaying weighted mean. Both sums are decayed whenever a value is added.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    /// Sum of the values added, each decayed since.
    pub(crate) sum: f64,
    /// Sum of the weights added, each decayed since.
    pub(crate) weight: f64,
    /// The time up to which both sums are decayed.
    pub(crate) at: Duration,
    /// Seconds in which a value decays to a share of 1/e.
    pub(crate) time_constant: f64,
}

impl DecayingMean {
    /// Creates a mean with one value of weight 1. `time_constant` is in seconds.
    pub(crate) fn new(time_constant: f64, first: f64) -> Self {
        DecayingMean { sum: first, weight: 1.0, at: Duration::ZERO, time_constant }
    }

    /// Adds a value that is already multiplied by its weight.
    pub(crate) fn add(&mut self, now: Duration, value: f64, weight: f64) {
        let remaining = (-now.saturating_sub(self.at).as_secs_f64() / self.time_constant).exp();
        self.sum = self.sum * remaining + value;
        self.weight = self.weight * remaining + weight;
        self.at = now;
    }

    /// The mean decayed to `now`.
    pub(crate) fn decayed_to(mut self, now: Duration) -> Self {
        self.add(now, 0.0, 0.0);
        self
    }

    /// The weighted mean of the values added.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.weight.max(f64::MIN_POSITIVE)
    }
}
