//! What one front observes of the zones by its ordinary attempts and probes; nothing is sent for its sake.
//!
//! An engine *answers* if it has answered lately and not failed since. It is *silent* if it has failed lately, or if
//! something sent there has been unanswered for the confirmation time, so that a zone that vanishes without an error is
//! seen too. Otherwise it counts as not tried.

use crate::{
    ClassLoad, Demand, FailoverConfig, FrontReport, LocalView, LocalZone, MAX_CLASSES, MAX_ZONES, Zone,
    ZoneHealth, ZoneStats, with_demand,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt that took so many times its work over its threads counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// The shortest attempt that is called slow, in seconds.
const MIN_SLOW_S: f64 = 0.25;
/// Report intervals for which an answer or a failure counts.
const RECENT_INTERVALS: u32 = 4;
/// Engines observed at most.
const MAX_ENGINES: usize = 4096;
/// Weight of the latest interval's arrivals in the smoothed rate.
const RATE_WEIGHT: f64 = 0.2;
/// Least weight of one response's work in the mean; the first responses weigh one over their number.
const MIN_WORK_WEIGHT: f64 = 0.05;
/// The shortest report interval that rates are computed over, in seconds.
const MIN_INTERVAL_S: f64 = 1e-3;

#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    zone: Zone,
    cores: u32,
    /// False from the begin of a full list until the list names it.
    ready: bool,
    last_answer: Option<Duration>,
    last_failure: Option<Duration>,
    /// When the first of what has been sent since the last answer was sent.
    unanswered_since: Option<Duration>,
}

impl Engine {
    /// Whether it answers; none where it was not tried lately.
    fn answers(&self, now: Duration, config: &FailoverConfig) -> Option<bool> {
        let is_recent = |at: Duration| at + config.report_interval * RECENT_INTERVALS > now;
        if self.last_failure > self.last_answer && self.last_failure.is_some_and(is_recent) {
            return Some(false);
        }
        if self.unanswered_since.is_some_and(|since| since + config.confirmation_time <= now) {
            return Some(false);
        }
        self.last_answer.filter(|at| is_recent(*at)).map(|_| true)
    }
}

/// Attempts that ended in a zone since the last report.
#[derive(Debug, Clone, Copy, Default)]
struct AttemptCounts {
    returned: u32,
    slow: u32,
    failed: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassDemand {
    /// Since the last report.
    arrivals: u32,
    /// Smoothed, in requests a second.
    rate: f64,
    /// Mean of a request, in seconds on one thread; zero before the first sample.
    work: f64,
    work_samples: u32,
}

impl ClassDemand {
    fn observe_work(&mut self, work: f64) {
        self.work_samples = self.work_samples.saturating_add(1);
        self.work += (work - self.work) * (1.0 / f64::from(self.work_samples)).max(MIN_WORK_WEIGHT);
    }

    fn end_interval(&mut self, interval_s: f64) {
        let rate = f64::from(std::mem::take(&mut self.arrivals)) / interval_s;
        self.rate += (rate - self.rate) * RATE_WEIGHT;
    }
}

/// How an attempt ended, as far as it says something of its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    /// With a response.
    Returned {
        /// From sending to the response, in seconds.
        elapsed: f64,
        /// The work that the response states, in seconds on one thread.
        work: Option<f64>,
        /// Threads that it ran on.
        threads: f64,
    },
    /// No connection, a reset, or no response in time.
    Failed,
    /// The engine answered, but with no result.
    Answered,
    /// The front cancelled it: says nothing.
    Cancelled,
}

/// An engine as this front observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineObservation {
    /// The engine's id.
    pub engine: u32,
    /// The zone that it stands in.
    pub zone: Zone,
    /// Its cores.
    pub cores: u32,
    /// Whether it answers; none where it was not tried lately.
    pub answers: Option<bool>,
}

/// What a front observed over one report interval.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// For the voters.
    pub report: FrontReport,
    /// For the front itself.
    pub local: LocalView,
}

/// One front's observations of engines, zones and demand.
#[derive(Debug, Clone)]
pub struct Observer {
    zone: Zone,
    /// By id; [`MAX_ENGINES`] at most.
    engines: BTreeMap<u32, Engine>,
    attempts: [AttemptCounts; MAX_ZONES],
    /// By request class.
    demand: Vec<ClassDemand>,
    /// As configured.
    classes: Vec<ClassLoad>,
    last_report: Duration,
}

impl Observer {
    /// `zone` is the front's own; `classes` as configured, their rates and work are learned.
    pub fn new(now: Duration, zone: Zone, mut classes: Vec<ClassLoad>) -> Observer {
        classes.truncate(MAX_CLASSES);
        Observer {
            zone,
            engines: BTreeMap::new(),
            attempts: [AttemptCounts::default(); MAX_ZONES],
            demand: vec![ClassDemand::default(); classes.len()],
            classes,
            last_report: now,
        }
    }

    /// The endpoint list names an engine as ready, or no longer does. In a full table known engines keep their place.
    pub fn update_engine(&mut self, engine: u32, zone: Zone, cores: u32, ready: bool) {
        if !ready {
            self.engines.remove(&engine);
            return;
        }
        let has_room = self.engines.len() < MAX_ENGINES || self.engines.contains_key(&engine);
        if (zone as usize) < MAX_ZONES && has_room {
            let known = self.engines.entry(engine).or_default();
            known.zone = zone;
            known.cores = cores;
            known.ready = true;
        }
    }

    /// A full endpoint list follows.
    pub fn begin_full_list(&mut self) {
        self.engines.values_mut().for_each(|engine| engine.ready = false);
    }

    /// The full endpoint list is complete: engines that it did not name are dropped.
    pub fn end_full_list(&mut self) {
        self.engines.retain(|_, engine| engine.ready);
    }

    /// A request of this class arrived, whether or not it is admitted.
    pub fn request_arrived(&mut self, request_class: usize) {
        if let Some(demand) = self.demand.get_mut(request_class) {
            demand.arrivals = demand.arrivals.saturating_add(1);
        }
    }

    /// An attempt or a probe was sent.
    pub fn attempt_sent(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.unanswered_since = engine.unanswered_since.or(Some(now));
        }
    }

    /// The engine answered anything at all.
    pub fn engine_answered(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.last_answer = Some(now);
            engine.unanswered_since = None;
        }
    }

    /// An attempt or a probe failed for want of an answer.
    pub fn engine_missed(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.last_failure = Some(now);
        }
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, now: Duration, engine: u32, request_class: usize, result: AttemptResult) {
        let zone = self.engines.get(&engine).map(|engine| engine.zone as usize);
        let mut ended = AttemptCounts::default();
        match result {
            AttemptResult::Returned { elapsed, work, threads } => {
                self.engine_answered(now, engine);
                if let Some((demand, work)) = self.demand.get_mut(request_class).zip(work) {
                    demand.observe_work(work);
                }
                let usual = work.unwrap_or(elapsed) / threads.max(1.0);
                ended.returned = 1;
                ended.slow = u32::from(elapsed > (usual * SLOW_FACTOR).max(MIN_SLOW_S));
            }
            AttemptResult::Failed => {
                self.engine_missed(now, engine);
                ended.failed = 1;
            }
            AttemptResult::Answered => self.engine_answered(now, engine),
            AttemptResult::Cancelled => {}
        }
        if let Some(counts) = zone.and_then(|zone| self.attempts.get_mut(zone)) {
            counts.returned = counts.returned.saturating_add(ended.returned);
            counts.slow = counts.slow.saturating_add(ended.slow);
            counts.failed = counts.failed.saturating_add(ended.failed);
        }
    }

    /// All engines known, by id.
    pub fn engines(&self, now: Duration, config: &FailoverConfig) -> Vec<EngineObservation> {
        let observe = |(id, engine): (&u32, &Engine)| EngineObservation {
            engine: *id,
            zone: engine.zone,
            cores: engine.cores,
            answers: engine.answers(now, config),
        };
        self.engines.iter().map(observe).collect()
    }

    /// Ends the report interval. `quota` is this front's share of what all fronts share, from 0 to 1.
    pub fn report(&mut self, now: Duration, config: &FailoverConfig, quota: f64) -> Observation {
        let interval_s = now.saturating_sub(self.last_report).as_secs_f64().max(MIN_INTERVAL_S);
        self.last_report = now;
        let mut zones = self.zone_stats(now, config);
        for (stats, counts) in zones.iter_mut().zip(&mut self.attempts) {
            let counts = std::mem::take(counts);
            stats.returned = counts.returned;
            stats.slow = counts.slow;
            stats.failed = counts.failed;
        }
        self.demand.iter_mut().for_each(|demand| demand.end_interval(interval_s));
        let demand: Vec<Demand> = self
            .demand
            .iter()
            .map(|demand| Demand { rate: demand.rate as f32, work: demand.work as f32 })
            .collect();
        let local = LocalView {
            zones: zones.iter().map(local_zone).collect(),
            classes: with_demand(&self.classes, &demand),
            quota,
        };
        Observation { report: FrontReport { zone: self.zone, zones, demand }, local }
    }

    /// By zone, up to the highest that an engine or this front stands in.
    fn zone_stats(&self, now: Duration, config: &FailoverConfig) -> Vec<ZoneStats> {
        let last = self.engines.values().map(|engine| engine.zone).chain([self.zone]).max().unwrap_or(0);
        let mut zones: Vec<ZoneStats> =
            (0..=last).take(MAX_ZONES).map(|zone| ZoneStats { zone, ..ZoneStats::default() }).collect();
        for engine in self.engines.values() {
            let Some(stats) = zones.get_mut(engine.zone as usize) else { continue };
            stats.listed = stats.listed.saturating_add(1);
            stats.cores = stats.cores.saturating_add(engine.cores);
            match engine.answers(now, config) {
                Some(true) => stats.answering += 1,
                Some(false) => stats.silent += 1,
                None => {}
            }
        }
        zones
    }
}

fn local_zone(stats: &ZoneStats) -> LocalZone {
    let health = match stats.is_healthy() {
        None => ZoneHealth::Unknown,
        Some(false) => ZoneHealth::Unreachable,
        Some(true) => ZoneHealth::Healthy,
    };
    LocalZone { health, cores: stats.cores }
}
