//! What the gateway is told. Nothing here decides.

use crate::endpoint::{EndpointUpdateKind, EngineEntry, EngineId};
use std::sync::Arc;
use std::time::Duration;

/// A request's id, as the client gave it.
pub type RequestId = Arc<str>;

/// A request that has arrived from a client.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its id, not that of any other request that is still open.
    pub request: RequestId,
    /// Index of its request class.
    pub request_class: usize,
    /// The table group that it reads or loads: requests of one group are best served by the same engines.
    pub table_group: u64,
    /// Its ordering key, where its class is ordered.
    pub key: Option<u64>,
    /// Time until the client gives up on this try.
    pub client_timeout: Duration,
    /// Stated work of all its threads, in time on one thread; rough.
    pub work: Option<Duration>,
    /// Stated need of memory, in MB.
    pub memory_mb: f64,
    /// Whether the client marked it as a retry of its own.
    pub client_retry: bool,
}

/// What an engine reports of an attempt that runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptProgress {
    /// Share of the work that is done, from 0 to 1.
    Done(f64),
    /// It spills to disk for want of so much memory, in MB.
    Spilling(f64),
    /// It stands still until memory is free.
    WaitingForMemory,
    /// It stands still until a bulk load of its table group has ended.
    WaitingForBulkLoad,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A response came.
    Returned,
    /// The engine answered with an error.
    Errored,
    /// The engine turned it away before it ran.
    Rejected,
    /// No response came in time; it may have run.
    TimedOut,
    /// There was no connection, or it ended before the whole request was written; it did not run.
    ConnectFailed,
    /// The connection ended before the response did; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// Nothing of it was sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the engine never ran the request.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// What a response tells of the request's need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceUsage {
    /// Work of all its threads, in time on one thread.
    pub work: Duration,
    /// Memory that it used, in MB.
    pub memory_mb: f64,
}

/// An engine's load as it reports it; late and noisy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Share of its cores that are busy.
    pub cores_busy: Option<f64>,
    /// Share of its disks that are busy.
    pub disks_busy: Option<f64>,
    /// Share of its memory that is granted.
    pub memory_granted: Option<f64>,
    /// Requests that it runs or queues.
    pub in_flight: Option<f64>,
    /// Requests that wait for memory.
    pub waiting_for_memory: Option<f64>,
}

/// The one end of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptEnd {
    /// The request that it was an attempt of.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub engine: EngineId,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The request has its final response and is owed no other.
    pub request_finished: bool,
    /// What the response tells of the request's need.
    pub usage: Option<ResourceUsage>,
    /// The engine's load, where responses report it.
    pub load: Option<LoadReport>,
}

/// What the gateway is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// The endpoint list has changed.
    Endpoints(EndpointUpdateKind, Vec<EngineEntry>),
    /// A call to discovery failed.
    DiscoveryUnavailable,
    /// A client has sent a request.
    Arrived(Arrival),
    /// The response has begun to flow to the client.
    ResponseStarted(RequestId),
    /// An engine reports on an attempt that runs.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// Where it runs.
        engine: EngineId,
        /// What is reported.
        progress: AttemptProgress,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has gone; it is owed nothing more.
    ClientGone(RequestId),
    /// A probe has ended.
    ProbeEnded {
        /// The engine that was probed.
        engine: EngineId,
        /// Whether it answered.
        answered: bool,
        /// Time since the probe was sent.
        elapsed: Duration,
        /// The load that it reported.
        load: Option<LoadReport>,
    },
    /// Another front has sent a message.
    PeerMessage {
        /// The other front's index.
        from: u32,
        /// The message.
        data: String,
    },
    /// This front is to end; what it has not answered by the deadline is lost.
    ShuttingDown {
        /// When it ends, since the clock's origin.
        deadline: Duration,
    },
    /// This front's part of what all fronts may send to an engine that warms up, from 0 to 1, where the fronts agree on
    /// one. Without it the part is one over the number of fronts.
    Quota(f64),
    /// A timer that was set has fired.
    TimerFired,
}
