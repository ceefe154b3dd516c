//! What clients, engines, discovery and the driver observed of a front. Times count from the start of the run.

use std::time::Duration;

/// A request class of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// May run more than once.
    Idempotent,
    /// Must not run more than once.
    NonIdempotent,
}

/// Kind of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// A result.
    Result,
    /// Rejected: the request did not run, and a retry is safe.
    Rejected,
    /// Failed: the request may have run.
    Failed,
}

/// A response that a client read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseRecord {
    /// Time at which it was read.
    pub at: Duration,
    /// Its kind.
    pub kind: ResponseKind,
}

/// A request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The id under which engines receive it.
    pub call: String,
    /// Its class.
    pub class: RequestClass,
    /// Index of the front process that it was sent to.
    pub process: usize,
    /// Time at which the client's connection was established.
    pub connected_at: Duration,
    /// Time just before the client wrote it.
    pub sent_at: Duration,
    /// The client timeout, at most the class's deadline.
    pub timeout: Duration,
    /// Time at which the client had cancelled it, had closed the connection, or had failed to write it.
    pub client_left_at: Option<Duration>,
    /// Whether its connection was opened while idle clients filled the descriptors. The front may close such a
    /// connection without reading from it.
    pub in_crowd: bool,
    /// Time at which the client noticed that the front had closed its connection while idle clients filled the
    /// descriptors.
    pub closed_for_crowd_at: Option<Duration>,
    /// All responses that the client read.
    pub responses: Vec<ResponseRecord>,
}

/// An attempt that an engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Number of the engine.
    pub engine: u32,
    /// The request's id.
    pub call: String,
    /// The earliest time at which the kernel can have received it for the engine.
    pub at: Duration,
    /// Whether it may have run; false if the engine rejected it.
    pub ran: bool,
}

/// A notification of the front that an engine drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainRecord {
    /// Number of the engine.
    pub engine: u32,
    /// Time from which the front counts as notified.
    pub notified_at: Duration,
}

/// One front process, from its start to its end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProcessRecord {
    /// Time at which it was started.
    pub started_at: Duration,
    /// Time at which it reported ready; `None` if it never did.
    pub ready_at: Option<Duration>,
    /// Time of SIGTERM; the planned time until it is sent.
    pub terminated_at: Duration,
    /// Earliest time at which the platform would kill it.
    pub kill_at: Duration,
    /// Time at which it had exited by itself; `None` if it had to be killed or a signal ended it.
    pub exited_at: Option<Duration>,
    /// Its exit code; `None` if it had to be killed or a signal ended it.
    pub exit_code: Option<i32>,
    /// Open descriptors when it was ready.
    pub descriptors_at_start: usize,
    /// Open descriptors after all clients had disconnected; `None` if not measured.
    pub descriptors_at_rest: Option<usize>,
    /// Resident memory when it was ready, in kB.
    pub memory_at_start_kb: u64,
    /// Resident memory after all clients had disconnected, in kB; `None` if not measured.
    pub memory_at_rest_kb: Option<u64>,
}

/// All records of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recording {
    /// All requests.
    pub requests: Vec<RequestRecord>,
    /// All attempts.
    pub attempts: Vec<AttemptRecord>,
    /// All drain notifications.
    pub drains: Vec<DrainRecord>,
    /// The front processes, in order of their start.
    pub processes: Vec<ProcessRecord>,
    /// Time after the notification of a drain during which attempts may still begin at the engine.
    pub drain_grace: Duration,
    /// Number of engines of the deployment.
    pub engines: usize,
    /// Longest scheduling delay that the driver measured on itself. Recorded times may be late by as much.
    pub driver_delay: Duration,
}
