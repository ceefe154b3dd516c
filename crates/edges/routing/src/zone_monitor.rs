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
const WORK_GUESS: f64 = 0.5;

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
pub fn class_loads(stated: &[RequestClassConfig], floor: f64) -> Vec<ClassLoad> {
    let group = |terms: &RequestClassConfig| ClassLoad {
        priority_weight: terms.priority_weight,
        work: terms.latency_objective.as_secs_f64() * terms.threads * WORK_GUESS,
        rate: 0.0,
        latency_objective: terms.latency_objective.as_secs_f64(),
        deadline: terms.deadline.as_secs_f64(),
        floor,
        allowed_zones: terms.allowed_zones.clone(),
    };
    stated.iter().map(group).collect()
}

pub struct Watched {
    terms: FailoverConfig,
    pub eyes: Observer,
    pub door: PlanAdmission,
    told: Sender<ZoneObservation>,
    /// This front's part where it goes by itself: one over the number that the deployment states.
    share: f64,
    pub next: Duration,
    /// What the works have closed, and by which version.
    pub closed: Arc<BTreeSet<u32>>,
    pub maintenance_version: u64,
    /// Until when what ended in doubt on an engine may still run there.
    doubts: BTreeMap<u32, Duration>,
    settle: Duration,
}

impl Watched {
    pub fn new(
        now: Duration,
        stated: &Deployment,
        terms: FailoverConfig,
        told: Sender<ZoneObservation>,
    ) -> Watched {
        Watched {
            eyes: Observer::new(
                now,
                stated.zone,
                class_loads(&stated.request_classes, terms.admission_floor),
            ),
            door: PlanAdmission::new(stated.request_classes.len()),
            told,
            share: 1.0 / f64::from(stated.fronts.max(1)),
            next: now + terms.report_interval,
            terms,
            closed: Arc::default(),
            maintenance_version: 0,
            doubts: BTreeMap::new(),
            settle: stated.safety_rules.unknown_outcome_delay.max(stated.capabilities.connect_timeout),
        }
    }

    /// Tells what was seen once a period; the latest takes the place of one that nobody has taken.
    pub fn turn(&mut self, now: Duration, out: impl Fn() -> BTreeMap<u32, u32>) {
        if now < self.next {
            return;
        }
        self.next = now + self.terms.report_interval;
        self.doubts.retain(|_, until| *until > now);
        let mut out = out();
        self.doubts.keys().for_each(|engine| *out.entry(*engine).or_default() += 1);
        out.retain(|engine, _| self.closed.contains(engine));
        let (report, own) = self.eyes.report(now, &self.terms, self.share);
        let engines = self.eyes.engines(now, &self.terms);
        let _ = self.told.force_send(ZoneObservation {
            report,
            local: own,
            maintenance_version: self.maintenance_version,
            in_flight: out,
            engines,
        });
    }

    /// An attempt ended; where that proves nothing, the engine may still run it for a while.
    pub fn ended(&mut self, now: Duration, engine: u32, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            self.doubts.insert(engine, now + self.settle);
        }
    }

    pub fn list(&mut self, stated: &Deployment, kind: EndpointUpdateKind, entries: &[EngineEntry]) {
        if kind != EndpointUpdateKind::Delta {
            self.eyes.begin_full_list();
        }
        for entry in entries {
            let cores =
                stated.machine_kinds.get(entry.machine_kind as usize).map_or(1.0, |machine| machine.cores);
            let ready = entry.state == EngineState::Active;
            self.eyes.update_engine(entry.engine, entry.zone, cores.round() as u32, ready);
        }
        if kind != EndpointUpdateKind::Delta {
            self.eyes.end_full_list();
        }
    }

    pub fn probed(&mut self, now: Duration, engine: u32, answered: bool) {
        match answered {
            true => self.eyes.engine_answered(now, engine),
            false => self.eyes.engine_missed(now, engine),
        }
    }
}

/// What an outcome tells of the engine. `work` in seconds on one thread.
pub fn ended(outcome: AttemptOutcome, span: Duration, work: Option<Duration>, threads: f64) -> AttemptResult {
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
