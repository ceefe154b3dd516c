//! A simulated deployment, as a TOML file states it. Keys are mapped to the code's names by `rename` attributes; fields
//! that end in `_s` are in seconds.

use crate::settings::{ClientBehavior, DiscoveryDelays, LoadReports, Probes, Runaways};
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// What one file states.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SimulatedDeployment {
    /// For how long requests arrive.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Number of fronts.
    pub fronts: u32,
    /// Requests a second, over all fronts.
    #[serde(rename = "per_second")]
    pub requests_per_second: f64,
    /// Share of clients that ask again after they were pushed back.
    #[serde(rename = "ask_again", default)]
    pub retry_share: f64,
    /// Times the load between these seconds.
    #[serde(default)]
    pub surge: Option<Surge>,
    /// Attempts may begin at a draining engine for so long.
    #[serde(rename = "drain_grace", default = "SimulatedDeployment::drain_grace")]
    pub drain_grace_s: f64,
    /// A started engine warms up for so long.
    #[serde(rename = "cold_for", default = "SimulatedDeployment::cold_for")]
    pub slow_start_s: f64,
    /// What an engine can do at its start, as a share of what it can do when warm.
    #[serde(rename = "cold_from", default = "SimulatedDeployment::cold_from")]
    pub slow_start_share: f64,
    /// An engine that warms up fails when it is sent so many times what its cores do at their start, in any
    /// overload window.
    #[serde(rename = "fall_multiple", default = "SimulatedDeployment::fall_multiple")]
    pub overload_factor: f64,
    /// The window of the overload.
    #[serde(rename = "fall_after", default = "SimulatedDeployment::fall_after")]
    pub overload_window_s: f64,
    /// Seconds until an overloaded engine has started again; without it, none fails so.
    #[serde(rename = "fallen_for", default)]
    pub overload_restart_s: Option<f64>,
    /// Whether fronts may cancel attempts in flight.
    #[serde(default = "SimulatedDeployment::yes")]
    pub cancel: bool,
    /// Whether engines drop what has expired by themselves.
    #[serde(rename = "drops_expired", default = "SimulatedDeployment::yes")]
    pub engines_drop_expired: bool,
    /// Seconds until a connection to a removed engine is known to have failed.
    #[serde(rename = "refused_after", default)]
    pub refusal_delay_s: f64,
    /// How unevenly fronts draw traffic: zero for all alike, one for an exponential spread.
    #[serde(rename = "uneven", default)]
    pub traffic_spread: f64,
    /// Seconds between the progress reports of a running request; without it, none are sent.
    #[serde(rename = "notes", default)]
    pub progress_interval_s: Option<f64>,
    /// Load reports of engines, if there are any.
    #[serde(rename = "reports", default)]
    pub load_reports: Option<LoadReports>,
    /// Probes, if fronts may send them.
    #[serde(default)]
    pub probes: Option<Probes>,
    /// How clients behave, beyond `retry_share`.
    #[serde(default)]
    pub clients: Option<ClientBehavior>,
    /// Delays of discovery; without it all fronts learn of a change at once.
    #[serde(rename = "watch", default)]
    pub discovery: Option<DiscoveryDelays>,
    /// Requests of much work.
    #[serde(default)]
    pub runaways: Option<Runaways>,
    /// Further attempts allowed: so many, and so many a request, in ten seconds.
    #[serde(rename = "budget", default)]
    pub retry_budget: Option<(f64, f64)>,
    /// Engines, by kind.
    pub engines: Vec<EngineKind>,
    /// Request classes.
    #[serde(rename = "groups")]
    pub request_classes: Vec<RequestClass>,
    /// Failures, in any order.
    #[serde(default)]
    pub failures: Vec<Failure>,
}

/// A time of higher load.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Second at which it begins.
    pub from: f64,
    /// Second at which it ends.
    pub to: f64,
    /// How many times the usual rate requests arrive at.
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
    /// Cores of each.
    pub cores: f64,
    /// Memory of each, in megabytes.
    pub memory_mb: f64,
    /// Part of the work that is lost for each time over that threads outnumber cores.
    #[serde(rename = "loss", default = "EngineKind::loss")]
    pub thrashing_loss: f64,
    /// Threads per core up to which nothing slows down.
    #[serde(rename = "knee", default = "EngineKind::one")]
    pub max_threads_per_core: f64,
    /// Part of its time that a running thread is on a core.
    #[serde(rename = "on_cores", default = "EngineKind::one")]
    pub cpu_share: f64,
    /// Requests that run at once, and that wait for a slot; beyond, the engine is full.
    #[serde(default)]
    pub slots: Option<usize>,
    /// Requests that wait for a slot at most.
    #[serde(rename = "queue", default)]
    pub queue_length: Option<usize>,
    /// An engine keeps so many table groups warm, those used last, and reads them faster.
    #[serde(rename = "warm_groups", default)]
    pub cached_table_groups: usize,
    /// Part of the time for reading that is saved on a warm table group.
    #[serde(rename = "warm_gain", default)]
    pub cached_read_gain: f64,
    /// Each engine's speed is off by up to this share.
    #[serde(rename = "spread", default)]
    pub speed_spread: f64,
}

/// A request class.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Part of the requests.
    pub share: f64,
    /// Work of all threads, in seconds: the mean of an exponential.
    #[serde(rename = "work")]
    pub mean_work_s: f64,
    /// Threads that a request runs on.
    pub threads: f64,
    /// Memory in megabytes that a request takes.
    pub memory_mb: f64,
    /// Latency objective, without the work.
    #[serde(rename = "goal")]
    pub latency_objective_s: f64,
    /// The longest that a client waits, over all its tries.
    #[serde(rename = "limit")]
    pub deadline_s: f64,
    /// Whether a request must not run twice.
    #[serde(rename = "once_only", default)]
    pub is_non_idempotent: bool,
    /// Whether it is a bulk load, which holds its table group.
    #[serde(rename = "load", default)]
    pub is_bulk_load: bool,
    /// Requests of one key run in turn; so many keys.
    #[serde(default)]
    pub keys: u64,
    /// Number of table groups.
    #[serde(rename = "tables")]
    pub table_groups: u64,
    /// How much more the first table groups are used than later ones: the exponent of a Zipf law.
    #[serde(rename = "zipf", default)]
    pub zipf_exponent: f64,
    /// The only zones that it may go to; `None` for all.
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

/// What is done to an engine or a front, by number from zero.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what", deny_unknown_fields)]
pub enum FailureKind {
    /// The engine dies with all that it runs, and starts again after this time.
    Kill {
        /// The engine.
        engine: usize,
        /// Seconds until it is over.
        back: f64,
    },
    /// It answers nothing for a while, but runs on.
    Silent {
        /// The engine.
        engine: usize,
        /// Seconds until it is over.
        back: f64,
    },
    /// It works so many times slower for a while.
    Slow {
        /// The engine.
        engine: usize,
        /// How many times slower.
        times: f64,
        /// Seconds until it is over.
        back: f64,
    },
    /// It is told to go, and is gone after the grace; a new one starts again after this time.
    Drain {
        /// The engine.
        engine: usize,
        /// Seconds until it is over.
        back: f64,
    },
    /// All engines of a zone die.
    #[serde(rename = "hall")]
    KillZone {
        /// Index of the zone.
        location: u32,
        /// Seconds until it is over.
        back: f64,
    },
    /// A share of the engines is replaced, spread over so many seconds; for each, a new one starts at once.
    Replace {
        /// Share of the engines, from 0 to 1.
        share: f64,
        /// Seconds over which they are spread.
        over: f64,
        /// How they leave.
        manner: ReplacementManner,
    },
    /// The front starts over and knows nothing but the list.
    Restart {
        /// The front.
        front: usize,
    },
}

/// How an engine that is replaced leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplacementManner {
    /// At once, with all that it runs.
    Vanish,
    /// It drains, and finishes what it runs within twice the grace.
    Drain,
}

/// Why a file is no world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentError {
    /// Line of the file, if it is known.
    pub line: Option<usize>,
    /// What is wrong.
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
    fn loss() -> f64 {
        0.15
    }

    fn one() -> f64 {
        1.0
    }

    /// Part of a request's work that is saved on a warm table group: only reading is faster, and what a running thread
    /// does off the cores is taken to be reading.
    pub(crate) fn warm_saves(&self) -> f64 {
        self.cached_read_gain * (1.0 - self.cpu_share)
    }
}

pub(crate) fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

impl SimulatedDeployment {
    fn drain_grace() -> f64 {
        2.0
    }

    fn cold_for() -> f64 {
        14.0
    }

    fn cold_from() -> f64 {
        0.34
    }

    fn fall_multiple() -> f64 {
        3.0
    }

    fn fall_after() -> f64 {
        1.5
    }

    fn yes() -> bool {
        true
    }

    /// Reads a TOML file's text, and checks it.
    pub fn parse(text: &str) -> Result<SimulatedDeployment, DeploymentError> {
        let world: SimulatedDeployment = toml::from_str(text).map_err(|error| DeploymentError {
            line: error.span().map(|span| text[..span.start].matches('\n').count() + 1),
            message: error.message().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        let wrong = |what: &str| Err(DeploymentError { line: None, message: what.to_owned() });
        let engines: u32 = world.engines.iter().map(|kind| kind.count).sum();
        if world.request_classes.is_empty() || engines == 0 || world.fronts == 0 {
            return wrong("a world has a front, an engine and a service group at least");
        }
        let shares: f64 = world.request_classes.iter().map(|group| group.share).sum();
        if (shares - 1.0).abs() > 1e-6 {
            return wrong("the shares of the service groups come to 1");
        }
        let positive = world
            .request_classes
            .iter()
            .all(|g| g.mean_work_s > 0.0 && g.threads > 0.0 && g.deadline_s > 0.0);
        if !(positive && world.duration_s > 0.0 && world.requests_per_second > 0.0) {
            return wrong("times, work, threads and rates are above zero");
        }
        for failure in &world.failures {
            let fits = match failure.what {
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
            if !fits {
                return wrong("a failure names an engine, location or front that there is not");
            }
        }
        Ok(world)
    }

    /// Seconds of work that all engines can do in a second when warm, without loss.
    pub fn capacity(&self) -> f64 {
        self.engines.iter().map(|kind| f64::from(kind.count) * kind.cores * kind.max_threads_per_core).sum()
    }
}
