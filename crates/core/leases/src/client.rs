//! A lease client: it attempts, holds, renews and lets go. Whether it holds a task is told by its own clock alone.

use crate::{Ballot, Incarnation, LeaseConfig, LeaseReply, LeaseRequest, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const RENEW: u32 = 3; // A lease is renewed after this part of it (one third),
const PATIENCE: u32 = 6; // and an attempt is given up after this part.
const SPREAD: u32 = 1; // Who waits for another's lease to end comes back within so many leases after;
const BURDEN: f64 = 0.25; // who has tasks already, later by this part of a lease for each.
const AWAY: u32 = 2; // Who has let go for others, or could not do it, stays away for so many leases.

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
struct Holding {
    number: u64,
    from: Duration,
    /// On this front's clock, counted from before the attempt that was granted had begun.
    until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Attempt {
    ballot: Ballot,
    begun: Duration,
    promises: BTreeSet<usize>,
    accepted: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    highest: u64,
    /// The number asked for, once a majority has promised.
    number: Option<u64>,
    /// It renews what is held, and has asked for no promise.
    renews: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct Want {
    wanted: bool,
    fenced: bool,
    holding: Option<Holding>,
    attempt: Option<Attempt>,
    next: Duration,
    other: Option<(Incarnation, u64)>,
    /// The highest number that is known of: what is granted next is above it.
    seen: u64,
    round: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseClient {
    me: Incarnation,
    voters: usize,
    wants: BTreeMap<Task, Want>,
    take_changes: Vec<LeaseChange>,
}

impl LeaseClient {
    pub fn new(me: Incarnation, voters: usize) -> LeaseClient {
        LeaseClient { me, voters, wants: BTreeMap::new(), take_changes: Vec::new() }
    }

    pub fn me(&self) -> &Incarnation {
        &self.me
    }

    /// Asks for a task from now on. `fenced`: what is acted upon refuses an older number, so that nothing need be
    /// waited out for an act that its last holder may have half done.
    pub fn acquire(&mut self, now: Duration, task: &str, fenced: bool) {
        let want = self.wants.entry(task.to_owned()).or_default();
        if !want.wanted {
            (want.wanted, want.fenced, want.next) = (true, fenced, want.next.max(now));
        }
    }

    /// Somebody has shown a number, such as what refused an older one.
    pub fn observe_token(&mut self, task: &str, number: u64) {
        if let Some(want) = self.wants.get_mut(task) {
            want.seen = want.seen.max(number);
        }
    }

    /// Lets a task go: at once for this front, and for others once the voters hear of it. Comes back to it, where it
    /// is still wanted, only after others have had their turn.
    pub fn release(
        &mut self,
        now: Duration,
        terms: &LeaseConfig,
        task: &str,
        stays: bool,
    ) -> Vec<OutboundMessage> {
        let Some(want) = self.wants.get_mut(task) else { return Vec::new() };
        want.wanted = stays;
        want.next = now + terms.duration * AWAY;
        // An attempt under way may yet be granted; it is told as over too.
        let attempted = want.attempt.take().and_then(|attempt| attempt.number);
        let Some(number) = want.holding.take().map(|held| held.number).max(attempted) else {
            return Vec::new();
        };
        self.take_changes.push(LeaseChange::Released { task: task.to_owned(), fencing_token: number });
        let ask =
            LeaseRequest::Release { task: task.to_owned(), client: self.me.clone(), fencing_token: number };
        (0..self.voters).map(|voter| OutboundMessage { voter, request: ask.clone() }).collect()
    }

    /// Whether an act may begin now, and under which number; it must end by the time given.
    pub fn may_act(&self, now: Duration, task: &str) -> Option<(u64, Duration)> {
        let held = self.wants.get(task)?.holding.as_ref()?;
        (held.from <= now && now < held.until).then_some((held.number, held.until))
    }

    pub fn state(&self, now: Duration, task: &str) -> LeaseState {
        let Some(want) = self.wants.get(task).filter(|want| want.wanted || want.holding.is_some()) else {
            return LeaseState::Unwanted;
        };
        match &want.holding {
            Some(held) if now < held.until => {
                LeaseState::Held { fencing_token: held.number, from: held.from, until: held.until }
            }
            _ => LeaseState::Wanted { other: want.other.clone() },
        }
    }

    /// Whether it asks for this, or has lately.
    pub fn is_tracking(&self, task: &str) -> bool {
        self.wants.contains_key(task)
    }

    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.wants.keys()
    }

    /// What has changed since this was last asked, in order.
    pub fn changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.take_changes)
    }

    /// When `turn` has something to do again.
    pub fn next_timeout(&self, terms: &LeaseConfig) -> Option<Duration> {
        let dues = self.wants.values().flat_map(|want| {
            let attempt = want.attempt.as_ref().map(|attempt| attempt.begun + terms.duration / PATIENCE);
            let next = (want.wanted && want.attempt.is_none()).then_some(want.next);
            [attempt, next, want.holding.as_ref().map(|held| held.until)]
        });
        dues.flatten().min()
    }

    /// Ends what has run out and begins what is due. `chance` yields shares from 0 up to 1.
    pub fn poll(
        &mut self,
        now: Duration,
        terms: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let mut posts = Vec::new();
        for (task, want) in &mut self.wants {
            let patience = terms.duration / PATIENCE;
            if let Some(held) = want.holding.take_if(|held| held.until <= now) {
                self.take_changes
                    .push(LeaseChange::Expired { task: task.clone(), fencing_token: held.number });
                if want.attempt.take_if(|attempt| attempt.renews).is_some() {
                    want.next = now + patience.mul_f64(chance());
                }
            }
            if want.attempt.take_if(|attempt| attempt.begun + patience <= now).is_some() {
                want.next = now + patience.mul_f64(chance());
            }
            if !want.wanted || want.attempt.is_some() || want.next > now {
                continue;
            }
            want.round += 1;
            let ballot = Ballot { round: want.round, proposer: self.me.id };
            // Whoever holds needs no promise: while its lease lasts, a majority refuses all others, so nobody else can have
            // been granted the task, nor a higher number.
            let renewed = want.holding.as_ref().map(|held| held.number);
            want.attempt = Some(Attempt {
                ballot,
                begun: now,
                promises: BTreeSet::new(),
                accepted: BTreeSet::new(),
                refused: BTreeSet::new(),
                highest: want.seen,
                number: renewed,
                renews: renewed.is_some(),
            });
            let (task, who) = (task.clone(), self.me.clone());
            let ask = match renewed {
                Some(number) => LeaseRequest::Accept { task, ballot, client: who, fencing_token: number },
                None => LeaseRequest::Prepare { task, ballot, client: who },
            };
            posts.extend((0..self.voters).map(|voter| OutboundMessage { voter, request: ask.clone() }));
        }
        self.wants.retain(|_, want| {
            want.wanted || want.holding.is_some() || want.attempt.is_some() || want.next > now
        });
        posts
    }

    /// Hears what a voter answers. What belongs to no attempt that is still on changes nothing.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        terms: &LeaseConfig,
        voter: usize,
        reply: LeaseReply,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let (task, ballot) = reply.task();
        let task = task.clone();
        let (most, me) = (self.voters / 2 + 1, self.me.clone());
        let burden = self.wants.values().filter(|want| want.holding.is_some()).count() as f64 * BURDEN;
        let Some(want) = self.wants.get_mut(&task) else { return Vec::new() };
        let Some(attempt) = want.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else {
            return Vec::new();
        };
        let patience = terms.duration / PATIENCE;
        match reply {
            LeaseReply::Promise { fencing_token: number, .. } if attempt.number.is_none() => {
                attempt.highest = attempt.highest.max(number);
                attempt.promises.insert(voter);
                if attempt.promises.len() < most {
                    return Vec::new();
                }
                want.seen = want.seen.max(attempt.highest);
                // What is granted goes above all that a majority knows.
                let number = attempt.highest + 1;
                attempt.number = Some(number);
                let ask = LeaseRequest::Accept { task, ballot, client: me, fencing_token: number };
                return (0..self.voters)
                    .map(|voter| OutboundMessage { voter, request: ask.clone() })
                    .collect();
            }
            LeaseReply::Accepted { .. } => {
                attempt.accepted.insert(voter);
                let Some(number) = attempt.number.filter(|_| attempt.accepted.len() >= most) else {
                    return Vec::new();
                };
                // What it was to renew has run out meanwhile, so others may hold it under a higher number.
                let held = want.holding.as_ref().is_some_and(|held| now < held.until);
                if attempt.renews && !held {
                    return Vec::new();
                }
                // Counted from before anything was sent, so that it ends here before it does at any voter.
                let until = attempt.begun + terms.duration;
                want.attempt = None;
                want.next = now + terms.duration / RENEW;
                want.seen = want.seen.max(number);
                if until <= now {
                    return Vec::new();
                }
                match &mut want.holding {
                    Some(held) if held.number == number => held.until = held.until.max(until),
                    _ => {
                        // Guards what can't refuse: an act that the last holder began may go on for so long.
                        let from =
                            if want.fenced { now } else { now + terms.with_drift(terms.max_action_time) };
                        want.holding = Some(Holding { number, from, until });
                        self.take_changes.push(LeaseChange::Acquired { task, fencing_token: number });
                    }
                }
                want.other = None;
            }
            LeaseReply::Held { holder: who, fencing_token: number, remaining: left, .. } => {
                want.seen = want.seen.max(number);
                if want.holding.is_none() {
                    want.other = Some((who, number));
                }
                attempt.refused.insert(voter);
                if attempt.refused.len() + most > self.voters {
                    want.attempt = None;
                    // Spread, so that hundreds who want one task don't all come in the moment that it is free.
                    want.next = now + left + (terms.duration * SPREAD).mul_f64(chance() + burden);
                }
            }
            LeaseReply::StaleBallot { round, .. } => {
                want.round = want.round.max(round);
                attempt.refused.insert(voter);
                if attempt.refused.len() + most > self.voters {
                    want.attempt = None;
                    want.next = now + patience.mul_f64(chance());
                }
            }
            LeaseReply::Silent { remaining: left, .. } => {
                attempt.refused.insert(voter);
                if attempt.refused.len() + most > self.voters {
                    want.attempt = None;
                    want.next = now + left.min(terms.duration) + patience.mul_f64(chance());
                }
            }
            LeaseReply::Promise { .. } => {}
        }
        Vec::new()
    }
}
