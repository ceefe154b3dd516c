//! A simulated deployment, as a TOML file states it. Keys are mapped to the code's names by `rename` attributes;
//! fields that end in `_s` are in seconds.

use crate::settings::{ClientBehavior, DiscoveryDelays, LoadReports, Probes, Runaways};
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// A simulated deployment, as one file states it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SimulatedDeployment {
    /// Time during which requests arrive.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Number of fronts.
    pub fronts: u32,
    /// Requests per second, over all fronts.
    #[serde(rename = "per_second")]
    pub requests_per_second: f64,
    /// Share of rejected requests that clients retry, if `clients` is not stated.
    #[serde(rename = "ask_again", default)]
    pub retry_share: f64,
    /// A period of higher load.
    #[serde(default)]
    pub surge: Option<Surge>,
    /// Time during which attempts may still begin at a draining engine.
    #[serde(rename = "drain_grace", default = "SimulatedDeployment::default_drain_grace_s")]
    pub drain_grace_s: f64,
    /// Time from an engine's start until full speed.
    #[serde(rename = "cold_for", default = "SimulatedDeployment::default_slow_start_s")]
    pub slow_start_s: f64,
    /// Speed of an engine at its start, as a share of full speed.
    #[serde(rename = "cold_from", default = "SimulatedDeployment::default_slow_start_share")]
    pub slow_start_share: f64,
    /// An engine that warms up fails if the work sent to it within an overload window exceeds this multiple of
    /// what its cores can do in the window at starting speed.
    #[serde(rename = "fall_multiple", default = "SimulatedDeployment::default_overload_factor")]
    pub overload_factor: f64,
    /// Length of the overload window.
    #[serde(rename = "fall_after", default = "SimulatedDeployment::default_overload_window_s")]
    pub overload_window_s: f64,
    /// Time until an overloaded engine has restarted. If `None`, engines do not fail by overload.
    #[serde(rename = "fallen_for", default)]
    pub overload_restart_s: Option<f64>,
    /// Whether fronts may cancel attempts in flight.
    #[serde(default = "SimulatedDeployment::default_true")]
    pub cancel: bool,
    /// Whether engines drop expired requests by themselves.
    #[serde(rename = "drops_expired", default = "SimulatedDeployment::default_true")]
    pub engines_drop_expired: bool,
    /// Time until a connection to a removed engine fails.
    #[serde(rename = "refused_after", default)]
    pub refusal_delay_s: f64,
    /// Spread of the fronts' shares of the traffic, from 0 (all equal) to 1 (exponentially distributed).
    #[serde(rename = "uneven", default)]
    pub traffic_spread: f64,
    /// Time between two progress reports of a running request. If `None`, none are sent.
    #[serde(rename = "notes", default)]
    pub progress_interval_s: Option<f64>,
    /// Load reports of engines; `None` for no reports.
    #[serde(rename = "reports", default)]
    pub load_reports: Option<LoadReports>,
    /// Probes; `None` if fronts may not send any.
    #[serde(default)]
    pub probes: Option<Probes>,
    /// Retries and early give-ups of clients. Replaces `retry_share`.
    #[serde(default)]
    pub clients: Option<ClientBehavior>,
    /// Delays of endpoint updates. If `None`, all fronts receive an update after the same fixed delay.
    #[serde(rename = "watch", default)]
    pub discovery: Option<DiscoveryDelays>,
    /// Requests with many times the usual work.
    #[serde(default)]
    pub runaways: Option<Runaways>,
    /// Retry budget of a front in ten seconds: free retries, and retries per request. `None` for no budget.
    #[serde(rename = "budget", default)]
    pub retry_budget: Option<(f64, f64)>,
    /// Kinds of engines.
    pub engines: Vec<EngineKind>,
    /// Request classes.
    #[serde(rename = "groups")]
    pub request_classes: Vec<RequestClass>,
    /// Failures, in any order.
    #[serde(default)]
    pub failures: Vec<Failure>,
}

/// A period of higher load.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Second at which it begins.
    pub from: f64,
    /// Second at which it ends.
    pub to: f64,
    /// Factor on the usual rate of requests.
    pub times: f64,
}

/// A kind of engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineKind {
    /// Number of engines of this kind.
    pub count: u32,
    /// Index of their zone.
    #[serde(rename = "location", default)]
    pub zone: u32,
    /// Number of cores of each engine.
    pub cores: f64,
    /// Memory of each engine, in megabytes.
    pub memory_mb: f64,
    /// Thrashing loss. If threads exceed what runs without slowdown by the factor `r`, the engine's total work
    /// drops to `1 / (1 + thrashing_loss * (r - 1))`.
    #[serde(rename = "loss", default = "EngineKind::default_thrashing_loss")]
    pub thrashing_loss: f64,
    /// Threads per core up to which requests run without slowdown.
    #[serde(rename = "knee", default = "EngineKind::default_one")]
    pub max_threads_per_core: f64,
    /// Share of its time that a running thread uses a core, from 0 to 1.
    #[serde(rename = "on_cores", default = "EngineKind::default_one")]
    pub cpu_share: f64,
    /// Maximum number of requests that run at once; `None` for no limit.
    #[serde(default)]
    pub slots: Option<usize>,
    /// Maximum number of requests that wait for a slot; beyond it, the engine rejects. `None` for no limit.
    #[serde(rename = "queue", default)]
    pub queue_length: Option<usize>,
    /// Number of table groups that an engine caches, in LRU order. A cached table group is read faster.
    #[serde(rename = "warm_groups", default)]
    pub cached_table_groups: usize,
    /// Share of the reading time that is saved on a cached table group, from 0 to 1.
    #[serde(rename = "warm_gain", default)]
    pub cached_read_gain: f64,
    /// Largest relative deviation of an engine's speed, from 0 to 1.
    #[serde(rename = "spread", default)]
    pub speed_spread: f64,
}

/// A request class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Share of the requests, from 0 to 1.
    pub share: f64,
    /// Mean work of a request over all its threads, in seconds. The work is exponentially distributed.
    #[serde(rename = "work")]
    pub mean_work_s: f64,
    /// Number of threads that a request runs on.
    pub threads: f64,
    /// Memory that a request takes, in megabytes.
    pub memory_mb: f64,
    /// Latency objective, without the part that depends on the request's work.
    #[serde(rename = "goal")]
    pub latency_objective_s: f64,
    /// Longest time that a client waits: over all tries of a request if `clients` is stated, otherwise for each try.
    #[serde(rename = "limit")]
    pub deadline_s: f64,
    /// Whether a request must not run twice.
    #[serde(rename = "once_only", default)]
    pub is_non_idempotent: bool,
    /// Whether it is a bulk load. While it runs, requests of its table group that are not bulk loads make no progress.
    #[serde(rename = "load", default)]
    pub is_bulk_load: bool,
    /// Number of keys; 0 for none. A front sends requests with the same key one at a time, in order of arrival.
    #[serde(default)]
    pub keys: u64,
    /// Number of table groups.
    #[serde(rename = "tables")]
    pub table_groups: u64,
    /// Exponent of the Zipf distribution of requests over table groups; 0 for a uniform one.
    #[serde(rename = "zipf", default)]
    pub zipf_exponent: f64,
    /// Zones that it may be sent to; `None` for all.
    #[serde(rename = "locations", default)]
    pub allowed_zones: Option<Vec<u32>>,
}

/// A failure of an engine or a front.
#[derive(Debug, Clone, Deserialize)]
pub struct Failure {
    /// Second at which it begins.
    pub at: f64,
    /// What fails.
    #[serde(flatten)]
    pub what: FailureKind,
}

/// Kind of a failure. Engines and fronts are numbered from zero.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what", deny_unknown_fields)]
pub enum FailureKind {
    /// The engine fails, loses all that it runs, and restarts after `back` seconds.
    Kill {
        /// Number of the engine.
        engine: usize,
        /// Seconds until it restarts.
        back: f64,
    },
    /// The engine sends no replies for a time, but continues to run requests.
    Silent {
        /// Number of the engine.
        engine: usize,
        /// Seconds until it sends replies again.
        back: f64,
    },
    /// The engine is slower for a time.
    Slow {
        /// Number of the engine.
        engine: usize,
        /// Slowdown factor.
        times: f64,
        /// Seconds until it has its usual speed again.
        back: f64,
    },
    /// The engine drains, is removed after twice the drain grace, and restarts `back` seconds after that.
    Drain {
        /// Number of the engine.
        engine: usize,
        /// Seconds from its removal until it restarts.
        back: f64,
    },
    /// All engines of a zone fail, and restart after `back` seconds.
    #[serde(rename = "hall")]
    KillZone {
        /// Index of the zone.
        location: u32,
        /// Seconds until they restart.
        back: f64,
    },
    /// A share of the engines is replaced at random times. When an engine begins to leave, a new one starts.
    Replace {
        /// Share of the engines, from 0 to 1.
        share: f64,
        /// Seconds over which the replacements are spread.
        over: f64,
        /// How the replaced engines leave.
        manner: ReplacementManner,
    },
    /// The front restarts, and knows only the endpoint list.
    Restart {
        /// Number of the front.
        front: usize,
    },
}

/// How a replaced engine leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplacementManner {
    /// It fails at once and loses all that it runs.
    Vanish,
    /// It drains, and is removed after twice the drain grace.
    Drain,
}

/// Reason why a file is no valid deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentError {
    /// Line of the file, if known.
    pub line: Option<usize>,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.message),
            None => f.write_str(&self.message),
        }
    }
}

impl EngineKind {
    fn default_thrashing_loss() -> f64 {
        0.15
    }

    fn default_one() -> f64 {
        1.0
    }

    /// Share of a request's work that is saved on a cached table group. Only reading is faster; the time that a
    /// running thread spends off the cores is assumed to be reading.
    pub(crate) fn cached_work_saving(&self) -> f64 {
        self.cached_read_gain * (1.0 - self.cpu_share)
    }
}

pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

impl SimulatedDeployment {
    fn default_drain_grace_s() -> f64 {
        2.0
    }

    fn default_slow_start_s() -> f64 {
        14.0
    }

    fn default_slow_start_share() -> f64 {
        0.34
    }

    fn default_overload_factor() -> f64 {
        3.0
    }

    fn default_overload_window_s() -> f64 {
        1.5
    }

    fn default_true() -> bool {
        true
    }

    /// Parses and validates the text of a TOML file.
    pub fn parse(text: &str) -> Result<SimulatedDeployment, DeploymentError> {
        let world: SimulatedDeployment = toml::from_str(text).map_err(|error| DeploymentError {
            line: error.span().map(|span| text[..span.start].matches('\n').count() + 1),
            message: error.message().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        let wrong = |what: &str| Err(DeploymentError { line: None, message: what.to_owned() });
        let engines: u32 = world.engines.iter().map(|kind| kind.count).sum();
        if world.request_classes.is_empty() || engines == 0 || world.fronts == 0 {
            return wrong("at least one front, one engine and one service group are required");
        }
        let shares: f64 = world.request_classes.iter().map(|group| group.share).sum();
        if (shares - 1.0).abs() > 1e-6 {
            return wrong("the shares of the service groups must come to 1");
        }
        let positive = world
            .request_classes
            .iter()
            .all(|g| g.mean_work_s > 0.0 && g.threads > 0.0 && g.deadline_s > 0.0);
        if !(positive && world.duration_s > 0.0 && world.requests_per_second > 0.0) {
            return wrong("times, work, threads and rates must be above zero");
        }
        for failure in &world.failures {
            let is_valid = match failure.what {
                FailureKind::Kill { engine, .. }
                | FailureKind::Silent { engine, .. }
                | FailureKind::Slow { engine, .. }
                | FailureKind::Drain { engine, .. } => engine < engines as usize,
                FailureKind::KillZone { location, .. } => {
                    world.engines.iter().any(|kind| kind.zone == location)
                }
                FailureKind::Replace { share, over, .. } => (0.0..=1.0).contains(&share) && over > 0.0,
                FailureKind::Restart { front } => front < world.fronts as usize,
            };
            if !is_valid {
                return wrong(
                    "a failure names an engine, location or front that there is not, or a share or duration out of range",
                );
            }
        }
        Ok(world)
    }

    /// Thread-seconds of work per second that all warm engines can do without thrashing.
    pub fn capacity(&self) -> f64 {
        self.engines.iter().map(|kind| f64::from(kind.count) * kind.cores * kind.max_threads_per_core).sum()
    }
}
