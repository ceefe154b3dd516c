//! Observes the zones through the front's ordinary attempts and probes. The observer itself sends nothing.
//!
//! An engine is *silent* if its latest failure is recent and newer than its latest answer, or if attempts or probes that
//! were sent after its latest answer have waited for the confirmation time. The latter detects a zone that disappears
//! without an error. The wait begins with the first of them. It pauses while all of them have been cancelled or were
//! never sent, because an engine owes no answer then; after a failure it does not pause. Otherwise an engine *answers* if its latest answer is recent, and else counts as not tried.
//! Recent means within the last four report intervals.

use crate::{
    ClassLoad, Demand, FailoverConfig, FrontReport, LocalView, LocalZone, MAX_CLASSES, MAX_ZONES, Zone,
    ZoneHealth, ZoneStats, with_demand,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt is slow if it took longer than this multiple of its work divided by its threads, and longer than
/// [`MIN_SLOW_S`]. An attempt whose reply states no work is not slow, unless it used more threads than this number.
const SLOW_FACTOR: f64 = 4.0;
/// The longest duration, in seconds, of an attempt that is never counted as slow.
const MIN_SLOW_S: f64 = 0.25;
/// The number of report intervals for which an answer or a failure counts as recent.
const RECENT_INTERVALS: u32 = 4;
/// The maximum number of engines observed.
const MAX_ENGINES: usize = 4096;
/// The weight of the latest interval's rate in the smoothed rate.
const RATE_WEIGHT: f64 = 0.2;
/// The least weight of one reply's work in the mean. The first replies weigh one over their number, a plain mean.
const MIN_WORK_WEIGHT: f64 = 0.05;
/// The shortest report interval that rates are computed over, in seconds.
const MIN_INTERVAL_S: f64 = 1e-3;

#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    zone: Zone,
    cores: u32,
    /// False from the start of a full endpoint list until the list names the engine.
    ready: bool,
    last_answer: Option<Duration>,
    last_failure: Option<Duration>,
    wait: Wait,
}

/// How long an engine has been waited for since its last answer.
#[derive(Debug, Clone, Copy, Default)]
struct Wait {
    /// Since when something has been in flight without a pause; none during a pause.
    since: Option<Duration>,
    /// The waits before the pauses, added up.
    earlier: Duration,
    /// Attempts and probes sent since the last answer that have not been cancelled.
    in_flight: u32,
    /// Whether one of them failed.
    has_failed: bool,
}

impl Wait {
    fn handle_sent(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_add(1);
        self.since = self.since.or(Some(now));
    }

    /// Handles the end of one that got no chance to be answered. `counts` says whether the time until now was a wait.
    fn handle_withdrawn(&mut self, now: Duration, counts: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 && !self.has_failed {
            let waited = self.since.take().map_or(Duration::ZERO, |since| now.saturating_sub(since));
            self.earlier += if counts { waited } else { Duration::ZERO };
        }
    }

    fn elapsed(&self, now: Duration) -> Duration {
        self.earlier + self.since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

impl Engine {
    /// Whether the engine answers (`true`) or is silent (`false`); none if it counts as not tried.
    fn answers(&self, now: Duration, config: &FailoverConfig) -> Option<bool> {
        let is_recent = |at: Duration| at + config.report_interval * RECENT_INTERVALS > now;
        if self.last_failure > self.last_answer && self.last_failure.is_some_and(is_recent) {
            return Some(false);
        }
        if self.wait.elapsed(now) >= config.confirmation_time {
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
    /// Requests since the last report.
    arrivals: u32,
    /// The smoothed rate of arrivals, in requests a second.
    rate: f64,
    /// The mean work of a request, in seconds on one thread; zero before the first sample.
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

/// The result of an attempt, as evidence about its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    /// The engine replied with a result.
    Returned {
        /// The time from sending to the reply, in seconds.
        elapsed: f64,
        /// The work that the reply states, in seconds on one thread.
        work: Option<f64>,
        /// The number of threads that the request ran on.
        threads: f64,
    },
    /// No connection, a reset, or no reply in time.
    Failed,
    /// The engine replied, but without a result.
    Answered,
    /// The front cancelled the attempt. Only the time until then was waited in vain.
    Cancelled {
        /// When it was sent.
        sent_at: Duration,
    },
    /// The attempt never reached the engine; this is no evidence.
    NotSent {
        /// When it was handed over to be sent.
        sent_at: Duration,
    },
}

/// This front's observation of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineObservation {
    /// The engine's id.
    pub engine: u32,
    /// The engine's zone.
    pub zone: Zone,
    /// The engine's cores.
    pub cores: u32,
    /// Whether the engine answers (`true`) or is silent (`false`); none if it counts as not tried.
    pub answers: Option<bool>,
}

/// A front's observations over one report interval.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// The report for the voters.
    pub report: FrontReport,
    /// The view for the front itself.
    pub local: LocalView,
}

/// Records one front's observations of engines, zones and demand.
#[derive(Debug, Clone)]
pub struct Observer {
    /// The zone of the front itself.
    zone: Zone,
    /// The engines, by id; [`MAX_ENGINES`] at most.
    engines: BTreeMap<u32, Engine>,
    /// The attempts that ended since the last report, by zone.
    attempts: [AttemptCounts; MAX_ZONES],
    /// The demand, by request class.
    demand: Vec<ClassDemand>,
    /// The configured request classes.
    classes: Vec<ClassLoad>,
    last_report: Duration,
}

impl Observer {
    /// `zone` is the front's own; `classes` are the configured request classes, whose rates and work are observed.
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

    /// Handles an endpoint update: the endpoint list names an engine as ready, or no longer does. If the table is
    /// full, new engines are ignored and known ones kept.
    pub fn update_engine(&mut self, engine: u32, zone: Zone, cores: u32, ready: bool) {
        if !ready {
            self.engines.remove(&engine);
            return;
        }
        let has_capacity = self.engines.len() < MAX_ENGINES || self.engines.contains_key(&engine);
        if (zone as usize) < MAX_ZONES && has_capacity {
            let known = self.engines.entry(engine).or_default();
            known.zone = zone;
            known.cores = cores;
            known.ready = true;
        }
    }

    /// Handles the start of a full endpoint list.
    pub fn begin_full_list(&mut self) {
        self.engines.values_mut().for_each(|engine| engine.ready = false);
    }

    /// Handles the end of a full endpoint list; engines that it did not name are removed.
    pub fn end_full_list(&mut self) {
        self.engines.retain(|_, engine| engine.ready);
    }

    /// Counts the arrival of a request of this class, whether or not it is admitted.
    pub fn request_arrived(&mut self, request_class: usize) {
        if let Some(demand) = self.demand.get_mut(request_class) {
            demand.arrivals = demand.arrivals.saturating_add(1);
        }
    }

    /// Records that an attempt or a probe was sent.
    pub fn attempt_sent(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.wait.handle_sent(now);
        }
    }

    /// Records an answer of the engine, of any kind.
    pub fn engine_answered(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.last_answer = Some(now);
            engine.wait = Wait::default();
        }
    }

    /// Records that an attempt or a probe was cancelled, or was never sent. One that was sent before the engine's last
    /// answer says nothing.
    fn attempt_withdrawn(&mut self, now: Duration, engine: u32, sent_at: Duration, counts: bool) {
        if let Some(engine) = self.engines.get_mut(&engine)
            && engine.last_answer.is_none_or(|answered_at| sent_at >= answered_at)
        {
            engine.wait.handle_withdrawn(now, counts);
        }
    }

    /// Records that a probe was never sent.
    pub fn probe_not_sent(&mut self, now: Duration, engine: u32, sent_at: Duration) {
        self.attempt_withdrawn(now, engine, sent_at, false);
    }

    /// Records that an attempt or a probe failed without an answer.
    pub fn engine_failed(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.last_failure = Some(now);
            engine.wait.has_failed = true;
        }
    }

    /// Records the result of an attempt.
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
                self.engine_failed(now, engine);
                ended.failed = 1;
            }
            AttemptResult::Answered => self.engine_answered(now, engine),
            AttemptResult::Cancelled { sent_at } => self.attempt_withdrawn(now, engine, sent_at, true),
            AttemptResult::NotSent { sent_at } => self.attempt_withdrawn(now, engine, sent_at, false),
        }
        if let Some(counts) = zone.and_then(|zone| self.attempts.get_mut(zone)) {
            counts.returned = counts.returned.saturating_add(ended.returned);
            counts.slow = counts.slow.saturating_add(ended.slow);
            counts.failed = counts.failed.saturating_add(ended.failed);
        }
    }

    /// All known engines, in the order of their ids.
    pub fn engines(&self, now: Duration, config: &FailoverConfig) -> Vec<EngineObservation> {
        let observe = |(id, engine): (&u32, &Engine)| EngineObservation {
            engine: *id,
            zone: engine.zone,
            cores: engine.cores,
            answers: engine.answers(now, config),
        };
        self.engines.iter().map(observe).collect()
    }

    /// Ends the report interval. `isolated_share` is the share of the zones' capacity that this front may use while
    /// it is isolated, from 0 to 1.
    pub fn report(&mut self, now: Duration, config: &FailoverConfig, isolated_share: f64) -> Observation {
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
            isolated_share,
        };
        Observation { report: FrontReport { zone: self.zone, zones, demand }, local }
    }

    /// The engine counts by zone, up to the highest zone of any engine or of this front.
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
