//! Simulates a deployment in virtual time: engines whose requests share cores and memory, fronts with a gateway
//! each, clients that give up and retry, and a script of failures. A TOML file states the deployment. A run is
//! deterministic: the same file and seed give the same events. A checker observes clients and engines, and reports
//! the first hundred violations of the seven rules.

#![warn(missing_docs)]

mod attempts;
mod check;
mod clients;
mod engine;
mod failures;
mod front_config;
mod host;
mod rng;
mod run;
mod settings;
mod shares;
mod simulation;
mod tally;
mod world;

pub use check::Violation;
pub use engine::{Engine, Finished, Work};
pub use rng::SeededRng;
pub use run::simulate;
pub use settings::{
    ClientBehavior, DiscoveryDelays, LoadReports, Probes, Range, ReportField, ReportTransport, Runaways,
};
pub use simulation::{Fault, Report};
pub use tally::{ClassCounts, INTERVAL_SECONDS, IntervalCounts, Statistics};
pub use world::{
    DeploymentError, EngineKind, Failure, FailureKind, ReplacementManner, RequestClass, SimulatedDeployment,
};
