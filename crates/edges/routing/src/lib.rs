//! The request router: the single task that owns the gateway state machine.
//!
//! The router receives events through one queue of limited length, passes them to the gateway, asks the
//! gateway for a decision and executes the resulting actions. Responses go to the sinks of the requests,
//! commands to the engine driver. The router makes no routing decisions itself and depends on no wire
//! protocol. Times are `Duration`s since the origin of its [`Clock`] unless a type says otherwise.

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
    ControlUpdate, Endpoint, EngineCommand, IncomingRequest, QuotaShare, Response, ResponseSink, RouterEvent,
    Token, WriteConditions,
};
pub use router::{Limits, RequestRouter};
pub use zone_monitor::{ZoneObservation, class_loads};
