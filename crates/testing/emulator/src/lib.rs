//! A world to fail in, in virtual time: engines that run all they are sent and share cores and memory, fronts that
//! each own a gateway, clients that give up and ask again, and a script of failures. One TOML file states a world;
//! one seed makes a run, the same each time to the last event. A checker sees both sides and reports any of the seven
//! rules that is broken, with what broke it.

#![warn(missing_docs)]

mod attempts;
mod check;
mod clients;
mod dice;
mod engine;
mod failures;
mod front_config;
mod host;
mod play;
mod settings;
mod shares;
mod simulation;
mod tally;
mod world;

pub use check::Violation;
pub use dice::Dice;
pub use engine::{Engine, Finished, Work};
pub use play::play;
pub use settings::{
    ClientBehavior, DiscoveryDelays, LoadReports, Probes, Range, ReportField, ReportTransport, Runaways,
};
pub use simulation::{Fault, Report};
pub use tally::{ClassCounts, INTERVAL_SECONDS, IntervalCounts, Statistics};
pub use world::{
    DeploymentError, EngineKind, Failure, FailureKind, ReplacementManner, RequestClass, SimulatedDeployment,
};
