//! Connects the router to zone failover: reports this front's observations of the zones, and admits requests
//! as the failover plan allows. The evaluation of both is in `lemonusher-zone-failover`.

use async_channel::Sender;
use lemonusher::{
    AttemptOutcome, Deployment, EndpointUpdateKind, EngineEntry, EngineId, EngineState, RequestClassConfig,
};
use lemonusher_zone_failover::{
    AttemptResult, ClassLoad, EngineObservation, FailoverConfig, FrontReport, LocalView, Observation,
    Observer, PlanAdmission, PlanEffect,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Work assumed for a request until replies report it, as a share of latency objective times threads.
const ASSUMED_WORK_SHARE: f64 = 0.5;

/// A front's observations of the zones, sent once per report interval.
#[derive(Debug, Clone)]
pub struct ZoneObservation {
    /// The report for the other fronts.
    pub report: FrontReport,
    /// This front's own view of the zones and of its demand.
    pub local: LocalView,
    /// Version of the maintenance requests on which this front's set of engines out of service is based.
    pub maintenance_version: u64,
    /// Number of attempts in flight on each engine that is out of service, plus one for all attempts of
    /// unknown outcome that may still run there.
    pub in_flight: BTreeMap<EngineId, u32>,
    /// Each engine's zone, number of cores, and whether it replies, if anything was sent to it recently.
    pub engines: Vec<EngineObservation>,
}

/// Converts the request classes for the failover planner, with a request rate of zero. `floor` is the minimum
/// admitted share of each class, from 0 to 1.
pub fn class_loads(classes: &[RequestClassConfig], floor: f64) -> Vec<ClassLoad> {
    let class_load = |config: &RequestClassConfig| ClassLoad {
        priority_weight: config.priority_weight,
        work: config.latency_objective.as_secs_f64() * config.threads * ASSUMED_WORK_SHARE,
        rate: 0.0,
        latency_objective: config.latency_objective.as_secs_f64(),
        deadline: config.deadline.as_secs_f64(),
        floor,
        allowed_zones: config.allowed_zones.clone(),
    };
    classes.iter().map(class_load).collect()
}

/// Observes the zones through the front's attempts and probes, and admits requests by the failover plan.
pub struct ZoneMonitor {
    config: FailoverConfig,
    observer: Observer,
    plan_admission: PlanAdmission,
    observations: Sender<ZoneObservation>,
    /// This front's share of all requests while it is isolated, from 0 to 1: one over the configured number
    /// of fronts.
    isolated_share: f64,
    next_report: Duration,
    /// The engines that are out of service for maintenance, as of `maintenance_version`.
    out_of_service: Arc<BTreeSet<EngineId>>,
    maintenance_version: u64,
    /// Time until which an attempt of unknown outcome may still run, by engine.
    unknown_until: BTreeMap<EngineId, Duration>,
    /// The safety rule's delay, or the connect timeout if that is longer.
    unknown_outcome_delay: Duration,
}

impl ZoneMonitor {
    /// Creates a monitor whose first report is due one report interval from now.
    pub fn new(
        now: Duration,
        deployment: &Deployment,
        config: FailoverConfig,
        observations: Sender<ZoneObservation>,
    ) -> ZoneMonitor {
        let classes = class_loads(&deployment.request_classes, config.admission_floor);
        let rules = &deployment.safety_rules;
        ZoneMonitor {
            observer: Observer::new(now, deployment.zone, classes),
            plan_admission: PlanAdmission::new(deployment.request_classes.len()),
            observations,
            isolated_share: 1.0 / f64::from(deployment.fronts.max(1)),
            next_report: now + config.report_interval,
            config,
            out_of_service: Arc::default(),
            maintenance_version: 0,
            unknown_until: BTreeMap::new(),
            unknown_outcome_delay: rules.unknown_outcome_delay.max(deployment.capabilities.connect_timeout),
        }
    }

    /// Returns when `poll` is due next.
    pub fn next_timeout(&self) -> Duration {
        self.next_report
    }

    /// Sends an observation if the report interval has passed. If the channel is full, it replaces an unread
    /// one. `in_flight` returns the number of attempts in flight by engine.
    pub fn poll(&mut self, now: Duration, in_flight: impl Fn() -> BTreeMap<EngineId, u32>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + self.config.report_interval;
        self.unknown_until.retain(|_, until| *until > now);
        let mut in_flight = in_flight();
        self.unknown_until.keys().for_each(|engine| *in_flight.entry(*engine).or_default() += 1);
        in_flight.retain(|engine, _| self.out_of_service.contains(engine));
        let Observation { report, local } = self.observer.report(now, &self.config, self.isolated_share);
        let engines = self.observer.engines(now, &self.config);
        let _ = self.observations.force_send(ZoneObservation {
            report,
            local,
            maintenance_version: self.maintenance_version,
            in_flight,
            engines,
        });
    }

    /// Counts a request and admits it, or returns how long its client should wait before a retry.
    pub fn admit(&mut self, request_class: usize) -> Result<(), Duration> {
        self.observer.request_arrived(request_class);
        self.plan_admission.admit(request_class)
    }

    /// Applies the failover plan to the admission of requests.
    pub fn handle_plan(&mut self, effect: &PlanEffect) {
        self.plan_admission.apply(effect);
    }

    /// Sets the engines that are out of service for maintenance, as of this version of the maintenance requests.
    pub fn set_out_of_service(&mut self, version: u64, engines: Arc<BTreeSet<EngineId>>) {
        (self.out_of_service, self.maintenance_version) = (engines, version);
    }

    /// Records that an attempt or probe was sent.
    pub fn handle_sent(&mut self, now: Duration, engine: EngineId) {
        self.observer.attempt_sent(now, engine);
    }

    /// Records the end of an attempt. If its outcome is unknown, the engine may still run it for
    /// `unknown_outcome_delay`.
    pub fn handle_attempt_ended(
        &mut self,
        now: Duration,
        engine: EngineId,
        request_class: usize,
        outcome: AttemptOutcome,
        result: AttemptResult,
    ) {
        self.observer.attempt_ended(now, engine, request_class, result);
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            self.unknown_until.insert(engine, now + self.unknown_outcome_delay);
        }
    }

    /// Records that an engine reported progress, which shows that it replies.
    pub fn handle_progress(&mut self, now: Duration, engine: EngineId) {
        self.observer.engine_answered(now, engine);
    }

    /// Records that a probe was never sent.
    pub fn handle_probe_not_sent(&mut self, now: Duration, engine: EngineId, sent_at: Duration) {
        self.observer.probe_not_sent(now, engine, sent_at);
    }

    /// Records the end of a probe.
    pub fn handle_probe_ended(&mut self, now: Duration, engine: EngineId, answered: bool) {
        match answered {
            true => self.observer.engine_answered(now, engine),
            false => self.observer.engine_failed(now, engine),
        }
    }

    /// Handles a full endpoint list or a change to it.
    pub fn handle_endpoints(
        &mut self,
        deployment: &Deployment,
        kind: EndpointUpdateKind,
        entries: &[EngineEntry],
    ) {
        if kind != EndpointUpdateKind::Delta {
            self.observer.begin_full_list();
        }
        for entry in entries {
            let machine_kind = deployment.machine_kinds.get(entry.machine_kind as usize);
            let cores = machine_kind.map_or(1.0, |machine| machine.cores);
            let ready = entry.state == EngineState::Active;
            self.observer.update_engine(entry.engine, entry.zone, cores.round() as u32, ready);
        }
        if kind != EndpointUpdateKind::Delta {
            self.observer.end_full_list();
        }
    }
}

/// Converts the outcome, at `now`, of an attempt sent at `sent_at` for the zone observer. `work` is the reported work on
/// one thread; `threads` is the number of threads of the request's class.
pub fn attempt_result(
    outcome: AttemptOutcome,
    sent_at: Duration,
    now: Duration,
    work: Option<Duration>,
    threads: f64,
) -> AttemptResult {
    match outcome {
        AttemptOutcome::Returned => {
            let work = work.map(|work| work.as_secs_f64());
            AttemptResult::Returned { elapsed: now.saturating_sub(sent_at).as_secs_f64(), work, threads }
        }
        AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::TimedOut => {
            AttemptResult::Failed
        }
        AttemptOutcome::Errored | AttemptOutcome::Rejected => AttemptResult::Answered,
        AttemptOutcome::Cancelled => AttemptResult::Cancelled { sent_at },
        AttemptOutcome::NotSent => AttemptResult::NotSent { sent_at },
    }
}
