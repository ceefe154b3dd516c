//! A lease client: it attempts, holds, renews and lets go. Whether it holds a task is told by its own clock alone.

use crate::{Ballot, Incarnation, LeaseConfig, LeaseReply, LeaseRequest, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const RENEWAL_DIVISOR: u32 = 3; // A lease is renewed after this part of it (one third),
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 6; // and an attempt is given up after this part.
const RETRY_SPREAD_LEASES: u32 = 1; // Who waits for another's lease to end comes back within so many leases after;
const RETRY_DELAY_PER_HELD_LEASE: f64 = 0.25; // who has tasks already, later by this part of a lease for each.
const RELEASE_BACKOFF_LEASES: u32 = 2; // Who has let go for others, or could not do it, stays away for so many leases.

/// To the voter of this place in the list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutboundMessage {
    pub voter: usize,
    pub request: LeaseRequest,
}

/// How a task stands at this front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseState {
    Unwanted,
    /// It is wanted; the last that was heard of another who holds it.
    Wanted {
        other: Option<(Incarnation, u64)>,
    },
    /// It may act under this number until then, from `from` on.
    Held {
        fencing_token: u64,
        from: Duration,
        until: Duration,
    },
}

/// What has changed at this front, and why.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseChange {
    Acquired {
        task: Task,
        fencing_token: u64,
    },
    /// It was not renewed in time.
    Expired {
        task: Task,
        fencing_token: u64,
    },
    /// It was let go.
    Released {
        task: Task,
        fencing_token: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HeldLease {
    number: u64,
    from: Duration,
    /// On this front's clock, counted from before the attempt that was granted had begun.
    until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Attempt {
    ballot: Ballot,
    started: Duration,
    promises: BTreeSet<usize>,
    acceptances: BTreeSet<usize>,
    rejections: BTreeSet<usize>,
    highest_promised_token: u64,
    /// The number asked for, once a majority has promised.
    number: Option<u64>,
    /// It renews what is held, and has asked for no promise.
    is_renewal: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct TaskState {
    wanted: bool,
    fenced: bool,
    lease: Option<HeldLease>,
    attempt: Option<Attempt>,
    next_attempt: Duration,
    other: Option<(Incarnation, u64)>,
    /// The highest number that is known of: what is granted next is above it.
    highest_token: u64,
    round: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseClient {
    me: Incarnation,
    voters: usize,
    tasks: BTreeMap<Task, TaskState>,
    changes: Vec<LeaseChange>,
}

impl LeaseClient {
    pub fn new(me: Incarnation, voters: usize) -> LeaseClient {
        LeaseClient { me, voters, tasks: BTreeMap::new(), changes: Vec::new() }
    }

    pub fn me(&self) -> &Incarnation {
        &self.me
    }

    /// Asks for a task from now on. `fenced`: what is acted upon refuses an older number, so that nothing need be
    /// waited out for an act that its last holder may have half done.
    pub fn acquire(&mut self, now: Duration, task: &str, fenced: bool) {
        let state = self.tasks.entry(task.to_owned()).or_default();
        if !state.wanted {
            (state.wanted, state.fenced, state.next_attempt) = (true, fenced, state.next_attempt.max(now));
        }
    }

    /// Somebody has shown a number, such as what refused an older one.
    pub fn observe_token(&mut self, task: &str, number: u64) {
        if let Some(state) = self.tasks.get_mut(task) {
            state.highest_token = state.highest_token.max(number);
        }
    }

    /// Lets a task go: at once for this front, and for others once the voters hear of it. Comes back to it, where it
    /// is still wanted, only after others have had their turn.
    pub fn release(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        task: &str,
        keep_wanted: bool,
    ) -> Vec<OutboundMessage> {
        let Some(state) = self.tasks.get_mut(task) else { return Vec::new() };
        state.wanted = keep_wanted;
        state.next_attempt = now + config.duration * RELEASE_BACKOFF_LEASES;
        // An attempt under way may yet be granted; it is told as over too.
        let attempt_token = state.attempt.take().and_then(|attempt| attempt.number);
        let Some(number) = state.lease.take().map(|lease| lease.number).max(attempt_token) else {
            return Vec::new();
        };
        self.changes.push(LeaseChange::Released { task: task.to_owned(), fencing_token: number });
        let request =
            LeaseRequest::Release { task: task.to_owned(), client: self.me.clone(), fencing_token: number };
        (0..self.voters).map(|voter| OutboundMessage { voter, request: request.clone() }).collect()
    }

    /// Whether an act may begin now, and under which number; it must end by the time given.
    pub fn may_act(&self, now: Duration, task: &str) -> Option<(u64, Duration)> {
        let lease = self.tasks.get(task)?.lease.as_ref()?;
        (lease.from <= now && now < lease.until).then_some((lease.number, lease.until))
    }

    pub fn state(&self, now: Duration, task: &str) -> LeaseState {
        let Some(state) = self.tasks.get(task).filter(|state| state.wanted || state.lease.is_some()) else {
            return LeaseState::Unwanted;
        };
        match &state.lease {
            Some(lease) if now < lease.until => {
                LeaseState::Held { fencing_token: lease.number, from: lease.from, until: lease.until }
            }
            _ => LeaseState::Wanted { other: state.other.clone() },
        }
    }

    /// Whether it asks for this, or has lately.
    pub fn is_tracking(&self, task: &str) -> bool {
        self.tasks.contains_key(task)
    }

    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.keys()
    }

    /// What has changed since this was last asked, in order.
    pub fn take_changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }

    /// When `turn` has something to do again.
    pub fn next_timeout(&self, config: &LeaseConfig) -> Option<Duration> {
        let timeouts = self.tasks.values().flat_map(|state| {
            let attempt = state
                .attempt
                .as_ref()
                .map(|attempt| attempt.started + config.duration / ATTEMPT_TIMEOUT_DIVISOR);
            let next_attempt = (state.wanted && state.attempt.is_none()).then_some(state.next_attempt);
            [attempt, next_attempt, state.lease.as_ref().map(|lease| lease.until)]
        });
        timeouts.flatten().min()
    }

    /// Ends what has run out and begins what is due. `chance` yields shares from 0 up to 1.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        for (task, state) in &mut self.tasks {
            let attempt_timeout = config.duration / ATTEMPT_TIMEOUT_DIVISOR;
            if let Some(lease) = state.lease.take_if(|lease| lease.until <= now) {
                self.changes.push(LeaseChange::Expired { task: task.clone(), fencing_token: lease.number });
                if state.attempt.take_if(|attempt| attempt.is_renewal).is_some() {
                    state.next_attempt = now + attempt_timeout.mul_f64(chance());
                }
            }
            if state.attempt.take_if(|attempt| attempt.started + attempt_timeout <= now).is_some() {
                state.next_attempt = now + attempt_timeout.mul_f64(chance());
            }
            if !state.wanted || state.attempt.is_some() || state.next_attempt > now {
                continue;
            }
            state.round += 1;
            let ballot = Ballot { round: state.round, proposer: self.me.id };
            // Whoever holds needs no promise: while its lease lasts, a majority refuses all others, so nobody else can have
            // been granted the task, nor a higher number.
            let renewed_token = state.lease.as_ref().map(|lease| lease.number);
            state.attempt = Some(Attempt {
                ballot,
                started: now,
                promises: BTreeSet::new(),
                acceptances: BTreeSet::new(),
                rejections: BTreeSet::new(),
                highest_promised_token: state.highest_token,
                number: renewed_token,
                is_renewal: renewed_token.is_some(),
            });
            let (task, who) = (task.clone(), self.me.clone());
            let request = match renewed_token {
                Some(number) => LeaseRequest::Accept { task, ballot, client: who, fencing_token: number },
                None => LeaseRequest::Prepare { task, ballot, client: who },
            };
            messages
                .extend((0..self.voters).map(|voter| OutboundMessage { voter, request: request.clone() }));
        }
        self.tasks.retain(|_, state| {
            state.wanted || state.lease.is_some() || state.attempt.is_some() || state.next_attempt > now
        });
        messages
    }

    /// Hears what a voter answers. What belongs to no attempt that is still on changes nothing.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        voter: usize,
        reply: LeaseReply,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let (task, ballot) = reply.task();
        let task = task.clone();
        let (majority, me) = (self.voters / 2 + 1, self.me.clone());
        let held_leases_delay = self.tasks.values().filter(|state| state.lease.is_some()).count() as f64
            * RETRY_DELAY_PER_HELD_LEASE;
        let Some(state) = self.tasks.get_mut(&task) else { return Vec::new() };
        let Some(attempt) = state.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else {
            return Vec::new();
        };
        let attempt_timeout = config.duration / ATTEMPT_TIMEOUT_DIVISOR;
        match reply {
            LeaseReply::Promise { fencing_token: number, .. } if attempt.number.is_none() => {
                attempt.highest_promised_token = attempt.highest_promised_token.max(number);
                attempt.promises.insert(voter);
                if attempt.promises.len() < majority {
                    return Vec::new();
                }
                state.highest_token = state.highest_token.max(attempt.highest_promised_token);
                // What is granted goes above all that a majority knows.
                let number = attempt.highest_promised_token + 1;
                attempt.number = Some(number);
                let request = LeaseRequest::Accept { task, ballot, client: me, fencing_token: number };
                return (0..self.voters)
                    .map(|voter| OutboundMessage { voter, request: request.clone() })
                    .collect();
            }
            LeaseReply::Accepted { .. } => {
                attempt.acceptances.insert(voter);
                let Some(number) = attempt.number.filter(|_| attempt.acceptances.len() >= majority) else {
                    return Vec::new();
                };
                // What it was to renew has run out meanwhile, so others may hold it under a higher number.
                let lease = state.lease.as_ref().is_some_and(|lease| now < lease.until);
                if attempt.is_renewal && !lease {
                    return Vec::new();
                }
                // Counted from before anything was sent, so that it ends here before it does at any voter.
                let until = attempt.started + config.duration;
                state.attempt = None;
                state.next_attempt = now + config.duration / RENEWAL_DIVISOR;
                state.highest_token = state.highest_token.max(number);
                if until <= now {
                    return Vec::new();
                }
                match &mut state.lease {
                    Some(lease) if lease.number == number => lease.until = lease.until.max(until),
                    _ => {
                        // Guards what can't refuse: an act that the last holder began may go on for so long.
                        let from =
                            if state.fenced { now } else { now + config.with_drift(config.max_action_time) };
                        state.lease = Some(HeldLease { number, from, until });
                        self.changes.push(LeaseChange::Acquired { task, fencing_token: number });
                    }
                }
                state.other = None;
            }
            LeaseReply::Held { holder: who, fencing_token: number, remaining, .. } => {
                state.highest_token = state.highest_token.max(number);
                if state.lease.is_none() {
                    state.other = Some((who, number));
                }
                attempt.rejections.insert(voter);
                if attempt.rejections.len() + majority > self.voters {
                    state.attempt = None;
                    // Spread, so that hundreds who want one task don't all come in the moment that it is free.
                    state.next_attempt = now
                        + remaining
                        + (config.duration * RETRY_SPREAD_LEASES).mul_f64(chance() + held_leases_delay);
                }
            }
            LeaseReply::StaleBallot { round, .. } => {
                state.round = state.round.max(round);
                attempt.rejections.insert(voter);
                if attempt.rejections.len() + majority > self.voters {
                    state.attempt = None;
                    state.next_attempt = now + attempt_timeout.mul_f64(chance());
                }
            }
            LeaseReply::Silent { remaining, .. } => {
                attempt.rejections.insert(voter);
                if attempt.rejections.len() + majority > self.voters {
                    state.attempt = None;
                    state.next_attempt =
                        now + remaining.min(config.duration) + attempt_timeout.mul_f64(chance());
                }
            }
            LeaseReply::Promise { .. } => {}
        }
        Vec::new()
    }
}
