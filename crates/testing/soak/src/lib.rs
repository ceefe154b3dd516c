//! A soak test of real front processes, under clients that go on sending requests after SIGTERM, series of signals,
//! failing engines, failing discovery, and crowds of idle clients.
//!
//! A [`Scenario`] is drawn from a seed. [`run`] runs it against a front program and returns a [`Recording`] of what
//! clients, engines, discovery and the driver observed. [`find_violations`] returns the rules that the front
//! broke; it is a pure function of the recording.

#![warn(missing_docs)]

mod arrival;
mod clients;
mod discovery;
mod engine;
mod judge;
mod process;
mod recorder;
mod records;
mod relay;
mod report;
mod run;
mod scenario;

pub use arrival::{ReceiveTimestamps, TimedMessage, TimedReader};
pub use judge::{Rule, Violation, find_violations};
pub use records::{
    AttemptRecord, DrainRecord, ProcessRecord, Recording, RequestClass, RequestRecord, ResponseKind,
    ResponseRecord,
};
pub use relay::RelayFault;
pub use report::{SeedResult, summary, write_csv};
pub use run::{RunOptions, run};
pub use scenario::{EngineHealth, Scenario, Signal, SignalAt};
