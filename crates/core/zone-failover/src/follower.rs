//! Applies the plan at one front, or the isolated-front rule if the front can't read the plan.
//!
//! A front that has not confirmed the plan for [`FailoverConfig::plan_timeout`] is isolated, and follows these rules:
//!
//! 1. It keeps following the last plan, and opens nothing that this plan closes.
//! 2. It closes each other zone that it has observed as unreachable for the confirmation time. Such a zone stays closed
//!    until the front reads the plan again, as a closed zone yields no observations.
//! 3. While any zone is restricted or unreachable, it admits no more work than its share of the capacity of the
//!    remaining zones ([`LocalView::isolated_share`]), and no greater shares than the last plan. Otherwise the last
//!    plan's shares apply.
//!
//! The isolated shares of all fronts sum to one at most, so all fronts together stay within the zones' capacity,
//! however many of them are isolated.

use crate::{
    FULLY_OPEN, FailoverConfig, FailoverPlan, LocalView, MAX_ZONES, Zone, ZoneCapacity, ZoneHealth, ZonePlan,
    ZoneState, allocate,
};
use lemonusher_registers::EntryVersion;
use std::time::Duration;

/// The restrictions on this front's use of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRestriction {
    /// The zone.
    pub zone: Zone,
    /// The share of its engines that is open, in thousandths.
    pub open_permille: u16,
    /// A bit for each request class that may not be sent there.
    pub blocked_classes: u64,
}

impl ZoneRestriction {
    fn restricts_anything(&self) -> bool {
        self.open_permille < FULLY_OPEN || self.blocked_classes != 0
    }
}

/// The restrictions and admitted shares in force at this front.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanEffect {
    /// The version of the plan followed; none before the first.
    pub version: Option<EntryVersion>,
    /// The zones that this front may not use in full.
    pub restrictions: Vec<ZoneRestriction>,
    /// The share of the arrivals that is admitted, by request class; from 0 to 1.
    pub admitted_shares: Vec<f64>,
    /// The least Retry-After of rejected requests; the greatest is twice as long.
    pub retry_after: Duration,
    /// Whether the front is isolated.
    pub isolated: bool,
}

/// The shares that an isolated front admits; they are computed once a report interval.
#[derive(Debug, Clone)]
struct IsolatedAdmission {
    computed_at: Duration,
    admitted_shares: Vec<f64>,
}

/// Follows the plan at one front.
#[derive(Debug, Clone)]
pub struct PlanFollower {
    /// The zone of the front itself.
    zone: Zone,
    /// The incarnation of the front itself.
    incarnation: u64,
    /// The version of the plan followed; none before the first plan.
    version: Option<EntryVersion>,
    plan: FailoverPlan,
    /// The time at which a majority of the voters last confirmed the plan followed; before the first plan, the time of
    /// creation. A front without a plan is isolated after the plan timeout, and goes by its own observations: without a
    /// plan nobody has decided by those of all fronts.
    confirmed_at: Duration,
    /// The time since which this front's own observations show a zone as unreachable, by zone.
    unreachable_since: [Option<Duration>; MAX_ZONES],
    /// The shares by the isolated-front rule; none while the plan's shares apply.
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

    /// Handles a plan that a majority of the voters confirmed at `now`. One older than the plan followed is ignored.
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

    /// Whether this front has not confirmed the plan for the plan timeout.
    pub fn is_isolated(&self, now: Duration, config: &FailoverConfig) -> bool {
        now > self.confirmed_at + config.plan_timeout
    }

    /// The restrictions and admitted shares in force now.
    pub fn effect(&mut self, now: Duration, config: &FailoverConfig, local: &LocalView) -> PlanEffect {
        let isolated = self.is_isolated(now, config);
        let restrictions = self.restrictions(now, config, local, isolated);
        let limits_admission = !restrictions.is_empty() || self.unreachable_since.iter().any(Option::is_some);
        let admitted_shares = if isolated && limits_admission {
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

    /// Records the time since which the zone is unreachable. While the zone yields no observations, an isolated front
    /// keeps the recorded time.
    fn track_unreachable(&mut self, now: Duration, zone: usize, health: ZoneHealth, isolated: bool) {
        let since = &mut self.unreachable_since[zone];
        match health {
            ZoneHealth::Unreachable | ZoneHealth::Partitioned => *since = since.or(Some(now)),
            ZoneHealth::Unknown if isolated => {}
            ZoneHealth::Unknown | ZoneHealth::Healthy | ZoneHealth::FrontsLost => *since = None,
        }
    }

    /// Whether this front's own observations show the zone as unreachable for the confirmation time.
    fn is_unreachable(&self, now: Duration, config: &FailoverConfig, zone: usize) -> bool {
        self.unreachable_since[zone].is_some_and(|since| now >= since + config.confirmation_time)
    }

    /// The zone's restriction by the plan alone, without the isolated-front rule.
    fn planned_restriction(&self, zone: usize) -> ZoneRestriction {
        let unplanned = ZonePlan { open_permille: FULLY_OPEN, ..ZonePlan::default() };
        let plan = self.plan.zones.get(zone).copied().unwrap_or(unplanned);
        let zone = zone as Zone;
        let is_own = zone == self.zone;
        let open_permille = match plan.state {
            ZoneState::Up | ZoneState::Suspected => FULLY_OPEN,
            ZoneState::Partitioned if is_own => FULLY_OPEN,
            // All fronts of the zone probe it, as they are the first to see it answer. So does the plan's prober.
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

    /// The shares by the isolated-front rule, computed by the same allocation as the plan's shares.
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
            // The front still sends to its own zone while that is unreachable, but counts no capacity there.
            if self.is_unreachable(now, config, zone) {
                return 0.0;
            }
            let restriction = restrictions.iter().find(|restriction| restriction.zone as usize == zone);
            restriction.map_or(1.0, |restriction| share(restriction.open_permille))
        };
        let isolated_share = local.isolated_share.clamp(0.0, 1.0);
        let capacities: Vec<ZoneCapacity> = local
            .zones
            .iter()
            .take(MAX_ZONES)
            .enumerate()
            .map(|(index, zone)| ZoneCapacity {
                zone: index as Zone,
                work: f64::from(zone.cores) * config.max_utilization * open_share(index) * isolated_share,
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
