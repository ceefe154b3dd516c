//! The settings object, and the one table that maps its names to the code's. Names that end in `_us` are times in
//! microseconds. Keys that are not named here are passed over.

use serde::Deserialize;

/// Settings of a deployment, the same for every front but for its index and zone.
#[derive(Deserialize)]
#[serde(expecting = "struct Settled")]
pub struct Settings {
    /// Number of fronts.
    #[serde(rename = "balancers")]
    pub fronts: u32,
    /// Index of this front, from 0.
    #[serde(rename = "my_number", default)]
    pub front_index: u32,
    /// Index of this front's zone, from 0.
    #[serde(default)]
    pub zone: u32,
    /// Time between two decisions.
    pub tick_us: u64,
    /// What fronts may do.
    #[serde(rename = "ceilings")]
    pub capabilities: CapabilitySettings,
    /// What things cost.
    #[serde(rename = "prices", default)]
    pub costs: CostSettings,
    /// Request classes, in the order of their indices.
    #[serde(rename = "classes")]
    pub request_classes: Vec<RequestClassSettings>,
    /// How clients behave.
    #[serde(rename = "client_habits", default)]
    pub clients: ClientSettings,
    /// How the endpoint list is followed: `on_request` for polled, all else for pushed.
    pub discovery: String,
    /// What engines are and do.
    #[serde(rename = "family_info")]
    pub engines: EngineSettings,
    /// Figures of the safety rules.
    #[serde(rename = "obligations")]
    pub safety_rules: SafetySettings,
    /// Load reports of engines.
    #[serde(rename = "report", default)]
    pub load_report: LoadReportSettings,
    /// Names of the zones, in the order of their indices.
    #[serde(rename = "areas", default)]
    pub zones: Vec<String>,
    /// Names of the kinds of machine, in the order of their indices.
    #[serde(rename = "kinds", default)]
    pub machine_kinds: Vec<String>,
}

/// How clients behave.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Habits")]
pub struct ClientSettings {
    /// Whether they mark the requests that they send again.
    #[serde(rename = "marks_retry")]
    pub marks_retries: bool,
}

/// What fronts may do.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Ceilings")]
pub struct CapabilitySettings {
    /// They may cancel an attempt in flight.
    pub cancel: bool,
    /// After this time a connection attempt to an engine has failed.
    pub connect_timeout_us: u64,
    /// Attempts of one request at most, the first among them.
    pub max_attempts: u32,
    /// The longest time to come back that may be given with a rejection.
    pub max_retry_after_us: u64,
    /// They may send messages to each other.
    #[serde(rename = "peers")]
    pub peer_messages: bool,
    /// They may probe an engine's load.
    pub probes: bool,
    /// They may give a time to come back with a rejection.
    pub retry_after: bool,
    /// Two attempts of one request may be in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Engines close a connection that has been idle for so long.
    #[serde(rename = "conn_idle_us")]
    pub idle_timeout_us: u64,
    /// Attempts on one connection to an engine at most.
    #[serde(rename = "streams_per_conn")]
    pub max_streams_per_connection: usize,
    /// Open requests of one front at most.
    #[serde(rename = "open_cap")]
    pub max_open_requests: usize,
}

/// What things cost, as shares of the priority weight of a request, if one comes with each request.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Prices")]
pub struct CostSettings {
    /// A load probe.
    pub probe: f64,
    /// A new connection to an engine.
    pub handshake: f64,
}

/// A request class.
#[derive(Deserialize)]
#[serde(expecting = "struct Class")]
pub struct RequestClassSettings {
    /// Its name, by which requests state their class.
    #[serde(default)]
    pub name: String,
    /// How much of a request's own work, spread over its threads, is added to the latency objective; no unit.
    #[serde(rename = "aim_stretch", default)]
    pub objective_work_factor: f64,
    /// A response is in time within this, plus the share of its work.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: u64,
    /// Whether a request may run again.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencySetting,
    /// The engines among which repeats with one idempotency key are dropped.
    #[serde(rename = "group", default)]
    pub deduplication_scope: ScopeSetting,
    /// The longest that a client waits, over all its tries.
    #[serde(rename = "hard_limit_us")]
    pub deadline_us: u64,
    /// How long repeats with one idempotency key are dropped.
    #[serde(rename = "key_ttl_us", default)]
    pub key_retention_us: u64,
    /// Share of the priority weight that a late response still earns, from 0 to 1.
    #[serde(rename = "late_value", default)]
    pub late_value_share: f64,
    /// What a response in time is worth, against other classes; no unit.
    #[serde(rename = "points")]
    pub priority_weight: f64,
    /// Whether requests of one key run one at a time, in the order of arrival.
    #[serde(rename = "by_arrival", default)]
    pub ordered: bool,
    /// Indices of the only zones that it may be sent to; `None` for all.
    #[serde(rename = "areas_open")]
    pub allowed_zones: Option<Vec<u32>>,
    /// Indices of the only kinds of machine that it may be sent to; `None` for all.
    #[serde(rename = "kinds_open")]
    pub allowed_machine_kinds: Option<Vec<u32>>,
}

/// Whether a request may run again.
#[derive(Deserialize, Clone, Copy)]
pub enum IdempotencySetting {
    /// It may.
    #[serde(rename = "safe")]
    Idempotent,
    /// It may while engines drop repeats of its key.
    #[serde(rename = "keyed")]
    IdempotencyKeyed,
    /// It must not.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The engines among which repeats with one idempotency key are dropped.
#[derive(Deserialize, Clone, Copy, Default)]
pub enum ScopeSetting {
    /// All engines.
    #[default]
    #[serde(rename = "all")]
    Everywhere,
    /// The engines of one zone.
    #[serde(rename = "zone")]
    Zone,
    /// The engines of one cell.
    #[serde(rename = "cell")]
    Cell,
}

/// What engines are and do. Lists go by the index of the request class, or of the kind of machine.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Family")]
pub struct EngineSettings {
    /// By request class: whether it is a bulk load, which holds its table group on its engine while it runs.
    #[serde(rename = "class_load")]
    pub bulk_load_by_class: Vec<bool>,
    /// By request class: the threads that a request runs on.
    #[serde(rename = "class_threads")]
    pub threads_by_class: Vec<f64>,
    /// By request class: whether it stands still while a bulk load holds its table group on the same engine.
    #[serde(rename = "yields_to_loads")]
    pub waits_for_bulk_loads_by_class: Vec<bool>,
    /// By kind of machine: its cores.
    #[serde(rename = "cpu_of_kind")]
    pub cores_by_kind: Vec<f64>,
    /// By kind of machine: its memory in megabytes.
    pub memory_by_kind_mb: Vec<f64>,
    /// Whether engines heed the priority given with an attempt.
    #[serde(rename = "lanes_count")]
    pub priorities: bool,
    /// Whether engines heed the memory grant given with an attempt.
    #[serde(rename = "takes_grants")]
    pub memory_grants: bool,
    /// Time between two progress reports of an attempt; zero for none.
    #[serde(rename = "note_period_us")]
    pub progress_interval_us: u64,
    /// Whether engines state with a response what the attempt used.
    #[serde(rename = "says_cost")]
    pub reports_usage: bool,
}

/// Figures of the safety rules.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Obligations")]
pub struct SafetySettings {
    /// Where discovery is polled, a front that has not asked for so long counts as notified of the list as it is.
    #[serde(rename = "ask_within_us")]
    pub discovery_poll_deadline_us: u64,
    /// What an engine that has just started can do, as a share of what it does when warm, from 0 to 1.
    #[serde(rename = "cold_from")]
    pub slow_start_share: f64,
    /// For how long after its start an engine warms up.
    #[serde(rename = "cold_us")]
    pub slow_start_window_us: u64,
    /// After a front has been notified that an engine drains, an attempt may still begin there for so long.
    pub drain_grace_us: u64,
    /// An engine that warms up fails at so many times the work that it can do within the overload window; no unit.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// The time over which the work sent to an engine that warms up is added.
    #[serde(rename = "tip_after_us")]
    pub overload_window_us: u64,
    /// How long the next request of a key waits after an attempt that may still be running.
    #[serde(rename = "settle_after_doubt_us")]
    pub unknown_outcome_delay_us: u64,
    /// Retries that are allowed in any window of the budget, however few requests there are.
    #[serde(rename = "min_extra")]
    pub free_retries: Option<f64>,
    /// Retries that are allowed besides, as a share of the window's requests.
    #[serde(rename = "extra_ratio")]
    pub retry_ratio: Option<f64>,
    /// The window of the retry budget; `None` for no budget.
    #[serde(rename = "resend_span_us")]
    pub retry_budget_window_us: Option<u64>,
}

/// Load reports of engines.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Report")]
pub struct LoadReportSettings {
    /// Names of the values, in the order in which reports hold them.
    pub fields: Vec<String>,
    /// What they come with: `inline` for responses, `on_probe` for probes, all else for nothing.
    #[serde(rename = "via")]
    pub sent_with: String,
}
