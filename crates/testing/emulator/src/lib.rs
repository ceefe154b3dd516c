//! A world to fail in, in virtual time: engines that run all they are sent and share cores and memory, fronts that
//! each own a gateway, clients that give up and ask again, and a script of failures. One TOML file states a world;
//! one seed makes a run, the same each time to the last event. A checker sees both sides and reports any of the seven
//! rules that is broken, with what broke it.

mod attempts;
mod check;
mod clients;
mod engine;
mod failures;
mod host;
mod run;
mod settings;
mod tally;
mod world;

pub use check::{Checker, Observation, Violation};
pub use engine::{Engine, Finished, Work};
pub use run::{Fault, Report, play};
pub use settings::{
    ClientBehavior, DiscoveryDelays, LoadReports, Probes, Range, ReportField, ReportTransport, Runaways,
};
pub use tally::{ClassCounts, INTERVAL_SECONDS, IntervalCounts, Statistics};
pub use world::{
    DeploymentError, EngineKind, Failure, FailureKind, ReplacementManner, RequestClass, SimulatedDeployment,
};

/// A small generator of its own, so that a seed means the same everywhere.
#[derive(Debug, Clone)]
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(seed ^ 0x9e37_79b9_7f4a_7c15)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// From 0 up to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, [least, most]: Range) -> f64 {
        least + (most - least) * self.share()
    }

    pub fn below(&mut self, most: usize) -> usize {
        (self.next() % most.max(1) as u64) as usize
    }

    /// Exponential, of this mean.
    pub fn wait(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.share()).ln()
    }
}
