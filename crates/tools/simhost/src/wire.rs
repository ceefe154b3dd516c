//! The simulator's messages, and the only place that maps its names to the code's. Each line of input is a
//! [`Frame`], and each line of output a [`Reply`]. Times are in microseconds of the simulated clock.

use lemonusher_deployment::Settings;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// All events of one simulated time.
#[derive(Deserialize)]
pub struct Frame<'a> {
    /// The simulated time.
    pub now_us: u64,
    /// Number of the frame; the reply repeats it.
    pub serial: u64,
    /// The events, each to be parsed as a [`SimulatorEvent`].
    #[serde(rename = "msgs", borrow)]
    pub events: Vec<&'a RawValue>,
}

/// Commands of the fronts in reply to a frame.
#[derive(Serialize)]
pub struct Reply {
    pub serial: u64,
    #[serde(rename = "cmds")]
    pub commands: Vec<Command>,
}

/// An event at a front, or the definition of an endpoint list.
#[derive(Deserialize)]
pub enum SimulatorEvent {
    /// A front starts.
    #[serde(rename = "POWER_ON")]
    FrontStarted {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "rng_seed")]
        seed: u64,
        settings: Box<Settings>,
    },
    /// A front is removed.
    #[serde(rename = "RETIRE")]
    FrontRetired {
        #[serde(rename = "front_id")]
        front: u32,
    },
    /// Defines an endpoint list. Later events show it to fronts by its number.
    #[serde(rename = "MANIFEST")]
    EndpointList {
        #[serde(rename = "roster_id")]
        list: u32,
        entries: Vec<EndpointEntry>,
    },
    /// A front is shown an endpoint list, or discovery fails.
    #[serde(rename = "PEERS_KNOWN")]
    EndpointsShown {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "roster_id", default)]
        list: u32,
        mode: ListMode,
    },
    /// A request arrives at a front.
    #[serde(rename = "INGRESS")]
    RequestArrived(RequestArrived),
    /// The response to a request has begun.
    #[serde(rename = "BEGUN")]
    ResponseStarted {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
    },
    /// A progress report of an attempt.
    #[serde(rename = "PROGRESS")]
    Progress {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "n", default)]
        attempt: u32,
        engine: u32,
        /// Kind of the value in `level`; `translate::progress` lists the kinds.
        what: u32,
        #[serde(default)]
        level: f64,
    },
    /// An attempt has ended.
    #[serde(rename = "REPLY")]
    AttemptEnded(AttemptEnded),
    /// The client of a request has disconnected.
    #[serde(rename = "CLIENT_LEFT")]
    ClientGone {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
    },
    /// A front's timer fires.
    #[serde(rename = "RING")]
    TimerFired {
        #[serde(rename = "front_id")]
        front: u32,
    },
    /// A load probe has ended.
    #[serde(rename = "HEALTH")]
    ProbeEnded {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "cost_time_us", default)]
        elapsed_us: u64,
        #[serde(rename = "code")]
        outcome: AttemptCode,
        engine: u32,
        #[serde(rename = "gauge")]
        load: Option<Vec<f64>>,
    },
    /// A message from another front.
    #[serde(rename = "PEER_DATA")]
    PeerMessage {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "sender")]
        from: u32,
        data: String,
    },
}

/// Names of all events that this program knows, to tell a malformed event from an unknown one.
pub const KNOWN_EVENTS: [&str; 12] = [
    "POWER_ON",
    "RETIRE",
    "MANIFEST",
    "PEERS_KNOWN",
    "INGRESS",
    "BEGUN",
    "PROGRESS",
    "REPLY",
    "CLIENT_LEFT",
    "RING",
    "HEALTH",
    "PEER_DATA",
];

/// A request that arrives at a front.
#[derive(Deserialize)]
#[serde(expecting = "struct Ingress")]
pub struct RequestArrived {
    #[serde(rename = "front_id")]
    pub front: u32,
    #[serde(rename = "call")]
    pub request: String,
    #[serde(rename = "is_retry", default)]
    pub client_retry: bool,
    /// The client's estimate of the request's work.
    #[serde(rename = "estimate_us")]
    pub work_us: Option<u64>,
    #[serde(rename = "grade", default)]
    pub request_class: usize,
    #[serde(rename = "tables", default)]
    pub table_group: u64,
    #[serde(rename = "relation")]
    pub key: Option<u64>,
    #[serde(rename = "time_budget_us")]
    pub client_timeout_us: u64,
    #[serde(rename = "footprint_mb", default)]
    pub memory_mb: f64,
}

/// An attempt that has ended.
#[derive(Deserialize)]
#[serde(expecting = "struct Ended")]
pub struct AttemptEnded {
    #[serde(rename = "front_id")]
    pub front: u32,
    #[serde(rename = "call")]
    pub request: String,
    /// Resource usage, packed as `translate::usage` reads it; 0 if not reported.
    #[serde(rename = "note", default)]
    pub packed_usage: u64,
    #[serde(rename = "no_more", default)]
    pub request_finished: bool,
    pub engine: u32,
    #[serde(rename = "cost_time_us", default)]
    pub elapsed_us: u64,
    #[serde(rename = "n", default)]
    pub attempt: u32,
    #[serde(rename = "code")]
    pub outcome: AttemptCode,
    #[serde(rename = "gauge")]
    pub load: Option<Vec<f64>>,
}

/// How an attempt or a probe ended.
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(expecting = "enum Code")]
pub enum AttemptCode {
    #[serde(rename = "done")]
    Returned,
    #[serde(rename = "err")]
    Failed,
    #[serde(rename = "busy")]
    Rejected,
    #[serde(rename = "etimedout")]
    TimedOut,
    #[serde(rename = "econnrefused")]
    ConnectFailed,
    #[serde(rename = "econnreset")]
    Reset,
    #[serde(rename = "ecanceled")]
    Cancelled,
    #[serde(rename = "skipped")]
    NotSent,
}

/// Meaning of an endpoint list that is shown to a front.
#[derive(Deserialize)]
#[serde(expecting = "enum Mode")]
pub enum ListMode {
    /// It holds only the changes.
    #[serde(rename = "update")]
    Delta,
    /// It replaces the front's list.
    #[serde(rename = "replace")]
    Full,
    /// It replaces the front's list after discovery was unavailable.
    #[serde(rename = "restored")]
    Restored,
    /// No list is shown, because discovery is unavailable.
    #[serde(rename = "unavailable")]
    Unavailable,
}

/// State of an engine.
#[derive(Deserialize, Clone, Copy)]
#[serde(expecting = "enum State")]
pub enum EndpointState {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Removed,
}

/// An engine in an endpoint list.
#[derive(Deserialize, Clone)]
#[serde(expecting = "struct Entry")]
pub struct EndpointEntry {
    #[serde(rename = "campus", default)]
    pub zone: u32,
    #[serde(rename = "unit_group", default)]
    pub cell: u32,
    pub state: EndpointState,
    #[serde(rename = "generation_hw", default)]
    pub machine_kind: u32,
    #[serde(default)]
    pub started_at_us: u64,
    pub engine: u32,
}

/// A command of a front.
#[derive(Serialize)]
pub enum Command {
    /// Sends a request to an engine.
    #[serde(rename = "RELAY")]
    Send {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "try_for_us")]
        timeout_us: u64,
        engine: u32,
    },
    /// Cancels an attempt.
    #[serde(rename = "DROP_ATTEMPT")]
    Cancel {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "n")]
        attempt: u32,
    },
    /// Rejects a request. A `retry_after_us` of 0 states no retry-after time.
    #[serde(rename = "DECLINE")]
    Reject {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "stay_away_us")]
        retry_after_us: u64,
    },
    /// Fails a request.
    #[serde(rename = "DROP_REQUEST")]
    Fail {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
    },
    /// Sets the front's timer.
    #[serde(rename = "ARM")]
    SetTimer {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "fire_at_us")]
        at_us: u64,
        #[serde(rename = "ctx")]
        context: &'static str,
    },
    /// Probes an engine's load.
    #[serde(rename = "TEST")]
    Probe {
        #[serde(rename = "front_id")]
        front: u32,
        engine: u32,
    },
    /// Requests endpoint lists.
    #[serde(rename = "KEEP_INFORMED")]
    WatchEndpoints {
        #[serde(rename = "front_id")]
        front: u32,
        want: bool,
    },
    /// Sets the priority and the memory grant of a request.
    #[serde(rename = "ASSIGN_TERMS")]
    SetPriority {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "prio")]
        priority: u8,
        #[serde(rename = "workspace_mb")]
        memory_mb: f64,
    },
    /// The front panicked.
    #[serde(rename = "CRASH")]
    Crash {
        #[serde(rename = "front_id")]
        front: u32,
        #[serde(rename = "line")]
        message: String,
    },
}
