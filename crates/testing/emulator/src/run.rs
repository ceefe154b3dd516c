//! Runs a simulated deployment in virtual time, in steps of one tick. Events are handled in a fixed order, and all
//! randomness comes from one seed.

use crate::check::{Checker, RetryAllowance, RuleConfig};
use crate::host::EngineHost;
use crate::rng::SeededRng;
use crate::shares::running_sums;
use crate::simulation::{BEGIN, Fault, Report, Simulation, TICK};
use crate::tally::Statistics;
use crate::world::{Failure, SimulatedDeployment, duration_from_secs};
use lemonusher::{Action, AttemptOutcome, Event};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Lateness of an event that the checker allows.
const SLACK: Duration = Duration::from_millis(60);

/// Simulates a deployment with a seed and an injected fault.
pub fn simulate(world: &SimulatedDeployment, seed: u64, fault: Fault) -> Report {
    let mut simulation = Simulation::new(world, seed, fault);
    for number in 0..world.fronts {
        let outage = simulation.draw_outage();
        let mut front = simulation.front(number, seed);
        front.outage = outage;
        simulation.fronts.push(front);
    }
    simulation.run(seed);
    simulation.report.violations = std::mem::take(&mut simulation.checker.violations);
    simulation.report
}

/// The engines, in the order of their kinds.
fn engines(world: &SimulatedDeployment, rng: &mut SeededRng) -> Vec<EngineHost> {
    let mut engines = Vec::new();
    for (kind, machine) in world.engines.iter().enumerate() {
        for _ in 0..machine.count {
            let draw = if machine.speed_spread > 0.0 { rng.fraction() } else { 0.0 };
            engines.push(EngineHost::new(world, kind as u32, draw));
        }
    }
    engines
}

/// Draws the fronts' shares of the traffic, and returns their running sums.
fn traffic(world: &SimulatedDeployment, rng: &mut SeededRng) -> Vec<f64> {
    let shares = (0..world.fronts).map(|_| {
        let drawn = if world.traffic_spread > 0.0 { rng.exponential(1.0) } else { 1.0 };
        (1.0 - world.traffic_spread) + world.traffic_spread * drawn
    });
    running_sums(shares)
}

fn rules(world: &SimulatedDeployment, engines: &[EngineHost]) -> RuleConfig {
    let classes = &world.request_classes;
    RuleConfig {
        drain_grace: duration_from_secs(world.drain_grace_s),
        slow_start_window: duration_from_secs(world.slow_start_s),
        slow_start_share: world.slow_start_share,
        overload_factor: world.overload_factor,
        overload_window: duration_from_secs(world.overload_window_s),
        non_idempotent: classes.iter().map(|class| class.is_non_idempotent).collect(),
        allowed_zones: classes.iter().map(|class| class.allowed_zones.clone()).collect(),
        engine_zones: engines.iter().map(|host| host.zone).collect(),
        retry_budget: world.retry_budget.map(|(free, share)| RetryAllowance { free, share }),
        slack: SLACK,
    }
}

impl<'a> Simulation<'a> {
    /// A simulation without fronts. Random numbers are drawn first for the engines, then for the traffic.
    fn new(world: &'a SimulatedDeployment, seed: u64, fault: Fault) -> Simulation<'a> {
        let mut rng = SeededRng::new(seed);
        let engines = engines(world, &mut rng);
        let traffic = traffic(world, &mut rng);
        let classes = &world.request_classes;
        let table_group_sums = classes.iter().map(|class| {
            running_sums((1..=class.table_groups.max(1)).map(|rank| (rank as f64).powf(-class.zipf_exponent)))
        });
        Simulation {
            world,
            seed,
            fault,
            now: BEGIN,
            fronts: Vec::new(),
            traffic,
            table_group_sums: table_group_sums.collect(),
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
            give_ups: BTreeMap::new(),
            checker: Checker::new(rules(world, &engines)),
            report: Report { statistics: Statistics::new(classes.len()), ..Report::default() },
            rng,
            engines,
        }
    }
}

impl Simulation<'_> {
    fn run(&mut self, seed: u64) {
        let begin = BEGIN;
        let end = begin + duration_from_secs(self.world.duration_s);
        let max_deadline_s = self
            .world
            .request_classes
            .iter()
            .map(|request_class| request_class.deadline_s)
            .fold(0.0, f64::max);
        let mut failures: VecDeque<Failure> = {
            let mut all = self.world.failures.clone();
            all.sort_by(|a, b| a.at.total_cmp(&b.at));
            all.into()
        };
        while self.now < end + duration_from_secs(max_deadline_s) + Duration::from_secs(1) {
            self.now += TICK;
            while failures.front().is_some_and(|failure| begin + duration_from_secs(failure.at) <= self.now) {
                if let Some(failure) = failures.pop_front() {
                    self.apply_failure(failure.what, seed);
                }
            }
            self.update_engines();
            self.handle_arrivals(begin, end);
            self.handle_give_ups();
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

    fn decide(&mut self, number: usize) {
        let now = self.now;
        let front = &mut self.fronts[number];
        let timer_fired = front.timers.first().is_some_and(|at| *at <= now);
        if front.events.is_empty() && !timer_fired {
            return;
        }
        while let Some(event) = front.events.pop_front() {
            front.gateway.handle_event(now, event);
        }
        if timer_fired {
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
                Action::Reject { request, retry_after: retry_delay } => {
                    let Some(open_request) = self.fronts[number].open_requests.remove(&request) else {
                        continue;
                    };
                    self.reject(&open_request, retry_delay);
                }
                Action::Fail { request } => {
                    let Some(open_request) = self.fronts[number].open_requests.remove(&request) else {
                        continue;
                    };
                    self.report.failed += 1;
                    self.respond(open_request.id);
                }
                Action::SetTimer { at } => drop(self.fronts[number].timers.insert(at)),
                Action::Probe { engine } => self.probe(number, engine as usize),
                Action::SetPriority { .. } | Action::WatchEndpoints => {}
            }
        }
    }
}
