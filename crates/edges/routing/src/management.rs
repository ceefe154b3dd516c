//! Calls of management clients to the router, and notifications to them. All of these types may be sent
//! between threads.

use crate::CounterValue;
use async_channel::Sender;
use lemonusher::{EngineId, EngineState};
use lemonusher_membership::{AdminState, DesiredState, EndpointStatus};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A call of a management client. A desired state is applied in two steps: it is prepared, then activated.
pub enum ManagementCall {
    /// Validates a desired state and keeps it for activation.
    Prepare {
        /// Number of the commit.
        number: u64,
        /// The desired state.
        desired_state: Arc<DesiredState>,
        /// Channel that receives the result.
        reply: Sender<Result<(), ManagementError>>,
    },
    /// Applies the prepared desired state atomically.
    Activate {
        /// Number of the commit.
        number: u64,
        /// Channel that receives the result.
        reply: Sender<Result<(), ManagementError>>,
    },
    /// Drops the prepared desired state.
    Discard {
        /// Number of the commit.
        number: u64,
    },
    /// Reads the operational state.
    Read {
        /// Channel that receives the snapshot.
        reply: Sender<Snapshot>,
    },
}

/// The reason why a call had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManagementError {
    /// The desired state has limits for more request classes than the deployment defines.
    UnknownRequestClasses {
        /// Number of request classes that the deployment defines.
        stated: usize,
    },
    /// No desired state was prepared under this number.
    NotPrepared {
        /// Number of the commit.
        number: u64,
    },
}

impl fmt::Display for ManagementError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ManagementError::UnknownRequestClasses { stated } => {
                write!(f, "only {stated} service groups are stated")
            }
            ManagementError::NotPrepared { number } => write!(f, "commit {number} was not prepared"),
        }
    }
}

impl std::error::Error for ManagementError {}

/// Notification that an engine's state has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineNotification {
    /// The engine.
    pub engine: EngineId,
    /// Its state in the endpoint list.
    pub state: EngineState,
    /// Its administrative state, as set by management clients.
    pub admin: AdminState,
    /// Bit set of the request classes that may not be sent to the engine; bit 0 is class 0.
    pub blocked_classes: u64,
}

/// An engine's operational state.
#[derive(Debug, Clone)]
pub struct EngineStatus {
    /// Its entry in the endpoint table.
    pub endpoint: EndpointStatus,
    /// Address that it listens on; none if unknown.
    pub address: Option<SocketAddr>,
    /// Number of this front's attempts in flight on the engine.
    pub in_flight: u32,
    /// Whether outlier ejection excludes the engine at present.
    pub ejected: bool,
}

/// The router's operational state, taken between two events.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Time of the snapshot, since the origin of the router's clock.
    pub now: Duration,
    /// All counters, in the order of their log line.
    pub counters: Vec<CounterValue>,
    /// Names of the request classes, by index.
    pub request_classes: Vec<String>,
    /// Number of open requests.
    pub requests: usize,
    /// Number of attempts in flight.
    pub attempts: usize,
    /// Total size of the open requests' statements, in bytes.
    pub statement_bytes: usize,
    /// Total time that the gateway has spent on decisions since the start of the process.
    pub decision_time: Duration,
    /// Number of notifications dropped because their queue was full.
    pub dropped_notifications: u64,
    /// Operational state of each engine in the endpoint table.
    pub engines: Vec<EngineStatus>,
}
