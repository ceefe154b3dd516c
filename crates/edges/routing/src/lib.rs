//! The one task that owns the gateway. What sockets have heard reaches it by a bounded queue; it tells the
//! gateway, lets it decide, and carries out what it wants. It decides nothing itself and names no protocol.

mod clock;
mod counters;
mod management;
mod router;
mod zone_monitor;

pub use clock::Clock;
pub use counters::{Counter, CounterValue, Counters, TableSizes};
pub use management::{EngineNotification, EngineStatus, ManagementCall, Snapshot};
pub use router::{Limits, RequestRouter};
pub use zone_monitor::{ZoneObservation, class_loads};

use lemonusher::{
    AttemptOutcome, AttemptProgress, EndpointUpdateKind, EngineId, EngineState, LoadReport, RequestId,
    ResourceUsage,
};
use lemonusher_zone_failover::PlanEffect;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of an attempt or probe, new for each.
pub type Token = u64;

/// Where the answer to a request goes.
pub trait ResponseSink {
    /// Gives the one final answer to what came under this ticket.
    fn respond(&self, ticket: u64, answer: Response);
}

#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    Returned(Vec<u8>),
    Rejected(Option<Duration>),
    Failed,
}

/// A request as its client sent it.
pub struct IncomingRequest {
    pub sink: Rc<dyn ResponseSink>,
    pub ticket: u64,
    pub request: RequestId,
    pub request_class: usize,
    pub table_group: u64,
    pub client_timeout: Duration,
    pub client_retry: bool,
    pub statement: Rc<[u8]>,
}

/// An engine as the list names it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub engine: EngineId,
    pub address: SocketAddr,
    pub zone: u32,
    pub machine_kind: u32,
    pub cell: u32,
    pub state: EngineState,
    /// Unix time of a late start.
    pub started_at: Option<Duration>,
}

/// What the owner hears.
pub enum RouterEvent {
    Request(IncomingRequest),
    /// Who asked for this request under this ticket no longer waits.
    ClientGone {
        sink: Rc<dyn ResponseSink>,
        ticket: u64,
        request: RequestId,
    },
    Endpoints(EndpointUpdateKind, Vec<Endpoint>),
    /// The one outcome of an attempt; what it returned, if it did.
    AttemptEnded {
        token: Token,
        outcome: AttemptOutcome,
        usage: Option<ResourceUsage>,
        load: Option<LoadReport>,
        body: Vec<u8>,
    },
    Progress {
        token: Token,
        progress: AttemptProgress,
    },
    /// The one outcome of a probe.
    ProbeEnded {
        token: Token,
        answered: bool,
        load: Option<LoadReport>,
    },
    /// The fleet says.
    Control(ControlUpdate),
    /// A manager's part asks.
    Management(ManagementCall),
    /// The front has been told to end: all is to be answered within this time.
    ShutDown(Duration),
}

/// What the fleet, where there is one, tells its front.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlUpdate {
    /// The part of what all fronts share that this one may use from now on.
    Quota(f64),
    /// What the plan for lost sites means here from now on.
    ZonePlan(Arc<PlanEffect>),
    /// Engines that are out for work, up to this version; unless it is sure of all works, all count as out.
    Maintenance { version: u64, complete: bool, closed: Arc<BTreeSet<EngineId>> },
}

/// What the owner wants of the engines' side.
#[derive(Debug, Clone)]
pub enum EngineCommand {
    Endpoints(EndpointUpdateKind, Vec<Endpoint>),
    Send {
        token: Token,
        engine: EngineId,
        request: RequestId,
        request_class: usize,
        statement: Rc<[u8]>,
        conditions: WriteConditions,
        priority: u8,
        memory_mb: f64,
    },
    /// Takes an attempt back if none of it has been written yet; else it goes on.
    Withdraw(Token),
    SetPriority {
        token: Token,
        priority: u8,
    },
    /// Gives an attempt or probe up.
    Cancel(Token),
    Probe {
        token: Token,
        engine: EngineId,
    },
}

/// What has to hold at the very moment in which an attempt is written: it may have waited for a connection.
#[derive(Debug, Clone)]
pub struct WriteConditions {
    /// Its request is over by then.
    pub until: Instant,
    /// It may not begin later than this.
    pub start_by: Option<Instant>,
    /// Alive for as long as somebody waits for its request.
    request_open: Weak<()>,
}

impl WriteConditions {
    /// Whether it may still be written.
    pub fn hold(&self, now: Instant) -> bool {
        self.request_open.strong_count() > 0 && now < self.until && self.start_by.is_none_or(|by| now < by)
    }
}

impl RouterEvent {
    /// An attempt that ended without rows.
    pub fn attempt_ended(token: Token, outcome: AttemptOutcome) -> Self {
        RouterEvent::AttemptEnded { token, outcome, usage: None, load: None, body: Vec::new() }
    }
}

impl EngineCommand {
    /// Of an attempt or probe.
    pub fn token(&self) -> Option<Token> {
        match self {
            EngineCommand::Send { token, .. } | EngineCommand::Probe { token, .. } => Some(*token),
            _ => None,
        }
    }

    /// The id that it would go under, where that may have been out before.
    pub fn request(&self) -> Option<&RequestId> {
        if let EngineCommand::Send { request, .. } = self { Some(request) } else { None }
    }
}
