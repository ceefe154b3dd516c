//! What a deployment states when a gateway starts: request classes, machines, capabilities and rules. Nothing here
//! decides.

use crate::endpoint::EngineEntry;
use std::time::Duration;

/// What the deployment states when a gateway starts.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// How many fronts the deployment runs.
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
    /// What fronts may do.
    pub capabilities: Capabilities,
    /// What one load probe a request costs, as a share of the request's priority weight; zero where it is not stated.
    pub probe_cost: f64,
    /// The figures of the safety rules.
    pub safety_rules: SafetyRules,
    /// How the endpoint list is followed.
    pub discovery: Discovery,
    /// How engines report their load.
    pub load_reporting: LoadReporting,
    /// Time between two progress reports of an attempt; zero for none.
    pub progress_interval: Duration,
    /// Whether engines heed the priority given with an attempt.
    pub priorities: bool,
    /// Whether engines heed the memory grant given with an attempt.
    pub memory_grants: bool,
    /// Whether clients mark the requests that they send again.
    pub retries_marked: bool,
}

impl Deployment {
    /// Cores of an engine; one where its kind of machine is not stated.
    pub fn cores(&self, entry: &EngineEntry) -> f64 {
        self.machine_kinds.get(entry.machine_kind as usize).map_or(1.0, |kind| kind.cores.max(1.0))
    }
}

/// What is stated of one request class.
#[derive(Debug, Clone, Default)]
pub struct RequestClassConfig {
    /// A response is in time within this, plus `objective_work_factor` times its work over its threads.
    pub latency_objective: Duration,
    /// How much of a request's own work, spread over its threads, is added to the objective; no unit.
    pub objective_work_factor: f64,
    /// The longest that a client waits, over all its tries.
    pub deadline: Duration,
    /// What a response in time is worth, against other classes; no unit.
    pub priority_weight: f64,
    /// Share of the priority weight that a late response still earns, from 0 to 1.
    pub late_value_share: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
    /// Whether requests of one key run one at a time, in the order of arrival.
    pub ordered: bool,
    /// The only zones that it may be sent to; `None` for all.
    pub allowed_zones: Option<Vec<u32>>,
    /// The only kinds of machine that it may be sent to; `None` for all.
    pub allowed_machine_kinds: Option<Vec<u32>>,
    /// Threads that a request runs on.
    pub threads: f64,
    /// Whether it is a bulk load, which holds its table group on its engine while it runs.
    pub bulk_load: bool,
    /// Whether it stands still while a bulk load holds its table group on the same engine.
    pub waits_for_bulk_loads: bool,
}

impl RequestClassConfig {
    /// Whether an engine's zone and kind of machine are among those allowed.
    pub fn allows(&self, entry: &EngineEntry) -> bool {
        self.allowed_zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone))
            && self.allowed_machine_kinds.as_ref().is_none_or(|kinds| kinds.contains(&entry.machine_kind))
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// It may run any number of times.
    #[default]
    Idempotent,
    /// It carries an idempotency key: engines within the scope drop repeats for the retention time, counted from the
    /// first attempt.
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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
    /// Memory of one machine, in MB; zero where it is not stated.
    pub memory_mb: f64,
}

/// What fronts may do in this deployment.
#[derive(Debug, Clone, Default)]
pub struct Capabilities {
    /// They may probe an engine's load.
    pub probes: bool,
    /// They may send messages to each other.
    pub peer_messages: bool,
    /// They may cancel an attempt in flight.
    pub cancel: bool,
    /// They may give a time to come back with a rejection.
    pub retry_after: bool,
    /// The longest time to come back that may be given.
    pub max_retry_after: Duration,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Attempts of one request at most, the first among them.
    pub max_attempts: u32,
    /// After this time a connection attempt to an engine has failed.
    pub connect_timeout: Duration,
}

/// The figures of the safety rules.
#[derive(Debug, Clone, Default)]
pub struct SafetyRules {
    /// After a front has been notified that an engine drains, an attempt may still begin there for so long.
    pub drain_grace: Duration,
    /// What an engine that has just started can do, as a share of what it does when warm, from 0 to 1.
    pub slow_start_share: f64,
    /// For how long after its start an engine warms up.
    pub slow_start_window: Duration,
    /// An engine that warms up fails at so many times the work that it can do within `overload_window`.
    pub overload_factor: f64,
    /// The time over which the work sent to an engine that warms up is added.
    pub overload_window: Duration,
    /// How long the next request of a key waits after an attempt that may still be running.
    pub unknown_outcome_delay: Duration,
    /// Where discovery is polled, a front that has not asked for so long counts as notified of the list as it is.
    pub discovery_poll_deadline: Duration,
    /// How many retries are allowed; `None` for any number.
    pub retry_budget: Option<RetryBudget>,
}

/// Retries allowed within any window of the stated length: `free_retries + retry_ratio * arrivals`.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Retries that are allowed whatever arrives.
    pub free_retries: f64,
    /// Retries allowed for each request that arrives.
    pub retry_ratio: f64,
    /// Length of the window.
    pub window: Duration,
}

/// How the endpoint list is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discovery {
    /// Changes come by themselves.
    #[default]
    Pushed,
    /// Changes come once they are asked for.
    Polled,
}

/// How engines report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadReporting {
    /// They don't.
    #[default]
    None,
    /// With each response.
    WithResponses,
    /// In answer to a probe.
    WithProbes,
}
