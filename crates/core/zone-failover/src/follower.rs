//! What the plan means at one front, and what a front does that can't learn the plan.
//!
//! The isolated-front rule. A front that has not confirmed the plan for [`FailoverConfig::plan_timeout`] is isolated. It
//! goes on with the last plan and opens nothing more; it closes zones, other than its own, that it finds unreachable by
//! itself for the confirmation time; and it admits no more work than its quota of what the zones left to it can take,
//! nor more than the last plan. A zone closed so stays closed until the plan is learned, as nothing is observed there.
//! The quotas of all fronts sum to one at most, so all fronts together stay within what the zones bear, however many of
//! them are isolated. With nothing closed or unreachable there is nothing to ration, and the last plan's shares hold.

use crate::{
    FULLY_OPEN, FailoverConfig, FailoverPlan, LocalView, MAX_ZONES, Zone, ZoneCapacity, ZoneHealth, ZonePlan,
    ZoneState, allocate,
};
use lemonusher_registers::EntryVersion;
use std::time::Duration;

/// Which of a zone's engines this front may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRestriction {
    /// The zone.
    pub zone: Zone,
    /// The share of its engines that is open, in thousandths.
    pub open_permille: u16,
    /// A bit for each request class that may not go there.
    pub blocked_classes: u64,
}

impl ZoneRestriction {
    fn restricts_anything(&self) -> bool {
        self.open_permille < FULLY_OPEN || self.blocked_classes != 0
    }
}

/// What is in force at this front.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanEffect {
    /// The version of the plan followed; none before the first.
    pub version: Option<EntryVersion>,
    /// The zones that may not be used in full.
    pub restrictions: Vec<ZoneRestriction>,
    /// By request class: the share that is admitted, from 0 to 1.
    pub admitted_shares: Vec<f64>,
    /// The least Retry-After of rejected requests; they are spread over as much again.
    pub retry_after: Duration,
    /// The front is isolated.
    pub isolated: bool,
}

/// The shares that an isolated front admits, computed once a report interval.
#[derive(Debug, Clone)]
struct IsolatedAdmission {
    computed_at: Duration,
    admitted_shares: Vec<f64>,
}

/// Follows the plan at one front.
#[derive(Debug, Clone)]
pub struct PlanFollower {
    zone: Zone,
    incarnation: u64,
    /// None before the first plan.
    version: Option<EntryVersion>,
    plan: FailoverPlan,
    /// When a majority last showed the plan followed, or that there is none.
    confirmed_at: Duration,
    /// By zone: since when this front finds it unreachable by itself.
    unreachable_since: [Option<Duration>; MAX_ZONES],
    /// None while the plan's shares hold.
    isolated_admission: Option<IsolatedAdmission>,
}

impl PlanFollower {
    /// `zone` and `incarnation` are the front's own.
    pub fn new(now: Duration, zone: Zone, incarnation: u64) -> PlanFollower {
        PlanFollower {
            zone,
            incarnation,
            version: None,
            plan: FailoverPlan::default(),
            confirmed_at: now,
            unreachable_since: [None; MAX_ZONES],
            isolated_admission: None,
        }
    }

    /// The version of the plan followed; none before the first.
    pub fn version(&self) -> Option<EntryVersion> {
        self.version
    }

    /// The plan followed.
    pub fn plan(&self) -> &FailoverPlan {
        &self.plan
    }

    /// A majority shows this plan. One that is older than the plan followed is ignored.
    pub fn handle_plan(&mut self, now: Duration, version: EntryVersion, plan: &FailoverPlan) {
        if Some(version) < self.version {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(now);
        if self.version != Some(version) {
            self.version = Some(version);
            self.plan = plan.clone();
        }
    }

    /// A majority shows that no plan was ever committed.
    pub fn handle_no_plan(&mut self, now: Duration) {
        if self.version.is_none() {
            self.confirmed_at = self.confirmed_at.max(now);
        }
    }

    /// Whether this front has not confirmed the plan for its timeout.
    pub fn is_isolated(&self, now: Duration, config: &FailoverConfig) -> bool {
        now > self.confirmed_at + config.plan_timeout
    }

    /// What is in force now.
    pub fn effect(&mut self, now: Duration, config: &FailoverConfig, local: &LocalView) -> PlanEffect {
        let isolated = self.is_isolated(now, config);
        let restrictions = self.restrictions(now, config, local, isolated);
        let rations = !restrictions.is_empty() || self.unreachable_since.iter().any(Option::is_some);
        let admitted_shares = if isolated && rations {
            self.isolated_shares(now, config, local, &restrictions)
        } else {
            self.isolated_admission = None;
            self.planned_shares()
        };
        PlanEffect {
            version: self.version,
            restrictions,
            admitted_shares,
            retry_after: Duration::from_millis(u64::from(self.plan.retry_after_ms)),
            isolated,
        }
    }

    fn restrictions(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        local: &LocalView,
        isolated: bool,
    ) -> Vec<ZoneRestriction> {
        let count = local.zones.len().max(self.plan.zones.len()).min(MAX_ZONES);
        let mut restrictions = Vec::new();
        for zone in 0..count {
            let health = local.zones.get(zone).map_or(ZoneHealth::Unknown, |zone| zone.health);
            self.track_unreachable(now, zone, health, isolated);
            let mut restriction = self.planned_restriction(zone);
            if isolated && zone as Zone != self.zone && self.is_unreachable(now, config, zone) {
                restriction.open_permille = 0;
            }
            if restriction.restricts_anything() {
                restrictions.push(restriction);
            }
        }
        restrictions
    }

    /// Notes since when the zone is unreachable. Where nothing is observed, an isolated front goes on with what it knew.
    fn track_unreachable(&mut self, now: Duration, zone: usize, health: ZoneHealth, isolated: bool) {
        let since = &mut self.unreachable_since[zone];
        match health {
            ZoneHealth::Unreachable | ZoneHealth::Partitioned => *since = since.or(Some(now)),
            ZoneHealth::Unknown if isolated => {}
            ZoneHealth::Unknown | ZoneHealth::Healthy | ZoneHealth::FrontsLost => *since = None,
        }
    }

    /// Whether this front finds the zone unreachable for the confirmation time.
    fn is_unreachable(&self, now: Duration, config: &FailoverConfig, zone: usize) -> bool {
        self.unreachable_since[zone].is_some_and(|since| now >= since + config.confirmation_time)
    }

    /// The zone's restriction by the plan alone.
    fn planned_restriction(&self, zone: usize) -> ZoneRestriction {
        let unplanned = ZonePlan { open_permille: FULLY_OPEN, ..ZonePlan::default() };
        let plan = self.plan.zones.get(zone).copied().unwrap_or(unplanned);
        let zone = zone as Zone;
        let is_own = zone == self.zone;
        let open_permille = match plan.state {
            ZoneState::Up | ZoneState::Suspected => FULLY_OPEN,
            ZoneState::Partitioned if is_own => FULLY_OPEN,
            // The zone's own fronts are the first to see it answer; one front probes from elsewhere.
            ZoneState::Probing if is_own || self.plan.prober == self.incarnation => FULLY_OPEN,
            ZoneState::Lost | ZoneState::Partitioned | ZoneState::Probing => 0,
            ZoneState::Recovering | ZoneState::Disabled => plan.open_permille,
        };
        let blocked_classes = if plan.state == ZoneState::Recovering { plan.blocked_classes } else { 0 };
        ZoneRestriction { zone, open_permille, blocked_classes }
    }

    fn planned_shares(&self) -> Vec<f64> {
        self.plan.admitted_permille.iter().map(|permille| share(*permille)).collect()
    }

    /// The shares by the isolated-front rule, from the same allocation as the plan's.
    fn isolated_shares(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        local: &LocalView,
        restrictions: &[ZoneRestriction],
    ) -> Vec<f64> {
        if let Some(known) = &self.isolated_admission
            && now < known.computed_at + config.report_interval
        {
            return known.admitted_shares.clone();
        }
        let open_share = |zone: usize| {
            // Its own zone, which it goes on trying, bears nothing either while it is unreachable.
            if self.is_unreachable(now, config, zone) {
                return 0.0;
            }
            let restriction = restrictions.iter().find(|restriction| restriction.zone as usize == zone);
            restriction.map_or(1.0, |restriction| share(restriction.open_permille))
        };
        let quota = local.quota.clamp(0.0, 1.0);
        let capacities: Vec<ZoneCapacity> = local
            .zones
            .iter()
            .take(MAX_ZONES)
            .enumerate()
            .map(|(index, zone)| ZoneCapacity {
                zone: index as Zone,
                work: f64::from(zone.cores) * config.max_utilization * open_share(index) * quota,
            })
            .collect();
        let mut admitted_shares = allocate(&local.classes, &capacities).served_shares;
        for (admitted, planned) in admitted_shares.iter_mut().zip(&self.plan.admitted_permille) {
            *admitted = admitted.min(share(*planned));
        }
        self.isolated_admission =
            Some(IsolatedAdmission { computed_at: now, admitted_shares: admitted_shares.clone() });
        admitted_shares
    }
}

fn share(permille: u16) -> f64 {
    f64::from(permille) / f64::from(FULLY_OPEN)
}
