//! Decaying means, and a small generator of chance. Nothing here decides.

use std::time::Duration;

/// A weighted mean whose past fades; brought up to date when it is read or added to.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    /// What was added, each value faded since.
    pub(crate) sum: f64,
    /// The weight of what was added, faded alike.
    pub(crate) weight: f64,
    /// When it was last brought up to date.
    pub(crate) at: Duration,
    /// In how many seconds a value fades to a share of 1/e.
    pub(crate) time_constant: f64,
}

impl DecayingMean {
    /// Begins with one value of weight one.
    pub(crate) fn new(memory: f64, first: f64) -> Self {
        DecayingMean { sum: first, weight: 1.0, at: Duration::ZERO, time_constant: memory }
    }

    /// Adds a value that already carries its weight.
    pub(crate) fn add(&mut self, now: Duration, value: f64, weight: f64) {
        let kept = (-now.saturating_sub(self.at).as_secs_f64() / self.time_constant).exp();
        self.sum = self.sum * kept + value;
        self.weight = self.weight * kept + weight;
        self.at = now;
    }

    /// The same, faded up to now.
    pub(crate) fn decayed_to(mut self, now: Duration) -> Self {
        self.add(now, 0.0, 0.0);
        self
    }

    /// The mean of what was added.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.weight.max(f64::MIN_POSITIVE)
    }
}

/// A generator of chance, multiply-with-carry.
#[derive(Default)]
pub(crate) struct RandomSource(u64);

impl RandomSource {
    /// A generator that always draws alike from one seed.
    pub(crate) fn new(seed: u64) -> Self {
        RandomSource(mix(seed) | 1)
    }

    /// A number from 0 up to, but not including, 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

/// Spreads a number over all bits, the same everywhere.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
