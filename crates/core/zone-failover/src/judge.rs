//! Weighs what many fronts see of a site.
//!
//! The rule where evidence disagrees: a front's view of a site is good if at least half of the engines there that it
//! has tried answer, and bad otherwise; one that has tried none has no view. Fronts **at** the site and fronts
//! **elsewhere** are counted apart.
//!
//! - Gone: most of those elsewhere who have a view find it bad, two of them at least (one where there is but one), and
//!   of those at the site none is heard, or most find it bad too. One front with a bad link is never enough.
//! - Cut off: most of those elsewhere find it bad, most of those at the site find it good.
//! - Bare: its engines answer those elsewhere, but no front that stood there is heard any more.
//! - Well: anything else. The list alone never makes a site well or gone: it lags, and names what no longer answers.

use crate::{Demand, MOST_GROUPS, MOST_SITES, Report, Site};
use std::collections::BTreeMap;
use std::time::Duration;

/// Periods for which a report counts.
const FRESH: u32 = 3;
/// Fronts whose reports are kept at most.
const MOST_FRONTS: usize = 4096;
/// What slow engines are taken to bear of what they bear at full speed.
const SLOW: f64 = 0.25;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    Well,
    /// Its engines serve, its fronts are gone.
    Bare,
    CutOff,
    Gone,
    /// Nobody has a view.
    Unseen,
}

/// What all fronts together see of a site.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    /// Fronts elsewhere, and at the site, that find it good or bad.
    pub good_away: u32,
    pub bad_away: u32,
    pub good_there: u32,
    pub bad_there: u32,
    /// Fronts at the site that are heard at all.
    pub fronts_there: u32,
    /// Cores listed there, as most that any front is told.
    pub cores: u32,
    /// The part of the engines tried that answer, with slow ones counted for less.
    pub part: f64,
    /// The part of attempts there that failed or were slow.
    pub worse: f64,
    /// Attempts that ended there.
    pub ended: u32,
}

impl Evidence {
    pub fn finding(&self, fronts: usize, had_fronts: bool) -> Finding {
        let enough = if fronts > 1 { 2 } else { 1 };
        let away = self.good_away + self.bad_away;
        let there = self.good_there + self.bad_there;
        let bad_away = self.bad_away * 2 > away;
        let bad_there = self.bad_there * 2 > there;
        if away + there == 0 {
            return Finding::Unseen;
        }
        if bad_away && self.good_there * 2 > there && there > 0 {
            return if self.bad_away >= enough { Finding::CutOff } else { Finding::Well };
        }
        let all_bad = (bad_away || away == 0) && (bad_there || there == 0);
        if all_bad && self.bad_away + self.bad_there >= enough {
            return Finding::Gone;
        }
        let bare = had_fronts && self.fronts_there == 0 && self.good_away * 2 >= away;
        if bare { Finding::Bare } else { Finding::Well }
    }
}

/// Keeps the latest report of each front.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    reports: BTreeMap<u64, (Duration, Report)>,
    /// Sites at which fronts have been heard.
    had_fronts: [bool; MOST_SITES],
}

impl Judge {
    /// A front, by its life, has told this.
    pub fn hear(&mut self, now: Duration, front: u64, report: Report) {
        let fits = report.sights.len() <= MOST_SITES && report.demand.len() <= MOST_GROUPS;
        let finite = report.demand.iter().all(|d| d.rate.is_finite() && d.work.is_finite());
        let room = self.reports.contains_key(&front) || self.reports.len() < MOST_FRONTS;
        if !fits || !finite || !room {
            return;
        }
        if let Some(had) = self.had_fronts.get_mut(report.stands as usize) {
            *had = true;
        }
        self.reports.insert(front, (now, report));
    }

    /// Drops what is too old to count.
    pub fn turn(&mut self, now: Duration, period: Duration) {
        self.reports.retain(|_, (at, _)| *at + period * FRESH > now);
    }

    pub fn fronts(&self) -> usize {
        self.reports.len()
    }

    /// How many sites any front has told of.
    pub fn sites(&self) -> usize {
        let sights = self.reports.values().flat_map(|(_, report)| &report.sights);
        let stands = self.reports.values().map(|(_, report)| report.stands);
        let most = sights.map(|sight| sight.site).chain(stands).max().map_or(0, |site| site as usize + 1);
        most.min(MOST_SITES)
    }

    pub fn evidence(&self, site: Site) -> Evidence {
        let mut all = Evidence::default();
        let (mut answering, mut tried) = (0u32, 0u32);
        let (mut returned, mut slow, mut failed) = (0u32, 0u32, 0u32);
        for (_, report) in self.reports.values() {
            let there = report.stands == site;
            all.fronts_there += u32::from(there);
            let Some(sight) = report.sights.iter().find(|sight| sight.site == site) else { continue };
            all.cores = all.cores.max(sight.cores);
            let seen = u32::from(sight.answering) + u32::from(sight.silent);
            answering += u32::from(sight.answering);
            tried += seen;
            returned = returned.saturating_add(sight.returned);
            slow = slow.saturating_add(sight.slow.min(sight.returned));
            failed = failed.saturating_add(sight.failed);
            if seen == 0 {
                continue;
            }
            let good = u32::from(sight.answering) * 2 >= seen;
            match (there, good) {
                (false, true) => all.good_away += 1,
                (false, false) => all.bad_away += 1,
                (true, true) => all.good_there += 1,
                (true, false) => all.bad_there += 1,
            }
        }
        let part = |some: u32, of: u32| if of == 0 { 0.0 } else { f64::from(some) / f64::from(of) };
        let quick = 1.0 - part(slow, returned) * (1.0 - SLOW);
        all.part = if tried == 0 { 1.0 } else { part(answering, tried) } * quick;
        all.ended = returned.saturating_add(failed);
        all.worse = part(slow.saturating_add(failed), all.ended);
        all
    }

    pub fn finding(&self, site: Site) -> Finding {
        let had = self.had_fronts.get(site as usize).copied().unwrap_or_default();
        self.evidence(site).finding(self.fronts(), had)
    }

    /// What all fronts are asked for, by request class.
    pub fn demand(&self, groups: usize) -> Vec<Demand> {
        let mut all = vec![Demand::default(); groups.min(MOST_GROUPS)];
        let (mut work, mut known) = (vec![0.0f32; all.len()], vec![0.0f32; all.len()]);
        for (_, report) in self.reports.values() {
            for (group, demand) in report.demand.iter().enumerate().take(all.len()) {
                let rate = demand.rate.max(0.0);
                all[group].rate += rate;
                // Who has not learned what a request needs tells no work, and counts for none.
                if demand.work > 0.0 {
                    known[group] += rate;
                    work[group] += rate * demand.work;
                }
            }
        }
        for (demand, (work, known)) in all.iter_mut().zip(work.into_iter().zip(known)) {
            demand.work = if known > 0.0 { work / known } else { 0.0 };
        }
        all
    }
}
