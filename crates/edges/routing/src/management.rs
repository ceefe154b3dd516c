//! Calls of the managers' side and what it is notified of. All of it may cross threads.

use crate::CounterValue;
use async_channel::Sender;
use lemonusher::{EngineId, EngineState};
use lemonusher_membership::{AdminState, DesiredState, EndpointStatus};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A manager's call. A desired state takes effect in two steps: it is prepared, then activated.
pub enum ManagementCall {
    /// Checks a desired state and holds it ready.
    Prepare {
        /// The number of the commit.
        number: u64,
        /// The desired state.
        desired_state: Arc<DesiredState>,
        /// Where the outcome goes.
        reply: Sender<Result<(), ManagementError>>,
    },
    /// Puts the prepared desired state into effect, all at once.
    Activate {
        /// The number of the commit.
        number: u64,
        /// Where the outcome goes.
        reply: Sender<Result<(), ManagementError>>,
    },
    /// Drops the prepared desired state.
    Discard {
        /// The number of the commit.
        number: u64,
    },
    /// Reads the operational state.
    Read {
        /// Where the snapshot goes.
        reply: Sender<Snapshot>,
    },
}

/// Why a call has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManagementError {
    /// The desired state has limits for more request classes than the deployment states.
    UnknownRequestClasses {
        /// How many classes the deployment states.
        stated: usize,
    },
    /// No desired state was prepared under this number.
    NotPrepared {
        /// The number of the commit.
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

/// An engine's state has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineNotification {
    /// The engine.
    pub engine: EngineId,
    /// Its state in the endpoint list.
    pub state: EngineState,
    /// Its state as managers want it.
    pub admin: AdminState,
    /// A bit for each request class that may not be sent there.
    pub blocked_classes: u64,
}

/// An engine's operational state.
#[derive(Debug, Clone)]
pub struct EngineStatus {
    /// Its entry in the endpoint table.
    pub endpoint: EndpointStatus,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Attempts of this front that are in flight there.
    pub in_flight: u32,
    /// Nothing is sent there for now, after failures.
    pub ejected: bool,
}

/// The operational state between two events.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The time of the snapshot, since the clock's origin.
    pub now: Duration,
    /// Every counter, in the order of the counters' log line.
    pub counters: Vec<CounterValue>,
    /// Names of the request classes, by number.
    pub request_classes: Vec<String>,
    /// Requests that are owed a response.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
    /// Bytes of the open requests' statements.
    pub statement_bytes: usize,
    /// Time that the gateway has taken to decide since the start.
    pub decision_time: Duration,
    /// Notifications lost because their queue was full.
    pub dropped_notifications: u64,
    /// The engines.
    pub engines: Vec<EngineStatus>,
}
