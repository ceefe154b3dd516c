//! The course of one site through its states, as the holder of the lease moves it. Where a holder takes over, the state
//! is the register's; its spans begin anew, which costs one wait at most and never shortens one.

use crate::{ALL, Evidence, Finding, SitePlan, State, Terms, Wish};
use std::time::Duration;

/// The parts of a site's engines that are open at each step of a return.
const STEPS: [u16; 5] = [125, 250, 500, 750, ALL];
/// Losses in a row that still make the wait longer.
const MOST_LOSSES: u8 = 4;
/// Attempts that failed or were slow beyond this part stop a return, or end a drill.
const WORSE: f64 = 0.2;
/// So many ends at least before outcomes are judged.
const ENOUGH: u32 = 10;
/// A site that has stayed up for so many of its last waits is as if it had never been lost.
const FORGIVEN: u32 = 8;

/// What has been done to a site, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    pub from: State,
    pub to: State,
    pub open: u16,
    pub why: &'static str,
}

/// Where a site is on its course, with what the spans are counted from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Course {
    pub plan: SitePlan,
    /// Since when it is in this state, and on this step.
    since: Duration,
    stepped: Duration,
    /// Since when the evidence has been what it is.
    found: Option<(Finding, Duration)>,
    /// A drill that was given up: the wish is not heeded until it changes.
    given_up: bool,
}

impl Course {
    pub fn new(now: Duration, plan: SitePlan) -> Course {
        Course { plan, since: now, stepped: now, found: None, given_up: false }
    }

    /// A site that is up, as all are at first.
    pub fn up(now: Duration) -> Course {
        Course::new(now, SitePlan { state: State::Up, open: ALL, barred: 0, losses: 0 })
    }

    fn wait(&self, terms: &Terms) -> Duration {
        terms.wait * (1 << self.plan.losses.saturating_sub(1).min(MOST_LOSSES))
    }

    fn go(&mut self, now: Duration, to: State, open: u16, why: &'static str) -> Option<Step> {
        let from = self.plan.state;
        if from == to && self.plan.open == open {
            return None;
        }
        if from != to {
            self.since = now;
            self.found = None;
        }
        self.stepped = now;
        (self.plan.state, self.plan.open) = (to, open);
        Some(Step { from, to, open, why })
    }

    fn lose(&mut self, now: Duration, to: State, why: &'static str) -> Option<Step> {
        self.plan.losses = self.plan.losses.saturating_add(1).min(MOST_LOSSES + 1);
        self.go(now, to, 0, why)
    }

    /// Moves the site on, one step at most. `others_worse`: the part of attempts elsewhere that fail or are slow.
    pub fn turn(
        &mut self,
        now: Duration,
        terms: &Terms,
        finding: Finding,
        seen: &Evidence,
        wish: Wish,
        others_worse: f64,
    ) -> Option<Step> {
        let lasted = match self.found {
            Some((found, from)) if found == finding => now.saturating_sub(from),
            _ => {
                self.found = Some((finding, now));
                Duration::ZERO
            }
        };
        let pace = if wish == Wish::Hurry { terms.pace / 2 } else { terms.pace };
        if !matches!(wish, Wish::Out | Wish::Drill) {
            self.given_up = false;
        }
        let wants_out = matches!(wish, Wish::Out | Wish::Drill) && !self.given_up;
        let gone = finding == Finding::Gone;
        let bad = gone || finding == Finding::CutOff;
        let lost_as = if gone { State::Lost } else { State::Cut };
        match self.plan.state {
            State::Up | State::Doubt if bad && lasted >= terms.confirm => {
                let why = if gone { "it answers nobody" } else { "only its own fronts reach it" };
                self.lose(now, lost_as, why)
            }
            State::Up if bad => self.go(now, State::Doubt, ALL, "evidence speaks against it"),
            State::Doubt if !bad => self.go(now, State::Up, ALL, "the evidence has passed"),
            State::Up if wants_out => self.go(now, State::Out, down(ALL), "an operator takes it out"),
            State::Up => {
                let calm = self.wait(terms) * FORGIVEN;
                if self.plan.losses > 0 && now >= self.since + calm {
                    self.plan.losses = 0;
                }
                None
            }
            State::Doubt => None,
            State::Out if bad && lasted >= terms.confirm && self.plan.open > 0 => {
                self.lose(now, lost_as, "it answers nobody")
            }
            State::Out if wish == Wish::Drill && others_worse > WORSE && !self.given_up => {
                self.given_up = true;
                self.go(now, State::Returning, STEPS[0], "the drill made others worse")
            }
            State::Out if !wants_out => {
                let open = self.plan.open.max(STEPS[0]);
                self.go(now, State::Returning, open, "an operator gives it back")
            }
            State::Out if self.plan.open > 0 && now >= self.stepped + pace => {
                self.go(now, State::Out, down(self.plan.open), "a further step out")
            }
            State::Out => None,
            State::Lost | State::Cut if wish == Wish::HoldReturn => None,
            // Its own fronts are the ones that can tell first that the others reach it again.
            State::Cut if finding == Finding::Gone && lasted >= terms.confirm => {
                self.go(now, State::Lost, 0, "its own fronts lost it too")
            }
            State::Lost | State::Cut if now >= self.since + self.wait(terms) => {
                self.go(now, State::Trial, 0, "it has been left alone for its wait")
            }
            State::Lost | State::Cut => None,
            State::Trial if finding == Finding::Well || finding == Finding::Bare => (lasted >= terms.steady)
                .then(|| self.go(now, State::Returning, STEPS[0], "it answered for long enough"))
                .flatten(),
            State::Trial if now >= self.since + terms.steady * 4 => {
                self.lose(now, State::Lost, "it did not answer when tried out")
            }
            State::Trial => None,
            State::Returning if bad => (lasted >= terms.confirm)
                .then(|| self.lose(now, lost_as, "lost again on its return"))
                .flatten(),
            State::Returning if seen.ended >= ENOUGH && seen.worse > WORSE => {
                let worse = now >= self.stepped + terms.period * 2 && self.plan.open > STEPS[0];
                worse
                    .then(|| self.go(now, State::Returning, down(self.plan.open), "outcomes there worsen"))
                    .flatten()
            }
            State::Returning if now < self.stepped + pace || finding == Finding::Unseen => None,
            State::Returning => match STEPS.iter().find(|step| **step > self.plan.open) {
                Some(step) => self.go(now, State::Returning, *step, "what is open there does well"),
                None => self.go(now, State::Up, ALL, "all of it is open"),
            },
        }
    }
}

fn down(open: u16) -> u16 {
    STEPS.iter().rev().find(|step| **step < open).copied().unwrap_or(0)
}

/// Which request classes may not go yet to a site that returns: short work warms it first. `works` is the work of a
/// request of each.
pub(crate) fn barred(open: u16, works: &[f64]) -> u64 {
    let mut order: Vec<usize> = (0..works.len()).collect();
    order.sort_by(|a, b| works[*a].total_cmp(&works[*b]).then(a.cmp(b)));
    // On the first step the shorter half of the groups, on the second three quarters, then all.
    let let_in = match open {
        0..=125 => works.len().div_ceil(2),
        126..=250 => (works.len() * 3).div_ceil(4),
        _ => works.len(),
    };
    let late = order.iter().skip(let_in);
    late.fold(0, |bits, group| bits | 1u64.checked_shl(*group as u32).unwrap_or(0))
}
