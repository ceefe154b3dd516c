//! Who changes a register: each change is a whole round, so that it stands on what was settled last, whoever did so.

use crate::{
    Accepted, Entry, EntryVersion, MAX_VALUE_BYTES, Name, OutboundMessage, RegisterReply, RegisterRequest,
    ballot, majority, to_all,
};
use lemonusher_leases::{Ballot, Incarnation, LeaseConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ATTEMPT_TIMEOUT_DIVISOR: u32 = 6; // An attempt is given up after this part of a lease,
const MAX_TRIES: u32 = 8; // and the change after so many.

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
    operation: Operation,
    ballot: Ballot,
    started: Duration,
    tries: u32,
    promises: BTreeSet<usize>,
    acceptances: BTreeSet<usize>,
    rejections: BTreeSet<usize>,
    epoch: u64,
    last_accepted: Accepted,
    /// What was sent to be accepted, and what the outcome will be once it is.
    proposal: Option<(Option<Entry>, bool)>,
    /// Waits until then before its next try.
    retry_at: Option<Duration>,
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
    pub fn propose(&mut self, now: Duration, name: &str, operation: Operation) -> Vec<OutboundMessage> {
        if matches!(&operation, Operation::CompareAndSet { value, .. } if value.len() > MAX_VALUE_BYTES) {
            self.outcomes.push(ProposalOutcome::Conflict { name: name.to_owned(), entry: None });
            return Vec::new();
        }
        if self.attempts.remove(name).is_some() {
            self.outcomes.push(ProposalOutcome::Unknown { name: name.to_owned() });
        }
        self.begin(now, name, operation, 1)
    }

    /// What has come of changes since this was last asked, in order.
    pub fn take_outcomes(&mut self) -> Vec<ProposalOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    pub fn next_timeout(&self, config: &LeaseConfig) -> Option<Duration> {
        let due = |attempt: &Attempt| {
            attempt.retry_at.unwrap_or(attempt.started + config.duration / ATTEMPT_TIMEOUT_DIVISOR)
        };
        self.attempts.values().map(due).min()
    }

    fn begin(&mut self, now: Duration, name: &str, operation: Operation, tries: u32) -> Vec<OutboundMessage> {
        self.round += 1;
        let ballot = ballot(self.round, &self.me);
        let attempt = Attempt {
            operation,
            ballot,
            started: now,
            tries,
            promises: BTreeSet::new(),
            acceptances: BTreeSet::new(),
            rejections: BTreeSet::new(),
            epoch: 0,
            last_accepted: None,
            proposal: None,
            retry_at: None,
        };
        self.attempts.insert(name.to_owned(), attempt);
        to_all(self.voters, &RegisterRequest::Prepare { name: name.to_owned(), ballot })
    }

    /// Gives up attempts that take too long and tries again, `chance` (from 0 up to 1) apart from others.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let attempt_timeout = config.duration / ATTEMPT_TIMEOUT_DIVISOR;
        let mut messages = Vec::new();
        let mut retries = Vec::new();
        for (name, attempt) in &mut self.attempts {
            match attempt.retry_at {
                Some(until) if until <= now => retries.push(name.clone()),
                None if attempt.started + attempt_timeout <= now => {
                    attempt.retry_at = Some(now + attempt_timeout.mul_f64(chance()));
                }
                _ => {}
            }
        }
        for name in retries {
            let Some(attempt) = self.attempts.remove(&name) else { continue };
            if attempt.tries >= MAX_TRIES {
                self.outcomes.push(ProposalOutcome::Unknown { name });
            } else {
                messages.extend(self.begin(now, &name, attempt.operation, attempt.tries + 1));
            }
        }
        messages
    }

    /// Hears what a voter answers. What belongs to no attempt that is still on changes nothing.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
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
        let (voters, majority_size) = (self.voters, majority(self.voters));
        let attempt_timeout = config.duration / ATTEMPT_TIMEOUT_DIVISOR;
        let Some(attempt) = self.attempts.get_mut(&name) else { return Vec::new() };
        // Guards the rule for voters without memory: what comes later than the bound on an attempt counts for nothing.
        let is_over = attempt.started + attempt_timeout <= now || attempt.retry_at.is_some();
        if attempt.ballot != ballot || is_over || voter >= voters {
            return Vec::new();
        }
        match reply {
            RegisterReply::Promise { epoch, accepted, .. } if attempt.proposal.is_none() => {
                attempt.promises.insert(voter);
                attempt.epoch = attempt.epoch.max(epoch);
                let newer = |ours: &Accepted| ours.as_ref().map(|last_accepted| last_accepted.0);
                if newer(&accepted) > newer(&attempt.last_accepted) {
                    attempt.last_accepted = accepted;
                }
                if attempt.promises.len() < majority_size {
                    return Vec::new();
                }
                let last_accepted = attempt.last_accepted.as_ref().map(|(_, entry)| entry.clone());
                let (entry, is_success) = decide(&attempt.operation, last_accepted, attempt.epoch);
                attempt.proposal = Some((entry.clone(), is_success));
                return match entry {
                    // What stood there is made sure of, too, before anybody is told of it.
                    Some(entry) => to_all(voters, &RegisterRequest::Accept { name, ballot, entry }),
                    None => {
                        self.finish(&name);
                        Vec::new()
                    }
                };
            }
            RegisterReply::Accepted { .. } => {
                attempt.acceptances.insert(voter);
                if attempt.acceptances.len() >= majority_size {
                    self.finish(&name);
                }
            }
            RegisterReply::StaleBallot { round, .. } => {
                self.round = self.round.max(round);
                attempt.rejections.insert(voter);
            }
            RegisterReply::Silent { .. } => {
                attempt.rejections.insert(voter);
            }
            _ => {}
        }
        if let Some(attempt) = self.attempts.get_mut(&name)
            && attempt.rejections.len() + majority_size > voters
        {
            attempt.retry_at = Some(now + attempt_timeout.mul_f64(chance()));
        }
        Vec::new()
    }

    fn finish(&mut self, name: &str) {
        let Some(Attempt { proposal: Some((entry, is_success)), .. }) = self.attempts.remove(name) else {
            return;
        };
        let name = name.to_owned();
        self.outcomes.push(if is_success {
            ProposalOutcome::Committed { name, entry }
        } else {
            ProposalOutcome::Conflict { name, entry }
        });
    }
}

/// What is to be settled, given what a majority knows, and whether that is what was wanted.
fn decide(operation: &Operation, last_accepted: Option<Entry>, epoch: u64) -> (Option<Entry>, bool) {
    // Guards against a value that went back unseen: what is left after a majority has forgotten shows the new epoch.
    let last_accepted = last_accepted.map(|mut entry| {
        entry.version.epoch = entry.version.epoch.max(epoch);
        entry
    });
    let Operation::CompareAndSet { expected, fencing_token, value } = operation else {
        return (last_accepted, true);
    };
    let current = last_accepted.as_ref().map(|entry| entry.version);
    let fenced = last_accepted.as_ref().is_some_and(|entry| entry.fencing_token > *fencing_token);
    if current == *expected && !fenced {
        let version = current.map_or(0, |version| version.counter) + 1;
        let version =
            EntryVersion { epoch: current.map_or(epoch, |version| version.epoch), counter: version };
        return (Some(Entry { version, fencing_token: *fencing_token, value: value.clone() }), true);
    }
    // An earlier try of this change may have come through unheard.
    let next = expected.map_or(0, |version| version.counter) + 1;
    let own = last_accepted.as_ref().is_some_and(|entry| {
        entry.version.counter == next && entry.fencing_token == *fencing_token && entry.value == *value
    });
    (last_accepted, own)
}
