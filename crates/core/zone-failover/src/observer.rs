//! What one front sees of the zones by its ordinary work: nothing is asked for its sake.

use crate::{
    ClassLoad, Demand, FailoverConfig, FrontReport, LocalView, MAX_CLASSES, MAX_ZONES, Zone, ZoneHealth,
    ZoneStats,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt that took so many times its work over its threads, and the least that is ever called slow, counts as slow.
const SLOW: f64 = 4.0;
const LEAST_SLOW: f64 = 0.25;
/// An engine that was neither heard nor missed for so many periods counts as not tried.
const LATELY: u32 = 4;
/// Engines that are kept in sight at most.
const MOST_ENGINES: usize = 4096;
/// What a period's arrivals count against those before, and an answer's work against others once many are known.
const FRESH: f64 = 0.2;
const NEWEST: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct Engine {
    site: Zone,
    cores: u32,
    ready: bool,
    heard: Option<Duration>,
    failed: Option<Duration>,
    /// The first that it was asked since it was last heard.
    asked: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    returned: u32,
    slow: u32,
    failed: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    taken: u32,
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
    asked: Vec<Asked>,
    groups: Vec<ClassLoad>,
    last: Duration,
}

impl Observer {
    /// `groups` as stated; their rates and works are learned.
    pub fn new(now: Duration, stands: Zone, mut groups: Vec<ClassLoad>) -> Observer {
        groups.truncate(MAX_CLASSES);
        let asked = vec![Asked::default(); groups.len()];
        Observer {
            zone: stands,
            engine_health: BTreeMap::new(),
            tallies: [Tally::default(); MAX_ZONES],
            asked,
            groups,
            last: now,
        }
    }

    /// The list names an engine, or no longer does.
    pub fn update_engine(&mut self, engine: u32, site: Zone, cores: u32, ready: bool) {
        if !ready {
            self.engine_health.remove(&engine);
            return;
        }
        // Whoever is known already keeps its place in a full table.
        let room = self.engine_health.len() < MOST_ENGINES || self.engine_health.contains_key(&engine);
        if (site as usize) < MAX_ZONES && room {
            let seen = self.engine_health.entry(engine).or_default();
            (seen.site, seen.cores, seen.ready) = (site, cores, true);
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

    pub fn request_arrived(&mut self, group: usize) {
        if let Some(asked) = self.asked.get_mut(group) {
            asked.taken = asked.taken.saturating_add(1);
        }
    }

    /// Something was sent there, a request or a probe.
    pub fn attempt_sent(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engine_health.get_mut(&engine) {
            engine.asked = engine.asked.or(Some(now));
        }
    }

    /// It gave a sign of incarnation.
    pub fn engine_answered(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engine_health.get_mut(&engine) {
            (engine.heard, engine.asked) = (Some(now), None);
        }
    }

    pub fn engine_missed(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engine_health.get_mut(&engine) {
            engine.failed = Some(now);
        }
    }

    pub fn attempt_ended(&mut self, now: Duration, engine: u32, group: usize, ended: AttemptResult) {
        let site = self.engine_health.get(&engine).map(|engine| engine.site as usize);
        let mut tally = Tally::default();
        match ended {
            AttemptResult::Returned { span, work, threads } => {
                self.engine_answered(now, engine);
                if let Some((asked, work)) = self.asked.get_mut(group).zip(work) {
                    asked.known = asked.known.saturating_add(1);
                    asked.work += (work - asked.work) * (1.0 / f64::from(asked.known)).max(NEWEST);
                }
                let usual = work.unwrap_or(span) / threads.max(1.0);
                (tally.returned, tally.slow) = (1, u32::from(span > (usual * SLOW).max(LEAST_SLOW)));
            }
            AttemptResult::Failed => {
                self.engine_missed(now, engine);
                tally.failed = 1;
            }
            AttemptResult::Answered => self.engine_answered(now, engine),
            AttemptResult::Cancelled => {}
        }
        if let Some(all) = site.and_then(|site| self.tallies.get_mut(site)) {
            all.returned = all.returned.saturating_add(tally.returned);
            all.slow = all.slow.saturating_add(tally.slow);
            all.failed = all.failed.saturating_add(tally.failed);
        }
    }

    /// How an engine looks: it answers, it does not, or it was not tried.
    fn answers(engine: &Engine, now: Duration, terms: &FailoverConfig) -> Option<bool> {
        let lately = |at: Duration| at + terms.report_interval * LATELY > now;
        if engine.failed > engine.heard && engine.failed.is_some_and(lately) {
            return Some(false);
        }
        // Guards against a zone that vanishes without a word: what has been asked for so long says nothing.
        if engine.asked.is_some_and(|at| at + terms.confirmation_time <= now) {
            return Some(false);
        }
        engine.heard.filter(|at| lately(*at)).map(|_| true)
    }

    /// Of each engine: its zone, its cores, and whether it answers, as far as it was tried lately.
    pub fn engines(&self, now: Duration, terms: &FailoverConfig) -> Vec<(u32, Zone, u32, Option<bool>)> {
        let all = self.engine_health.iter();
        all.map(|(id, one)| (*id, one.site, one.cores, Self::answers(one, now, terms))).collect()
    }

    fn zone_stats(&self, now: Duration, terms: &FailoverConfig) -> Vec<ZoneStats> {
        let most =
            self.engine_health.values().map(|engine| engine.site).chain([self.zone]).max().unwrap_or(0);
        let mut sights: Vec<ZoneStats> =
            (0..=most).take(MAX_ZONES).map(|site| ZoneStats { zone: site, ..ZoneStats::default() }).collect();
        for engine in self.engine_health.values() {
            let Some(sight) = sights.get_mut(engine.site as usize) else { continue };
            sight.listed = sight.listed.saturating_add(1);
            sight.cores = sight.cores.saturating_add(engine.cores);
            match Self::answers(engine, now, terms) {
                Some(true) => sight.answering += 1,
                Some(false) => sight.silent += 1,
                None => {}
            }
        }
        sights
    }

    /// What this front tells of the period that ends now, and what it knows by itself; begins the next.
    pub fn report(&mut self, now: Duration, terms: &FailoverConfig, share: f64) -> (FrontReport, LocalView) {
        let span = now.saturating_sub(self.last).as_secs_f64().max(1e-3);
        self.last = now;
        let mut sights = self.zone_stats(now, terms);
        for (sight, tally) in sights.iter_mut().zip(&mut self.tallies) {
            let Tally { returned, slow, failed } = std::mem::take(tally);
            (sight.returned, sight.slow, sight.failed) = (returned, slow, failed);
        }
        for asked in &mut self.asked {
            let rate = f64::from(std::mem::take(&mut asked.taken)) / span;
            asked.rate += (rate - asked.rate) * FRESH;
        }
        let demand: Vec<Demand> =
            self.asked.iter().map(|a| Demand { rate: a.rate as f32, work: a.work as f32 }).collect();
        let found = sights.iter().map(|sight| {
            let tried = sight.answering + sight.silent;
            let finding = match tried {
                0 => ZoneHealth::Unknown,
                _ if sight.answering * 2 < tried => ZoneHealth::Unreachable,
                _ => ZoneHealth::Healthy,
            };
            (finding, sight.cores)
        });
        let own =
            LocalView { zones: found.collect(), classes: with_demand(&self.groups, &demand), quota: share };
        (FrontReport { zone: self.zone, zones: sights, demand }, own)
    }
}

/// The groups as stated, with what is asked for.
pub fn with_demand(groups: &[ClassLoad], demand: &[Demand]) -> Vec<ClassLoad> {
    let asked = |(group, demand): (&ClassLoad, &Demand)| ClassLoad {
        rate: f64::from(demand.rate),
        work: if demand.work > 0.0 { f64::from(demand.work) } else { group.work },
        ..group.clone()
    };
    groups.iter().zip(demand).map(asked).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn terms() -> FailoverConfig {
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

    fn eyes() -> Observer {
        let group = ClassLoad {
            priority_weight: 1.0,
            work: 0.5,
            rate: 0.0,
            latency_objective: 1.0,
            deadline: 20.0,
            floor: 0.1,
            allowed_zones: None,
        };
        let mut eyes = Observer::new(ms(0), 0, vec![group]);
        for engine in 0..4 {
            eyes.update_engine(engine, engine / 2, 8, true);
        }
        eyes
    }

    #[test]
    fn engines_that_answer_fail_or_fall_silent_are_told_apart() {
        let mut eyes = eyes();
        eyes.attempt_sent(ms(100), 0);
        eyes.attempt_ended(
            ms(300),
            0,
            0,
            AttemptResult::Returned { span: 0.2, work: Some(0.2), threads: 1.0 },
        );
        eyes.attempt_sent(ms(100), 2);
        eyes.attempt_ended(ms(300), 2, 0, AttemptResult::Failed);
        eyes.attempt_sent(ms(100), 3); // And nothing comes.
        let (report, _) = eyes.report(ms(500), &terms(), 1.0);
        let seen =
            |report: &FrontReport, site: usize| (report.zones[site].answering, report.zones[site].silent);
        assert_eq!((seen(&report, 0), seen(&report, 1)), ((1, 0), (0, 1)));
        let (report, own) = eyes.report(ms(1700), &terms(), 1.0);
        assert_eq!(seen(&report, 1), (0, 2));
        assert_eq!((own.zones[1].0, own.zones[0].1), (ZoneHealth::Unreachable, 16));
        eyes.engine_answered(ms(1800), 3);
        eyes.update_engine(2, 1, 8, false);
        let (report, own) = eyes.report(ms(2000), &terms(), 1.0);
        assert_eq!((seen(&report, 1), report.zones[1].listed), ((1, 0), 1));
        assert_eq!(own.zones[1].0, ZoneHealth::Healthy);
    }

    #[test]
    fn demand_counts_what_was_asked_and_work_is_learned() {
        let mut eyes = eyes();
        (0..50).for_each(|_| eyes.request_arrived(0));
        (0..40).for_each(|_| {
            eyes.attempt_ended(
                ms(400),
                0,
                0,
                AttemptResult::Returned { span: 9.0, work: Some(2.0), threads: 1.0 },
            );
        });
        let (report, own) = eyes.report(ms(500), &terms(), 0.5);
        assert_eq!(report.demand[0].rate, 20.0); // A fifth of what this period alone says.
        assert!((report.demand[0].work - 2.0).abs() < 0.2, "{:?}", report.demand);
        assert_eq!((report.zones[0].returned, report.zones[0].slow), (40, 40));
        assert_eq!(own.classes[0].rate, 20.0);
        let (report, _) = eyes.report(ms(1000), &terms(), 0.5);
        assert_eq!((report.zones[0].returned, report.demand[0].rate), (0, 16.0));
    }
}
