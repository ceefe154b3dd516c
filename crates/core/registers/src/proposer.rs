//! The proposer, which changes registers. Each change is a full round of prepare and accept, so it is based on
//! the value committed last, by any proposer.
//!
//! Events are [`Proposer::propose`], replies and [`Proposer::poll`]; outputs are the returned messages and
//! [`Proposer::take_outcomes`].

mod decision;
mod reply;

use crate::{AcceptedEntry, Entry, EntryVersion, MAX_VALUE_BYTES, Name, OutboundMessage, RegisterRequest};
use decision::Decision;
use lemonusher_leases::{Ballot, Incarnation, LeaseConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The timeout of an attempt is the lease duration divided by this.
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 6;
/// Maximum number of attempts per change. If the last one fails, the outcome is [`ProposalOutcome::Unknown`].
const MAX_ATTEMPTS: u32 = 8;

/// An operation on a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Commits the current value again, if the register has one, and returns it.
    Read,
    /// Commits a new value.
    CompareAndSet {
        /// The current version that the change requires; none requires that the register is empty.
        expected: Option<EntryVersion>,
        /// The fencing token of the change. It must be at least that of the current value.
        fencing_token: u64,
        /// The new value.
        value: Vec<u8>,
    },
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProposalOutcome {
    /// A majority has accepted the change.
    Committed {
        /// The name of the register.
        name: Name,
        /// The committed value; none after a read of an empty register.
        entry: Option<Entry>,
    },
    /// The proposed value is not the current one: the current value has another version or a higher token, or the new
    /// value was too long. An earlier attempt of the change may have been committed and replaced since.
    Conflict {
        /// The name of the register.
        name: Name,
        /// The current value; none if the register is empty or the new value was too long.
        entry: Option<Entry>,
    },
    /// Too few voters accepted the change in time, or this front has begun another change of the register. The
    /// change with this outcome may have been committed or may still be.
    Unknown {
        /// The name of the register.
        name: Name,
    },
}

impl ProposalOutcome {
    /// The name of the register that the operation was for.
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
    /// The number of this attempt within the change, from 1.
    attempt_number: u32,
    /// Indices of the voters that promised; the next two sets also hold indices of voters.
    promises: BTreeSet<usize>,
    acceptances: BTreeSet<usize>,
    rejections: BTreeSet<usize>,
    /// The highest epoch among the promises.
    epoch: u64,
    /// The entry accepted in the highest ballot among the promises.
    last_accepted: Option<AcceptedEntry>,
    /// The entry that the voters are asked to accept; set once a majority has promised.
    decision: Option<Decision>,
    /// Time of the next attempt; set once this one has failed.
    retry_at: Option<Duration>,
}

/// The running changes of one front; at most one per register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    incarnation: Incarnation,
    /// The number of voters in the fleet.
    voters: usize,
    /// The round of the latest ballot used or reported.
    round: u64,
    attempts: BTreeMap<Name, Attempt>,
    outcomes: Vec<ProposalOutcome>,
}

impl Proposer {
    /// Creates a proposer for a fleet with `voters` voters.
    pub fn new(incarnation: Incarnation, voters: usize) -> Proposer {
        Proposer { incarnation, voters, round: 0, attempts: BTreeMap::new(), outcomes: Vec::new() }
    }

    /// Whether a change of this register is running.
    pub fn is_busy(&self, name: &str) -> bool {
        self.attempts.contains_key(name)
    }

    /// Begins a change. A running change of the same register ends as [`ProposalOutcome::Unknown`].
    pub fn propose(&mut self, now: Duration, name: &str, operation: Operation) -> Vec<OutboundMessage> {
        if matches!(&operation, Operation::CompareAndSet { value, .. } if value.len() > MAX_VALUE_BYTES) {
            self.outcomes.push(ProposalOutcome::Conflict { name: name.to_owned(), entry: None });
            return Vec::new();
        }
        if self.attempts.remove(name).is_some() {
            self.outcomes.push(ProposalOutcome::Unknown { name: name.to_owned() });
        }
        self.begin_attempt(now, name, operation, 1)
    }

    /// The outcomes since the last call, in order.
    pub fn take_outcomes(&mut self) -> Vec<ProposalOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// The next time at which [`Proposer::poll`] has something to do.
    pub fn next_timeout(&self, config: &LeaseConfig) -> Option<Duration> {
        let timeout = attempt_timeout(config);
        let due = |attempt: &Attempt| attempt.retry_at.unwrap_or(attempt.started + timeout);
        self.attempts.values().map(due).min()
    }

    /// Gives up attempts that have timed out, and begins retries that are due. `chance` returns random numbers
    /// between 0 and 1. Each attempt that times out draws one for its retry time, so that fronts retry at different
    /// times.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let timeout = attempt_timeout(config);
        let mut retries = Vec::new();
        for (name, attempt) in &mut self.attempts {
            match attempt.retry_at {
                Some(retry_at) if retry_at <= now => retries.push(name.clone()),
                None if attempt.started + timeout <= now => {
                    attempt.retry_at = Some(now + timeout.mul_f64(chance()));
                }
                _ => {}
            }
        }
        retries.into_iter().flat_map(|name| self.retry(now, name)).collect()
    }

    fn retry(&mut self, now: Duration, name: Name) -> Vec<OutboundMessage> {
        let Some(attempt) = self.attempts.remove(&name) else { return Vec::new() };
        if attempt.attempt_number >= MAX_ATTEMPTS {
            self.outcomes.push(ProposalOutcome::Unknown { name });
            return Vec::new();
        }
        self.begin_attempt(now, &name, attempt.operation, attempt.attempt_number + 1)
    }

    fn begin_attempt(
        &mut self,
        now: Duration,
        name: &str,
        operation: Operation,
        attempt_number: u32,
    ) -> Vec<OutboundMessage> {
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.incarnation.id };
        let attempt = Attempt {
            operation,
            ballot,
            started: now,
            attempt_number,
            promises: BTreeSet::new(),
            acceptances: BTreeSet::new(),
            rejections: BTreeSet::new(),
            epoch: 0,
            last_accepted: None,
            decision: None,
            retry_at: None,
        };
        self.attempts.insert(name.to_owned(), attempt);
        to_all(self.voters, &RegisterRequest::Prepare { name: name.to_owned(), ballot })
    }
}

/// Timeout of an attempt, from its start to the acceptance by a majority.
fn attempt_timeout(config: &LeaseConfig) -> Duration {
    config.duration / ATTEMPT_TIMEOUT_DIVISOR
}

fn to_all(voters: usize, request: &RegisterRequest) -> Vec<OutboundMessage> {
    (0..voters).map(|voter| OutboundMessage { voter, request: request.clone() }).collect()
}
