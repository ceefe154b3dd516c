//! The coordinator, which each voter runs. Every coordinator keeps the latest reports, so that it can take over the
//! lease at any time. The one that holds the lease runs the zones' state machines and decides when the plan's
//! register is read and written.
//!
//! A plan is written if none is committed, or if a zone's entry or the prober changed. From four report intervals
//! after the register was last read or written, a plan is also written if an admitted share changed by more than 20
//! thousandths or the Retry-After changed; smaller changes don't justify a round of the register.

use crate::health::ObservedZone;
use crate::{
    Allocation, ClassLoad, Evidence, FailoverConfig, FailoverPlan, FrontReport, HealthEvaluator, MAX_ZONES,
    OperatorOverride, PlannedAllocation, Transition, Zone, ZoneHealth, ZoneInput, ZonePlan, ZoneState,
    ZoneStateMachine, ZoneSupply, build_plan, with_demand,
};
use lemonusher_registers::EntryVersion;
use std::time::Duration;

/// A change of an admitted share by up to this, in thousandths, causes no new plan.
const MIN_ADMISSION_CHANGE_PERMILLE: u16 = 20;
/// The least time from the last read or write of the register to a plan that changes only admission or Retry-After,
/// in report intervals.
const MIN_INTERVALS_BETWEEN_ADMISSION_CHANGES: u32 = 4;
/// The least number of ended attempts in another zone for which its degraded share counts.
const MIN_ATTEMPTS: u32 = 10;

/// An operation on the plan's register.
#[derive(Debug, Clone, PartialEq)]
pub enum RegisterAction {
    /// Reads the committed plan.
    Read,
    /// Writes a plan by compare-and-set.
    Write {
        /// The version that must still be committed; none if no plan was ever committed.
        expected: Option<EntryVersion>,
        /// The fencing token of the lease that the coordinator holds.
        fencing_token: u64,
        /// The new value.
        plan: FailoverPlan,
    },
}

/// A transition of one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneTransition {
    /// The zone.
    pub zone: Zone,
    /// Its transition.
    pub transition: Transition,
}

/// The observed condition of a zone, and its entry in the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePreview {
    /// The zone's entry in the plan.
    pub plan: ZonePlan,
    /// Its health by the reports.
    pub health: ZoneHealth,
    /// The evidence behind the health.
    pub evidence: Evidence,
    /// The share of its capacity that the allocation fills, from 0 to 1.
    pub utilization: f64,
}

/// The effect of a plan on the present demand and supply.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanPreview {
    /// The zones, by number.
    pub zones: Vec<ZonePreview>,
    /// The request classes with the demand of all fronts.
    pub classes: Vec<ClassLoad>,
    /// The work of each request class in each zone.
    pub allocation: Allocation,
}

/// A coordinator's knowledge of the plan's register.
#[derive(Debug, Clone, PartialEq)]
enum RegisterKnowledge {
    /// The committed plan is unknown and must be read first.
    Unknown,
    /// A read is in progress.
    Reading,
    /// This plan is committed; none before the first.
    Committed { version: Option<EntryVersion>, plan: Option<FailoverPlan> },
    /// A write of this plan is in progress.
    Writing(FailoverPlan),
}

/// The state kept from the grant of the lease to its end.
#[derive(Debug, Clone)]
struct LeaseTenure {
    fencing_token: u64,
    register: RegisterKnowledge,
    zones: Vec<ZoneStateMachine>,
}

/// Decides on the plan while its front holds the lease.
#[derive(Debug, Clone)]
pub struct Coordinator {
    /// The incarnation of this front.
    incarnation: u64,
    /// The configured request classes.
    classes: Vec<ClassLoad>,
    evaluator: HealthEvaluator,
    /// None while the lease is not held.
    tenure: Option<LeaseTenure>,
    next_poll: Duration,
    /// The time at which the committed plan was last read or written.
    committed_at: Duration,
    /// The transitions since the last call of [`Coordinator::take_transitions`].
    transitions: Vec<ZoneTransition>,
}

impl Coordinator {
    /// `incarnation` is this front's; `classes` are the configured request classes.
    pub fn new(incarnation: u64, classes: Vec<ClassLoad>) -> Coordinator {
        Coordinator {
            incarnation,
            classes,
            evaluator: HealthEvaluator::default(),
            tenure: None,
            next_poll: Duration::ZERO,
            committed_at: Duration::ZERO,
            transitions: Vec::new(),
        }
    }

    /// Handles a front's report; `front` is its incarnation.
    pub fn handle_report(&mut self, now: Duration, front: u64, report: FrontReport) {
        self.evaluator.handle_report(now, front, report);
    }

    /// Sets the fencing token under which this front holds the lease; none if it does not hold the lease.
    pub fn set_lease(&mut self, fencing_token: Option<u64>) {
        let held = self.tenure.as_ref().map(|tenure| tenure.fencing_token);
        if held != fencing_token {
            self.tenure = fencing_token.map(|fencing_token| LeaseTenure {
                fencing_token,
                register: RegisterKnowledge::Unknown,
                zones: Vec::new(),
            });
        }
    }

    /// Handles the committed plan, as a full round of the register has shown it. If this is the plan that
    /// this coordinator was writing, the zones keep their times; if not, their state machines are built anew from it.
    pub fn handle_committed(
        &mut self,
        now: Duration,
        version: Option<EntryVersion>,
        plan: Option<FailoverPlan>,
    ) {
        let Some(tenure) = &mut self.tenure else { return };
        let is_own =
            matches!(&tenure.register, RegisterKnowledge::Writing(own) if Some(own) == plan.as_ref());
        if !is_own {
            let zones = plan.iter().flat_map(|plan| plan.zones.iter());
            tenure.zones = zones.map(|zone| ZoneStateMachine::new(now, *zone)).collect();
        }
        self.committed_at = now;
        tenure.register = RegisterKnowledge::Committed { version, plan };
    }

    /// Handles a read or a write that failed or has an unknown outcome.
    pub fn handle_failure(&mut self) {
        if let Some(tenure) = &mut self.tenure {
            tenure.register = RegisterKnowledge::Unknown;
        }
    }

    /// Takes the transitions since the last call.
    pub fn take_transitions(&mut self) -> Vec<ZoneTransition> {
        std::mem::take(&mut self.transitions)
    }

    /// Returns the next operation on the register, at most one a report interval and none without the lease. Runs the
    /// zones' state machines only while the committed plan is known and no operation is in progress.
    /// `overrides` are by zone.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        overrides: &[OperatorOverride],
    ) -> Option<RegisterAction> {
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + config.report_interval;
        self.evaluator.expire(now, config.report_interval);
        let tenure = self.tenure.as_mut()?;
        match &tenure.register {
            RegisterKnowledge::Unknown => {
                tenure.register = RegisterKnowledge::Reading;
                Some(RegisterAction::Read)
            }
            RegisterKnowledge::Reading | RegisterKnowledge::Writing(_) => None,
            RegisterKnowledge::Committed { version, plan } => {
                let (version, committed) = (*version, plan.clone());
                let observed = self.step_zones(now, config, overrides, committed.as_ref());
                self.write(now, config, &observed, version, committed.as_ref())
            }
        }
    }

    /// Runs the state machines of all zones, with at most one transition each; returns the observations used.
    fn step_zones(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        overrides: &[OperatorOverride],
        committed: Option<&FailoverPlan>,
    ) -> Vec<ObservedZone> {
        let Some(tenure) = &mut self.tenure else { return Vec::new() };
        let planned = committed.map_or(0, |plan| plan.zones.len());
        let count = self.evaluator.zone_count().max(planned).min(MAX_ZONES);
        while tenure.zones.len() < count {
            tenure.zones.push(ZoneStateMachine::up(now));
        }
        let observed = observe_zones(&self.evaluator, tenure.zones.len());
        for (zone, state_machine) in tenure.zones.iter_mut().enumerate() {
            let input = ZoneInput {
                health: observed[zone].health,
                evidence: observed[zone].evidence,
                operator_override: overrides.get(zone).copied().unwrap_or_default(),
                others_degraded_share: others_degraded_share(&observed, zone),
            };
            let transition = state_machine.step(now, config, &input);
            self.transitions
                .extend(transition.map(|transition| ZoneTransition { zone: zone as Zone, transition }));
        }
        observed
    }

    /// Builds the plan from the zones' present states. Starts to write it if no plan is committed, or if it differs
    /// from the committed plan as the head of the module states.
    fn write(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        observed: &[ObservedZone],
        version: Option<EntryVersion>,
        committed: Option<&FailoverPlan>,
    ) -> Option<RegisterAction> {
        let classes = self.demand();
        let tenure = self.tenure.as_mut()?;
        let supply = supply(observed);
        let PlannedAllocation { plan, .. } =
            build_plan(&tenure.zones, &classes, &supply, config, self.incarnation);
        let may_change_admission =
            now >= self.committed_at + config.report_interval * MIN_INTERVALS_BETWEEN_ADMISSION_CHANGES;
        let has_changed = committed.is_none_or(|old| {
            let zones_changed = old.zones != plan.zones || old.prober != plan.prober;
            zones_changed || (may_change_admission && admission_differs(old, &plan))
        });
        if !has_changed {
            return None;
        }
        tenure.register = RegisterKnowledge::Writing(plan.clone());
        Some(RegisterAction::Write { expected: version, fencing_token: tenure.fencing_token, plan })
    }

    /// The effect of this plan on the present demand and supply if the zones `without` are lost as well.
    pub fn preview(&self, config: &FailoverConfig, plan: &FailoverPlan, without: &[Zone]) -> PlanPreview {
        let count = self.evaluator.zone_count().max(plan.zones.len());
        let up = ZoneStateMachine::up(Duration::ZERO).plan;
        let lost = ZonePlan { state: ZoneState::Lost, open_permille: 0, ..ZonePlan::default() };
        let zones: Vec<ZoneStateMachine> = (0..count)
            .map(|zone| match without.contains(&(zone as Zone)) {
                true => lost,
                false => plan.zones.get(zone).copied().unwrap_or(up),
            })
            .map(|zone| ZoneStateMachine::new(Duration::ZERO, zone))
            .collect();
        let classes = self.demand();
        let observed = observe_zones(&self.evaluator, count);
        let PlannedAllocation { allocation, .. } =
            build_plan(&zones, &classes, &supply(&observed), config, self.incarnation);
        let zones = zones.iter().zip(observed).enumerate().map(|(zone, (state_machine, observed))| {
            let utilization = allocation.utilization.get(zone).copied().unwrap_or(0.0);
            let ObservedZone { health, evidence } = observed;
            ZonePreview { plan: state_machine.plan, health, evidence, utilization }
        });
        PlanPreview { zones: zones.collect(), classes, allocation }
    }

    /// The request classes with the demand of all fronts.
    fn demand(&self) -> Vec<ClassLoad> {
        with_demand(&self.classes, &self.evaluator.demand(self.classes.len()))
    }
}

fn observe_zones(evaluator: &HealthEvaluator, count: usize) -> Vec<ObservedZone> {
    (0..count as Zone).map(|zone| evaluator.observe(zone)).collect()
}

fn supply(observed: &[ObservedZone]) -> Vec<ZoneSupply> {
    observed.iter().map(|zone| zone.evidence.supply()).collect()
}

/// The largest degraded share of any other zone with at least [`MIN_ATTEMPTS`] ended attempts.
fn others_degraded_share(observed: &[ObservedZone], zone: usize) -> f64 {
    observed
        .iter()
        .enumerate()
        .filter(|(other, observed)| *other != zone && observed.evidence.attempts >= MIN_ATTEMPTS)
        .map(|(_, observed)| observed.evidence.degraded_share)
        .fold(0.0, f64::max)
}

fn admission_differs(old: &FailoverPlan, new: &FailoverPlan) -> bool {
    let shares = || old.admitted_permille.iter().zip(&new.admitted_permille);
    old.retry_after_ms != new.retry_after_ms
        || old.admitted_permille.len() != new.admitted_permille.len()
        || shares().any(|(old, new)| old.abs_diff(*new) > MIN_ADMISSION_CHANGE_PERMILLE)
}
