//! The settings object. Its `rename` attributes are the only mapping from the names in the settings to those in
//! the code. Names that end in `_us` are times in microseconds. Unknown keys are ignored.

use serde::Deserialize;

/// Settings of a deployment, the same for every front except for its index and zone.
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
    /// Interval between two decisions of the gateway.
    pub tick_us: u64,
    /// Optional features that fronts may use, and their limits.
    #[serde(rename = "ceilings")]
    pub capabilities: CapabilitySettings,
    /// Costs of operations.
    #[serde(rename = "prices", default)]
    pub costs: CostSettings,
    /// Request classes, in the order of their indices.
    #[serde(rename = "classes")]
    pub request_classes: Vec<RequestClassSettings>,
    /// Behavior of clients.
    #[serde(rename = "client_habits", default)]
    pub clients: ClientSettings,
    /// Delivery of endpoint updates to fronts: `on_request` if fronts poll for them; any other value if they are
    /// pushed.
    pub discovery: String,
    /// Properties of engines.
    #[serde(rename = "family_info")]
    pub engines: EngineSettings,
    /// Parameters of the safety rules.
    #[serde(rename = "obligations")]
    pub safety_rules: SafetySettings,
    /// Form of the load reports of engines.
    #[serde(rename = "report", default)]
    pub load_report: LoadReportSettings,
    /// Names of the zones, in the order of their indices.
    #[serde(rename = "areas", default)]
    pub zones: Vec<String>,
    /// Names of the machine kinds, in the order of their indices.
    #[serde(rename = "kinds", default)]
    pub machine_kinds: Vec<String>,
}

/// Behavior of clients.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Habits")]
pub struct ClientSettings {
    /// Clients mark the requests that they retry.
    #[serde(rename = "marks_retry")]
    pub marks_retries: bool,
}

/// Optional features that fronts may use, and their limits.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Ceilings")]
pub struct CapabilitySettings {
    /// Fronts may cancel an attempt in flight.
    pub cancel: bool,
    /// Timeout of a connection attempt to an engine.
    pub connect_timeout_us: u64,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Longest retry-after time that a rejection may carry.
    pub max_retry_after_us: u64,
    /// Fronts may send messages to each other.
    #[serde(rename = "peers")]
    pub peer_messages: bool,
    /// Fronts may probe the load of an engine.
    pub probes: bool,
    /// A rejection may carry a retry-after time.
    pub retry_after: bool,
    /// Two attempts of one request may be in flight at once (hedged requests).
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Engines close a connection that has been idle for this long.
    #[serde(rename = "conn_idle_us")]
    pub idle_timeout_us: u64,
    /// Maximum number of concurrent attempts on one connection to an engine.
    #[serde(rename = "streams_per_conn")]
    pub max_streams_per_connection: usize,
    /// Maximum number of open requests of one front.
    #[serde(rename = "open_cap")]
    pub max_open_requests: usize,
}

/// Costs of operations. Each is what one operation per request costs, as a share of the request's priority
/// weight.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Prices")]
pub struct CostSettings {
    /// A load probe.
    pub probe: f64,
    /// A new connection to an engine.
    pub handshake: f64,
}

/// Settings of a request class.
#[derive(Deserialize)]
#[serde(expecting = "struct Class")]
pub struct RequestClassSettings {
    /// Name of the class, which requests refer to.
    #[serde(default)]
    pub name: String,
    /// Factor of the part of the latency objective that grows with the work of a request; no unit. See
    /// `latency_objective_us`.
    #[serde(rename = "aim_stretch", default)]
    pub objective_work_factor: f64,
    /// Fixed part of the latency objective. A response is in time if it arrives within this time plus
    /// `objective_work_factor` × work of the request ÷ threads of the class.
    #[serde(rename = "aim_us")]
    pub latency_objective_us: u64,
    /// Idempotency of the requests of the class.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencySetting,
    /// The engines among which requests with a repeated idempotency key are dropped.
    #[serde(rename = "group", default)]
    pub deduplication_scope: ScopeSetting,
    /// Longest time that a client waits, including its retries.
    #[serde(rename = "hard_limit_us")]
    pub deadline_us: u64,
    /// Retention time of an idempotency key: repeats are dropped for this long after the first attempt.
    #[serde(rename = "key_ttl_us", default)]
    pub key_retention_us: u64,
    /// Value of a late response, as a share of the priority weight, from 0 to 1.
    #[serde(rename = "late_value", default)]
    pub late_value_share: f64,
    /// Value of a response in time, relative to other classes; no unit.
    #[serde(rename = "points")]
    pub priority_weight: f64,
    /// Whether requests with the same key run one at a time, in the order of arrival.
    #[serde(rename = "by_arrival", default)]
    pub ordered: bool,
    /// Indices of the zones that its requests may be sent to; `None` for all.
    #[serde(rename = "areas_open")]
    pub allowed_zones: Option<Vec<u32>>,
    /// Indices of the machine kinds that its requests may be sent to; `None` for all.
    #[serde(rename = "kinds_open")]
    pub allowed_machine_kinds: Option<Vec<u32>>,
}

/// Idempotency of a request: whether it may run more than once.
#[derive(Deserialize, Clone, Copy)]
pub enum IdempotencySetting {
    /// It may run any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// It carries an idempotency key, and may be sent again while engines drop repeats of that key.
    #[serde(rename = "keyed")]
    IdempotencyKeyed,
    /// It must never run twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The engines among which requests with a repeated idempotency key are dropped.
#[derive(Deserialize, Clone, Copy, Default)]
pub enum ScopeSetting {
    /// All engines.
    #[default]
    #[serde(rename = "all")]
    Everywhere,
    /// The engines of the zone of the first attempt.
    #[serde(rename = "zone")]
    Zone,
    /// The engines of the cell of the first attempt.
    #[serde(rename = "cell")]
    Cell,
}

/// Properties of engines. Lists are indexed by request class or by machine kind.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Family")]
pub struct EngineSettings {
    /// By request class: whether it is a bulk load, which holds its table group on its engine while it runs.
    #[serde(rename = "class_load")]
    pub bulk_load_by_class: Vec<bool>,
    /// By request class: the threads that a request runs on.
    #[serde(rename = "class_threads")]
    pub threads_by_class: Vec<f64>,
    /// By request class: whether a request waits while a bulk load holds its table group on the same engine.
    #[serde(rename = "yields_to_loads")]
    pub waits_for_bulk_loads_by_class: Vec<bool>,
    /// By machine kind: cores of one machine.
    #[serde(rename = "cpu_of_kind")]
    pub cores_by_kind: Vec<f64>,
    /// By machine kind: memory of one machine, in MB.
    pub memory_by_kind_mb: Vec<f64>,
    /// Whether engines apply the priority sent with an attempt.
    #[serde(rename = "lanes_count")]
    pub priorities: bool,
    /// Whether engines apply the memory grant sent with an attempt.
    #[serde(rename = "takes_grants")]
    pub memory_grants: bool,
    /// Interval between two progress reports of an attempt; zero if engines send none.
    #[serde(rename = "note_period_us")]
    pub progress_interval_us: u64,
    /// Whether engines report the resources that an attempt used.
    #[serde(rename = "says_cost")]
    pub reports_usage: bool,
}

/// Parameters of the safety rules.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Obligations")]
pub struct SafetySettings {
    /// If discovery is polled, a front that has not polled for this long counts as notified of the current
    /// endpoint list.
    #[serde(rename = "ask_within_us")]
    pub discovery_poll_deadline_us: u64,
    /// Capacity of an engine that has just started, as a share of its capacity when warmed up, from 0 to 1.
    #[serde(rename = "cold_from")]
    pub slow_start_share: f64,
    /// Length of an engine's slow start, from its start on.
    #[serde(rename = "cold_us")]
    pub slow_start_window_us: u64,
    /// Grace period of a drain: for this long after a front has been notified, its attempts may still start on the
    /// draining engine.
    pub drain_grace_us: u64,
    /// An engine in slow start fails at this multiple of the work that it can do within the overload window; no
    /// unit.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// Window over which the work sent to an engine in slow start is summed.
    #[serde(rename = "tip_after_us")]
    pub overload_window_us: u64,
    /// Delay of the next request with the same key after an attempt with an unknown outcome, which may still run.
    #[serde(rename = "settle_after_doubt_us")]
    pub unknown_outcome_delay_us: u64,
    /// Retries allowed in any window of the budget, independent of the number of requests. `None` counts as 0.
    #[serde(rename = "min_extra")]
    pub free_retries: Option<f64>,
    /// Retries allowed in addition, as a share of the requests in the window. `None` counts as 0.
    #[serde(rename = "extra_ratio")]
    pub retry_ratio: Option<f64>,
    /// The window of the retry budget; `None` for no budget.
    #[serde(rename = "resend_span_us")]
    pub retry_budget_window_us: Option<u64>,
}

/// Form of the load reports of engines.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct Report")]
pub struct LoadReportSettings {
    /// Names of the values, in the order in which reports hold them.
    pub fields: Vec<String>,
    /// When engines send a load report: `inline` with replies to attempts, `on_probe` with replies to probes;
    /// with any other value never.
    #[serde(rename = "via")]
    pub sent_with: String,
}
