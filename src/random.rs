//! Random numbers from a seed, and a hash that is the same at every front.

/// A multiply-with-carry generator.
#[derive(Default)]
pub(crate) struct RandomSource(u64);

impl RandomSource {
    /// Creates a generator. The same seed gives the same numbers.
    pub(crate) fn new(seed: u64) -> Self {
        RandomSource(mix(seed) | 1)
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

/// Hashes a number to 64 bits (the finalizer of SplitMix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
