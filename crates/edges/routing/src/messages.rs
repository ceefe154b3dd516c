//! What the router receives and sends: events in, responses and engine commands out.

use crate::management::ManagementCall;
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

/// Where the response to a request goes.
pub trait ResponseSink {
    /// Gives the one final response to the request that came under this ticket.
    fn respond(&self, ticket: u64, response: Response);
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The result's rows, as the engine wrote them.
    Returned(Vec<u8>),
    /// Rejected without effect; after this span it may be tried again, where one is stated.
    Rejected(Option<Duration>),
    /// Failed; this promises nothing about effects.
    Failed,
}

/// A request as its client sent it.
pub struct IncomingRequest {
    /// Where the response goes.
    pub sink: Rc<dyn ResponseSink>,
    /// The sink's number for the request.
    pub ticket: u64,
    /// The request's id.
    pub request: RequestId,
    /// The number of its request class.
    pub request_class: usize,
    /// The table group that its statement names; 0 if it names none.
    pub table_group: u64,
    /// How long its client waits from now on.
    pub client_timeout: Duration,
    /// Whether the client says that it tries again.
    pub client_retry: bool,
    /// The statement's bytes.
    pub statement: Rc<[u8]>,
}

/// An engine as the endpoint list names it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The engine's id.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of its zone.
    pub zone: u32,
    /// The number of its machine kind.
    pub machine_kind: u32,
    /// The number of its cell.
    pub cell: u32,
    /// Its state.
    pub state: EngineState,
    /// Unix time of a late start.
    pub started_at: Option<Duration>,
}

/// What the router is notified of.
pub enum RouterEvent {
    /// A request arrived.
    Request(IncomingRequest),
    /// The client of a request no longer waits.
    ClientGone {
        /// The sink that the request came with.
        sink: Rc<dyn ResponseSink>,
        /// The ticket that it came under.
        ticket: u64,
        /// The request's id.
        request: RequestId,
    },
    /// A whole endpoint list, or its changes.
    Endpoints(EndpointUpdateKind, Vec<Endpoint>),
    /// The one outcome of an attempt.
    AttemptEnded {
        /// The attempt's number.
        token: Token,
        /// How it ended.
        outcome: AttemptOutcome,
        /// What the engine says that it used.
        usage: Option<ResourceUsage>,
        /// The engine's load report, where one came with the answer.
        load: Option<LoadReport>,
        /// The result's rows; empty unless it returned.
        body: Vec<u8>,
    },
    /// A running attempt reported progress.
    Progress {
        /// The attempt's number.
        token: Token,
        /// What the engine says of it.
        progress: AttemptProgress,
    },
    /// The one outcome of a probe.
    ProbeEnded {
        /// The probe's number.
        token: Token,
        /// Whether the engine answered that it is healthy.
        answered: bool,
        /// The engine's load report, where one came.
        load: Option<LoadReport>,
    },
    /// The fleet of fronts has an update.
    Control(ControlUpdate),
    /// A manager calls.
    Management(ManagementCall),
    /// The front shuts down: every request is to be answered within this span.
    ShutDown(Duration),
}

/// What the fleet of fronts, where there is one, sends to this front.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlUpdate {
    /// This front's share, from 0 to 1, of what all fronts together may send to an engine in slow start.
    Quota(f64),
    /// The zone failover plan as it applies here from now on.
    ZonePlan(Arc<PlanEffect>),
    /// The engines that are out of service for maintenance.
    Maintenance {
        /// The version of the maintenance requests that this is up to.
        version: u64,
        /// Whether all requests are known; if not, every engine counts as out of service.
        complete: bool,
        /// The engines.
        closed: Arc<BTreeSet<EngineId>>,
    },
}

/// What the router wants of the engines' side.
#[derive(Debug, Clone)]
pub enum EngineCommand {
    /// The endpoint list, or its changes.
    Endpoints(EndpointUpdateKind, Vec<Endpoint>),
    /// Sends an attempt.
    Send {
        /// The attempt's number.
        token: Token,
        /// Where it goes.
        engine: EngineId,
        /// The request's id.
        request: RequestId,
        /// The number of the request's class.
        request_class: usize,
        /// The statement's bytes.
        statement: Rc<[u8]>,
        /// What has to hold at the moment of writing.
        conditions: WriteConditions,
        /// The priority that the engine runs it with.
        priority: u8,
        /// Memory for it in MB; 0 leaves that to the engine.
        memory_mb: f64,
    },
    /// Withdraws an attempt that has not been written yet; one that has been goes on.
    Withdraw(Token),
    /// Changes the priority of a running attempt.
    SetPriority {
        /// The attempt's number.
        token: Token,
        /// The new priority.
        priority: u8,
    },
    /// Cancels an attempt or probe.
    Cancel(Token),
    /// Asks an engine for its health and load.
    Probe {
        /// The probe's number.
        token: Token,
        /// The engine.
        engine: EngineId,
    },
}

/// What has to hold at the very moment in which an attempt is written: it may have waited for a connection.
#[derive(Debug, Clone)]
pub struct WriteConditions {
    /// The request's deadline, or the attempt's if that is earlier.
    pub until: Instant,
    /// The attempt may not start at this time or later.
    pub start_by: Option<Instant>,
    /// Alive for as long as somebody waits for the request.
    pub(crate) request_open: Weak<()>,
}

impl WriteConditions {
    /// Whether the attempt may still be written.
    pub fn hold(&self, now: Instant) -> bool {
        self.request_open.strong_count() > 0
            && now < self.until
            && self.start_by.is_none_or(|start_by| now < start_by)
    }
}

impl RouterEvent {
    /// An attempt that ended without a result.
    pub fn attempt_ended(token: Token, outcome: AttemptOutcome) -> Self {
        RouterEvent::AttemptEnded { token, outcome, usage: None, load: None, body: Vec::new() }
    }
}

impl EngineCommand {
    /// The number of the attempt or probe that this sends.
    pub fn token(&self) -> Option<Token> {
        match self {
            EngineCommand::Send { token, .. } | EngineCommand::Probe { token, .. } => Some(*token),
            _ => None,
        }
    }

    /// The request's id, under which an earlier attempt may have been sent already.
    pub fn request(&self) -> Option<&RequestId> {
        if let EngineCommand::Send { request, .. } = self { Some(request) } else { None }
    }
}
