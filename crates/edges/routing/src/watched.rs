//! What the fleet's plan for lost sites needs of the owner: it counts what is seen, and lets in what the plan allows.
//! What that means is settled in `lemonusher-zone-failover`.

use async_channel::Sender;
use lemonusher::{
    AttemptOutcome, Deployment, EndpointUpdateKind, EngineEntry, EngineState, RequestClassConfig,
};
use lemonusher_zone_failover::{Door, Ended, Eyes, Group, Own, Report, Terms};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The part of its goal over its threads that a request's work is taken for, until answers tell.
const WORK_GUESS: f64 = 0.5;

/// Told each period.
#[derive(Debug, Clone)]
pub struct Seen {
    pub report: Report,
    pub own: Own,
    /// Up to which version of the works engines are closed, and what is out on those.
    pub closed_by: u64,
    pub out: BTreeMap<u32, u32>,
    /// Of each engine: its site, its cores, and whether it answers, as far as it was tried.
    pub engines: Vec<(u32, u32, u32, Option<bool>)>,
}

/// The request classes as the planner wants them.
pub fn groups(stated: &[RequestClassConfig], floor: f64) -> Vec<Group> {
    let group = |terms: &RequestClassConfig| Group {
        utility: terms.priority_weight,
        work: terms.latency_objective.as_secs_f64() * terms.threads * WORK_GUESS,
        rate: 0.0,
        goal: terms.latency_objective.as_secs_f64(),
        limit: terms.deadline.as_secs_f64(),
        floor,
        only: terms.allowed_zones.clone(),
    };
    stated.iter().map(group).collect()
}

pub struct Watched {
    terms: Terms,
    pub eyes: Eyes,
    pub door: Door,
    told: Sender<Seen>,
    /// This front's part where it goes by itself: one over the number that the deployment states.
    share: f64,
    pub next: Duration,
    /// What the works have closed, and by which version.
    pub closed: Arc<BTreeSet<u32>>,
    pub closed_by: u64,
    /// Until when what ended in doubt on an engine may still run there.
    doubts: BTreeMap<u32, Duration>,
    settle: Duration,
}

impl Watched {
    pub fn new(now: Duration, stated: &Deployment, terms: Terms, told: Sender<Seen>) -> Watched {
        Watched {
            eyes: Eyes::new(now, stated.zone, groups(&stated.request_classes, terms.floor)),
            door: Door::new(stated.request_classes.len()),
            told,
            share: 1.0 / f64::from(stated.fronts.max(1)),
            next: now + terms.period,
            terms,
            closed: Arc::default(),
            closed_by: 0,
            doubts: BTreeMap::new(),
            settle: stated.safety_rules.unknown_outcome_delay.max(stated.capabilities.connect_timeout),
        }
    }

    /// Tells what was seen once a period; the latest takes the place of one that nobody has taken.
    pub fn turn(&mut self, now: Duration, out: impl Fn() -> BTreeMap<u32, u32>) {
        if now < self.next {
            return;
        }
        self.next = now + self.terms.period;
        self.doubts.retain(|_, until| *until > now);
        let mut out = out();
        self.doubts.keys().for_each(|engine| *out.entry(*engine).or_default() += 1);
        out.retain(|engine, _| self.closed.contains(engine));
        let (report, own) = self.eyes.report(now, &self.terms, self.share);
        let engines = self.eyes.engines(now, &self.terms);
        let _ = self.told.force_send(Seen { report, own, closed_by: self.closed_by, out, engines });
    }

    /// An attempt ended; where that proves nothing, the engine may still run it for a while.
    pub fn ended(&mut self, now: Duration, engine: u32, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset | AttemptOutcome::Cancelled) {
            self.doubts.insert(engine, now + self.settle);
        }
    }

    pub fn list(&mut self, stated: &Deployment, kind: EndpointUpdateKind, entries: &[EngineEntry]) {
        if kind != EndpointUpdateKind::Delta {
            self.eyes.clear();
        }
        for entry in entries {
            let cores =
                stated.machine_kinds.get(entry.machine_kind as usize).map_or(1.0, |machine| machine.cores);
            let ready = entry.state == EngineState::Active;
            self.eyes.list(entry.engine, entry.zone, cores.round() as u32, ready);
        }
        if kind != EndpointUpdateKind::Delta {
            self.eyes.settle();
        }
    }

    pub fn probed(&mut self, now: Duration, engine: u32, answered: bool) {
        match answered {
            true => self.eyes.heard(now, engine),
            false => self.eyes.missed(now, engine),
        }
    }
}

/// What an outcome tells of the engine. `work` in seconds on one thread.
pub fn ended(outcome: AttemptOutcome, span: Duration, work: Option<Duration>, threads: f64) -> Ended {
    match outcome {
        AttemptOutcome::Returned => {
            let work = work.map(|work| work.as_secs_f64());
            Ended::Returned { span: span.as_secs_f64(), work, threads }
        }
        AttemptOutcome::ConnectFailed | AttemptOutcome::Reset | AttemptOutcome::TimedOut => Ended::Failed,
        AttemptOutcome::Errored | AttemptOutcome::Rejected => Ended::Answered,
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => Ended::CalledOff,
    }
}
