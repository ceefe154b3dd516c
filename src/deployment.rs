//! The configuration of a deployment: request classes, machines, capabilities and safety rules. This module
//! holds data only.

use crate::endpoint::EngineEntry;
use std::time::Duration;

/// The configuration of a deployment, given to a gateway at its start.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// The number of fronts of the deployment.
    pub fronts: u32,
    /// This front's index among them, from 0.
    pub front_index: u32,
    /// The zone of this front.
    pub zone: u32,
    /// The request classes, in the order of their indices.
    pub request_classes: Vec<RequestClassConfig>,
    /// The kinds of machine that engines run on, in the order of their indices.
    pub machine_kinds: Vec<MachineKind>,
    /// Time between two decisions.
    pub tick: Duration,
    /// The capabilities of fronts.
    pub capabilities: Capabilities,
    /// The cost of one load probe, as a share of a request's priority weight; zero if it is not configured.
    pub probe_cost: f64,
    /// The parameters of the safety rules.
    pub safety_rules: SafetyRules,
    /// How fronts receive updates of the endpoint list.
    pub discovery: Discovery,
    /// How engines report their load.
    pub load_reporting: LoadReporting,
    /// Time between two progress reports of an attempt; zero for none.
    pub progress_interval: Duration,
    /// Whether engines apply the priority that is set for an attempt.
    pub priorities: bool,
    /// Whether engines apply the memory grant that is set for an attempt.
    pub memory_grants: bool,
    /// Whether clients mark their retries.
    pub retries_marked: bool,
}

impl Deployment {
    /// The number of cores of an engine; 1 if its kind of machine is not configured.
    pub fn cores(&self, entry: &EngineEntry) -> f64 {
        self.machine_kinds.get(entry.machine_kind as usize).map_or(1.0, |kind| kind.cores.max(1.0))
    }
}

/// The configuration of one request class.
#[derive(Debug, Clone, Default)]
pub struct RequestClassConfig {
    /// A response is in time if its latency is at most this plus `objective_work_factor` × work / threads.
    pub latency_objective: Duration,
    /// The factor of work / threads in the objective; no unit.
    pub objective_work_factor: f64,
    /// The longest time that a client waits, over all its tries.
    pub deadline: Duration,
    /// The value of a response in time, relative to other classes; no unit.
    pub priority_weight: f64,
    /// Share of the priority weight that a late response is still worth, from 0 to 1.
    pub late_value_share: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Whether requests of one ordering key run one at a time, in the order of arrival.
    pub ordered: bool,
    /// The only zones that it may be sent to; `None` for all.
    pub allowed_zones: Option<Vec<u32>>,
    /// The only kinds of machine that it may be sent to; `None` for all.
    pub allowed_machine_kinds: Option<Vec<u32>>,
    /// Threads that a request runs on.
    pub threads: f64,
    /// Whether its requests are bulk loads. A bulk load holds its table group on its engine while it runs.
    pub bulk_load: bool,
    /// Whether its requests wait while a bulk load holds their table group on the same engine.
    pub waits_for_bulk_loads: bool,
}

impl RequestClassConfig {
    /// Whether the engine's zone and kind of machine are allowed.
    pub fn allows(&self, entry: &EngineEntry) -> bool {
        self.allowed_zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone))
            && self.allowed_machine_kinds.as_ref().is_none_or(|kinds| kinds.contains(&entry.machine_kind))
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Idempotency {
    /// It may run any number of times.
    #[default]
    Idempotent,
    /// It has an idempotency key. Engines within the scope drop repeats for the retention time, counted from
    /// the first attempt.
    IdempotencyKeyed {
        /// The engines among which repeats are dropped.
        scope: DeduplicationScope,
        /// For how long after the first attempt repeats are dropped.
        retention: Duration,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The engines among which repeats of an idempotency key are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All engines.
    Everywhere,
    /// The engines of the zone of the first attempt.
    Zone,
    /// The engines of the cell of the first attempt.
    Cell,
}

/// A kind of machine that engines run on.
#[derive(Debug, Clone, Copy)]
pub struct MachineKind {
    /// Cores of one machine.
    pub cores: f64,
    /// Memory of one machine, in MB; zero if it is not configured.
    pub memory_mb: f64,
}

/// The capabilities of fronts in this deployment.
#[derive(Debug, Clone, Default)]
pub struct Capabilities {
    /// Fronts may probe an engine's load.
    pub probes: bool,
    /// Fronts may send messages to each other.
    pub peer_messages: bool,
    /// Fronts may cancel an attempt in flight.
    pub cancel: bool,
    /// Fronts may give a retry-after time with a rejection.
    pub retry_after: bool,
    /// The longest retry-after time that may be given.
    pub max_retry_after: Duration,
    /// Two attempts of one request may be in flight at once (hedged requests).
    pub hedging: bool,
    /// The maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// The time after which a connection attempt to an engine has failed.
    pub connect_timeout: Duration,
}

/// The parameters of the safety rules.
#[derive(Debug, Clone, Default)]
pub struct SafetyRules {
    /// How long a front that has been notified of an engine's drain may still begin attempts at the engine.
    pub drain_grace: Duration,
    /// The capacity of an engine that has just started, as a share of its usual capacity, from 0 to 1.
    pub slow_start_share: f64,
    /// The time after its start during which an engine warms up.
    pub slow_start_window: Duration,
    /// An engine that warms up fails if it is sent this multiple of the work that it can do within
    /// `overload_window`.
    pub overload_factor: f64,
    /// The time over which the work sent to an engine that warms up is summed.
    pub overload_window: Duration,
    /// How long the next request of an ordering key waits after an attempt that may still be running.
    pub unknown_outcome_delay: Duration,
    /// If discovery is polled: a front that has not polled for this time counts as notified of the current
    /// list.
    pub discovery_poll_deadline: Duration,
    /// The limit on retries; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
}

/// The retries that are allowed within any window: `free_retries + retry_ratio * arrivals`.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Retries that are allowed independently of arrivals.
    pub free_retries: f64,
    /// Additional retries for each request that arrives.
    pub retry_ratio: f64,
    /// The length of the window.
    pub window: Duration,
}

/// How fronts receive updates of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discovery {
    /// Discovery sends updates unasked.
    #[default]
    Pushed,
    /// Discovery sends updates after a poll.
    Polled,
}

/// How engines report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadReporting {
    /// Engines report no load.
    #[default]
    None,
    /// Each response contains a load report.
    WithResponses,
    /// The reply to a probe contains a load report.
    WithProbes,
}
