//! Random numbers from a seed.

use crate::settings::Range;

/// A SplitMix64 generator. It is implemented here so that a seed gives the same numbers on every platform; only
/// [`SeededRng::exponential`] uses a logarithm, whose last bits may depend on the platform.
#[derive(Debug, Clone)]
pub struct SeededRng(u64);

impl SeededRng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(seed ^ 0x9e37_79b9_7f4a_7c15)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Uniform from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Uniform within a range.
    pub fn uniform(&mut self, [least, most]: Range) -> f64 {
        least + (most - least) * self.fraction()
    }

    /// An integer from 0 to below `most`; 0 if `most` is 0.
    pub fn below(&mut self, most: usize) -> usize {
        (self.next() % most.max(1) as u64) as usize
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }
}
