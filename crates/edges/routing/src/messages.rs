//! The router's inputs and outputs: events in, responses and engine commands out.

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

/// Number that identifies one attempt or probe; never reused by this process.
pub type Token = u64;

/// Receives the responses to requests.
pub trait ResponseSink {
    /// Delivers the final response to the request with this ticket. Called once per request at most.
    fn respond(&self, ticket: u64, response: Response);

    /// Returns whether the client still waits for the response to the request with this ticket. Takes into account
    /// what the client has sent but the driver's own task has not read yet.
    fn is_waiting(self: Rc<Self>, ticket: u64) -> bool;
}

/// The client side of one request: where its response goes.
pub(crate) struct Requester {
    pub(crate) sink: Rc<dyn ResponseSink>,
    /// The sink's own number for the request.
    pub(crate) ticket: u64,
}

impl Requester {
    pub(crate) fn respond(&self, response: Response) {
        self.sink.respond(self.ticket, response);
    }

    fn is_waiting(&self) -> bool {
        self.sink.clone().is_waiting(self.ticket)
    }
}

/// The final response to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The result's rows, in the engine's encoding.
    Returned(Vec<u8>),
    /// Rejected without effect. The duration, if there is one, is how long the client should wait before a retry.
    Rejected(Option<Duration>),
    /// Failed; the statement may or may not have run.
    Failed,
}

/// A request as received from a client.
pub struct IncomingRequest {
    /// Receives the response.
    pub sink: Rc<dyn ResponseSink>,
    /// The sink's own number for the request.
    pub ticket: u64,
    /// The request's id.
    pub request: RequestId,
    /// Index of its request class in the deployment.
    pub request_class: usize,
    /// The table group that its statement names; 0 if it names none.
    pub table_group: u64,
    /// Client timeout, measured from when the router handles the request.
    pub client_timeout: Duration,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// The statement's bytes.
    pub statement: Rc<[u8]>,
}

/// An engine's entry in the endpoint list.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The engine's id.
    pub engine: EngineId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its machine kind in the deployment.
    pub machine_kind: u32,
    /// Number of its cell.
    pub cell: u32,
    /// Its state in the endpoint list.
    pub state: EngineState,
    /// Unix time of its start; none if it started long ago.
    pub started_at: Option<Duration>,
}

/// An event that the router handles.
pub enum RouterEvent {
    /// A request arrived.
    Request(IncomingRequest),
    /// The client of a request disconnected, or cancelled the request.
    ClientDisconnected {
        /// The sink of the request.
        sink: Rc<dyn ResponseSink>,
        /// The request's ticket.
        ticket: u64,
        /// The request's id.
        request: RequestId,
    },
    /// A full endpoint list or a change to it.
    Endpoints(EndpointUpdateKind, Vec<Endpoint>),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt's token.
        token: Token,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Resources used, as the engine reports them.
        usage: Option<ResourceUsage>,
        /// The engine's load report, if the reply had one.
        load: Option<LoadReport>,
        /// The result's rows; empty unless the outcome is `Returned`.
        body: Vec<u8>,
    },
    /// A running attempt reported progress.
    Progress {
        /// The attempt's token.
        token: Token,
        /// The progress, as the engine reports it.
        progress: AttemptProgress,
    },
    /// A probe ended.
    ProbeEnded {
        /// The probe's token.
        token: Token,
        /// Whether the engine replied that it is healthy.
        answered: bool,
        /// The engine's load report, if the reply had one.
        load: Option<LoadReport>,
    },
    /// An update from the fleet of fronts.
    Control(ControlUpdate),
    /// A call of a management client.
    Management(ManagementCall),
    /// The front shuts down; every open request must get its response within this duration.
    ShutDown(Duration),
}

/// An update from the fleet of fronts to this front. Not used by a front that runs alone.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlUpdate {
    /// This front's share of the requests that all fronts together may send to an engine in slow start.
    SlowStartQuota(QuotaShare),
    /// The part of the zone failover plan that applies to this front from now on.
    ZonePlan(Arc<PlanEffect>),
    /// The set of engines that are out of service for maintenance.
    Maintenance {
        /// Version of the maintenance requests on which this set is based.
        version: u64,
        /// Whether all maintenance requests are known. If not, every engine is treated as out of service.
        complete: bool,
        /// The engines that are out of service.
        closed: Arc<BTreeSet<EngineId>>,
    },
}

/// A share of a quota of all fronts. It is leased: once it has expired, other fronts may use it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaShare {
    /// The share, from 0 to 1.
    pub share: f64,
    /// From then on the share is zero; none if it does not expire.
    pub valid_until: Option<Instant>,
}

impl QuotaShare {
    /// No share at all.
    pub const NONE: QuotaShare = QuotaShare { share: 0.0, valid_until: None };
}

/// A command from the router to the engine driver.
#[derive(Debug, Clone)]
pub enum EngineCommand {
    /// A full endpoint list or a change to it.
    Endpoints(EndpointUpdateKind, Vec<Endpoint>),
    /// Sends an attempt.
    Send {
        /// The attempt's token.
        token: Token,
        /// The engine that it goes to.
        engine: EngineId,
        /// The request's id.
        request: RequestId,
        /// Index of the request's class.
        request_class: usize,
        /// The statement's bytes.
        statement: Rc<[u8]>,
        /// Conditions that must hold when the attempt is written to the connection.
        conditions: WriteConditions,
        /// Priority with which the engine runs it.
        priority: u8,
        /// Memory limit in MB; 0 leaves it to the engine.
        memory_mb: f64,
    },
    /// Withdraws an attempt that has not been written yet. Has no effect on one that has been written.
    Withdraw(Token),
    /// Changes the priority of a running attempt.
    SetPriority {
        /// The attempt's token.
        token: Token,
        /// The new priority.
        priority: u8,
    },
    /// Cancels an attempt or probe.
    Cancel(Token),
    /// Requests an engine's health and load.
    Probe {
        /// The probe's token.
        token: Token,
        /// The engine.
        engine: EngineId,
    },
}

/// Conditions that are checked just before an attempt is written. It may have waited for a connection, and its client
/// may have disconnected without the router knowing, above all after this process did not run for some time.
#[derive(Debug, Clone)]
pub struct WriteConditions {
    /// The attempt is not written at this time or later: the earlier of the request's and the attempt's deadline.
    pub until: Instant,
    /// The attempt may not start at this time or later; none sets no such limit.
    pub start_by: Option<Instant>,
    /// Upgradable for as long as the request is open.
    pub(crate) requester: Weak<Requester>,
}

impl WriteConditions {
    /// Returns whether the attempt may be written at `now`.
    pub fn are_met(&self, now: Instant) -> bool {
        let Some(requester) = self.requester.upgrade() else { return false };
        now < self.until && self.start_by.is_none_or(|start_by| now < start_by) && requester.is_waiting()
    }
}

impl RouterEvent {
    /// Creates the event for an attempt that ended without a result.
    pub fn attempt_ended(token: Token, outcome: AttemptOutcome) -> Self {
        RouterEvent::AttemptEnded { token, outcome, usage: None, load: None, body: Vec::new() }
    }
}

impl EngineCommand {
    /// Returns the token of the attempt or probe that this command sends.
    pub fn token(&self) -> Option<Token> {
        match self {
            EngineCommand::Send { token, .. } | EngineCommand::Probe { token, .. } => Some(*token),
            _ => None,
        }
    }

    /// Returns the id of the request if this command sends an attempt. All attempts of a request have its id.
    pub fn request(&self) -> Option<&RequestId> {
        if let EngineCommand::Send { request, .. } = self { Some(request) } else { None }
    }
}
