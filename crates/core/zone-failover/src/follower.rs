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
const WELL: f64 = 0.6;

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
    pub fn new(now: Duration, stands: Zone, life: u64) -> PlanFollower {
        PlanFollower {
            zone: stands,
            incarnation: life,
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

    pub fn is_isolated(&self, now: Duration, terms: &FailoverConfig) -> bool {
        now > self.confirmed_at + terms.plan_timeout
    }

    /// What holds now.
    pub fn effect(&mut self, now: Duration, terms: &FailoverConfig, own: &LocalView) -> PlanEffect {
        let solitary = self.is_isolated(now, terms);
        let mut closures = Vec::new();
        for site in 0..own.zones.len().max(self.plan.zones.len()).min(MAX_ZONES) {
            let build_plan = self.plan.zones.get(site).copied();
            let build_plan =
                build_plan.unwrap_or(ZonePlan { open_permille: FULLY_OPEN, ..ZonePlan::default() });
            let mut closure = self.restriction(site as Zone, &build_plan);
            let found = own.zones.get(site).map_or(ZoneHealth::Unknown, |(found, _)| *found);
            let dead = &mut self.unreachable_since[site];
            match found {
                ZoneHealth::Unreachable | ZoneHealth::Partitioned => *dead = dead.or(Some(now)),
                // Once closed nothing is sent there, and nothing is seen: it stays closed until the plan is heard.
                ZoneHealth::Unknown => {}
                _ => *dead = None,
            }
            if !solitary {
                *dead = dead.filter(|_| found != ZoneHealth::Unknown);
            } else if dead.is_some_and(|from| now >= from + terms.confirmation_time)
                && site as Zone != self.zone
            {
                closure.open_permille = 0;
            }
            if closure.open_permille < FULLY_OPEN || closure.blocked_classes != 0 {
                closures.push(closure);
            }
        }
        let mut admitted: Vec<f64> =
            self.plan.admitted_permille.iter().map(|part| f64::from(*part) / f64::from(FULLY_OPEN)).collect();
        // With nothing closed there is nothing to ration, and an uneven load is no reason to refuse any.
        let narrow = !closures.is_empty() || self.unreachable_since.iter().any(Option::is_some);
        if solitary && narrow {
            admitted = self.isolated_shares(now, terms, own, &closures);
        } else {
            self.isolated_admission = None;
        }
        let back = Duration::from_millis(u64::from(self.plan.retry_after_ms));
        PlanEffect {
            epoch: self.epoch,
            restrictions: closures,
            admitted_shares: admitted,
            retry_after: back,
            isolated: solitary,
        }
    }

    fn restriction(&self, site: Zone, build_plan: &ZonePlan) -> ZoneRestriction {
        let here = site == self.zone;
        let open = match build_plan.state {
            ZoneState::Up | ZoneState::Suspected => FULLY_OPEN,
            ZoneState::Partitioned if here => FULLY_OPEN,
            // Whoever stands there tells soonest whether it incarnations; and one front elsewhere.
            ZoneState::Probing if here || self.plan.prober == self.incarnation => FULLY_OPEN,
            ZoneState::Lost | ZoneState::Partitioned | ZoneState::Probing => 0,
            ZoneState::Recovering | ZoneState::Disabled => build_plan.open_permille,
        };
        let barred = if build_plan.state == ZoneState::Recovering { build_plan.blocked_classes } else { 0 };
        ZoneRestriction { zone: site, open_permille: open, blocked_classes: barred }
    }

    /// This front's part of what is left, by the same planner; never more than the last plan let in.
    fn isolated_shares(
        &mut self,
        now: Duration,
        terms: &FailoverConfig,
        own: &LocalView,
        closures: &[ZoneRestriction],
    ) -> Vec<f64> {
        if let Some((at, admitted)) = &self.isolated_admission
            && now < *at + terms.report_interval
        {
            return admitted.clone();
        }
        let open = |site: usize| {
            // Also its own zone, which it goes on trying, bears nothing if it finds it dead.
            if self.unreachable_since[site.min(MAX_ZONES - 1)]
                .is_some_and(|from| now >= from + terms.confirmation_time)
            {
                return 0.0;
            }
            let closed = closures.iter().find(|closure| closure.zone as usize == site);
            closed.map_or(1.0, |closure| f64::from(closure.open_permille) / f64::from(FULLY_OPEN))
        };
        let capacities =
            own.zones.iter().take(MAX_ZONES).enumerate().map(|(site, (_, cores))| ZoneCapacity {
                zone: site as Zone,
                work: f64::from(*cores) * terms.max_utilization * open(site) * own.quota.clamp(0.0, 1.0),
            });
        let capacities: Vec<ZoneCapacity> = capacities.collect();
        let mut admitted = allocate(&own.classes, &capacities).served_shares;
        for (part, build_plan) in admitted.iter_mut().zip(&self.plan.admitted_permille) {
            *part = part.min(f64::from(*build_plan) / f64::from(FULLY_OPEN));
        }
        self.isolated_admission = Some((now, admitted.clone()));
        admitted
    }
}

/// The plan for these courses, given what is asked for and what each zone can take.
pub fn build_plan(
    courses: &[ZoneStateMachine],
    groups: &[ClassLoad],
    cores: &[(u32, f64)],
    terms: &FailoverConfig,
    tries: u64,
) -> (FailoverPlan, crate::Allocation) {
    let works: Vec<f64> = groups.iter().map(|group| group.work).collect();
    let mut sites: Vec<ZonePlan> = courses.iter().map(|course| course.plan).collect();
    for site in sites.iter_mut().filter(|site| site.state == ZoneState::Recovering) {
        site.blocked_classes = state_machine::barred(site.open_permille, &works);
    }
    let capacities: Vec<ZoneCapacity> = (sites.iter().zip(cores).enumerate())
        .map(|(number, (site, (cores, part)))| {
            let open = match site.state {
                ZoneState::Up | ZoneState::Suspected | ZoneState::Partitioned => 1.0,
                ZoneState::Lost | ZoneState::Probing => 0.0,
                ZoneState::Recovering | ZoneState::Disabled => {
                    f64::from(site.open_permille) / f64::from(FULLY_OPEN)
                }
            };
            let work = f64::from(*cores) * part.clamp(0.0, 1.0) * terms.max_utilization * open;
            ZoneCapacity { zone: number as Zone, work }
        })
        .collect();
    let allocation = allocate(groups, &capacities);
    // With all zones up and well there is nothing to ration: what engines bear is then better known to each front's
    // gateway than to any plan.
    let up = sites.iter().all(|site| matches!(site.state, ZoneState::Up | ZoneState::Suspected));
    let whole = up && cores.iter().all(|(_, part)| *part >= WELL);
    let admitted = allocation
        .served_shares
        .iter()
        .map(|part| if whole { FULLY_OPEN } else { (part * f64::from(FULLY_OPEN)).round() as u16 });
    let admitted = admitted.collect();
    let back = if whole { terms.ramp_interval / 4 } else { terms.ramp_interval };
    let plan = FailoverPlan {
        zones: sites,
        admitted_permille: admitted,
        retry_after_ms: back.as_millis() as u32,
        prober: tries,
    };
    (plan, allocation)
}
