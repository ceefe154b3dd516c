//! What a front makes of the plan, and what it does when it can't hear of one.
//!
//! The solitary rule: a front that has not been sure of the plan for [`crate::Terms::stale`] keeps to the last one,
//! opens nothing further, closes what it finds dead by itself, and lets in no more work than its own part (its quota slot's
//! share) of what the zones that are left can take. All parts together are one at most, so the sum over all fronts that
//! hear nothing, and those that do, stays within what the zones bear.

use crate::{
    ClassLoad, FULLY_OPEN, FailoverConfig, FailoverPlan, MAX_ZONES, Zone, ZoneCapacity, ZoneHealth, ZonePlan,
    ZoneState, ZoneStateMachine, allocate, state_machine,
};
use std::time::Duration;

/// A zone of which less than this part bears its load is no longer whole.
const MIN_ANSWERING_SHARE: f64 = 0.6;

/// Which of a zone's engines may be used by this front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRestriction {
    pub zone: Zone,
    /// In thousandths of its engines.
    pub open_permille: u16,
    /// A bit for each request class that may not go there.
    pub blocked_classes: u64,
}

/// What holds at this front from now on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanEffect {
    /// The register's stamp, epoch and version, of the plan followed; none of its own rule.
    pub epoch: Option<(u64, u64)>,
    pub restrictions: Vec<ZoneRestriction>,
    /// By request class: the part that is let in, from 0 to 1.
    pub admitted_shares: Vec<f64>,
    /// When what is refused may come again at the earliest, spread over as much again.
    pub retry_after: Duration,
    /// It goes by itself.
    pub isolated: bool,
}

/// What a front knows by itself.
#[derive(Debug, Clone, Default)]
pub struct LocalView {
    /// By zone: what it finds, and the cores that the list names there.
    pub zones: Vec<(ZoneHealth, u32)>,
    /// What it is asked for.
    pub classes: Vec<ClassLoad>,
    /// Its part of what is shared.
    pub quota: f64,
}

#[derive(Debug, Clone)]
pub struct PlanFollower {
    zone: Zone,
    incarnation: u64,
    epoch: Option<(u64, u64)>,
    plan: FailoverPlan,
    confirmed_at: Duration,
    /// Since when it finds each zone dead by itself.
    unreachable_since: [Option<Duration>; MAX_ZONES],
    /// What it admits by itself, settled anew each period, with when.
    isolated_admission: Option<(Duration, Vec<f64>)>,
}

impl PlanFollower {
    pub fn new(now: Duration, stands: Zone, incarnation: u64) -> PlanFollower {
        PlanFollower {
            zone: stands,
            incarnation,
            epoch: None,
            plan: FailoverPlan::default(),
            confirmed_at: now,
            unreachable_since: [None; MAX_ZONES],
            isolated_admission: None,
        }
    }

    pub fn epoch(&self) -> Option<(u64, u64)> {
        self.epoch
    }

    pub fn plan(&self) -> &FailoverPlan {
        &self.plan
    }

    /// A majority shows this plan, of this epoch. One that is older than what is followed changes nothing.
    pub fn handle_plan(&mut self, now: Duration, epoch: (u64, u64), plan: &FailoverPlan) {
        if Some(epoch) < self.epoch {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(now);
        if self.epoch != Some(epoch) {
            (self.epoch, self.plan) = (Some(epoch), plan.clone());
        }
    }

    /// A majority shows that nothing was ever settled: all is as without a plan.
    pub fn handle_no_plan(&mut self, now: Duration) {
        if self.epoch.is_none() {
            self.confirmed_at = self.confirmed_at.max(now);
        }
    }

    pub fn is_isolated(&self, now: Duration, config: &FailoverConfig) -> bool {
        now > self.confirmed_at + config.plan_timeout
    }

    /// What holds now.
    pub fn effect(&mut self, now: Duration, config: &FailoverConfig, local: &LocalView) -> PlanEffect {
        let isolated = self.is_isolated(now, config);
        let mut restrictions = Vec::new();
        for zone in 0..local.zones.len().max(self.plan.zones.len()).min(MAX_ZONES) {
            let build_plan = self.plan.zones.get(zone).copied();
            let build_plan =
                build_plan.unwrap_or(ZonePlan { open_permille: FULLY_OPEN, ..ZonePlan::default() });
            let mut restriction = self.restriction(zone as Zone, &build_plan);
            let found = local.zones.get(zone).map_or(ZoneHealth::Unknown, |(found, _)| *found);
            let dead = &mut self.unreachable_since[zone];
            match found {
                ZoneHealth::Unreachable | ZoneHealth::Partitioned => *dead = dead.or(Some(now)),
                // Once closed nothing is sent there, and nothing is seen: it stays closed until the plan is heard.
                ZoneHealth::Unknown => {}
                _ => *dead = None,
            }
            if !isolated {
                *dead = dead.filter(|_| found != ZoneHealth::Unknown);
            } else if dead.is_some_and(|from| now >= from + config.confirmation_time)
                && zone as Zone != self.zone
            {
                restriction.open_permille = 0;
            }
            if restriction.open_permille < FULLY_OPEN || restriction.blocked_classes != 0 {
                restrictions.push(restriction);
            }
        }
        let mut admitted: Vec<f64> =
            self.plan.admitted_permille.iter().map(|part| f64::from(*part) / f64::from(FULLY_OPEN)).collect();
        // With nothing closed there is nothing to ration, and an uneven load is no reason to refuse any.
        let narrow = !restrictions.is_empty() || self.unreachable_since.iter().any(Option::is_some);
        if isolated && narrow {
            admitted = self.isolated_shares(now, config, local, &restrictions);
        } else {
            self.isolated_admission = None;
        }
        let back = Duration::from_millis(u64::from(self.plan.retry_after_ms));
        PlanEffect { epoch: self.epoch, restrictions, admitted_shares: admitted, retry_after: back, isolated }
    }

    fn restriction(&self, zone: Zone, build_plan: &ZonePlan) -> ZoneRestriction {
        let here = zone == self.zone;
        let open = match build_plan.state {
            ZoneState::Up | ZoneState::Suspected => FULLY_OPEN,
            ZoneState::Partitioned if here => FULLY_OPEN,
            // Whoever stands there tells soonest whether it incarnations; and one front elsewhere.
            ZoneState::Probing if here || self.plan.prober == self.incarnation => FULLY_OPEN,
            ZoneState::Lost | ZoneState::Partitioned | ZoneState::Probing => 0,
            ZoneState::Recovering | ZoneState::Disabled => build_plan.open_permille,
        };
        let blocked_classes =
            if build_plan.state == ZoneState::Recovering { build_plan.blocked_classes } else { 0 };
        ZoneRestriction { zone, open_permille: open, blocked_classes }
    }

    /// This front's part of what is left, by the same planner; never more than the last plan let in.
    fn isolated_shares(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        local: &LocalView,
        restrictions: &[ZoneRestriction],
    ) -> Vec<f64> {
        if let Some((at, admitted)) = &self.isolated_admission
            && now < *at + config.report_interval
        {
            return admitted.clone();
        }
        let open = |zone: usize| {
            // Also its own zone, which it goes on trying, bears nothing if it finds it dead.
            if self.unreachable_since[zone.min(MAX_ZONES - 1)]
                .is_some_and(|from| now >= from + config.confirmation_time)
            {
                return 0.0;
            }
            let closed = restrictions.iter().find(|restriction| restriction.zone as usize == zone);
            closed.map_or(1.0, |restriction| f64::from(restriction.open_permille) / f64::from(FULLY_OPEN))
        };
        let capacities =
            local.zones.iter().take(MAX_ZONES).enumerate().map(|(zone, (_, cores))| ZoneCapacity {
                zone: zone as Zone,
                work: f64::from(*cores) * config.max_utilization * open(zone) * local.quota.clamp(0.0, 1.0),
            });
        let capacities: Vec<ZoneCapacity> = capacities.collect();
        let mut admitted = allocate(&local.classes, &capacities).served_shares;
        for (part, build_plan) in admitted.iter_mut().zip(&self.plan.admitted_permille) {
            *part = part.min(f64::from(*build_plan) / f64::from(FULLY_OPEN));
        }
        self.isolated_admission = Some((now, admitted.clone()));
        admitted
    }
}

/// The plan for these courses, given what is asked for and what each zone can take.
pub fn build_plan(
    state_machines: &[ZoneStateMachine],
    classes: &[ClassLoad],
    cores: &[(u32, f64)],
    config: &FailoverConfig,
    tries: u64,
) -> (FailoverPlan, crate::Allocation) {
    let works: Vec<f64> = classes.iter().map(|class| class.work).collect();
    let mut zones: Vec<ZonePlan> = state_machines.iter().map(|state_machine| state_machine.plan).collect();
    for zone in zones.iter_mut().filter(|zone| zone.state == ZoneState::Recovering) {
        zone.blocked_classes = state_machine::blocked_classes(zone.open_permille, &works);
    }
    let capacities: Vec<ZoneCapacity> = (zones.iter().zip(cores).enumerate())
        .map(|(number, (zone, (cores, part)))| {
            let open = match zone.state {
                ZoneState::Up | ZoneState::Suspected | ZoneState::Partitioned => 1.0,
                ZoneState::Lost | ZoneState::Probing => 0.0,
                ZoneState::Recovering | ZoneState::Disabled => {
                    f64::from(zone.open_permille) / f64::from(FULLY_OPEN)
                }
            };
            let work = f64::from(*cores) * part.clamp(0.0, 1.0) * config.max_utilization * open;
            ZoneCapacity { zone: number as Zone, work }
        })
        .collect();
    let allocation = allocate(classes, &capacities);
    // With all zones up and well there is nothing to ration: what engines bear is then better known to each front's
    // gateway than to any plan.
    let up = zones.iter().all(|zone| matches!(zone.state, ZoneState::Up | ZoneState::Suspected));
    let whole = up && cores.iter().all(|(_, part)| *part >= MIN_ANSWERING_SHARE);
    let admitted = allocation
        .served_shares
        .iter()
        .map(|part| if whole { FULLY_OPEN } else { (part * f64::from(FULLY_OPEN)).round() as u16 });
    let admitted = admitted.collect();
    let back = if whole { config.ramp_interval / 4 } else { config.ramp_interval };
    let plan = FailoverPlan {
        zones,
        admitted_permille: admitted,
        retry_after_ms: back.as_millis() as u32,
        prober: tries,
    };
    (plan, allocation)
}
