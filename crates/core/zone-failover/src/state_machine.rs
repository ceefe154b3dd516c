//! The course of one zone through its states, as the holder of the lease moves it. Where a holder takes over, the state
//! is the register's; its spans begin anew, which costs one wait at most and never shortens one.

use crate::{Evidence, FULLY_OPEN, FailoverConfig, OperatorOverride, ZoneHealth, ZonePlan, ZoneState};
use std::time::Duration;

/// The parts of a zone's engines that are open at each step of a return.
const RAMP_STEPS: [u16; 5] = [125, 250, 500, 750, FULLY_OPEN];
/// Losses in a row that still make the wait longer.
const MAX_BACKOFF_DOUBLINGS: u8 = 4;
/// Attempts that failed or were slow beyond this part stop a return, or end a drill.
const MAX_DEGRADED_SHARE: f64 = 0.2;
/// So many ends at least before outcomes are judged.
const MIN_ATTEMPTS: u32 = 10;
/// A zone that has stayed up for so many of its last waits is as if it had never been lost.
const FORGIVE_AFTER_BACKOFFS: u32 = 8;

/// What has been done to a zone, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    pub from: ZoneState,
    pub to: ZoneState,
    pub open_permille: u16,
    pub reason: &'static str,
}

/// Where a zone is on its course, with what the spans are counted from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneStateMachine {
    pub plan: ZonePlan,
    /// Since when it is in this state, and on this step.
    since: Duration,
    stepped: Duration,
    /// Since when the evidence has been what it is.
    found: Option<(ZoneHealth, Duration)>,
    /// A drill that was given up: the wish is not heeded until it changes.
    given_up: bool,
}

impl ZoneStateMachine {
    pub fn new(now: Duration, plan: ZonePlan) -> ZoneStateMachine {
        ZoneStateMachine { plan, since: now, stepped: now, found: None, given_up: false }
    }

    /// A zone that is up, as all are at first.
    pub fn up(now: Duration) -> ZoneStateMachine {
        ZoneStateMachine::new(
            now,
            ZonePlan {
                state: ZoneState::Up,
                open_permille: FULLY_OPEN,
                blocked_classes: 0,
                consecutive_losses: 0,
            },
        )
    }

    fn recovery_backoff(&self, config: &FailoverConfig) -> Duration {
        config.recovery_backoff
            * (1 << self.plan.consecutive_losses.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
    }

    fn transition(
        &mut self,
        now: Duration,
        to: ZoneState,
        open: u16,
        why: &'static str,
    ) -> Option<Transition> {
        let from = self.plan.state;
        if from == to && self.plan.open_permille == open {
            return None;
        }
        if from != to {
            self.since = now;
            self.found = None;
        }
        self.stepped = now;
        (self.plan.state, self.plan.open_permille) = (to, open);
        Some(Transition { from, to, open_permille: open, reason: why })
    }

    fn mark_lost(&mut self, now: Duration, to: ZoneState, why: &'static str) -> Option<Transition> {
        self.plan.consecutive_losses =
            self.plan.consecutive_losses.saturating_add(1).min(MAX_BACKOFF_DOUBLINGS + 1);
        self.transition(now, to, 0, why)
    }

    /// Moves the zone on, one step at most. `others_worse`: the part of attempts elsewhere that fail or are slow.
    pub fn step(
        &mut self,
        now: Duration,
        config: &FailoverConfig,
        finding: ZoneHealth,
        seen: &Evidence,
        operator_override: OperatorOverride,
        others_worse: f64,
    ) -> Option<Transition> {
        let lasted = match self.found {
            Some((found, from)) if found == finding => now.saturating_sub(from),
            _ => {
                self.found = Some((finding, now));
                Duration::ZERO
            }
        };
        let pace = if operator_override == OperatorOverride::FastRecovery {
            config.ramp_interval / 2
        } else {
            config.ramp_interval
        };
        if !matches!(operator_override, OperatorOverride::Disable | OperatorOverride::Drill) {
            self.given_up = false;
        }
        let wants_out = matches!(operator_override, OperatorOverride::Disable | OperatorOverride::Drill)
            && !self.given_up;
        let gone = finding == ZoneHealth::Unreachable;
        let bad = gone || finding == ZoneHealth::Partitioned;
        let lost_as = if gone { ZoneState::Lost } else { ZoneState::Partitioned };
        match self.plan.state {
            ZoneState::Up | ZoneState::Suspected if bad && lasted >= config.confirmation_time => {
                let why = if gone { "it answers nobody" } else { "only its own fronts reach it" };
                self.mark_lost(now, lost_as, why)
            }
            ZoneState::Up if bad => {
                self.transition(now, ZoneState::Suspected, FULLY_OPEN, "evidence speaks against it")
            }
            ZoneState::Suspected if !bad => {
                self.transition(now, ZoneState::Up, FULLY_OPEN, "the evidence has passed")
            }
            ZoneState::Up if wants_out => self.transition(
                now,
                ZoneState::Disabled,
                next_step_down(FULLY_OPEN),
                "an operator takes it out",
            ),
            ZoneState::Up => {
                let calm = self.recovery_backoff(config) * FORGIVE_AFTER_BACKOFFS;
                if self.plan.consecutive_losses > 0 && now >= self.since + calm {
                    self.plan.consecutive_losses = 0;
                }
                None
            }
            ZoneState::Suspected => None,
            ZoneState::Disabled
                if bad && lasted >= config.confirmation_time && self.plan.open_permille > 0 =>
            {
                self.mark_lost(now, lost_as, "it answers nobody")
            }
            ZoneState::Disabled
                if operator_override == OperatorOverride::Drill
                    && others_worse > MAX_DEGRADED_SHARE
                    && !self.given_up =>
            {
                self.given_up = true;
                self.transition(now, ZoneState::Recovering, RAMP_STEPS[0], "the drill made others worse")
            }
            ZoneState::Disabled if !wants_out => {
                let open = self.plan.open_permille.max(RAMP_STEPS[0]);
                self.transition(now, ZoneState::Recovering, open, "an operator gives it back")
            }
            ZoneState::Disabled if self.plan.open_permille > 0 && now >= self.stepped + pace => self
                .transition(
                    now,
                    ZoneState::Disabled,
                    next_step_down(self.plan.open_permille),
                    "a further step out",
                ),
            ZoneState::Disabled => None,
            ZoneState::Lost | ZoneState::Partitioned
                if operator_override == OperatorOverride::HoldRecovery =>
            {
                None
            }
            // Its own fronts are the ones that can tell first that the others reach it again.
            ZoneState::Partitioned
                if finding == ZoneHealth::Unreachable && lasted >= config.confirmation_time =>
            {
                self.transition(now, ZoneState::Lost, 0, "its own fronts lost it too")
            }
            ZoneState::Lost | ZoneState::Partitioned if now >= self.since + self.recovery_backoff(config) => {
                self.transition(now, ZoneState::Probing, 0, "it has been left alone for its wait")
            }
            ZoneState::Lost | ZoneState::Partitioned => None,
            ZoneState::Probing if finding == ZoneHealth::Healthy || finding == ZoneHealth::FrontsLost => {
                (lasted >= config.probation)
                    .then(|| {
                        self.transition(
                            now,
                            ZoneState::Recovering,
                            RAMP_STEPS[0],
                            "it answered for long enough",
                        )
                    })
                    .flatten()
            }
            ZoneState::Probing if now >= self.since + config.probation * 4 => {
                self.mark_lost(now, ZoneState::Lost, "it did not answer when tried out")
            }
            ZoneState::Probing => None,
            ZoneState::Recovering if bad => (lasted >= config.confirmation_time)
                .then(|| self.mark_lost(now, lost_as, "lost again on its return"))
                .flatten(),
            ZoneState::Recovering
                if seen.attempts >= MIN_ATTEMPTS && seen.degraded_share > MAX_DEGRADED_SHARE =>
            {
                let worse = now >= self.stepped + config.report_interval * 2
                    && self.plan.open_permille > RAMP_STEPS[0];
                worse
                    .then(|| {
                        self.transition(
                            now,
                            ZoneState::Recovering,
                            next_step_down(self.plan.open_permille),
                            "outcomes there worsen",
                        )
                    })
                    .flatten()
            }
            ZoneState::Recovering if now < self.stepped + pace || finding == ZoneHealth::Unknown => None,
            ZoneState::Recovering => match RAMP_STEPS.iter().find(|step| **step > self.plan.open_permille) {
                Some(step) => {
                    self.transition(now, ZoneState::Recovering, *step, "what is open there does well")
                }
                None => self.transition(now, ZoneState::Up, FULLY_OPEN, "all of it is open"),
            },
        }
    }
}

fn next_step_down(open: u16) -> u16 {
    RAMP_STEPS.iter().rev().find(|step| **step < open).copied().unwrap_or(0)
}

/// Which request classes may not go yet to a zone that returns: short work warms it first. `works` is the work of a
/// request of each.
pub(crate) fn blocked_classes(open: u16, works: &[f64]) -> u64 {
    let mut order: Vec<usize> = (0..works.len()).collect();
    order.sort_by(|a, b| works[*a].total_cmp(&works[*b]).then(a.cmp(b)));
    // On the first step the shorter half of the groups, on the second three quarters, then all.
    let let_in = match open {
        0..=125 => works.len().div_ceil(2),
        126..=250 => (works.len() * 3).div_ceil(4),
        _ => works.len(),
    };
    let late = order.iter().skip(let_in);
    late.fold(0, |bits, class| bits | 1u64.checked_shl(*class as u32).unwrap_or(0))
}
