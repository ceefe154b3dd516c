//! Random histories of one gateway, and a digest of all its actions. The same seed gives the same history as
//! long as the gateway takes the same actions, so that the decisions of two versions can be compared.

mod deployment;
mod random;
mod recorded_form;

use deployment::deployment;
use lemonusher::*;
use random::Random;
use recorded_form::recorded_form;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of seeds; they are numbered from 0.
pub const SEEDS: u64 = 400;
pub const TICK: Duration = Duration::from_millis(20);
const TICKS: u32 = 300;
const MAX_ARRIVALS_PER_TICK: u64 = 5;
/// Numbers of engines: mostly small, some large enough that bulk loads, readers and home engines differ.
const ENGINE_COUNTS: [u64; 5] = [2, 6, 16, 40, 130];
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The digest of a history, and counts of its actions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HistorySummary {
    /// Hash of the time and the recorded form of every action.
    pub digest: u64,
    pub attempts: u32,
    pub cancels: u32,
    pub probes: u32,
    pub rejections: u32,
    pub failures: u32,
}

impl HistorySummary {
    fn record(&mut self, now: Duration, action: &Action) {
        for byte in format!("{now:?} {}\n", recorded_form(action)).bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        match action {
            Action::Send { .. } => self.attempts += 1,
            Action::Cancel { .. } => self.cancels += 1,
            Action::Probe { .. } => self.probes += 1,
            Action::Reject { .. } => self.rejections += 1,
            Action::Fail { .. } => self.failures += 1,
            Action::SetPriority { .. } | Action::SetTimer { .. } | Action::WatchEndpoints => {}
        }
    }
}

/// An attempt in flight.
struct InFlight {
    engine: EngineId,
    at: Duration,
    work: Duration,
}

/// The environment of one gateway: generates its events and carries out its actions.
struct Environment {
    random: Random,
    deployment: Deployment,
    gateway: Gateway,
    engines: BTreeMap<EngineId, EngineEntry>,
    in_flight: BTreeMap<(RequestId, u32), InFlight>,
    sent: BTreeMap<RequestId, u32>,
    /// Later events, in the order of time and then of planning.
    planned: BTreeMap<(Duration, u64), Planned>,
    plans: u64,
    arrived: u64,
    slowness: u64,
    summary: HistorySummary,
}

enum Planned {
    Event(Event),
    AttemptProgress(RequestId, u32, AttemptProgress),
    End(RequestId, u32, AttemptOutcome),
}

/// Runs the history of one seed.
pub fn run_history(seed: u64) -> HistorySummary {
    let mut environment = Environment::new(seed);
    for tick in 1..=TICKS {
        environment.step(TICK * tick);
    }
    environment.summary
}

impl Environment {
    fn new(seed: u64) -> Self {
        let mut random = Random(seed);
        let deployment = deployment(&mut random, seed);
        let gateway = Gateway::new(deployment.clone(), seed);
        Environment {
            slowness: random.pick(&[1, 1, 4]),
            random,
            deployment,
            gateway,
            engines: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: BTreeMap::new(),
            planned: BTreeMap::new(),
            plans: 0,
            arrived: 0,
            summary: HistorySummary { digest: FNV_OFFSET, ..HistorySummary::default() },
        }
    }

    fn step(&mut self, now: Duration) {
        self.update_endpoints(now);
        self.send_due_events(now);
        if self.random.one_in(200) {
            let part = self.random.share() / 10.0;
            self.gateway.handle_event(now, Event::SlowStartQuota(part));
        }
        if now == TICK * (TICKS - 40) && self.random.one_in(5) {
            self.gateway.handle_event(now, Event::ShuttingDown { deadline: now + TICK * 30 });
        }
        for _ in 0..self.random.below(MAX_ARRIVALS_PER_TICK + 1) {
            let arrival = self.arrival();
            self.gateway.handle_event(now, Event::Arrived(arrival));
        }
        for action in self.gateway.decide(now) {
            self.summary.record(now, &action);
            self.carry_out(now, action);
        }
    }

    fn plan(&mut self, at: Duration, planned: Planned) {
        self.plans += 1;
        self.planned.insert((at, self.plans), planned);
    }

    /// Sends the full endpoint list at first; later restarts, drains, blocks, additions and removals of
    /// engines.
    fn update_endpoints(&mut self, now: Duration) {
        if self.engines.is_empty() {
            let count = self.random.pick(&ENGINE_COUNTS) as u32;
            self.engines = (0..count).map(|number| (number * 3, self.entry(number * 3, now))).collect();
            let kind = self.random.pick(&[EndpointUpdateKind::Full, EndpointUpdateKind::Restored]);
            let entries = self.engines.values().cloned().collect();
            self.gateway.handle_event(now, Event::Endpoints(kind, entries));
        } else if self.random.one_in(25) {
            let changed: Vec<EngineEntry> =
                (0..1 + self.random.below(3)).map(|_| self.changed_entry(now)).collect();
            self.engines.extend(changed.iter().map(|entry| (entry.engine, entry.clone())));
            self.gateway.handle_event(now, Event::Endpoints(EndpointUpdateKind::Delta, changed));
            self.engines.retain(|_, entry| entry.state != EngineState::Removed);
        } else if self.random.one_in(120) {
            let keep: BTreeSet<EngineId> =
                self.engines.keys().copied().filter(|_| !self.random.one_in(10)).collect();
            self.engines.retain(|engine, _| keep.contains(engine));
            let entries = self.engines.values().cloned().collect();
            self.gateway.handle_event(now, Event::Endpoints(EndpointUpdateKind::Full, entries));
        }
    }

    fn entry(&mut self, engine: EngineId, now: Duration) -> EngineEntry {
        let warming_up = self.random.one_in(6);
        let started =
            if warming_up { now.saturating_sub(self.random.millis(0, 3_000)) } else { Duration::ZERO };
        EngineEntry {
            engine,
            zone: self.random.below(2) as u32,
            cell: self.random.below(4) as u32,
            machine_kind: self.random.below(3) as u32,
            state: EngineState::Active,
            started_at: started,
            blocked_classes: if self.random.one_in(15) { self.random.below(8) } else { 0 },
        }
    }

    fn changed_entry(&mut self, now: Duration) -> EngineEntry {
        let known: Vec<EngineId> = self.engines.keys().copied().collect();
        if known.is_empty() || self.random.one_in(3) {
            let engine = 1_000 + self.random.below(1_000) as u32;
            let mut entry = self.entry(engine, now);
            entry.started_at = now;
            return entry;
        }
        let mut entry = self.engines[&self.random.pick(&known)].clone();
        match self.random.below(4) {
            0 => entry.state = EngineState::Draining,
            1 => entry.state = EngineState::Removed,
            2 => (entry.state, entry.started_at) = (EngineState::Active, now),
            _ => entry.blocked_classes = self.random.below(8),
        }
        entry
    }

    fn arrival(&mut self) -> Arrival {
        self.arrived += 1;
        let class = self.random.below(self.deployment.request_classes.len() as u64) as usize;
        let deadline = self.deployment.request_classes[class].deadline;
        let client_retry = self.random.one_in(8);
        // One table group receives about half of the traffic, so that it has several home engines.
        let table_group = if self.random.one_in(2) { 0 } else { self.random.below(40) };
        Arrival {
            request: format!("batch-{}", self.arrived).into(),
            request_class: class,
            table_group,
            key: self.random.one_in(3).then(|| self.random.below(6)),
            client_timeout: if client_retry {
                deadline.mul_f64(0.2 + 0.7 * self.random.share())
            } else {
                deadline
            },
            work: None,
            memory_mb: 0.0,
            client_retry,
        }
    }

    fn carry_out(&mut self, now: Duration, action: Action) {
        match action {
            Action::Send { request, engine, .. } => self.attempt(now, request, engine),
            Action::Cancel { request, attempt } => {
                let at = now + self.random.millis(1, 100);
                self.plan(at, Planned::End(request, attempt, AttemptOutcome::Cancelled));
            }
            Action::Probe { engine } => {
                let after = self.random.millis(1, 60);
                let answered = !self.random.one_in(12);
                let load = answered.then(|| self.load());
                let event = Event::ProbeEnded { engine, answered, elapsed: after, load };
                self.plan(now + after, Planned::Event(event));
            }
            Action::WatchEndpoints => {
                let at = now + self.random.millis(1, 50);
                let event = if self.random.one_in(2) {
                    Event::DiscoveryUnavailable
                } else {
                    Event::Endpoints(EndpointUpdateKind::Delta, Vec::new())
                };
                self.plan(at, Planned::Event(event));
            }
            Action::SetTimer { at } => self.plan(at, Planned::Event(Event::TimerFired)),
            Action::SetPriority { .. } | Action::Reject { .. } | Action::Fail { .. } => {}
        }
    }

    fn attempt(&mut self, now: Duration, request: RequestId, engine: EngineId) {
        let count = self.sent.entry(request.clone()).or_default();
        let number = *count;
        *count += 1;
        let work = self.random.millis(5, 1_500);
        self.in_flight.insert((request.clone(), number), InFlight { engine, at: now, work });
        let outcome = match self.random.below(24) {
            0 => AttemptOutcome::Rejected,
            1 => AttemptOutcome::ConnectFailed,
            2 => AttemptOutcome::Reset,
            3 => AttemptOutcome::TimedOut,
            4 => AttemptOutcome::Errored,
            5 => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Returned,
        };
        let after =
            if outcome.never_ran() { self.random.millis(1, 80) } else { work.mul_f64(self.latency_factor()) };
        self.plan(now + after, Planned::End(request.clone(), number, outcome));
        if self.random.one_in(4) {
            let progress = match self.random.below(4) {
                0 => AttemptProgress::WaitingForBulkLoad,
                1 => AttemptProgress::WaitingForMemory,
                _ => AttemptProgress::Done(self.random.share() * 0.5),
            };
            let at = now + after.mul_f64(self.random.share());
            self.plan(at, Planned::AttemptProgress(request.clone(), number, progress));
        }
        if self.random.one_in(20) {
            let event = if self.random.one_in(2) {
                Event::ClientDisconnected(request)
            } else {
                Event::ResponseStarted(request)
            };
            self.plan(now + after.mul_f64(0.7), Planned::Event(event));
        }
    }

    fn latency_factor(&mut self) -> f64 {
        0.5 + self.slowness as f64 * self.random.share()
    }

    fn load(&mut self) -> LoadReport {
        let in_cores = !self.random.one_in(4);
        LoadReport {
            cores_busy: in_cores.then(|| self.random.share()),
            in_flight: (!in_cores || self.random.one_in(8)).then(|| self.random.below(40) as f64),
            memory_granted: self.random.one_in(4).then(|| self.random.share() * 2.0),
            ..LoadReport::default()
        }
    }

    /// Sends the gateway all events that are due.
    fn send_due_events(&mut self, now: Duration) {
        while let Some(first) = self.planned.first_entry().filter(|first| first.key().0 <= now) {
            match first.remove() {
                Planned::Event(event) => self.gateway.handle_event(now, event),
                Planned::AttemptProgress(request, attempt, progress) => {
                    if let Some(attempt_sent) = self.in_flight.get(&(request.clone(), attempt)) {
                        let engine = attempt_sent.engine;
                        self.gateway
                            .handle_event(now, Event::Progress { request, attempt, engine, progress });
                    }
                }
                Planned::End(request, attempt, outcome) => self.end_attempt(now, request, attempt, outcome),
            }
        }
    }

    fn end_attempt(&mut self, now: Duration, request: RequestId, attempt: u32, outcome: AttemptOutcome) {
        let Some(attempt_sent) = self.in_flight.remove(&(request.clone(), attempt)) else { return };
        let returned = outcome == AttemptOutcome::Returned;
        let reports_load =
            self.deployment.load_reporting == LoadReporting::WithResponses && !outcome.never_ran();
        let usage = (returned && !self.random.one_in(3))
            .then(|| ResourceUsage { work: attempt_sent.work, memory_mb: self.random.share() * 900.0 });
        let end = AttemptEnd {
            request,
            attempt,
            engine: attempt_sent.engine,
            elapsed: now.saturating_sub(attempt_sent.at),
            outcome,
            request_finished: outcome == AttemptOutcome::Errored && self.random.one_in(2),
            usage,
            load: reports_load.then(|| self.load()),
        };
        self.gateway.handle_event(now, Event::AttemptEnded(end));
    }
}
