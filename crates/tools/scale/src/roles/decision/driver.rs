//! Drives one gateway in virtual time: requests arrive at a constant rate, and simulated engines reply to attempts and
//! probes.

use crate::budget;
use crate::process::thread_time;
use lemonusher::{
    Action, Arrival, AttemptEnd, AttemptOutcome, Capabilities, Deployment, EndpointUpdateKind, EngineEntry,
    EngineId, EngineState, Event, Gateway, Idempotency, LoadReport, LoadReporting, MachineKind,
    RequestClassConfig, RequestId, ResourceUsage, SafetyRules,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Virtual time between two decisions of the gateway.
pub const TICK: Duration = Duration::from_millis(5);

/// Number of table groups; each gets the same share of the requests.
pub const TABLE_GROUPS: u64 = 256;
/// Engines of the list during warm-up.
const WARM_ENGINES: u32 = 20;
/// Virtual duration of the warm-up; long enough for the number of queued requests to be steady.
const WARM_UP: Duration = Duration::from_secs(2);
/// Ticks with the full list before the measurement, in which every table group is requested once.
const SETTLE_TICKS: u64 = TABLE_GROUPS.div_ceil(14) + 1;

const SHORT: usize = 0;
const WIDE: usize = 1;
const SHORT_OBJECTIVE: Duration = Duration::from_secs(1);
const SHORT_DEADLINE: Duration = Duration::from_secs(5);
const WIDE_OBJECTIVE: Duration = Duration::from_secs(3);
const WIDE_DEADLINE: Duration = Duration::from_secs(20);
/// Threads of a request of the wide class: more than the admission control of any engine admits.
const WIDE_THREADS: f64 = 64.0;
/// The share of its latency objective after which the gateway rejects a queued request: the gateway's
/// `START_BY_SHARE`.
const GIVE_UP_SHARE: f64 = 0.25;
const CORES: f64 = 16.0;
const MEMORY_MB: f64 = 65_536.0;
const WORK: Duration = Duration::from_millis(8);
/// Range of the ticks until the reply to an attempt.
const REPLY_TICKS: std::ops::Range<u64> = 1..4;
/// Range of the share of its cores that an engine reports as busy; 1 is all of them.
const BUSY_CORES: std::ops::Range<f64> = 0.15..0.35;

/// The load reporting of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReports {
    Never,
    WithResponses,
    WithProbes,
    /// Like `WithResponses`, but all engines have reported just before the measurement. This is the best case:
    /// otherwise an engine that has received no request lately has no valid report.
    AllFresh,
}

impl LoadReports {
    fn load_reporting(self) -> LoadReporting {
        match self {
            LoadReports::Never => LoadReporting::None,
            LoadReports::WithResponses | LoadReports::AllFresh => LoadReporting::WithResponses,
            LoadReports::WithProbes => LoadReporting::WithProbes,
        }
    }
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    pub engines: u32,
    pub load_reports: LoadReports,
    /// Target number of queued requests.
    pub held: u32,
    pub seed: u64,
}

/// The cost of the replacement of an engine.
#[derive(Debug, Clone, Copy)]
pub struct ReplacementCost {
    /// Processor time of the gateway.
    pub processor: Duration,
    /// Ticks over which it was measured.
    pub ticks: u32,
}

/// One gateway, with its clients and engines.
pub struct GatewayDriver {
    traffic: Traffic,
    gateway: Gateway,
    rng: StdRng,
    now: Duration,
    tick: u64,
    /// Arrivals that are due, including the fraction of the next one.
    due: f64,
    arrived: u64,
    waiting: BTreeSet<RequestId>,
    replies: BTreeMap<u64, Vec<Event>>,
}

impl GatewayDriver {
    /// Creates a gateway with the endpoint list of the warm-up.
    pub fn new(traffic: Traffic) -> Self {
        let mut gateway = Gateway::new(deployment(traffic.load_reports.load_reporting()), traffic.seed);
        gateway.handle_event(Duration::ZERO, full_list(WARM_ENGINES.min(traffic.engines)));
        GatewayDriver {
            traffic,
            gateway,
            rng: StdRng::seed_from_u64(traffic.seed),
            now: Duration::ZERO,
            tick: 0,
            due: 0.0,
            arrived: 0,
            waiting: BTreeSet::new(),
            replies: BTreeMap::new(),
        }
    }

    /// The number of requests that have arrived so far.
    pub fn arrived(&self) -> u64 {
        self.arrived
    }

    /// The number of requests that wait for an attempt.
    pub fn held(&self) -> usize {
        self.waiting.len()
    }

    /// Runs with a short list until the number of queued requests is steady, then applies the full list and
    /// requests each table group once.
    pub fn warm_up(&mut self) {
        while self.now < WARM_UP {
            self.tick();
        }
        self.gateway.handle_event(self.now, full_list(self.traffic.engines));
        if self.traffic.load_reports == LoadReports::AllFresh {
            for engine in 0..self.traffic.engines {
                let event = self.probe_reply(engine);
                self.gateway.handle_event(self.now, event);
            }
        }
        for _ in 0..SETTLE_TICKS {
            self.tick();
        }
    }

    /// Replaces one engine by another. Returns the processor time until each table group was requested once, and the
    /// number of ticks for that.
    pub fn replace_one(&mut self) -> ReplacementCost {
        let removed = EngineEntry { state: EngineState::Removed, ..entry(0) };
        let changes = Event::Endpoints(EndpointUpdateKind::Delta, vec![removed, entry(self.traffic.engines)]);
        let begun = thread_time();
        self.gateway.handle_event(self.now, changes);
        let list_time = thread_time().saturating_sub(begun);
        let ticks: Duration = (0..SETTLE_TICKS).map(|_| self.tick()).sum();
        ReplacementCost { processor: list_time + ticks, ticks: SETTLE_TICKS as u32 }
    }

    /// Runs one tick: the gateway handles replies and arrivals and decides, and its actions are executed. Returns the
    /// processor time of the gateway.
    pub fn tick(&mut self) -> Duration {
        self.tick += 1;
        self.now += TICK;
        let mut events = self.replies.remove(&self.tick).unwrap_or_default();
        self.due += f64::from(budget::REQUESTS_PER_SECOND) * TICK.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            events.push(self.arrival());
        }
        let begun = thread_time();
        for event in events {
            self.gateway.handle_event(self.now, event);
        }
        let actions = self.gateway.decide(self.now);
        let spent = thread_time().saturating_sub(begun);
        for action in actions {
            self.execute(action);
        }
        spent
    }

    fn arrival(&mut self) -> Event {
        let wide_per_second = f64::from(self.traffic.held) / (WIDE_OBJECTIVE.as_secs_f64() * GIVE_UP_SHARE);
        let wide = self.rng.random_bool((wide_per_second / f64::from(budget::REQUESTS_PER_SECOND)).min(1.0));
        let request: RequestId = format!("{:016x}", self.arrived).into();
        let table_group = self.arrived % TABLE_GROUPS;
        self.arrived += 1;
        self.waiting.insert(request.clone());
        Event::Arrived(Arrival {
            request,
            request_class: if wide { WIDE } else { SHORT },
            table_group,
            key: None,
            client_timeout: if wide { WIDE_DEADLINE } else { SHORT_DEADLINE },
            work: None,
            memory_mb: 0.0,
            client_retry: false,
        })
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, engine, .. } => {
                self.waiting.remove(&request);
                let ticks = self.rng.random_range(REPLY_TICKS);
                let reply = self.attempt_reply(request, engine, TICK * ticks as u32);
                self.replies.entry(self.tick + ticks).or_default().push(reply);
            }
            Action::Probe { engine } => {
                let reply = self.probe_reply(engine);
                self.replies.entry(self.tick + 1).or_default().push(reply);
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.waiting.remove(&request);
            }
            Action::SetPriority { .. }
            | Action::Cancel { .. }
            | Action::SetTimer { .. }
            | Action::WatchEndpoints => {}
        }
    }

    fn attempt_reply(&mut self, request: RequestId, engine: EngineId, after: Duration) -> Event {
        let with_responses = self.traffic.load_reports.load_reporting() == LoadReporting::WithResponses;
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt: 0,
            engine,
            elapsed: after,
            outcome: AttemptOutcome::Returned,
            request_finished: true,
            usage: Some(ResourceUsage { work: WORK, memory_mb: 1.0 }),
            load: with_responses.then(|| self.load_report()),
        })
    }

    fn probe_reply(&mut self, engine: EngineId) -> Event {
        let load = Some(self.load_report());
        Event::ProbeEnded { engine, answered: true, elapsed: TICK, load }
    }

    fn load_report(&mut self) -> LoadReport {
        LoadReport { cores_busy: Some(self.rng.random_range(BUSY_CORES)), ..LoadReport::default() }
    }
}

fn entry(engine: EngineId) -> EngineEntry {
    EngineEntry { engine, zone: engine % budget::ZONES, state: EngineState::Active, ..EngineEntry::default() }
}

fn full_list(engines: u32) -> Event {
    Event::Endpoints(EndpointUpdateKind::Full, (0..engines).map(entry).collect())
}

/// A deployment of the design size in fronts, with the values of `docs/front-example.json`.
fn deployment(reports: LoadReporting) -> Deployment {
    let short = RequestClassConfig {
        latency_objective: SHORT_OBJECTIVE,
        objective_work_factor: 1.5,
        deadline: SHORT_DEADLINE,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        threads: 1.0,
        ..RequestClassConfig::default()
    };
    let wide = RequestClassConfig {
        latency_objective: WIDE_OBJECTIVE,
        objective_work_factor: 0.0,
        deadline: WIDE_DEADLINE,
        threads: WIDE_THREADS,
        ..short.clone()
    };
    Deployment {
        fronts: budget::FRONTS,
        request_classes: vec![short, wide],
        machine_kinds: vec![MachineKind { cores: CORES, memory_mb: MEMORY_MB }],
        tick: TICK,
        capabilities: capabilities(),
        safety_rules: safety_rules(),
        load_reporting: reports,
        ..Deployment::default()
    }
}

fn capabilities() -> Capabilities {
    Capabilities {
        probes: true,
        cancel: true,
        retry_after: true,
        max_retry_after: Duration::from_secs(2),
        max_attempts: 4,
        connect_timeout: Duration::from_millis(250),
        ..Capabilities::default()
    }
}

fn safety_rules() -> SafetyRules {
    SafetyRules {
        drain_grace: Duration::from_secs(2),
        slow_start_share: 0.34,
        slow_start_window: Duration::from_secs(14),
        overload_factor: 3.0,
        overload_window: Duration::from_millis(1_500),
        ..SafetyRules::default()
    }
}
