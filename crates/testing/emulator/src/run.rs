//! Plays a world in virtual time: steps of one tick, events in one order, chance from one seed.

use crate::Dice;
use crate::attempts::{Connection, InFlightAttempt, Probe};
use crate::check::{Checker, Observation, RuleConfig, Violation};
use crate::clients::{ClientRequest, running_sums};
use crate::failures::Replacement;
use crate::host::EngineHost;
use crate::tally::{IntervalCounts, Statistics};
use crate::world::{Failure, SimulatedDeployment, span};
use lemonusher::{
    Action, AttemptOutcome, EndpointUpdateKind, EngineEntry, EngineState, Event, Gateway, RequestId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub(crate) const TICK: Duration = Duration::from_millis(5);
/// Where the run's clock begins: zero stands for long ago.
pub(crate) const BEGIN: Duration = Duration::from_secs(60);
const SLACK: Duration = Duration::from_millis(60);

/// A way in which the fronts' owners are made faulty on purpose: each breaks one rule, and the checker must see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Rule 1: some answers are given twice.
    AnswersTwice,
    /// Rule 2: what must run once is sent again after a reset.
    SendsAgain,
    /// Rule 3: that an engine drains is not told.
    HidesDrains,
    /// Rule 4: fresh engines are told as warm.
    HidesColds,
    /// Rule 5: keys are not told.
    ForgetsKeys,
    /// Rule 6: placement is not told.
    ForgetsPlaces,
    /// Rule 7: the budget is not told.
    ForgetsBudget,
}

/// What a run came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    pub tries: u64,
    pub returned: u64,
    pub in_objective: u64,
    pub rejected: u64,
    pub failed: u64,
    pub attempts: u64,
    /// How often a cold engine fell over.
    pub overloaded: u64,
    pub statistics: Statistics,
    pub violations: Vec<Violation>,
    /// The same for the same world and seed.
    pub digest: u64,
}

/// A try that a front holds.
#[derive(Clone)]
pub(crate) struct OpenRequest {
    pub id: u64,
    pub request: u64,
    pub group: usize,
    pub arrived: Duration,
    pub limit: Duration,
    pub attempts: u32,
}

pub(crate) struct Front {
    gateway: Gateway,
    pub open_requests: BTreeMap<RequestId, OpenRequest>,
    timers: BTreeSet<Duration>,
    pub events: VecDeque<Event>,
    /// From when to when its watch is silent.
    pub outage: (Duration, Duration),
}

/// What a front will hear of an engine.
pub(crate) struct EndpointUpdate {
    pub front: usize,
    pub entry: EngineEntry,
}

pub(crate) struct Simulation<'a> {
    pub world: &'a SimulatedDeployment,
    pub seed: u64,
    pub fault: Fault,
    pub dice: Dice,
    pub now: Duration,
    pub fronts: Vec<Front>,
    /// How much of the traffic comes to each front and those before it.
    pub traffic: Vec<f64>,
    /// By class, how much of it asks for each table group and those before it.
    pub tables: Vec<Vec<f64>>,
    pub engines: Vec<EngineHost>,
    pub in_flight: BTreeMap<u64, InFlightAttempt>,
    pub connecting: BTreeMap<(Duration, u64), Connection>,
    pub probes: BTreeMap<u64, Probe>,
    pub next: u64,
    pub next_update: u64,
    pub updates: BTreeMap<(Duration, u64), EndpointUpdate>,
    /// When each front was last told of each engine.
    pub notified: BTreeMap<(usize, usize), Duration>,
    pub replacements: Vec<Replacement>,
    pub requests: BTreeMap<u64, ClientRequest>,
    /// The next first try, and how many there have been.
    pub next_arrival: Duration,
    pub requests_started: u64,
    /// Requests to be asked again, and tries whose clients leave, by when.
    pub retries: BTreeSet<(Duration, u64)>,
    pub departures: BTreeMap<(Duration, u64), (usize, RequestId)>,
    checker: Checker,
    pub report: Report,
}

/// Plays a world from a seed.
pub fn play(world: &SimulatedDeployment, seed: u64, fault: Fault) -> Report {
    let mut dice = Dice::new(seed);
    let mut engines = Vec::new();
    for (kind, machine) in world.engines.iter().enumerate() {
        for _ in 0..machine.count {
            let draw = if machine.speed_spread > 0.0 { dice.share() } else { 0.0 };
            engines.push(EngineHost::new(world, kind as u32, draw));
        }
    }
    let terms = RuleConfig {
        drain_grace: span(world.drain_grace_s),
        cold_for: span(world.slow_start_s),
        cold_from: world.slow_start_share,
        fall_multiple: world.overload_factor,
        fall_after: span(world.overload_window_s),
        once_only: world.request_classes.iter().map(|group| group.is_non_idempotent).collect(),
        locations: world.request_classes.iter().map(|group| group.allowed_zones.clone()).collect(),
        places: engines.iter().map(|host| host.location).collect(),
        budget: world.retry_budget,
        slack: SLACK,
    };
    let traffic = (0..world.fronts).map(|_| {
        let drawn = if world.traffic_spread > 0.0 { dice.wait(1.0) } else { 1.0 };
        (1.0 - world.traffic_spread) + world.traffic_spread * drawn
    });
    let traffic = running_sums(traffic);
    let tables = world.request_classes.iter().map(|group| {
        running_sums((1..=group.table_groups.max(1)).map(|rank| (rank as f64).powf(-group.zipf_exponent)))
    });
    let mut run = Simulation {
        world,
        seed,
        fault,
        dice,
        now: BEGIN,
        fronts: Vec::new(),
        traffic,
        tables: tables.collect(),
        engines,
        in_flight: BTreeMap::new(),
        connecting: BTreeMap::new(),
        probes: BTreeMap::new(),
        next: 0,
        next_update: 0,
        updates: BTreeMap::new(),
        notified: BTreeMap::new(),
        replacements: Vec::new(),
        requests: BTreeMap::new(),
        next_arrival: BEGIN,
        requests_started: 0,
        retries: BTreeSet::new(),
        departures: BTreeMap::new(),
        checker: Checker::new(terms),
        report: Report { statistics: Statistics::new(world.request_classes.len()), ..Report::default() },
    };
    for number in 0..world.fronts {
        let outage = run.draw_outage();
        let mut front = run.front(number, seed);
        front.outage = outage;
        run.fronts.push(front);
    }
    run.play(seed);
    run.report.violations = std::mem::take(&mut run.checker.violations);
    run.report
}

impl Simulation<'_> {
    pub(crate) fn front(&self, number: u32, seed: u64) -> Front {
        let mut stated = self.world.deployment(number);
        match self.fault {
            Fault::ForgetsPlaces => {
                stated.request_classes.iter_mut().for_each(|terms| terms.allowed_zones = None)
            }
            Fault::ForgetsBudget => stated.safety_rules.retry_budget = None,
            _ => {}
        }
        let mut gateway = Gateway::new(stated, seed ^ u64::from(number) << 32);
        let all = (0..self.engines.len()).map(|n| self.entry(n)).filter(|e| e.state != EngineState::Removed);
        gateway.handle_event(self.now, Event::Endpoints(EndpointUpdateKind::Full, all.collect()));
        Front {
            gateway,
            open_requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            outage: Default::default(),
        }
    }

    pub(crate) fn entry(&self, number: usize) -> EngineEntry {
        let host = &self.engines[number];
        let hidden = self.fault == Fault::HidesDrains && host.state == EngineState::Draining;
        EngineEntry {
            engine: number as u32,
            zone: host.location,
            machine_kind: host.kind,
            state: if hidden { EngineState::Active } else { host.state },
            started_at: if self.fault == Fault::HidesColds { Duration::ZERO } else { host.started },
            ..EngineEntry::default()
        }
    }

    pub(crate) fn observe(&mut self, seen: Observation) {
        // FNV over the words of what was seen: any difference shows.
        for byte in format!("{:?}{seen:?}", self.now).bytes() {
            self.report.digest = (self.report.digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
        self.checker.observe(self.now, seen);
    }

    fn play(&mut self, seed: u64) {
        let begin = BEGIN;
        let end = begin + span(self.world.duration_s);
        let longest = self.world.request_classes.iter().map(|group| group.deadline_s).fold(0.0, f64::max);
        let mut failures: VecDeque<Failure> = {
            let mut all = self.world.failures.clone();
            all.sort_by(|a, b| a.at.total_cmp(&b.at));
            all.into()
        };
        while self.now < end + span(longest) + Duration::from_secs(1) {
            self.now += TICK;
            while failures.front().is_some_and(|failure| begin + span(failure.at) <= self.now) {
                if let Some(failure) = failures.pop_front() {
                    self.apply_failure(failure.what, seed);
                }
            }
            self.update_engines();
            self.handle_arrivals(begin, end);
            self.handle_departures();
            self.handle_connections();
            self.sample_loads();
            self.run_engines();
            self.report_progress();
            self.handle_timeouts();
            self.handle_lost_probes();
            for front in 0..self.fronts.len() {
                self.decide(front);
            }
        }
        self.checker.finish(self.now);
    }

    /// Counts of the span that it is now.
    pub(crate) fn interval(&mut self) -> &mut IntervalCounts {
        self.report.statistics.at((self.now - BEGIN).as_secs_f64())
    }

    pub(crate) fn answer(&mut self, id: u64) {
        self.observe(Observation::TryAnswered { id });
        if self.fault == Fault::AnswersTwice && id.is_multiple_of(50) {
            self.observe(Observation::TryAnswered { id });
        }
    }

    fn decide(&mut self, number: usize) {
        let now = self.now;
        let front = &mut self.fronts[number];
        let woken = front.timers.first().is_some_and(|at| *at <= now);
        if front.events.is_empty() && !woken {
            return;
        }
        while let Some(event) = front.events.pop_front() {
            front.gateway.handle_event(now, event);
        }
        if woken {
            front.timers = front.timers.split_off(&(now + Duration::from_nanos(1)));
            front.gateway.handle_event(now, Event::TimerFired);
        }
        for action in front.gateway.decide(now) {
            match action {
                Action::Send { request, engine, timeout: time_out, .. } => {
                    self.attempt(number, request, engine as usize, time_out);
                }
                Action::Cancel { request, attempt } => {
                    let found = self
                        .in_flight
                        .iter()
                        .find(|(_, f)| f.front == number && f.name == request && f.attempt == attempt);
                    if let Some((attempt, engine)) = found.map(|(n, f)| (*n, f.engine)) {
                        self.engines[engine].engine.cancel(attempt);
                        self.end_attempt(attempt, AttemptOutcome::Cancelled);
                    }
                }
                Action::Reject { request, retry_after: come_back } => {
                    let Some(held) = self.fronts[number].open_requests.remove(&request) else { continue };
                    self.reject(&held, come_back);
                }
                Action::Fail { request } => {
                    let Some(held) = self.fronts[number].open_requests.remove(&request) else { continue };
                    self.report.failed += 1;
                    self.answer(held.id);
                }
                Action::SetTimer { at } => drop(self.fronts[number].timers.insert(at)),
                Action::Probe { engine } => self.probe(number, engine as usize),
                Action::SetPriority { .. } | Action::WatchEndpoints => {}
            }
        }
    }
}
