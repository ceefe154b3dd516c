//! The events that the gateway receives. This module holds data only.

use crate::endpoint::{EndpointUpdateKind, EngineEntry, EngineId};
use std::sync::Arc;
use std::time::Duration;

/// A request's id, as sent by the client.
pub type RequestId = Arc<str>;

/// A request that has arrived from a client.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its id, which no other open request has.
    pub request: RequestId,
    /// Index of its request class.
    pub request_class: usize,
    /// The table group that it reads or loads. Requests of one group are best sent to the same engines.
    pub table_group: u64,
    /// Its ordering key, if its class is ordered.
    pub key: Option<u64>,
    /// The time after which the client gives up this try.
    pub client_timeout: Duration,
    /// Its work over all threads as estimated by the client, in time on one thread; imprecise.
    pub work: Option<Duration>,
    /// Its memory need as estimated by the client, in MB.
    pub memory_mb: f64,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
}

/// A progress report of an attempt in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptProgress {
    /// Share of the work that is done, from 0 to 1.
    Done(f64),
    /// It spills to disk, as it lacks this much memory, in MB.
    Spilling(f64),
    /// It waits for memory.
    WaitingForMemory,
    /// It waits for a bulk load of its table group to end.
    WaitingForBulkLoad,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The engine returned a response.
    Returned,
    /// The engine returned an error.
    Errored,
    /// The engine rejected it before running it.
    Rejected,
    /// No response arrived in time; it may have run.
    TimedOut,
    /// The connection was not established, or was closed before the whole request was written; the request
    /// did not run.
    ConnectFailed,
    /// The connection was closed before the response was complete; it may have run.
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

/// The resources that a request used, as reported with its response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceUsage {
    /// Its work over all threads, in time on one thread.
    pub work: Duration,
    /// Memory that it used, in MB.
    pub memory_mb: f64,
}

/// An engine's load as reported by the engine; delayed and noisy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Share of its cores that is busy, from 0 to 1.
    pub cores_busy: Option<f64>,
    /// Share of its disks that is busy, from 0 to 1.
    pub disks_busy: Option<f64>,
    /// Share of its memory that is granted.
    pub memory_granted: Option<f64>,
    /// Requests that it runs or queues.
    pub in_flight: Option<f64>,
    /// Requests that wait for memory.
    pub waiting_for_memory: Option<f64>,
}

/// The end of an attempt. Each attempt has exactly one.
#[derive(Debug, Clone)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub attempt: u32,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the request has its final response and needs no other.
    pub request_finished: bool,
    /// The resources used, if the response reports them.
    pub usage: Option<ResourceUsage>,
    /// The engine's load, if the response reports it.
    pub load: Option<LoadReport>,
}

/// An event that the gateway receives.
#[derive(Debug, Clone)]
pub enum Event {
    /// The endpoint list has changed.
    Endpoints(EndpointUpdateKind, Vec<EngineEntry>),
    /// A call to discovery failed.
    DiscoveryUnavailable,
    /// A client has sent a request.
    Arrived(Arrival),
    /// The first part of the response has been forwarded to the client.
    ResponseStarted(RequestId),
    /// An engine has sent a progress report of an attempt in flight.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The engine that runs it.
        engine: EngineId,
        /// The progress.
        progress: AttemptProgress,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected or has cancelled the request; it needs no response.
    ClientDisconnected(RequestId),
    /// A probe has ended.
    ProbeEnded {
        /// The engine that was probed.
        engine: EngineId,
        /// Whether the engine replied.
        answered: bool,
        /// Time since the probe was sent.
        elapsed: Duration,
        /// The load that the reply reported.
        load: Option<LoadReport>,
    },
    /// Another front has sent a message.
    PeerMessage {
        /// The other front's index.
        from: u32,
        /// The message's text. The gateway ignores it.
        data: String,
    },
    /// This front shuts down. Requests that are not answered by the deadline are lost.
    ShuttingDown {
        /// Time of the shutdown, since the clock's origin.
        deadline: Duration,
    },
    /// This front's share of the work that all fronts may send to an engine that warms up, from 0 to 1, if
    /// the fronts have agreed on one. Without this event the share is 1 / number of fronts.
    SlowStartQuota(f64),
    /// A timer that was set has fired.
    TimerFired,
}
