//! The types that go into the gateway's decisions and come out of them. Nothing here decides.

use std::sync::Arc;
use std::time::Duration;

/// A request's id, kept as the caller gave it.
pub type RequestId = Arc<str>;
/// An engine's id.
pub type EngineId = u32;

/// What the deployment states when a gateway starts.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// How many fronts the deployment runs.
    pub fronts: u32,
    /// This front's index among them.
    pub front_index: u32,
    /// The zone of this front.
    pub zone: u32,
    pub request_classes: Vec<RequestClassConfig>,
    /// One entry a kind of machine.
    pub machine_kinds: Vec<MachineKind>,
    pub tick: Duration,
    pub capabilities: Capabilities,
    /// What one probe a request costs, as a share of the priority weight asked for; zero where it is not stated.
    pub probe_cost: f64,
    pub safety_rules: SafetyRules,
    pub discovery: Discovery,
    pub load_reporting: LoadReporting,
    /// Time between progress reports of an attempt; zero for none.
    pub progress_interval: Duration,
    /// Whether a priority given with a request is heeded.
    pub priorities: bool,
    /// Whether a memory grant given with a request is heeded.
    pub memory_grants: bool,
    /// Whether clients mark the requests they ask again.
    pub retries_marked: bool,
}

/// What is stated of one request class.
#[derive(Debug, Clone, Default)]
pub struct RequestClassConfig {
    /// An answer within this time, and `stretch` times its work over its threads, is in time.
    pub latency_objective: Duration,
    pub objective_work_factor: f64,
    /// The longest that a client waits, over all its tries.
    pub deadline: Duration,
    pub priority_weight: f64,
    /// Share of the priority weight that a late answer still earns.
    pub late_value_share: f64,
    pub idempotency: Idempotency,
    /// Requests of one key run one at a time, in the order taken.
    pub ordered: bool,
    /// The only zones, and kinds of machine, that may be sent to.
    pub allowed_zones: Option<Vec<u32>>,
    pub allowed_machine_kinds: Option<Vec<u32>>,
    pub threads: f64,
    /// It holds its table group on its engine while it runs.
    pub bulk_load: bool,
    /// It stands still while a load holds its table group there.
    pub waits_for_bulk_loads: bool,
}

impl RequestClassConfig {
    /// Whether an engine stands in a zone, and is of a kind, that may be sent to.
    pub fn allows(&self, entry: &EngineEntry) -> bool {
        self.allowed_zones.as_ref().is_none_or(|list| list.contains(&entry.zone))
            && self.allowed_machine_kinds.as_ref().is_none_or(|list| list.contains(&entry.machine_kind))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// May run again.
    #[default]
    Idempotent,
    /// Repeats are spotted and dropped by the engines in reach, for a while after the first send.
    IdempotencyKeyed { scope: DeduplicationScope, retention: Duration },
    /// Must never run twice.
    NonIdempotent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    Everywhere,
    Zone,
    Cell,
}

impl Deployment {
    /// Cores of an engine; one where its kind of machine is not stated.
    pub fn cores(&self, entry: &EngineEntry) -> f64 {
        self.machine_kinds.get(entry.machine_kind as usize).map_or(1.0, |machine| machine.cores.max(1.0))
    }
}

#[derive(Debug, Clone, Copy)]
pub struct MachineKind {
    pub cores: f64,
    pub memory_mb: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Capabilities {
    pub probes: bool,
    pub peer_messages: bool,
    pub cancel: bool,
    pub retry_after: bool,
    pub max_retry_after: Duration,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
    pub max_attempts: u32,
    pub connect_timeout: Duration,
}

/// The figures behind the rules.
#[derive(Debug, Clone, Default)]
pub struct SafetyRules {
    pub drain_grace: Duration,
    pub slow_start_share: f64,
    pub slow_start_window: Duration,
    pub overload_factor: f64,
    pub overload_window: Duration,
    pub unknown_outcome_delay: Duration,
    pub discovery_poll_deadline: Duration,
    pub retry_budget: Option<RetryBudget>,
}

/// Further attempts allowed in any window of `span`.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    pub free_retries: f64,
    pub retry_ratio: f64,
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discovery {
    #[default]
    Pushed,
    Polled,
}

/// How load reports come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadReporting {
    #[default]
    None,
    WithResponses,
    WithProbes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineState {
    #[default]
    Active,
    Draining,
    Removed,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineEntry {
    pub engine: EngineId,
    pub zone: u32,
    pub cell: u32,
    pub machine_kind: u32,
    pub state: EngineState,
    /// When it last started; zero for long ago.
    pub started_at: Duration,
    /// A bit for each request class that may not be sent there, whatever else holds. An engine that is barred
    /// to all is kept in mind: what it had been sent while cold still counts once it is open again.
    pub blocked_classes: u64,
}

impl EngineEntry {
    /// Whether a request class, by its index, may not be sent there, whatever else holds.
    pub fn blocks(&self, request_class: usize) -> bool {
        self.blocked_classes.checked_shr(request_class as u32).is_some_and(|bits| bits & 1 == 1)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only what has changed.
    Delta,
    /// All there is: what is missing has gone.
    Full,
    /// All there was when this front last ran; perhaps stale.
    Restored,
}

#[derive(Debug, Clone)]
pub struct Arrival {
    pub request: RequestId,
    pub request_class: usize,
    pub table_group: u64,
    /// Key of a request that keeps order.
    pub key: Option<u64>,
    /// Time until the client gives up on this try.
    pub client_timeout: Duration,
    /// Stated work of all its threads; rough.
    pub work: Option<Duration>,
    pub memory_mb: f64,
    pub client_retry: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptProgress {
    /// Share done.
    Done(f64),
    /// Memory missing, in MB.
    Spilling(f64),
    WaitingForMemory,
    WaitingForBulkLoad,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    Returned,
    Errored,
    /// Turned away unseen.
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the engine never ran the request.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// What an answer tells of a request's need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceUsage {
    pub work: Duration,
    pub memory_mb: f64,
}

/// An engine's load as it reports it; late and noisy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    pub cores_busy: Option<f64>,
    pub disks_busy: Option<f64>,
    pub memory_granted: Option<f64>,
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests waiting for memory.
    pub waiting_for_memory: Option<f64>,
}

#[derive(Debug, Clone)]
pub struct AttemptEnd {
    pub request: RequestId,
    pub attempt: u32,
    pub engine: EngineId,
    pub elapsed: Duration,
    pub outcome: AttemptOutcome,
    /// The request is over, and owes no further answer.
    pub request_finished: bool,
    pub usage: Option<ResourceUsage>,
    pub load: Option<LoadReport>,
}

/// What the gateway is told.
#[derive(Debug, Clone)]
pub enum Event {
    Endpoints(EndpointUpdateKind, Vec<EngineEntry>),
    /// A call to discovery failed.
    DiscoveryUnavailable,
    Arrived(Arrival),
    /// The answer has begun to flow to the client.
    ResponseStarted(RequestId),
    Progress {
        request: RequestId,
        attempt: u32,
        engine: EngineId,
        progress: AttemptProgress,
    },
    AttemptEnded(AttemptEnd),
    /// The client has left; nothing more is owed.
    ClientGone(RequestId),
    ProbeEnded {
        engine: EngineId,
        answered: bool,
        /// How long ago the probe was sent.
        elapsed: Duration,
        load: Option<LoadReport>,
    },
    PeerMessage {
        from: u32,
        data: String,
    },
    /// This front has been told to end; what it has not answered by then is lost.
    ShuttingDown {
        deadline: Duration,
    },
    /// The part of what all fronts may send to a cold engine that is this front's own, from 0 to 1, where fronts
    /// agree on it. Never told, it is one over the number of fronts.
    Quota(f64),
    /// A wake-up asked for has come.
    TimerFired,
}

/// What the gateway wants done, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sets priority and memory (0: the engine's choice) of a request, also of what is out.
    SetPriority {
        request: RequestId,
        priority: u8,
        memory_mb: f64,
    },
    Send {
        request: RequestId,
        engine: EngineId,
        timeout: Duration,
        /// If none of it has been written by then, it must not be any more.
        start_by: Option<Duration>,
    },
    Cancel {
        request: RequestId,
        attempt: u32,
    },
    Reject {
        request: RequestId,
        retry_after: Option<Duration>,
    },
    Fail {
        request: RequestId,
    },
    SetTimer {
        at: Duration,
    },
    Probe {
        engine: EngineId,
    },
    /// Asks discovery for changes from now on.
    WatchEndpoints,
}
