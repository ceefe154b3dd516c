//! Derives the health of each zone from the reports of all fronts.
//!
//! A front's view of a zone is good if at least half of the engines there that it has tried answer, and bad
//! otherwise. A front that has tried none has no view. The views of *local* fronts, in the zone itself, and of
//! *remote* fronts are counted separately. The first of these rules that applies decides:
//!
//! - `Unknown`: no front has a view.
//! - `Partitioned`: more than half of the remote views are bad, and more than half of the local views good.
//! - `Unreachable`: more than half of the remote views and more than half of the local views are bad; one of the two
//!   groups may have no views.
//! - `FrontsLost`: at least half of the remote views are good, but no front of the zone reports any more.
//! - `Healthy`: all other cases.
//!
//! If more than one front reports, `Partitioned` and `Unreachable` require at least two bad views, so that one front
//! with a bad link can't cause them. The endpoint list alone makes no zone healthy or unreachable: it is delayed, and
//! still names engines that no longer answer.

use crate::{Demand, FrontReport, MAX_CLASSES, MAX_ZONES, Zone, ZoneStats, ZoneSupply};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Report intervals for which a report counts.
const REPORT_LIFETIME_INTERVALS: u32 = 3;
/// The maximum number of fronts whose reports count.
const MAX_FRONTS: usize = 4096;
/// The weight of a slow attempt in a zone's answering share; an attempt at full speed weighs 1.
const SLOW_CAPACITY_SHARE: f64 = 0.25;
/// The least number of bad views for a bad health if several fronts report.
const MIN_UNHEALTHY_VIEWS: u32 = 2;

/// The health of a zone by the evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneHealth {
    /// No other case applies; usually at least half of the fronts' views of the zone are good.
    Healthy,
    /// At least half of the remote views are good, but the zone's own fronts no longer report.
    FrontsLost,
    /// More than half of the local views are good, and more than half of the remote views bad.
    Partitioned,
    /// More than half of the remote views and more than half of the local views are bad; one group may have no views.
    Unreachable,
    /// No front has a view.
    Unknown,
}

impl fmt::Display for ZoneHealth {
    /// The name on the wire and in the output of commands.
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

impl ZoneStats {
    /// One front's view of the zone: whether at least half of the engines tried answer; none if none was tried.
    pub(crate) fn is_healthy(&self) -> Option<bool> {
        let tried = u32::from(self.answering) + u32::from(self.silent);
        (tried > 0).then_some(u32::from(self.answering) * 2 >= tried)
    }
}

/// The observations of a zone, combined over all fronts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    /// Remote fronts with a good view.
    pub healthy_remote: u32,
    /// Remote fronts with a bad view.
    pub unhealthy_remote: u32,
    /// Local fronts with a good view.
    pub healthy_local: u32,
    /// Local fronts with a bad view.
    pub unhealthy_local: u32,
    /// Local fronts that report, with or without a view.
    pub local_fronts: u32,
    /// The cores listed there, the largest number that any front reports.
    pub cores: u32,
    /// The share of the engines tried that answer, from 0 to 1; less if attempts there are slow.
    pub answering_share: f64,
    /// The share of attempts there that failed or were slow; from 0 to 1.
    pub degraded_share: f64,
    /// Attempts that returned or failed there, in the latest report of each front.
    pub attempts: u32,
}

impl Evidence {
    /// Applies the rules at the head of the module. `fronts` is the number of fronts that report; `had_fronts` is
    /// whether any front of this zone has ever reported.
    pub fn health(&self, fronts: usize, had_fronts: bool) -> ZoneHealth {
        let needed = if fronts > 1 { MIN_UNHEALTHY_VIEWS } else { 1 };
        let remote = self.healthy_remote + self.unhealthy_remote;
        let local = self.healthy_local + self.unhealthy_local;
        if remote + local == 0 {
            return ZoneHealth::Unknown;
        }
        let remote_bad = self.unhealthy_remote * 2 > remote;
        let local_bad = self.unhealthy_local * 2 > local;
        let local_good = local > 0 && self.healthy_local * 2 > local;
        if remote_bad && local_good {
            let enough = self.unhealthy_remote >= needed;
            return if enough { ZoneHealth::Partitioned } else { ZoneHealth::Healthy };
        }
        let all_bad = (remote_bad || remote == 0) && (local_bad || local == 0);
        if all_bad && self.unhealthy_remote + self.unhealthy_local >= needed {
            return ZoneHealth::Unreachable;
        }
        let fronts_lost = had_fronts && self.local_fronts == 0 && self.healthy_remote * 2 >= remote;
        if fronts_lost { ZoneHealth::FrontsLost } else { ZoneHealth::Healthy }
    }

    pub(crate) fn supply(&self) -> ZoneSupply {
        ZoneSupply { cores: self.cores, answering_share: self.answering_share }
    }

    fn add_view(&mut self, is_local: bool, is_healthy: bool) {
        match (is_local, is_healthy) {
            (false, true) => self.healthy_remote += 1,
            (false, false) => self.unhealthy_remote += 1,
            (true, true) => self.healthy_local += 1,
            (true, false) => self.unhealthy_local += 1,
        }
    }
}

/// Sums over all fronts for one zone.
#[derive(Debug, Default)]
struct Totals {
    answering: u32,
    tried: u32,
    returned: u32,
    slow: u32,
    failed: u32,
}

impl Totals {
    fn add(&mut self, stats: &ZoneStats) {
        self.answering += u32::from(stats.answering);
        self.tried += u32::from(stats.answering) + u32::from(stats.silent);
        self.returned = self.returned.saturating_add(stats.returned);
        self.slow = self.slow.saturating_add(stats.slow.min(stats.returned));
        self.failed = self.failed.saturating_add(stats.failed);
    }

    fn attempts(&self) -> u32 {
        self.returned.saturating_add(self.failed)
    }

    fn answering_share(&self) -> f64 {
        let full_speed = 1.0 - share(self.slow, self.returned) * (1.0 - SLOW_CAPACITY_SHARE);
        let answering = if self.tried == 0 { 1.0 } else { share(self.answering, self.tried) };
        answering * full_speed
    }

    fn degraded_share(&self) -> f64 {
        share(self.slow.saturating_add(self.failed), self.attempts())
    }
}

fn share(part: u32, of: u32) -> f64 {
    if of == 0 { 0.0 } else { f64::from(part) / f64::from(of) }
}

/// A zone's health, with the evidence behind it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ObservedZone {
    pub(crate) health: ZoneHealth,
    pub(crate) evidence: Evidence,
}

/// A report, with its time of arrival.
#[derive(Debug, Clone)]
struct ReceivedReport {
    at: Duration,
    report: FrontReport,
}

/// Keeps the latest report of each front and derives the zones' health from them.
#[derive(Debug, Clone, Default)]
pub struct HealthEvaluator {
    /// The latest reports, by the front's incarnation; [`MAX_FRONTS`] at most.
    reports: BTreeMap<u64, ReceivedReport>,
    /// Whether any front of the zone has ever reported, by zone.
    had_fronts: [bool; MAX_ZONES],
}

impl HealthEvaluator {
    /// Handles a front's report; `front` is its incarnation. Reports that exceed the limits, or with demand that is
    /// not finite, are ignored.
    pub fn handle_report(&mut self, now: Duration, front: u64, report: FrontReport) {
        let fits = report.zones.len() <= MAX_ZONES && report.demand.len() <= MAX_CLASSES;
        let finite = report.demand.iter().all(|demand| demand.rate.is_finite() && demand.work.is_finite());
        let has_capacity = self.reports.contains_key(&front) || self.reports.len() < MAX_FRONTS;
        if !fits || !finite || !has_capacity {
            return;
        }
        if let Some(had_fronts) = self.had_fronts.get_mut(report.zone as usize) {
            *had_fronts = true;
        }
        self.reports.insert(front, ReceivedReport { at: now, report });
    }

    /// Removes reports that are older than three report intervals.
    pub fn expire(&mut self, now: Duration, report_interval: Duration) {
        self.reports.retain(|_, report| report.at + report_interval * REPORT_LIFETIME_INTERVALS > now);
    }

    /// The number of fronts whose reports count.
    pub fn front_count(&self) -> usize {
        self.reports.len()
    }

    /// One more than the highest number of a zone that any front reports on or is in; [`MAX_ZONES`] at most.
    pub fn zone_count(&self) -> usize {
        let of_fronts = self.fronts().map(|report| report.zone);
        let observed = self.fronts().flat_map(|report| &report.zones).map(|stats| stats.zone);
        let count = observed.chain(of_fronts).max().map_or(0, |zone| zone as usize + 1);
        count.min(MAX_ZONES)
    }

    /// The observations of a zone, combined over all fronts.
    pub fn evidence(&self, zone: Zone) -> Evidence {
        let mut evidence = Evidence::default();
        let mut totals = Totals::default();
        for report in self.fronts() {
            let is_local = report.zone == zone;
            evidence.local_fronts += u32::from(is_local);
            let Some(stats) = report.zones.iter().find(|stats| stats.zone == zone) else { continue };
            evidence.cores = evidence.cores.max(stats.cores);
            totals.add(stats);
            if let Some(is_healthy) = stats.is_healthy() {
                evidence.add_view(is_local, is_healthy);
            }
        }
        evidence.answering_share = totals.answering_share();
        evidence.attempts = totals.attempts();
        evidence.degraded_share = totals.degraded_share();
        evidence
    }

    /// A zone's health by the rules at the head of the module.
    pub fn health(&self, zone: Zone) -> ZoneHealth {
        self.observe(zone).health
    }

    pub(crate) fn observe(&self, zone: Zone) -> ObservedZone {
        let evidence = self.evidence(zone);
        let had_fronts = self.had_fronts.get(zone as usize).copied().unwrap_or_default();
        ObservedZone { health: evidence.health(self.front_count(), had_fronts), evidence }
    }

    /// The demand at all fronts, by request class: the sum of the rates, and the mean work weighted by rate. A front
    /// that has not learned the work of a class yet is left out of the mean of that class.
    pub fn demand(&self, classes: usize) -> Vec<Demand> {
        let mut total = vec![Demand::default(); classes.min(MAX_CLASSES)];
        let mut work = vec![0.0f32; total.len()];
        let mut rate_with_work = vec![0.0f32; total.len()];
        for report in self.fronts() {
            for (class, demand) in report.demand.iter().enumerate().take(total.len()) {
                let rate = demand.rate.max(0.0);
                total[class].rate += rate;
                if demand.work > 0.0 {
                    rate_with_work[class] += rate;
                    work[class] += rate * demand.work;
                }
            }
        }
        for (demand, (work, rate)) in total.iter_mut().zip(work.into_iter().zip(rate_with_work)) {
            demand.work = if rate > 0.0 { work / rate } else { 0.0 };
        }
        total
    }

    fn fronts(&self) -> impl Iterator<Item = &FrontReport> {
        self.reports.values().map(|received| &received.report)
    }
}
