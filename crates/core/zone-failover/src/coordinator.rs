//! What a voter does for the plan: it keeps what fronts tell, so that it can take the lease over at any time, and while it
//! holds the lease it moves the zones and says which plan is to be settled.

use crate::{
    Allocation, ClassLoad, Evidence, FailoverConfig, FailoverPlan, FrontReport, HealthEvaluator, MAX_ZONES,
    OperatorOverride, Transition, ZoneHealth, ZonePlan, ZoneState, ZoneStateMachine, build_plan, with_demand,
};
use std::time::Duration;

/// Plans that differ by less in what they let in (in thousandths) are not worth an epoch.
const MIN_ADMISSION_CHANGE_PERMILLE: u16 = 20;
/// Periods between two plans that differ in nothing but what they let in.
const MIN_REPORTS_BETWEEN_ADMISSION_CHANGES: u32 = 4;
/// Attempts that must have ended elsewhere before outcomes there are judged.
const MIN_ATTEMPTS: u32 = 10;

/// Where a holder stands with the register.
#[derive(Debug, Clone, PartialEq)]
enum Base {
    /// It has to learn what is settled first.
    Unknown,
    Reading,
    /// It builds on this epoch (none: nothing was ever settled) and plan.
    On(Option<(u64, u64)>, Option<FailoverPlan>),
    Writing(FailoverPlan),
}

/// What is to be done about the register.
#[derive(Debug, Clone, PartialEq)]
pub enum RegisterAction {
    Read,
    /// Settle this, if what stands there is still of this epoch, under this fencing number.
    Write {
        expected: Option<(u64, u64)>,
        fencing_token: u64,
        plan: FailoverPlan,
    },
}

/// A zone as it is now, and in the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanPreview {
    pub zones: Vec<(ZonePlan, ZoneHealth, Evidence, f64)>,
    pub classes: Vec<ClassLoad>,
    pub allocation: Allocation,
}

#[derive(Debug, Clone)]
pub struct Coordinator {
    incarnation: u64,
    stated: Vec<ClassLoad>,
    evaluator: HealthEvaluator,
    /// By the fencing number of the lease that it holds.
    held: Option<(u64, Base, Vec<ZoneStateMachine>)>,
    next: Duration,
    settled_at: Duration,
    transitions: Vec<(usize, Transition)>,
}

impl Coordinator {
    pub fn new(incarnation: u64, stated: Vec<ClassLoad>) -> Coordinator {
        Coordinator {
            incarnation,
            stated,
            evaluator: HealthEvaluator::default(),
            held: None,
            next: Duration::ZERO,
            settled_at: Duration::ZERO,
            transitions: Vec::new(),
        }
    }

    pub fn handle_report(&mut self, now: Duration, front: u64, report: FrontReport) {
        self.evaluator.handle_report(now, front, report);
    }

    /// The lease is held under this number, or not held.
    pub fn set_lease(&mut self, number: Option<u64>) {
        let kept = self.held.as_ref().map(|(held, ..)| *held);
        if kept != number {
            self.held = number.map(|number| (number, Base::Unknown, Vec::new()));
        }
    }

    /// What is settled, as a whole round of the register has shown; this holder builds on it.
    pub fn handle_committed(&mut self, now: Duration, epoch: Option<(u64, u64)>, plan: Option<FailoverPlan>) {
        let Some((_, base, state_machines)) = &mut self.held else { return };
        let local = matches!(&base, Base::Writing(wanted) if Some(wanted) == plan.as_ref());
        if !local {
            let known = plan.iter().flat_map(|plan| plan.zones.iter());
            *state_machines = known.map(|zone| ZoneStateMachine::new(now, *zone)).collect();
        }
        self.settled_at = now;
        *base = Base::On(epoch, plan);
    }

    /// It could not be settled, or not be found out whether it was.
    pub fn handle_failure(&mut self) {
        if let Some((_, base, _)) = &mut self.held {
            *base = Base::Unknown;
        }
    }

    /// What has been done to which zone since this was last asked.
    pub fn take_transitions(&mut self) -> Vec<(usize, Transition)> {
        std::mem::take(&mut self.transitions)
    }

    /// Once a period: moves the zones on, and says what is wanted of the register.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        overrides: &[OperatorOverride],
    ) -> Option<RegisterAction> {
        if now < self.next {
            return None;
        }
        self.next = now + config.report_interval;
        self.evaluator.expire(now, config.report_interval);
        let all = self.evaluator.zone_count();
        let (number, base, state_machines) = self.held.as_mut()?;
        let (epoch, settled) = match base {
            Base::Unknown => {
                *base = Base::Reading;
                return Some(RegisterAction::Read);
            }
            Base::Reading | Base::Writing(_) => return None,
            Base::On(epoch, settled) => (*epoch, settled.clone()),
        };
        while state_machines.len()
            < all.max(settled.as_ref().map_or(0, |plan| plan.zones.len())).min(MAX_ZONES)
        {
            state_machines.push(ZoneStateMachine::up(now));
        }
        let seen: Vec<(ZoneHealth, Evidence)> = (0..state_machines.len() as u32)
            .map(|zone| (self.evaluator.health(zone), self.evaluator.evidence(zone)))
            .collect();
        for (zone, state_machine) in state_machines.iter_mut().enumerate() {
            let others = seen
                .iter()
                .enumerate()
                .filter(|(other, (_, one))| *other != zone && one.attempts >= MIN_ATTEMPTS);
            let worse = others.map(|(_, (_, one))| one.degraded_share).fold(0.0, f64::max);
            let operator_override = overrides.get(zone).copied().unwrap_or_default();
            let step = state_machine.step(now, config, seen[zone].0, &seen[zone].1, operator_override, worse);
            self.transitions.extend(step.map(|step| (zone, step)));
        }
        let classes = with_demand(&self.stated, &self.evaluator.demand(self.stated.len()));
        let cores: Vec<(u32, f64)> = seen.iter().map(|(_, one)| (one.cores, one.answering_share)).collect();
        let (plan, _) = build_plan(state_machines, &classes, &cores, config, self.incarnation);
        let changed = settled.as_ref().is_none_or(|old| {
            let moved = old.zones != plan.zones || old.prober != plan.prober;
            moved
                || (differs(old, &plan)
                    && now
                        >= self.settled_at + config.report_interval * MIN_REPORTS_BETWEEN_ADMISSION_CHANGES)
        });
        if !changed {
            return None;
        }
        *base = Base::Writing(plan.clone());
        Some(RegisterAction::Write { expected: epoch, fencing_token: *number, plan })
    }

    /// The plan as it stands, or as it would be with these zones lost.
    pub fn preview(&self, config: &FailoverConfig, plan: &FailoverPlan, without: &[u32]) -> PlanPreview {
        let all = self.evaluator.zone_count().max(plan.zones.len());
        let zone = |number: usize| {
            plan.zones.get(number).copied().unwrap_or(ZoneStateMachine::up(Duration::ZERO).plan)
        };
        let lost = ZonePlan { state: ZoneState::Lost, open_permille: 0, ..ZonePlan::default() };
        let state_machines: Vec<ZoneStateMachine> = (0..all)
            .map(|number| {
                let one = if without.contains(&(number as u32)) { lost } else { zone(number) };
                ZoneStateMachine::new(Duration::ZERO, one)
            })
            .collect();
        let classes = with_demand(&self.stated, &self.evaluator.demand(self.stated.len()));
        let seen: Vec<(ZoneHealth, Evidence)> = (0..all as u32)
            .map(|number| (self.evaluator.health(number), self.evaluator.evidence(number)))
            .collect();
        let cores: Vec<(u32, f64)> = seen.iter().map(|(_, one)| (one.cores, one.answering_share)).collect();
        let (_, allocation) = build_plan(&state_machines, &classes, &cores, config, self.incarnation);
        let zones =
            state_machines.iter().zip(seen).enumerate().map(|(number, (state_machine, (found, seen)))| {
                (state_machine.plan, found, seen, allocation.utilization.get(number).copied().unwrap_or(0.0))
            });
        PlanPreview { zones: zones.collect(), classes, allocation }
    }
}

fn differs(old: &FailoverPlan, new: &FailoverPlan) -> bool {
    old.retry_after_ms != new.retry_after_ms
        || old.admitted_permille.len() != new.admitted_permille.len()
        || old
            .admitted_permille
            .iter()
            .zip(&new.admitted_permille)
            .any(|(old, new)| old.abs_diff(*new) > MIN_ADMISSION_CHANGE_PERMILLE)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Demand, FULLY_OPEN, ZoneStats};

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn config() -> FailoverConfig {
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

    fn report(stands: u32, good: [bool; 2]) -> FrontReport {
        let stats = |zone: usize| ZoneStats {
            zone: zone as u32,
            listed: 2,
            cores: 16,
            answering: if good[zone] { 2 } else { 0 },
            silent: if good[zone] { 0 } else { 2 },
            ..ZoneStats::default()
        };
        let zone_stats = (0..2).map(stats).collect();
        FrontReport { zone: stands, zones: zone_stats, demand: vec![Demand { rate: 10.0, work: 0.5 }] }
    }

    fn coordinator(incarnation: u64) -> Coordinator {
        let class = ClassLoad {
            priority_weight: 1.0,
            work: 0.5,
            rate: 0.0,
            latency_objective: 1.0,
            deadline: 20.0,
            floor: 0.1,
            allowed_zones: None,
        };
        Coordinator::new(incarnation, vec![class])
    }

    fn round(coordinator: &mut Coordinator, now: &mut Duration, good: [bool; 2]) -> Option<RegisterAction> {
        *now += ms(500);
        (0..4).for_each(|front| coordinator.handle_report(*now, front, report(0, good)));
        coordinator.poll(*now, &config(), &[])
    }

    #[test]
    fn a_holder_reads_first_builds_on_what_stands_and_settles_only_what_changes() {
        let (mut coordinator, mut now) = (coordinator(7), ms(0));
        assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None, "it holds nothing");
        coordinator.set_lease(Some(5));
        assert_eq!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Read));
        assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None, "it waits for what stands");
        coordinator.handle_committed(now, None, None);
        let Some(RegisterAction::Write { expected: None, fencing_token: 5, plan }) =
            round(&mut coordinator, &mut now, [true; 2])
        else {
            panic!("nothing is settled at first");
        };
        assert_eq!((plan.zones.len(), plan.prober, plan.zones[1].open_permille), (2, 7, FULLY_OPEN));
        coordinator.handle_committed(now, Some((1, 1)), Some(plan));
        for _ in 0..20 {
            assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None);
        }
        // The zone is lost, and the next holder goes on from there.
        let mut wanted = None;
        while !matches!(&wanted, Some(RegisterAction::Write { plan, .. }) if plan.zones[1].state == ZoneState::Lost)
        {
            wanted = round(&mut coordinator, &mut now, [true, false]);
            if let Some(RegisterAction::Write { plan, .. }) = &wanted {
                coordinator.handle_committed(now, Some((1, 2)), Some(plan.clone()));
            }
        }
        let Some(RegisterAction::Write { plan, .. }) = wanted else { unreachable!() };
        let (mut next, mut later) = (self::coordinator(8), now);
        next.set_lease(Some(6));
        assert_eq!(round(&mut next, &mut later, [true, false]), Some(RegisterAction::Read));
        next.handle_committed(later, Some((1, 3)), Some(plan));
        let Some(RegisterAction::Write { expected: Some((1, 3)), fencing_token: 6, plan }) =
            round(&mut next, &mut later, [true, false])
        else {
            panic!("the new holder names itself as the one who tries out");
        };
        assert_eq!(plan.zones[1].state, ZoneState::Lost);
    }

    #[test]
    fn one_who_was_overtaken_or_lost_the_lease_starts_from_what_stands() {
        let (mut coordinator, mut now) = (coordinator(7), ms(0));
        coordinator.set_lease(Some(5));
        round(&mut coordinator, &mut now, [true; 2]);
        coordinator.handle_committed(now, None, None);
        assert!(matches!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Write { .. })));
        coordinator.handle_failure();
        assert_eq!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Read));
        coordinator.set_lease(None);
        assert_eq!(round(&mut coordinator, &mut now, [true; 2]), None);
        coordinator.handle_committed(now, Some((1, 9)), None);
        coordinator.set_lease(Some(8));
        assert_eq!(round(&mut coordinator, &mut now, [true; 2]), Some(RegisterAction::Read));
    }

    #[test]
    fn a_loss_that_the_rest_could_not_carry_is_shown_before_it_happens() {
        let (mut coordinator, mut now) = (coordinator(7), ms(0));
        for _ in 0..10 {
            round(&mut coordinator, &mut now, [true; 2]);
        }
        let plan = FailoverPlan::default();
        let now_served = coordinator.preview(&config(), &plan, &[]).allocation.served_shares[0];
        let then = coordinator.preview(&config(), &plan, &[1]);
        assert!(
            now_served > 0.99 && then.allocation.served_shares[0] < 0.7,
            "{now_served} {:?}",
            then.allocation
        );
        assert_eq!((then.zones[1].0.state, then.zones[1].3), (ZoneState::Lost, 0.0));
        assert_eq!(coordinator.preview(&config(), &plan, &[0, 1]).allocation.unplaceable_shares, [1.0]);
    }
}
