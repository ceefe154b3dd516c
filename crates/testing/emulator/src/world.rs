use crate::settings::{Clients, Probes, ReportedWith, Reports, Runaways, Watch};
use lemonusher::{
    Capabilities, Deployment, Idempotency, MachineKind, RequestClassConfig, RetryBudget, SafetyRules,
};
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// What one file states.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    pub seconds: f64,
    pub fronts: u32,
    /// Requests a second, over all fronts.
    pub per_second: f64,
    /// Share of clients that ask again after they were pushed back.
    #[serde(default)]
    pub ask_again: f64,
    /// Times the load between these seconds.
    #[serde(default)]
    pub surge: Option<Surge>,
    #[serde(default = "World::drain_grace")]
    pub drain_grace: f64,
    #[serde(default = "World::cold_for")]
    pub cold_for: f64,
    #[serde(default = "World::cold_from")]
    pub cold_from: f64,
    /// A cold engine that is sent more than so many times what its cores do cold, in any window of so many
    /// seconds, falls over.
    #[serde(default = "World::fall_multiple")]
    pub fall_multiple: f64,
    #[serde(default = "World::fall_after")]
    pub fall_after: f64,
    /// Seconds until what fell over has started again; without it, nothing falls over.
    #[serde(default)]
    pub fallen_for: Option<f64>,
    /// Whether fronts may cancel what is out, and engines drop what has expired by themselves.
    #[serde(default = "World::yes")]
    pub cancel: bool,
    #[serde(default = "World::yes")]
    pub drops_expired: bool,
    /// Seconds until a connection to an engine that has gone is known to have failed.
    #[serde(default)]
    pub refused_after: f64,
    /// How unevenly fronts draw traffic: zero for all alike, one for an exponential spread.
    #[serde(default)]
    pub uneven: f64,
    /// Seconds between the progress notes of a running request; without it, none are sent.
    #[serde(default)]
    pub notes: Option<f64>,
    #[serde(default)]
    pub reports: Option<Reports>,
    #[serde(default)]
    pub probes: Option<Probes>,
    #[serde(default)]
    pub clients: Option<Clients>,
    #[serde(default)]
    pub watch: Option<Watch>,
    #[serde(default)]
    pub runaways: Option<Runaways>,
    /// Further attempts allowed: so many, and so many a request, in ten seconds.
    #[serde(default)]
    pub budget: Option<(f64, f64)>,
    pub engines: Vec<EngineKind>,
    pub groups: Vec<Group>,
    #[serde(default)]
    pub failures: Vec<Failure>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    pub from: f64,
    pub to: f64,
    pub times: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineKind {
    pub count: u32,
    #[serde(default)]
    pub location: u32,
    pub cores: f64,
    pub memory_mb: f64,
    /// Part of the work that is lost for each time over that threads outnumber cores.
    #[serde(default = "EngineKind::loss")]
    pub loss: f64,
    /// Threads per core up to which nothing slows down.
    #[serde(default = "EngineKind::one")]
    pub knee: f64,
    /// Part of its time that a running thread is on a core.
    #[serde(default = "EngineKind::one")]
    pub on_cores: f64,
    /// Requests that run at once, and that wait for a slot; beyond, the engine is full.
    #[serde(default)]
    pub slots: Option<usize>,
    #[serde(default)]
    pub queue: Option<usize>,
    /// An engine keeps so many table groups warm, those used last, and reads them faster.
    #[serde(default)]
    pub warm_groups: usize,
    /// Part of the time for reading that is saved on a warm table group.
    #[serde(default)]
    pub warm_gain: f64,
    /// Each engine's speed is off by up to this share.
    #[serde(default)]
    pub spread: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: String,
    /// Part of the requests.
    pub share: f64,
    /// Work of all threads, in seconds: the mean of an exponential.
    pub work: f64,
    pub threads: f64,
    pub memory_mb: f64,
    pub goal: f64,
    pub limit: f64,
    #[serde(default)]
    pub once_only: bool,
    #[serde(default)]
    pub load: bool,
    /// Requests of one key run in turn; so many keys.
    #[serde(default)]
    pub keys: u64,
    pub tables: u64,
    /// How much more the first table groups are asked for than later ones: the exponent of a Zipf law.
    #[serde(default)]
    pub zipf: f64,
    #[serde(default)]
    pub locations: Option<Vec<u32>>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Failure {
    pub at: f64,
    #[serde(flatten)]
    pub what: What,
}

/// What is done to an engine or a front, by number from zero.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what", deny_unknown_fields)]
pub enum What {
    /// The engine dies with all that it runs, and starts cold after this time.
    Kill { engine: usize, back: f64 },
    /// It answers nothing for a while; what it runs goes on.
    Silent { engine: usize, back: f64 },
    /// It works so many times slower for a while.
    Slow { engine: usize, times: f64, back: f64 },
    /// It is told to go, and is gone after the grace; a new one starts cold after this time.
    Drain { engine: usize, back: f64 },
    /// All engines of a zone die.
    Hall { location: u32, back: f64 },
    /// A share of the engines goes, spread over so many seconds; for each, a new one joins at once, cold.
    Replace { share: f64, over: f64, manner: Manner },
    /// The front starts over and knows nothing but the list.
    Restart { front: usize },
}

/// How an engine that is replaced goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Manner {
    /// At once, with all that it runs.
    Vanish,
    /// It is told to go and ends what it runs within twice the grace.
    Drain,
}

/// Why a file is no world.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorldError {
    pub line: Option<usize>,
    pub what: String,
}

impl fmt::Display for WorldError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.what),
            None => f.write_str(&self.what),
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
        self.warm_gain * (1.0 - self.on_cores)
    }
}

pub(crate) fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

impl World {
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

    pub fn parse(text: &str) -> Result<World, WorldError> {
        let world: World = toml::from_str(text).map_err(|error| WorldError {
            line: error.span().map(|span| text[..span.start].matches('\n').count() + 1),
            what: error.message().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        let wrong = |what: &str| Err(WorldError { line: None, what: what.to_owned() });
        let engines: u32 = world.engines.iter().map(|kind| kind.count).sum();
        if world.groups.is_empty() || engines == 0 || world.fronts == 0 {
            return wrong("a world has a front, an engine and a service group at least");
        }
        let shares: f64 = world.groups.iter().map(|group| group.share).sum();
        if (shares - 1.0).abs() > 1e-6 {
            return wrong("the shares of the service groups come to 1");
        }
        let positive = world.groups.iter().all(|g| g.work > 0.0 && g.threads > 0.0 && g.limit > 0.0);
        if !(positive && world.seconds > 0.0 && world.per_second > 0.0) {
            return wrong("times, work, threads and rates are above zero");
        }
        for failure in &world.failures {
            let fits = match failure.what {
                What::Kill { engine, .. }
                | What::Silent { engine, .. }
                | What::Slow { engine, .. }
                | What::Drain { engine, .. } => engine < engines as usize,
                What::Hall { location, .. } => world.engines.iter().any(|kind| kind.location == location),
                What::Replace { share, over, .. } => (0.0..=1.0).contains(&share) && over > 0.0,
                What::Restart { front } => front < world.fronts as usize,
            };
            if !fits {
                return wrong("a failure names an engine, location or front that there is not");
            }
        }
        Ok(world)
    }

    /// Seconds of work that all engines can do in a second when warm, without loss.
    pub fn capacity(&self) -> f64 {
        self.engines.iter().map(|kind| f64::from(kind.count) * kind.cores * kind.knee).sum()
    }

    /// What the fronts are told.
    pub fn deployment(&self, number: u32) -> Deployment {
        let terms = |group: &Group| RequestClassConfig {
            latency_objective: span(group.goal),
            objective_work_factor: 1.5,
            deadline: span(group.limit),
            priority_weight: 1.0,
            late_value_share: 0.5,
            idempotency: if group.once_only { Idempotency::NonIdempotent } else { Idempotency::Idempotent },
            ordered: group.keys > 0,
            allowed_zones: group.locations.clone(),
            threads: group.threads,
            bulk_load: group.load,
            waits_for_bulk_loads: !group.load,
            ..RequestClassConfig::default()
        };
        let machine = |kind: &EngineKind| MachineKind { cores: kind.cores, memory_mb: kind.memory_mb };
        Deployment {
            fronts: self.fronts,
            front_index: number,
            request_classes: self.groups.iter().map(terms).collect(),
            machine_kinds: self.engines.iter().map(machine).collect(),
            tick: Duration::from_millis(5),
            capabilities: Capabilities {
                cancel: self.cancel,
                probes: self.probes.is_some(),
                retry_after: true,
                max_retry_after: Duration::from_secs(2),
                max_attempts: 4,
                connect_timeout: Duration::from_millis(250),
                ..Capabilities::default()
            },
            safety_rules: SafetyRules {
                drain_grace: span(self.drain_grace),
                slow_start_share: self.cold_from,
                slow_start_window: span(self.cold_for),
                overload_factor: self.fall_multiple,
                overload_window: span(self.fall_after),
                unknown_outcome_delay: Duration::from_millis(700),
                discovery_poll_deadline: Duration::from_secs(10),
                retry_budget: self.budget.map(|(free, share)| RetryBudget {
                    free_retries: free,
                    retry_ratio: share,
                    window: Duration::from_secs(10),
                }),
            },
            probe_cost: self.probes.map_or(0.0, |probes| probes.price),
            load_reporting: self.reports.as_ref().map_or(lemonusher::LoadReporting::None, |reports| {
                match reports.how {
                    ReportedWith::Nothing => lemonusher::LoadReporting::None,
                    ReportedWith::Answers => lemonusher::LoadReporting::WithResponses,
                    ReportedWith::Probes => lemonusher::LoadReporting::WithProbes,
                }
            }),
            progress_interval: span(self.notes.unwrap_or(1.0)),
            retries_marked: self.clients.is_none_or(|clients| clients.marked),
            ..Deployment::default()
        }
    }
}
