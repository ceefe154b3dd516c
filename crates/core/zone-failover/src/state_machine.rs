//! The state machine of one zone, run by the coordinator.
//!
//! A poll makes at most one transition. Within a state the first condition in the table that holds decides. *Lost*
//! stands for [`ZoneState::Lost`] if no front reaches the zone, and for [`ZoneState::Partitioned`] if only its own
//! fronts do. *Confirmed* means that the health has been the same for the confirmation time, counted anew in
//! each state. A new coordinator reads the states from the register and restarts all times. A takeover can extend a
//! wait by at most the length of the whole wait, and never shortens one.
//!
//! | state | condition | next state | reason |
//! | --- | --- | --- | --- |
//! | Up | unreachable, confirmed | Lost | `Unreachable` |
//! | Up | partitioned, confirmed | Partitioned | `Partitioned` |
//! | Up | unreachable or partitioned | Suspected | `Suspected` |
//! | Up | disabled by an operator | Disabled, one step less open | `OperatorDisabled` |
//! | Suspected | neither unreachable nor partitioned | Up | `EvidenceCleared` |
//! | Suspected | unreachable, confirmed | Lost | `Unreachable` |
//! | Suspected | partitioned, confirmed | Partitioned | `Partitioned` |
//! | Disabled | not yet closed; unreachable or partitioned, confirmed | *lost* | `Unreachable` |
//! | Disabled | a drill, and outcomes elsewhere degrade | Recovering, first step | `DrillDegradedOthers` |
//! | Disabled | no longer disabled by an operator | Recovering, open share kept, at least the first step | `OperatorEnabled` |
//! | Disabled | not yet closed; the ramp interval is over | Disabled, one step less open | `DrainStep` |
//! | Lost, Partitioned | recovery held by an operator | no change | |
//! | Partitioned | unreachable, confirmed | Lost | `UnreachableLocally` |
//! | Lost, Partitioned | the recovery backoff is over | Probing | `BackoffElapsed` |
//! | Probing | healthy or without fronts, for the probation | Recovering, first step | `ProbationPassed` |
//! | Probing | neither, four probations after it began | Lost | `ProbationFailed` |
//! | Recovering | unreachable or partitioned, confirmed | *lost* | `LostDuringRecovery` |
//! | Recovering | unreachable or partitioned, not confirmed | no change | |
//! | Recovering | outcomes there degrade; two report intervals after the last step, beyond the first step | Recovering, one step less open | `OutcomesDegraded` |
//! | Recovering | outcomes don't degrade, health is known, the ramp interval is over | Recovering, next step | `RampStep` |
//! | Recovering | the same, and fully open | Up | `RampComplete` |

use crate::{
    Evidence, FULLY_OPEN, FailoverConfig, OperatorOverride, Transition, TransitionReason, ZoneHealth,
    ZonePlan, ZoneState,
};
use std::time::Duration;

/// The share of a zone's engines that is open at each step of a recovery or a drain, in thousandths.
const RAMP_STEPS_PERMILLE: [u16; 5] = [125, 250, 500, 750, FULLY_OPEN];
/// The open share at the first step of a recovery, in thousandths.
const FIRST_STEP_PERMILLE: u16 = RAMP_STEPS_PERMILLE[0];
/// The maximum number of doublings of the recovery backoff.
const MAX_BACKOFF_DOUBLINGS: u8 = 4;
/// The share of failed or slow attempts above which a recovery steps back, or a drill ends; from 0 to 1.
const MAX_DEGRADED_SHARE: f64 = 0.2;
/// The least number of ended attempts in a recovering zone for which the degraded share is evaluated.
const MIN_ATTEMPTS: u32 = 10;
/// The consecutive losses are reset once a zone has been up for its recovery backoff times this number.
const FORGET_AFTER_BACKOFFS: u32 = 8;
/// A probed zone that does not answer is lost again after its probation times this number.
const MAX_PROBATIONS: u32 = 4;
/// The least time between any step of a recovery, forward or back, and a step back after it, in report intervals.
const MIN_REPORTS_BETWEEN_STEPS_BACK: u32 = 2;

/// The input of the state machine at one poll.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneInput {
    /// The zone's health by all reports.
    pub health: ZoneHealth,
    /// The evidence behind the health.
    pub evidence: Evidence,
    /// The operator's override of the zone.
    pub operator_override: OperatorOverride,
    /// The largest share of attempts that failed or were slow in any other zone, from 0 to 1; zones with under ten
    /// ended attempts are left out.
    pub others_degraded_share: f64,
}

impl ZoneInput {
    /// Whether the zone is unreachable or partitioned.
    fn is_bad(&self) -> bool {
        matches!(self.health, ZoneHealth::Unreachable | ZoneHealth::Partitioned)
    }

    /// The state that a zone enters if it is lost with this health.
    fn lost_state(&self) -> ZoneState {
        if self.health == ZoneHealth::Unreachable { ZoneState::Lost } else { ZoneState::Partitioned }
    }

    fn wants_disabled(&self) -> bool {
        matches!(self.operator_override, OperatorOverride::Disable | OperatorOverride::Drill)
    }
}

/// A health that has not changed since a time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SteadyHealth {
    health: ZoneHealth,
    since: Duration,
}

/// The context of one poll, for the functions of all states.
#[derive(Debug, Clone, Copy)]
struct Poll<'a> {
    now: Duration,
    config: &'a FailoverConfig,
    input: &'a ZoneInput,
    /// How long the health has been the same.
    health_lasted: Duration,
}

impl Poll<'_> {
    fn is_confirmed(&self) -> bool {
        self.health_lasted >= self.config.confirmation_time
    }

    fn ramp_interval(&self) -> Duration {
        match self.input.operator_override {
            OperatorOverride::FastRecovery => self.config.ramp_interval / 2,
            _ => self.config.ramp_interval,
        }
    }
}

/// A zone's entry in the plan, and the times from which its timeouts count.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneStateMachine {
    /// The zone's entry in the plan; [`crate::build_plan`] sets the blocked classes.
    pub plan: ZonePlan,
    /// The time at which the zone entered its state.
    entered_at: Duration,
    /// The time at which the state or the open share last changed.
    stepped_at: Duration,
    /// The latest health, with the time of its last change; none until the first poll in a state.
    steady_health: Option<SteadyHealth>,
    /// A drill has ended by itself. The override is ignored until it is neither `Disable` nor `Drill`.
    drill_ended: bool,
}

impl ZoneStateMachine {
    /// The state machine of a zone with this entry in the committed plan; all times start at `now`.
    pub fn new(now: Duration, plan: ZonePlan) -> ZoneStateMachine {
        ZoneStateMachine { plan, entered_at: now, stepped_at: now, steady_health: None, drill_ended: false }
    }

    /// The state machine of a zone that is up, the initial state of every zone.
    pub fn up(now: Duration) -> ZoneStateMachine {
        let plan = ZonePlan { state: ZoneState::Up, open_permille: FULLY_OPEN, ..ZonePlan::default() };
        ZoneStateMachine::new(now, plan)
    }

    /// Makes at most one transition, by the table at the head of the module.
    pub fn step(&mut self, now: Duration, config: &FailoverConfig, input: &ZoneInput) -> Option<Transition> {
        let health_lasted = self.observe_health(now, input.health);
        if !input.wants_disabled() {
            self.drill_ended = false;
        }
        let poll = Poll { now, config, input, health_lasted };
        match self.plan.state {
            ZoneState::Up => self.step_up(&poll),
            ZoneState::Suspected => self.step_suspected(&poll),
            ZoneState::Disabled => self.step_disabled(&poll),
            ZoneState::Lost => self.step_lost(&poll),
            ZoneState::Partitioned => self.step_partitioned(&poll),
            ZoneState::Probing => self.step_probing(&poll),
            ZoneState::Recovering => self.step_recovering(&poll),
        }
    }

    fn step_up(&mut self, poll: &Poll) -> Option<Transition> {
        if poll.input.is_bad() {
            if poll.is_confirmed() {
                return self.lose_in_use(poll);
            }
            return self.transition(poll.now, ZoneState::Suspected, FULLY_OPEN, TransitionReason::Suspected);
        }
        if self.is_disabled(poll) {
            let open = next_step_down(FULLY_OPEN);
            return self.transition(poll.now, ZoneState::Disabled, open, TransitionReason::OperatorDisabled);
        }
        let forget_after = self.recovery_backoff(poll.config) * FORGET_AFTER_BACKOFFS;
        if self.plan.consecutive_losses > 0 && poll.now >= self.entered_at + forget_after {
            self.plan.consecutive_losses = 0;
        }
        None
    }

    fn step_suspected(&mut self, poll: &Poll) -> Option<Transition> {
        if !poll.input.is_bad() {
            return self.transition(poll.now, ZoneState::Up, FULLY_OPEN, TransitionReason::EvidenceCleared);
        }
        if poll.is_confirmed() {
            return self.lose_in_use(poll);
        }
        None
    }

    fn step_disabled(&mut self, poll: &Poll) -> Option<Transition> {
        let open = self.plan.open_permille;
        let is_drill = poll.input.operator_override == OperatorOverride::Drill && !self.drill_ended;
        if poll.input.is_bad() && poll.is_confirmed() && open > 0 {
            return self.mark_lost(poll.now, poll.input.lost_state(), TransitionReason::Unreachable);
        }
        if is_drill && poll.input.others_degraded_share > MAX_DEGRADED_SHARE {
            self.drill_ended = true;
            let reason = TransitionReason::DrillDegradedOthers;
            return self.transition(poll.now, ZoneState::Recovering, FIRST_STEP_PERMILLE, reason);
        }
        if !self.is_disabled(poll) {
            let open = open.max(FIRST_STEP_PERMILLE);
            return self.transition(poll.now, ZoneState::Recovering, open, TransitionReason::OperatorEnabled);
        }
        if open > 0 && poll.now >= self.stepped_at + poll.ramp_interval() {
            let open = next_step_down(open);
            return self.transition(poll.now, ZoneState::Disabled, open, TransitionReason::DrainStep);
        }
        None
    }

    fn step_lost(&mut self, poll: &Poll) -> Option<Transition> {
        if poll.input.operator_override == OperatorOverride::HoldRecovery {
            return None;
        }
        self.probe_after_backoff(poll)
    }

    fn step_partitioned(&mut self, poll: &Poll) -> Option<Transition> {
        if poll.input.operator_override == OperatorOverride::HoldRecovery {
            return None;
        }
        if poll.input.health == ZoneHealth::Unreachable && poll.is_confirmed() {
            return self.transition(poll.now, ZoneState::Lost, 0, TransitionReason::UnreachableLocally);
        }
        self.probe_after_backoff(poll)
    }

    fn step_probing(&mut self, poll: &Poll) -> Option<Transition> {
        if matches!(poll.input.health, ZoneHealth::Healthy | ZoneHealth::FrontsLost) {
            if poll.health_lasted < poll.config.probation {
                return None;
            }
            let reason = TransitionReason::ProbationPassed;
            return self.transition(poll.now, ZoneState::Recovering, FIRST_STEP_PERMILLE, reason);
        }
        if poll.now >= self.entered_at + poll.config.probation * MAX_PROBATIONS {
            return self.mark_lost(poll.now, ZoneState::Lost, TransitionReason::ProbationFailed);
        }
        None
    }

    fn step_recovering(&mut self, poll: &Poll) -> Option<Transition> {
        let open = self.plan.open_permille;
        let evidence = &poll.input.evidence;
        if poll.input.is_bad() {
            if !poll.is_confirmed() {
                return None;
            }
            return self.mark_lost(poll.now, poll.input.lost_state(), TransitionReason::LostDuringRecovery);
        }
        if evidence.attempts >= MIN_ATTEMPTS && evidence.degraded_share > MAX_DEGRADED_SHARE {
            let wait = poll.config.report_interval * MIN_REPORTS_BETWEEN_STEPS_BACK;
            if poll.now < self.stepped_at + wait || open <= FIRST_STEP_PERMILLE {
                return None;
            }
            let open = next_step_down(open);
            let reason = TransitionReason::OutcomesDegraded;
            return self.transition(poll.now, ZoneState::Recovering, open, reason);
        }
        if poll.now < self.stepped_at + poll.ramp_interval() || poll.input.health == ZoneHealth::Unknown {
            return None;
        }
        match RAMP_STEPS_PERMILLE.iter().find(|step| **step > open) {
            Some(step) => self.transition(poll.now, ZoneState::Recovering, *step, TransitionReason::RampStep),
            None => self.transition(poll.now, ZoneState::Up, FULLY_OPEN, TransitionReason::RampComplete),
        }
    }

    /// Records the health; returns how long it has been the same.
    fn observe_health(&mut self, now: Duration, health: ZoneHealth) -> Duration {
        match self.steady_health {
            Some(steady) if steady.health == health => now.saturating_sub(steady.since),
            _ => {
                self.steady_health = Some(SteadyHealth { health, since: now });
                Duration::ZERO
            }
        }
    }

    fn is_disabled(&self, poll: &Poll) -> bool {
        poll.input.wants_disabled() && !self.drill_ended
    }

    fn recovery_backoff(&self, config: &FailoverConfig) -> Duration {
        let doublings = self.plan.consecutive_losses.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        config.recovery_backoff * (1 << doublings)
    }

    /// Marks a zone that is up or suspected as lost.
    fn lose_in_use(&mut self, poll: &Poll) -> Option<Transition> {
        let reason = match poll.input.health {
            ZoneHealth::Unreachable => TransitionReason::Unreachable,
            _ => TransitionReason::Partitioned,
        };
        self.mark_lost(poll.now, poll.input.lost_state(), reason)
    }

    fn probe_after_backoff(&mut self, poll: &Poll) -> Option<Transition> {
        if poll.now < self.entered_at + self.recovery_backoff(poll.config) {
            return None;
        }
        self.transition(poll.now, ZoneState::Probing, 0, TransitionReason::BackoffElapsed)
    }

    fn mark_lost(&mut self, now: Duration, to: ZoneState, reason: TransitionReason) -> Option<Transition> {
        let losses = self.plan.consecutive_losses.saturating_add(1);
        self.plan.consecutive_losses = losses.min(MAX_BACKOFF_DOUBLINGS + 1);
        self.transition(now, to, 0, reason)
    }

    /// Sets the state and the open share; returns none if neither changes.
    fn transition(
        &mut self,
        now: Duration,
        to: ZoneState,
        open_permille: u16,
        reason: TransitionReason,
    ) -> Option<Transition> {
        let from = self.plan.state;
        if from == to && self.plan.open_permille == open_permille {
            return None;
        }
        if from != to {
            self.entered_at = now;
            self.steady_health = None;
        }
        self.stepped_at = now;
        self.plan.state = to;
        self.plan.open_permille = open_permille;
        Some(Transition { from, to, open_permille, reason })
    }
}

/// The next smaller open share, in thousandths.
fn next_step_down(open_permille: u16) -> u16 {
    let smaller = RAMP_STEPS_PERMILLE.iter().rev().find(|step| **step < open_permille);
    smaller.copied().unwrap_or(0)
}
