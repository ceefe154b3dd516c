//! What the managers' side asks of the owner, and what it is told. All of it may cross threads.

use crate::CounterValue;
use async_channel::Sender;
use lemonusher::{EngineId, EngineState};
use lemonusher_membership::{AdminState, DesiredState, EndpointStatus};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub enum ManagementCall {
    /// Looks at these wishes, and holds them ready or declines.
    Prepare {
        number: u64,
        desired_state: Arc<DesiredState>,
        reply: Sender<Result<(), String>>,
    },
    /// Puts what was prepared in force, all at once.
    Activate {
        number: u64,
        reply: Sender<Result<(), String>>,
    },
    /// Forgets what was prepared.
    Discard {
        number: u64,
    },
    Read {
        reply: Sender<Snapshot>,
    },
}

/// An engine's state has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineNotification {
    pub engine: EngineId,
    pub state: EngineState,
    pub admin: AdminState,
    pub blocked_classes: u64,
}

#[derive(Debug, Clone)]
pub struct EngineStatus {
    pub endpoint: EndpointStatus,
    pub address: Option<SocketAddr>,
    /// Attempts out there, of this front.
    pub in_flight: u32,
    /// Nothing is sent there for now, after faults.
    pub ejected: bool,
}

/// The front as it stands between two events.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Since the clock's origin.
    pub now: Duration,
    /// Every counter, in the order of the counters' log line.
    pub counters: Vec<CounterValue>,
    /// Names of the request classes, by number.
    pub request_classes: Vec<String>,
    pub requests: usize,
    pub attempts: usize,
    pub statement_bytes: usize,
    /// Time that the gateway has taken to decide since the start.
    pub decision_time: Duration,
    /// Notices lost because nobody took them in time.
    pub dropped_notifications: u64,
    pub engines: Vec<EngineStatus>,
}
