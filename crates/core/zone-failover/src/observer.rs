//! What one front sees of the zones by its ordinary work: nothing is asked for its sake.

use crate::{
    ClassLoad, Demand, FailoverConfig, FrontReport, LocalView, MAX_CLASSES, MAX_ZONES, Zone, ZoneHealth,
    ZoneStats,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt that took so many times its work over its threads, and the least that is ever called slow, counts as slow.
const SLOW_FACTOR: f64 = 4.0;
const MIN_SLOW_S: f64 = 0.25;
/// An engine that was neither answered_at nor missed for so many periods counts as not tried.
const RECENT_REPORTS: u32 = 4;
/// Engines that are kept in sight at most.
const MAX_ENGINES: usize = 4096;
/// What a period's arrivals count against those before, and an answer's work against others once many are known.
const RATE_WEIGHT: f64 = 0.2;
const MIN_WORK_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    zone: Zone,
    cores: u32,
    ready: bool,
    answered_at: Option<Duration>,
    failed: Option<Duration>,
    /// The first that it was asked since it was last answered_at.
    unanswered_since: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    returned: u32,
    slow: u32,
    failed: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassDemand {
    arrivals: u32,
    rate: f64,
    /// Zero until an answer has told any.
    work: f64,
    known: u32,
}

/// How an attempt ended, as far as it tells of its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    /// After this span, with this work (seconds on one thread) over so many threads; no work where none was told.
    Returned {
        span: f64,
        work: Option<f64>,
        threads: f64,
    },
    /// No connection, a reset, or no answer in time.
    Failed,
    /// It answered, but with nothing of use; or the front called it off.
    Answered,
    Cancelled,
}

#[derive(Debug, Clone)]
pub struct Observer {
    zone: Zone,
    engine_health: BTreeMap<u32, Engine>,
    tallies: [Tally; MAX_ZONES],
    demand: Vec<ClassDemand>,
    classes: Vec<ClassLoad>,
    last: Duration,
}

impl Observer {
    /// `groups` as stated; their rates and works are learned.
    pub fn new(now: Duration, stands: Zone, mut classes: Vec<ClassLoad>) -> Observer {
        classes.truncate(MAX_CLASSES);
        let asked = vec![ClassDemand::default(); classes.len()];
        Observer {
            zone: stands,
            engine_health: BTreeMap::new(),
            tallies: [Tally::default(); MAX_ZONES],
            demand: asked,
            classes,
            last: now,
        }
    }

    /// The list names an engine, or no longer does.
    pub fn update_engine(&mut self, engine: u32, zone: Zone, cores: u32, ready: bool) {
        if !ready {
            self.engine_health.remove(&engine);
            return;
        }
        // Whoever is known already keeps its place in a full table.
        let room = self.engine_health.len() < MAX_ENGINES || self.engine_health.contains_key(&engine);
        if (zone as usize) < MAX_ZONES && room {
            let seen = self.engine_health.entry(engine).or_default();
            (seen.zone, seen.cores, seen.ready) = (zone, cores, true);
        }
    }

    /// The whole list comes anew.
    pub fn begin_full_list(&mut self) {
        self.engine_health.values_mut().for_each(|engine| engine.ready = false);
    }

    /// After a whole list: what it did not name is gone.
    pub fn end_full_list(&mut self) {
        self.engine_health.retain(|_, engine| engine.ready);
    }

    pub fn request_arrived(&mut self, class: usize) {
        if let Some(asked) = self.demand.get_mut(class) {
            asked.arrivals = asked.arrivals.saturating_add(1);
        }
    }

    /// Something was sent there, a request or a probe.
    pub fn attempt_sent(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engine_health.get_mut(&engine) {
            engine.unanswered_since = engine.unanswered_since.or(Some(now));
        }
    }

    /// It gave a sign of incarnation.
    pub fn engine_answered(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engine_health.get_mut(&engine) {
            (engine.answered_at, engine.unanswered_since) = (Some(now), None);
        }
    }

    pub fn engine_missed(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engine_health.get_mut(&engine) {
            engine.failed = Some(now);
        }
    }

    pub fn attempt_ended(&mut self, now: Duration, engine: u32, class: usize, ended: AttemptResult) {
        let zone = self.engine_health.get(&engine).map(|engine| engine.zone as usize);
        let mut tally = Tally::default();
        match ended {
            AttemptResult::Returned { span, work, threads } => {
                self.engine_answered(now, engine);
                if let Some((asked, work)) = self.demand.get_mut(class).zip(work) {
                    asked.known = asked.known.saturating_add(1);
                    asked.work += (work - asked.work) * (1.0 / f64::from(asked.known)).max(MIN_WORK_WEIGHT);
                }
                let usual = work.unwrap_or(span) / threads.max(1.0);
                (tally.returned, tally.slow) = (1, u32::from(span > (usual * SLOW_FACTOR).max(MIN_SLOW_S)));
            }
            AttemptResult::Failed => {
                self.engine_missed(now, engine);
                tally.failed = 1;
            }
            AttemptResult::Answered => self.engine_answered(now, engine),
            AttemptResult::Cancelled => {}
        }
        if let Some(all) = zone.and_then(|zone| self.tallies.get_mut(zone)) {
            all.returned = all.returned.saturating_add(tally.returned);
            all.slow = all.slow.saturating_add(tally.slow);
            all.failed = all.failed.saturating_add(tally.failed);
        }
    }

    /// How an engine looks: it answers, it does not, or it was not tried.
    fn answers(engine: &Engine, now: Duration, config: &FailoverConfig) -> Option<bool> {
        let lately = |at: Duration| at + config.report_interval * RECENT_REPORTS > now;
        if engine.failed > engine.answered_at && engine.failed.is_some_and(lately) {
            return Some(false);
        }
        // Guards against a zone that vanishes without a word: what has been asked for so long says nothing.
        if engine.unanswered_since.is_some_and(|at| at + config.confirmation_time <= now) {
            return Some(false);
        }
        engine.answered_at.filter(|at| lately(*at)).map(|_| true)
    }

    /// Of each engine: its zone, its cores, and whether it answers, as far as it was tried lately.
    pub fn engines(&self, now: Duration, config: &FailoverConfig) -> Vec<(u32, Zone, u32, Option<bool>)> {
        let all = self.engine_health.iter();
        all.map(|(id, one)| (*id, one.zone, one.cores, Self::answers(one, now, config))).collect()
    }

    fn zone_stats(&self, now: Duration, config: &FailoverConfig) -> Vec<ZoneStats> {
        let most =
            self.engine_health.values().map(|engine| engine.zone).chain([self.zone]).max().unwrap_or(0);
        let mut zone_stats: Vec<ZoneStats> =
            (0..=most).take(MAX_ZONES).map(|zone| ZoneStats { zone, ..ZoneStats::default() }).collect();
        for engine in self.engine_health.values() {
            let Some(stats) = zone_stats.get_mut(engine.zone as usize) else { continue };
            stats.listed = stats.listed.saturating_add(1);
            stats.cores = stats.cores.saturating_add(engine.cores);
            match Self::answers(engine, now, config) {
                Some(true) => stats.answering += 1,
                Some(false) => stats.silent += 1,
                None => {}
            }
        }
        zone_stats
    }

    /// What this front tells of the period that ends now, and what it knows by itself; begins the next.
    pub fn report(&mut self, now: Duration, config: &FailoverConfig, share: f64) -> (FrontReport, LocalView) {
        let span = now.saturating_sub(self.last).as_secs_f64().max(1e-3);
        self.last = now;
        let mut zone_stats = self.zone_stats(now, config);
        for (stats, tally) in zone_stats.iter_mut().zip(&mut self.tallies) {
            let Tally { returned, slow, failed } = std::mem::take(tally);
            (stats.returned, stats.slow, stats.failed) = (returned, slow, failed);
        }
        for asked in &mut self.demand {
            let rate = f64::from(std::mem::take(&mut asked.arrivals)) / span;
            asked.rate += (rate - asked.rate) * RATE_WEIGHT;
        }
        let demand: Vec<Demand> =
            self.demand.iter().map(|a| Demand { rate: a.rate as f32, work: a.work as f32 }).collect();
        let found = zone_stats.iter().map(|stats| {
            let tried = stats.answering + stats.silent;
            let finding = match tried {
                0 => ZoneHealth::Unknown,
                _ if stats.answering * 2 < tried => ZoneHealth::Unreachable,
                _ => ZoneHealth::Healthy,
            };
            (finding, stats.cores)
        });
        let local =
            LocalView { zones: found.collect(), classes: with_demand(&self.classes, &demand), quota: share };
        (FrontReport { zone: self.zone, zones: zone_stats, demand }, local)
    }
}

/// The groups as stated, with what is asked for.
pub fn with_demand(classes: &[ClassLoad], demand: &[Demand]) -> Vec<ClassLoad> {
    let asked = |(class, demand): (&ClassLoad, &Demand)| ClassLoad {
        rate: f64::from(demand.rate),
        work: if demand.work > 0.0 { f64::from(demand.work) } else { class.work },
        ..class.clone()
    };
    classes.iter().zip(demand).map(asked).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn config() -> FailoverConfig {
        let (period, confirm, steady, pace) = (ms(500), ms(1500), ms(2000), ms(2000));
        let (wait, stale) = (ms(4000), ms(6000));
        FailoverConfig {
            report_interval: period,
            confirmation_time: confirm,
            probation: steady,
            ramp_interval: pace,
            recovery_backoff: wait,
            max_utilization: 0.8,
            admission_floor: 0.1,
            plan_timeout: stale,
        }
    }

    fn observer() -> Observer {
        let class = ClassLoad {
            priority_weight: 1.0,
            work: 0.5,
            rate: 0.0,
            latency_objective: 1.0,
            deadline: 20.0,
            floor: 0.1,
            allowed_zones: None,
        };
        let mut observer = Observer::new(ms(0), 0, vec![class]);
        for engine in 0..4 {
            observer.update_engine(engine, engine / 2, 8, true);
        }
        observer
    }

    #[test]
    fn engines_that_answer_fail_or_fall_silent_are_told_apart() {
        let mut observer = observer();
        observer.attempt_sent(ms(100), 0);
        observer.attempt_ended(
            ms(300),
            0,
            0,
            AttemptResult::Returned { span: 0.2, work: Some(0.2), threads: 1.0 },
        );
        observer.attempt_sent(ms(100), 2);
        observer.attempt_ended(ms(300), 2, 0, AttemptResult::Failed);
        observer.attempt_sent(ms(100), 3); // And nothing comes.
        let (report, _) = observer.report(ms(500), &config(), 1.0);
        let seen =
            |report: &FrontReport, zone: usize| (report.zones[zone].answering, report.zones[zone].silent);
        assert_eq!((seen(&report, 0), seen(&report, 1)), ((1, 0), (0, 1)));
        let (report, local) = observer.report(ms(1700), &config(), 1.0);
        assert_eq!(seen(&report, 1), (0, 2));
        assert_eq!((local.zones[1].0, local.zones[0].1), (ZoneHealth::Unreachable, 16));
        observer.engine_answered(ms(1800), 3);
        observer.update_engine(2, 1, 8, false);
        let (report, local) = observer.report(ms(2000), &config(), 1.0);
        assert_eq!((seen(&report, 1), report.zones[1].listed), ((1, 0), 1));
        assert_eq!(local.zones[1].0, ZoneHealth::Healthy);
    }

    #[test]
    fn demand_counts_what_was_asked_and_work_is_learned() {
        let mut observer = observer();
        (0..50).for_each(|_| observer.request_arrived(0));
        (0..40).for_each(|_| {
            observer.attempt_ended(
                ms(400),
                0,
                0,
                AttemptResult::Returned { span: 9.0, work: Some(2.0), threads: 1.0 },
            );
        });
        let (report, local) = observer.report(ms(500), &config(), 0.5);
        assert_eq!(report.demand[0].rate, 20.0); // A fifth of what this period alone says.
        assert!((report.demand[0].work - 2.0).abs() < 0.2, "{:?}", report.demand);
        assert_eq!((report.zones[0].returned, report.zones[0].slow), (40, 40));
        assert_eq!(local.classes[0].rate, 20.0);
        let (report, _) = observer.report(ms(1000), &config(), 0.5);
        assert_eq!((report.zones[0].returned, report.demand[0].rate), (0, 16.0));
    }
}
