//! What the fleet's plan for lost sites needs of the owner: it counts what is seen, and lets in what the plan allows.
//! What that means is settled in `lemonusher-zone-failover`.

use async_channel::Sender;
use lemonusher::{
    AttemptOutcome, Deployment, EndpointUpdateKind, EngineEntry, EngineState, RequestClassConfig,
};
use lemonusher_zone_failover::{
    AttemptResult, ClassLoad, FailoverConfig, FrontReport, LocalView, Observer, PlanAdmission,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The part of its goal over its threads that a request's work is taken for, until answers tell.
const ASSUMED_WORK_SHARE: f64 = 0.5;

/// Told each period.
#[derive(Debug, Clone)]
pub struct ZoneObservation {
    pub report: FrontReport,
    pub local: LocalView,
    /// Up to which version of the works engines are closed, and what is out on those.
    pub maintenance_version: u64,
    pub in_flight: BTreeMap<u32, u32>,
    /// Of each engine: its site, its cores, and whether it answers, as far as it was tried.
    pub engines: Vec<(u32, u32, u32, Option<bool>)>,
}

/// The request classes as the planner wants them.
pub fn class_loads(deployment: &[RequestClassConfig], floor: f64) -> Vec<ClassLoad> {
    let class_load = |config: &RequestClassConfig| ClassLoad {
        priority_weight: config.priority_weight,
        work: config.latency_objective.as_secs_f64() * config.threads * ASSUMED_WORK_SHARE,
        rate: 0.0,
        latency_objective: config.latency_objective.as_secs_f64(),
        deadline: config.deadline.as_secs_f64(),
        floor,
        allowed_zones: config.allowed_zones.clone(),
    };
    deployment.iter().map(class_load).collect()
}

pub struct ZoneMonitor {
    config: FailoverConfig,
    pub observer: Observer,
    pub plan_admission: PlanAdmission,
    observations: Sender<ZoneObservation>,
    /// This front's part where it goes by itself: one over the number that the deployment states.
    share: f64,
    pub next_report: Duration,
    /// What the works have closed, and by which version.
    pub out_of_service: Arc<BTreeSet<u32>>,
    pub maintenance_version: u64,
    /// Until when what ended in doubt on an engine may still run there.
    uncertain_until: BTreeMap<u32, Duration>,
    uncertainty_span: Duration,
}

impl ZoneMonitor {
    pub fn new(
        now: Duration,
        deployment: &Deployment,
        config: FailoverConfig,
        observations: Sender<ZoneObservation>,
    ) -> ZoneMonitor {
        ZoneMonitor {
            observer: Observer::new(
                now,
                deployment.zone,
                class_loads(&deployment.request_classes, config.admission_floor),
            ),
            plan_admission: PlanAdmission::new(deployment.request_classes.len()),
            observations,
            share: 1.0 / f64::from(deployment.fronts.max(1)),
            next_report: now + config.report_interval,
            config,
            out_of_service: Arc::default(),
            maintenance_version: 0,
            uncertain_until: BTreeMap::new(),
            uncertainty_span: deployment
                .safety_rules
                .unknown_outcome_delay
                .max(deployment.capabilities.connect_timeout),
        }
    }

    /// Tells what was seen once a period; the latest takes the place of one that nobody has taken.
    pub fn poll(&mut self, now: Duration, in_flight: impl Fn() -> BTreeMap<u32, u32>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + self.config.report_interval;
        self.uncertain_until.retain(|_, until| *until > now);
        let mut in_flight = in_flight();
        self.uncertain_until.keys().for_each(|engine| *in_flight.entry(*engine).or_default() += 1);
        in_flight.retain(|engine, _| self.out_of_service.contains(engine));
        let (report, local) = self.observer.report(now, &self.config, self.share);
        let engines = self.observer.engines(now, &self.config);
        let _ = self.observations.force_send(ZoneObservation {
            report,
            local,
            maintenance_version: self.maintenance_version,
            in_flight,
            engines,
        });
    }

    /// An attempt ended; where that proves nothing, the engine may still run it for a while.
    pub fn handle_attempt_ended(&mut self, now: Duration, engine: u32, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            self.uncertain_until.insert(engine, now + self.uncertainty_span);
        }
    }

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
            let cores = deployment
                .machine_kinds
                .get(entry.machine_kind as usize)
                .map_or(1.0, |machine| machine.cores);
            let ready = entry.state == EngineState::Active;
            self.observer.update_engine(entry.engine, entry.zone, cores.round() as u32, ready);
        }
        if kind != EndpointUpdateKind::Delta {
            self.observer.end_full_list();
        }
    }

    pub fn handle_probe_ended(&mut self, now: Duration, engine: u32, answered: bool) {
        match answered {
            true => self.observer.engine_answered(now, engine),
            false => self.observer.engine_missed(now, engine),
        }
    }
}

/// What an outcome tells of the engine. `work` in seconds on one thread.
pub fn attempt_result(
    outcome: AttemptOutcome,
    span: Duration,
    work: Option<Duration>,
    threads: f64,
) -> AttemptResult {
    match outcome {
        AttemptOutcome::Returned => {
            let work = work.map(|work| work.as_secs_f64());
            AttemptResult::Returned { span: span.as_secs_f64(), work, threads }
        }
        AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::TimedOut => {
            AttemptResult::Failed
        }
        AttemptOutcome::Errored | AttemptOutcome::Rejected => AttemptResult::Answered,
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => AttemptResult::Cancelled,
    }
}
