//! The request router: the one task that owns the gateway.
//!
//! Events reach it by one bounded queue. It hands them to the gateway, lets the gateway decide, and executes the
//! actions: responses go to the sinks of the requests, commands to the engines' side. The router decides nothing itself
//! and names no wire protocol. Times are spans since the origin of its [`Clock`] unless a type says otherwise.

#![warn(missing_docs)]

mod clock;
mod counters;
mod log_text;
mod management;
mod messages;
mod router;
mod zone_monitor;

pub use clock::Clock;
pub use counters::{Counter, CounterValue, Counters, OutcomeLabel, TableSizes};
pub use management::{EngineNotification, EngineStatus, ManagementCall, ManagementError, Snapshot};
pub use messages::{
    ControlUpdate, Endpoint, EngineCommand, IncomingRequest, Response, ResponseSink, RouterEvent, Token,
    WriteConditions,
};
pub use router::{Limits, RequestRouter};
pub use zone_monitor::{ZoneObservation, class_loads};
