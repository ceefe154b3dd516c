//! Random numbers from a seed, and hashing that is the same at every front.

/// A multiply-with-carry generator.
#[derive(Default)]
pub(crate) struct RandomSource(u64);

impl RandomSource {
    /// A generator that yields the same numbers for the same seed.
    pub(crate) fn new(seed: u64) -> Self {
        RandomSource(mix(seed) | 1)
    }

    /// A number from 0 up to, but not including, 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

/// Spreads a number over all 64 bits (the finalizer of SplitMix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
