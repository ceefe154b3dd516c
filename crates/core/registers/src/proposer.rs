//! Who changes a register: each change is a whole round, so that it stands on what was settled last, whoever did so.

use crate::{
    Accepted, Entry, EntryVersion, MAX_VALUE_BYTES, Name, OutboundMessage, RegisterReply, RegisterRequest,
    ballot, majority, to_all,
};
use lemonusher_leases::{Ballot, Incarnation, LeaseConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const PATIENCE: u32 = 6; // An attempt is given up after this part of a lease,
const TRIES: u32 = 8; // and the change after so many.

/// What is to become of a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Nothing: what is settled is made sure of and told.
    Read,
    /// This value, if what stands there is still what it was when it was worked out, and was written under no higher
    /// fencing number.
    CompareAndSet { expected: Option<EntryVersion>, fencing_token: u64, value: Vec<u8> },
}

/// What has become of a change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProposalOutcome {
    /// A majority has it.
    Committed { name: Name, entry: Option<Entry> },
    /// Another value stands there, or one under a higher number; nothing was changed.
    Conflict { name: Name, entry: Option<Entry> },
    /// Too few voters answered in time. It may have been settled, or yet be.
    Unknown { name: Name },
}

impl ProposalOutcome {
    /// Of which register.
    pub fn name(&self) -> &Name {
        let (ProposalOutcome::Committed { name, .. }
        | ProposalOutcome::Conflict { name, .. }
        | ProposalOutcome::Unknown { name }) = self;
        name
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Attempt {
    change: Operation,
    ballot: Ballot,
    begun: Duration,
    tries: u32,
    promises: BTreeSet<usize>,
    accepted: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    era: u64,
    last: Accepted,
    /// What was sent to be accepted, and what the outcome will be once it is.
    proposed: Option<(Option<Entry>, bool)>,
    /// Waits until then before its next try.
    waits: Option<Duration>,
}

/// Changes registers; one change a register at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    me: Incarnation,
    voters: usize,
    round: u64,
    attempts: BTreeMap<Name, Attempt>,
    outcomes: Vec<ProposalOutcome>,
}

impl Proposer {
    pub fn new(me: Incarnation, voters: usize) -> Proposer {
        Proposer { me, voters, round: 0, attempts: BTreeMap::new(), outcomes: Vec::new() }
    }

    /// Whether a change of this register is under way.
    pub fn is_busy(&self, name: &str) -> bool {
        self.attempts.contains_key(name)
    }

    /// Begins a change. One that is under way there is told as unknown first.
    pub fn propose(&mut self, now: Duration, name: &str, change: Operation) -> Vec<OutboundMessage> {
        if matches!(&change, Operation::CompareAndSet { value, .. } if value.len() > MAX_VALUE_BYTES) {
            self.outcomes.push(ProposalOutcome::Conflict { name: name.to_owned(), entry: None });
            return Vec::new();
        }
        if self.attempts.remove(name).is_some() {
            self.outcomes.push(ProposalOutcome::Unknown { name: name.to_owned() });
        }
        self.begin(now, name, change, 1)
    }

    /// What has come of changes since this was last asked, in order.
    pub fn outcomes(&mut self) -> Vec<ProposalOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    pub fn next_timeout(&self, terms: &LeaseConfig) -> Option<Duration> {
        let due = |attempt: &Attempt| attempt.waits.unwrap_or(attempt.begun + terms.duration / PATIENCE);
        self.attempts.values().map(due).min()
    }

    fn begin(&mut self, now: Duration, name: &str, change: Operation, tries: u32) -> Vec<OutboundMessage> {
        self.round += 1;
        let ballot = ballot(self.round, &self.me);
        let attempt = Attempt {
            change,
            ballot,
            begun: now,
            tries,
            promises: BTreeSet::new(),
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            era: 0,
            last: None,
            proposed: None,
            waits: None,
        };
        self.attempts.insert(name.to_owned(), attempt);
        to_all(self.voters, &RegisterRequest::Prepare { name: name.to_owned(), ballot })
    }

    /// Gives up attempts that take too long and tries again, `chance` (from 0 up to 1) apart from others.
    pub fn poll(
        &mut self,
        now: Duration,
        terms: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let patience = terms.duration / PATIENCE;
        let mut posts = Vec::new();
        let mut again = Vec::new();
        for (name, attempt) in &mut self.attempts {
            match attempt.waits {
                Some(until) if until <= now => again.push(name.clone()),
                None if attempt.begun + patience <= now => {
                    attempt.waits = Some(now + patience.mul_f64(chance()));
                }
                _ => {}
            }
        }
        for name in again {
            let Some(attempt) = self.attempts.remove(&name) else { continue };
            if attempt.tries >= TRIES {
                self.outcomes.push(ProposalOutcome::Unknown { name });
            } else {
                posts.extend(self.begin(now, &name, attempt.change, attempt.tries + 1));
            }
        }
        posts
    }

    /// Hears what a voter answers. What belongs to no attempt that is still on changes nothing.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        terms: &LeaseConfig,
        voter: usize,
        reply: RegisterReply,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let (name, ballot) = match &reply {
            RegisterReply::Promise { name, ballot, .. }
            | RegisterReply::Accepted { name, ballot }
            | RegisterReply::StaleBallot { name, ballot, .. }
            | RegisterReply::Silent { name, ballot } => (name.clone(), *ballot),
            RegisterReply::Value { .. }
            | RegisterReply::NotFound { .. }
            | RegisterReply::StateCopy { .. }
            | RegisterReply::Changes(_) => {
                return Vec::new();
            }
        };
        let (voters, most) = (self.voters, majority(self.voters));
        let patience = terms.duration / PATIENCE;
        let Some(attempt) = self.attempts.get_mut(&name) else { return Vec::new() };
        // Guards the rule for voters without memory: what comes later than the bound on an attempt counts for nothing.
        let over = attempt.begun + patience <= now || attempt.waits.is_some();
        if attempt.ballot != ballot || over || voter >= voters {
            return Vec::new();
        }
        match reply {
            RegisterReply::Promise { epoch: era, accepted, .. } if attempt.proposed.is_none() => {
                attempt.promises.insert(voter);
                attempt.era = attempt.era.max(era);
                let newer = |ours: &Accepted| ours.as_ref().map(|last| last.0);
                if newer(&accepted) > newer(&attempt.last) {
                    attempt.last = accepted;
                }
                if attempt.promises.len() < most {
                    return Vec::new();
                }
                let last = attempt.last.as_ref().map(|(_, entry)| entry.clone());
                let (entry, done) = settled_as(&attempt.change, last, attempt.era);
                attempt.proposed = Some((entry.clone(), done));
                return match entry {
                    // What stood there is made sure of, too, before anybody is told of it.
                    Some(entry) => to_all(voters, &RegisterRequest::Accept { name, ballot, entry }),
                    None => {
                        self.end(&name);
                        Vec::new()
                    }
                };
            }
            RegisterReply::Accepted { .. } => {
                attempt.accepted.insert(voter);
                if attempt.accepted.len() >= most {
                    self.end(&name);
                }
            }
            RegisterReply::StaleBallot { round, .. } => {
                self.round = self.round.max(round);
                attempt.refused.insert(voter);
            }
            RegisterReply::Silent { .. } => {
                attempt.refused.insert(voter);
            }
            _ => {}
        }
        if let Some(attempt) = self.attempts.get_mut(&name)
            && attempt.refused.len() + most > voters
        {
            attempt.waits = Some(now + patience.mul_f64(chance()));
        }
        Vec::new()
    }

    fn end(&mut self, name: &str) {
        let Some(Attempt { proposed: Some((entry, done)), .. }) = self.attempts.remove(name) else { return };
        let name = name.to_owned();
        self.outcomes.push(if done {
            ProposalOutcome::Committed { name, entry }
        } else {
            ProposalOutcome::Conflict { name, entry }
        });
    }
}

/// What is to be settled, given what a majority knows, and whether that is what was wanted.
fn settled_as(change: &Operation, last: Option<Entry>, era: u64) -> (Option<Entry>, bool) {
    // Guards against a value that went back unseen: what is left after a majority has forgotten shows the new epoch.
    let last = last.map(|mut entry| {
        entry.version.epoch = entry.version.epoch.max(era);
        entry
    });
    let Operation::CompareAndSet { expected: after, fencing_token: number, value } = change else {
        return (last, true);
    };
    let stands = last.as_ref().map(|entry| entry.version);
    let fenced = last.as_ref().is_some_and(|entry| entry.fencing_token > *number);
    if stands == *after && !fenced {
        let version = stands.map_or(0, |stamp| stamp.counter) + 1;
        let stamp = EntryVersion { epoch: stands.map_or(era, |stamp| stamp.epoch), counter: version };
        return (Some(Entry { version: stamp, fencing_token: *number, value: value.clone() }), true);
    }
    // An earlier try of this change may have come through unheard.
    let next = after.map_or(0, |stamp| stamp.counter) + 1;
    let own = last.as_ref().is_some_and(|entry| {
        entry.version.counter == next && entry.fencing_token == *number && entry.value == *value
    });
    (last, own)
}
