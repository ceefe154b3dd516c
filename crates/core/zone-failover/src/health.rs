//! Weighs what many fronts see of a zone.
//!
//! The rule where evidence disagrees: a front's view of a zone is good if at least half of the engines there that it
//! has tried answer, and bad otherwise; one that has tried none has no view. Fronts **at** the zone and fronts
//! **elsewhere** are counted apart.
//!
//! - Gone: most of those elsewhere who have a view find it bad, two of them at least (one where there is but one), and
//!   of those at the zone none is heard, or most find it bad too. One front with a bad link is never enough.
//! - Cut off: most of those elsewhere find it bad, most of those at the zone find it good.
//! - Bare: its engines answer those elsewhere, but no front that stood there is heard any more.
//! - Well: anything else. The list alone never makes a zone well or gone: it lags, and names what no longer answers.

use crate::{Demand, FrontReport, MAX_CLASSES, MAX_ZONES, Zone};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Periods for which a report counts.
const FRESH: u32 = 3;
/// Fronts whose reports are kept at most.
const MAX_FRONTS: usize = 4096;
/// What slow engines are taken to bear of what they bear at full speed.
const SLOW: f64 = 0.25;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneHealth {
    Healthy,
    /// Its engines serve, its fronts are gone.
    FrontsLost,
    Partitioned,
    Unreachable,
    /// Nobody has a view.
    Unknown,
}

impl fmt::Display for ZoneHealth {
    /// The name on the wire and in what operators are shown.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ZoneHealth::Healthy => "Well",
            ZoneHealth::FrontsLost => "Bare",
            ZoneHealth::Partitioned => "CutOff",
            ZoneHealth::Unreachable => "Gone",
            ZoneHealth::Unknown => "Unseen",
        })
    }
}

/// What all fronts together see of a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    /// Fronts elsewhere, and at the zone, that find it good or bad.
    pub healthy_remote: u32,
    pub unhealthy_remote: u32,
    pub healthy_local: u32,
    pub unhealthy_local: u32,
    /// Fronts at the zone that are heard at all.
    pub local_fronts: u32,
    /// Cores listed there, as most that any front is told.
    pub cores: u32,
    /// The part of the engines tried that answer, with slow ones counted for less.
    pub answering_share: f64,
    /// The part of attempts there that failed or were slow.
    pub degraded_share: f64,
    /// Attempts that ended there.
    pub attempts: u32,
}

impl Evidence {
    pub fn health(&self, fronts: usize, had_fronts: bool) -> ZoneHealth {
        let enough = if fronts > 1 { 2 } else { 1 };
        let away = self.healthy_remote + self.unhealthy_remote;
        let there = self.healthy_local + self.unhealthy_local;
        let bad_away = self.unhealthy_remote * 2 > away;
        let bad_there = self.unhealthy_local * 2 > there;
        if away + there == 0 {
            return ZoneHealth::Unknown;
        }
        if bad_away && self.healthy_local * 2 > there && there > 0 {
            return if self.unhealthy_remote >= enough {
                ZoneHealth::Partitioned
            } else {
                ZoneHealth::Healthy
            };
        }
        let all_bad = (bad_away || away == 0) && (bad_there || there == 0);
        if all_bad && self.unhealthy_remote + self.unhealthy_local >= enough {
            return ZoneHealth::Unreachable;
        }
        let bare = had_fronts && self.local_fronts == 0 && self.healthy_remote * 2 >= away;
        if bare { ZoneHealth::FrontsLost } else { ZoneHealth::Healthy }
    }
}

/// Keeps the latest report of each front.
#[derive(Debug, Clone, Default)]
pub struct HealthEvaluator {
    reports: BTreeMap<u64, (Duration, FrontReport)>,
    /// Zones at which fronts have been heard.
    had_fronts: [bool; MAX_ZONES],
}

impl HealthEvaluator {
    /// A front, by its incarnation, has told this.
    pub fn handle_report(&mut self, now: Duration, front: u64, report: FrontReport) {
        let fits = report.zones.len() <= MAX_ZONES && report.demand.len() <= MAX_CLASSES;
        let finite = report.demand.iter().all(|d| d.rate.is_finite() && d.work.is_finite());
        let room = self.reports.contains_key(&front) || self.reports.len() < MAX_FRONTS;
        if !fits || !finite || !room {
            return;
        }
        if let Some(had) = self.had_fronts.get_mut(report.zone as usize) {
            *had = true;
        }
        self.reports.insert(front, (now, report));
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Duration, period: Duration) {
        self.reports.retain(|_, (at, _)| *at + period * FRESH > now);
    }

    pub fn front_count(&self) -> usize {
        self.reports.len()
    }

    /// How many zones any front has told of.
    pub fn zone_count(&self) -> usize {
        let zone_stats = self.reports.values().flat_map(|(_, report)| &report.zones);
        let stands = self.reports.values().map(|(_, report)| report.zone);
        let most = zone_stats.map(|stats| stats.zone).chain(stands).max().map_or(0, |zone| zone as usize + 1);
        most.min(MAX_ZONES)
    }

    pub fn evidence(&self, zone: Zone) -> Evidence {
        let mut all = Evidence::default();
        let (mut answering, mut tried) = (0u32, 0u32);
        let (mut returned, mut slow, mut failed) = (0u32, 0u32, 0u32);
        for (_, report) in self.reports.values() {
            let there = report.zone == zone;
            all.local_fronts += u32::from(there);
            let Some(stats) = report.zones.iter().find(|stats| stats.zone == zone) else { continue };
            all.cores = all.cores.max(stats.cores);
            let seen = u32::from(stats.answering) + u32::from(stats.silent);
            answering += u32::from(stats.answering);
            tried += seen;
            returned = returned.saturating_add(stats.returned);
            slow = slow.saturating_add(stats.slow.min(stats.returned));
            failed = failed.saturating_add(stats.failed);
            if seen == 0 {
                continue;
            }
            let good = u32::from(stats.answering) * 2 >= seen;
            match (there, good) {
                (false, true) => all.healthy_remote += 1,
                (false, false) => all.unhealthy_remote += 1,
                (true, true) => all.healthy_local += 1,
                (true, false) => all.unhealthy_local += 1,
            }
        }
        let part = |some: u32, of: u32| if of == 0 { 0.0 } else { f64::from(some) / f64::from(of) };
        let quick = 1.0 - part(slow, returned) * (1.0 - SLOW);
        all.answering_share = if tried == 0 { 1.0 } else { part(answering, tried) } * quick;
        all.attempts = returned.saturating_add(failed);
        all.degraded_share = part(slow.saturating_add(failed), all.attempts);
        all
    }

    pub fn health(&self, zone: Zone) -> ZoneHealth {
        let had = self.had_fronts.get(zone as usize).copied().unwrap_or_default();
        self.evidence(zone).health(self.front_count(), had)
    }

    /// What all fronts are asked for, by request class.
    pub fn demand(&self, classes: usize) -> Vec<Demand> {
        let mut all = vec![Demand::default(); classes.min(MAX_CLASSES)];
        let (mut work, mut known) = (vec![0.0f32; all.len()], vec![0.0f32; all.len()]);
        for (_, report) in self.reports.values() {
            for (class, demand) in report.demand.iter().enumerate().take(all.len()) {
                let rate = demand.rate.max(0.0);
                all[class].rate += rate;
                // Who has not learned what a request needs tells no work, and counts for none.
                if demand.work > 0.0 {
                    known[class] += rate;
                    work[class] += rate * demand.work;
                }
            }
        }
        for (demand, (work, known)) in all.iter_mut().zip(work.into_iter().zip(known)) {
            demand.work = if known > 0.0 { work / known } else { 0.0 };
        }
        all
    }
}
