//! What one front sees of the sites by its ordinary work: nothing is asked for its sake.

use crate::{Demand, Finding, Group, MOST_GROUPS, MOST_SITES, Own, Report, Sight, Site, Terms};
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
    site: Site,
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
pub enum Ended {
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
    CalledOff,
}

#[derive(Debug, Clone)]
pub struct Eyes {
    stands: Site,
    engines: BTreeMap<u32, Engine>,
    tallies: [Tally; MOST_SITES],
    asked: Vec<Asked>,
    groups: Vec<Group>,
    last: Duration,
}

impl Eyes {
    /// `groups` as stated; their rates and works are learned.
    pub fn new(now: Duration, stands: Site, mut groups: Vec<Group>) -> Eyes {
        groups.truncate(MOST_GROUPS);
        let asked = vec![Asked::default(); groups.len()];
        Eyes {
            stands,
            engines: BTreeMap::new(),
            tallies: [Tally::default(); MOST_SITES],
            asked,
            groups,
            last: now,
        }
    }

    /// The list names an engine, or no longer does.
    pub fn list(&mut self, engine: u32, site: Site, cores: u32, ready: bool) {
        if !ready {
            self.engines.remove(&engine);
            return;
        }
        // Whoever is known already keeps its place in a full table.
        let room = self.engines.len() < MOST_ENGINES || self.engines.contains_key(&engine);
        if (site as usize) < MOST_SITES && room {
            let seen = self.engines.entry(engine).or_default();
            (seen.site, seen.cores, seen.ready) = (site, cores, true);
        }
    }

    /// The whole list comes anew.
    pub fn clear(&mut self) {
        self.engines.values_mut().for_each(|engine| engine.ready = false);
    }

    /// After a whole list: what it did not name is gone.
    pub fn settle(&mut self) {
        self.engines.retain(|_, engine| engine.ready);
    }

    pub fn taken(&mut self, group: usize) {
        if let Some(asked) = self.asked.get_mut(group) {
            asked.taken = asked.taken.saturating_add(1);
        }
    }

    /// Something was sent there, a request or a probe.
    pub fn sent(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.asked = engine.asked.or(Some(now));
        }
    }

    /// It gave a sign of life.
    pub fn heard(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            (engine.heard, engine.asked) = (Some(now), None);
        }
    }

    pub fn missed(&mut self, now: Duration, engine: u32) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.failed = Some(now);
        }
    }

    pub fn ended(&mut self, now: Duration, engine: u32, group: usize, ended: Ended) {
        let site = self.engines.get(&engine).map(|engine| engine.site as usize);
        let mut tally = Tally::default();
        match ended {
            Ended::Returned { span, work, threads } => {
                self.heard(now, engine);
                if let Some((asked, work)) = self.asked.get_mut(group).zip(work) {
                    asked.known = asked.known.saturating_add(1);
                    asked.work += (work - asked.work) * (1.0 / f64::from(asked.known)).max(NEWEST);
                }
                let usual = work.unwrap_or(span) / threads.max(1.0);
                (tally.returned, tally.slow) = (1, u32::from(span > (usual * SLOW).max(LEAST_SLOW)));
            }
            Ended::Failed => {
                self.missed(now, engine);
                tally.failed = 1;
            }
            Ended::Answered => self.heard(now, engine),
            Ended::CalledOff => {}
        }
        if let Some(all) = site.and_then(|site| self.tallies.get_mut(site)) {
            all.returned = all.returned.saturating_add(tally.returned);
            all.slow = all.slow.saturating_add(tally.slow);
            all.failed = all.failed.saturating_add(tally.failed);
        }
    }

    /// How an engine looks: it answers, it does not, or it was not tried.
    fn answers(engine: &Engine, now: Duration, terms: &Terms) -> Option<bool> {
        let lately = |at: Duration| at + terms.period * LATELY > now;
        if engine.failed > engine.heard && engine.failed.is_some_and(lately) {
            return Some(false);
        }
        // Guards against a hall that vanishes without a word: what has been asked for so long says nothing.
        if engine.asked.is_some_and(|at| at + terms.confirm <= now) {
            return Some(false);
        }
        engine.heard.filter(|at| lately(*at)).map(|_| true)
    }

    /// Of each engine: its site, its cores, and whether it answers, as far as it was tried lately.
    pub fn engines(&self, now: Duration, terms: &Terms) -> Vec<(u32, Site, u32, Option<bool>)> {
        let all = self.engines.iter();
        all.map(|(id, one)| (*id, one.site, one.cores, Self::answers(one, now, terms))).collect()
    }

    fn sights(&self, now: Duration, terms: &Terms) -> Vec<Sight> {
        let most = self.engines.values().map(|engine| engine.site).chain([self.stands]).max().unwrap_or(0);
        let mut sights: Vec<Sight> =
            (0..=most).take(MOST_SITES).map(|site| Sight { site, ..Sight::default() }).collect();
        for engine in self.engines.values() {
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
    pub fn report(&mut self, now: Duration, terms: &Terms, share: f64) -> (Report, Own) {
        let span = now.saturating_sub(self.last).as_secs_f64().max(1e-3);
        self.last = now;
        let mut sights = self.sights(now, terms);
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
                0 => Finding::Unseen,
                _ if sight.answering * 2 < tried => Finding::Gone,
                _ => Finding::Well,
            };
            (finding, sight.cores)
        });
        let own = Own { found: found.collect(), groups: with(&self.groups, &demand), share };
        (Report { stands: self.stands, sights, demand }, own)
    }
}

/// The groups as stated, with what is asked for.
pub fn with(groups: &[Group], demand: &[Demand]) -> Vec<Group> {
    let asked = |(group, demand): (&Group, &Demand)| Group {
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

    fn terms() -> Terms {
        let (period, confirm, steady, pace) = (ms(500), ms(1500), ms(2000), ms(2000));
        let (wait, stale) = (ms(4000), ms(6000));
        Terms { period, confirm, steady, pace, wait, safe: 0.8, floor: 0.1, stale }
    }

    fn eyes() -> Eyes {
        let group =
            Group { utility: 1.0, work: 0.5, rate: 0.0, goal: 1.0, limit: 20.0, floor: 0.1, only: None };
        let mut eyes = Eyes::new(ms(0), 0, vec![group]);
        for engine in 0..4 {
            eyes.list(engine, engine / 2, 8, true);
        }
        eyes
    }

    #[test]
    fn engines_that_answer_fail_or_fall_silent_are_told_apart() {
        let mut eyes = eyes();
        eyes.sent(ms(100), 0);
        eyes.ended(ms(300), 0, 0, Ended::Returned { span: 0.2, work: Some(0.2), threads: 1.0 });
        eyes.sent(ms(100), 2);
        eyes.ended(ms(300), 2, 0, Ended::Failed);
        eyes.sent(ms(100), 3); // And nothing comes.
        let (report, _) = eyes.report(ms(500), &terms(), 1.0);
        let seen = |report: &Report, site: usize| (report.sights[site].answering, report.sights[site].silent);
        assert_eq!((seen(&report, 0), seen(&report, 1)), ((1, 0), (0, 1)));
        let (report, own) = eyes.report(ms(1700), &terms(), 1.0);
        assert_eq!(seen(&report, 1), (0, 2));
        assert_eq!((own.found[1].0, own.found[0].1), (Finding::Gone, 16));
        eyes.heard(ms(1800), 3);
        eyes.list(2, 1, 8, false);
        let (report, own) = eyes.report(ms(2000), &terms(), 1.0);
        assert_eq!((seen(&report, 1), report.sights[1].listed), ((1, 0), 1));
        assert_eq!(own.found[1].0, Finding::Well);
    }

    #[test]
    fn demand_counts_what_was_asked_and_work_is_learned() {
        let mut eyes = eyes();
        (0..50).for_each(|_| eyes.taken(0));
        (0..40).for_each(|_| {
            eyes.ended(ms(400), 0, 0, Ended::Returned { span: 9.0, work: Some(2.0), threads: 1.0 });
        });
        let (report, own) = eyes.report(ms(500), &terms(), 0.5);
        assert_eq!(report.demand[0].rate, 20.0); // A fifth of what this period alone says.
        assert!((report.demand[0].work - 2.0).abs() < 0.2, "{:?}", report.demand);
        assert_eq!((report.sights[0].returned, report.sights[0].slow), (40, 40));
        assert_eq!(own.groups[0].rate, 20.0);
        let (report, _) = eyes.report(ms(1000), &terms(), 0.5);
        assert_eq!((report.sights[0].returned, report.demand[0].rate), (0, 16.0));
    }
}
