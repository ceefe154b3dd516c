//! What zone failover needs of the router: it reports what this front observes of the zones, and admits what the plan
//! allows. How that is evaluated is decided in `lemonusher-zone-failover`.

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

/// The work of a request, as a share of its latency objective on its threads, until answers report it.
const ASSUMED_WORK_SHARE: f64 = 0.5;

/// What a front observed, sent once a report interval.
#[derive(Debug, Clone)]
pub struct ZoneObservation {
    /// What goes to the other fronts.
    pub report: FrontReport,
    /// What this front knows by itself.
    pub local: LocalView,
    /// The version of the maintenance requests up to which engines are out of service.
    pub maintenance_version: u64,
    /// Attempts that run, or may still run, on engines that are out of service.
    pub in_flight: BTreeMap<EngineId, u32>,
    /// Each engine with its zone, its cores, and whether it answers, as far as it was tried lately.
    pub engines: Vec<EngineObservation>,
}

/// The request classes as the planner wants them, with no demand yet. `floor` is the least admitted share.
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

/// Observes the zones by the front's ordinary work, and admits requests by the failover plan.
pub struct ZoneMonitor {
    config: FailoverConfig,
    observer: Observer,
    plan_admission: PlanAdmission,
    observations: Sender<ZoneObservation>,
    /// This front's share of all requests where it is isolated: one over the number of fronts that is configured.
    share: f64,
    next_report: Duration,
    /// The engines that are out of service for maintenance, as of `maintenance_version`.
    out_of_service: Arc<BTreeSet<EngineId>>,
    maintenance_version: u64,
    /// Until when an attempt of unknown outcome may still run on an engine.
    unknown_until: BTreeMap<EngineId, Duration>,
    unknown_outcome_delay: Duration,
}

impl ZoneMonitor {
    /// A monitor that reports for the first time an interval from now.
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
            share: 1.0 / f64::from(deployment.fronts.max(1)),
            next_report: now + config.report_interval,
            config,
            out_of_service: Arc::default(),
            maintenance_version: 0,
            unknown_until: BTreeMap::new(),
            unknown_outcome_delay: rules.unknown_outcome_delay.max(deployment.capabilities.connect_timeout),
        }
    }

    /// When `poll` is due next.
    pub fn next_timeout(&self) -> Duration {
        self.next_report
    }

    /// Reports once an interval; a report takes the place of one that has not been read yet.
    pub fn poll(&mut self, now: Duration, in_flight: impl Fn() -> BTreeMap<EngineId, u32>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + self.config.report_interval;
        self.unknown_until.retain(|_, until| *until > now);
        let mut in_flight = in_flight();
        self.unknown_until.keys().for_each(|engine| *in_flight.entry(*engine).or_default() += 1);
        in_flight.retain(|engine, _| self.out_of_service.contains(engine));
        let Observation { report, local } = self.observer.report(now, &self.config, self.share);
        let engines = self.observer.engines(now, &self.config);
        let _ = self.observations.force_send(ZoneObservation {
            report,
            local,
            maintenance_version: self.maintenance_version,
            in_flight,
            engines,
        });
    }

    /// Counts a request and admits it, or states how long its client should wait.
    pub fn admit(&mut self, request_class: usize) -> Result<(), Duration> {
        self.observer.request_arrived(request_class);
        self.plan_admission.admit(request_class)
    }

    /// Admits by this plan from now on.
    pub fn handle_plan(&mut self, effect: &PlanEffect) {
        self.plan_admission.apply(effect);
    }

    /// These engines are out of service for maintenance from now on.
    pub fn set_out_of_service(&mut self, version: u64, engines: Arc<BTreeSet<EngineId>>) {
        (self.out_of_service, self.maintenance_version) = (engines, version);
    }

    /// An attempt or probe was sent.
    pub fn handle_sent(&mut self, now: Duration, engine: EngineId) {
        self.observer.attempt_sent(now, engine);
    }

    /// An attempt ended; where its outcome is unknown, the engine may still run it for a while.
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

    /// An engine reported progress, so it answers.
    pub fn handle_progress(&mut self, now: Duration, engine: EngineId) {
        self.observer.engine_answered(now, engine);
    }

    /// A probe ended.
    pub fn handle_probe_ended(&mut self, now: Duration, engine: EngineId, answered: bool) {
        match answered {
            true => self.observer.engine_answered(now, engine),
            false => self.observer.engine_missed(now, engine),
        }
    }

    /// The endpoint list, or its changes.
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

/// What an outcome shows of the engine, given its work on one thread and the threads of its class.
pub fn attempt_result(
    outcome: AttemptOutcome,
    elapsed: Duration,
    work: Option<Duration>,
    threads: f64,
) -> AttemptResult {
    match outcome {
        AttemptOutcome::Returned => {
            let work = work.map(|work| work.as_secs_f64());
            AttemptResult::Returned { elapsed: elapsed.as_secs_f64(), work, threads }
        }
        AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::TimedOut => {
            AttemptResult::Failed
        }
        AttemptOutcome::Errored | AttemptOutcome::Rejected => AttemptResult::Answered,
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => AttemptResult::Cancelled,
    }
}
