//! Changes registers. Each change is a whole round of prepare and accept, so it is based on the value committed last,
//! whoever committed it. Events are [`Proposer::propose`], replies and [`Proposer::poll`]; outputs are the returned
//! messages and [`Proposer::take_outcomes`].

mod decision;
mod reply;

use crate::{AcceptedEntry, Entry, EntryVersion, MAX_VALUE_BYTES, Name, OutboundMessage, RegisterRequest};
use decision::Decision;
use lemonusher_leases::{Ballot, Incarnation, LeaseConfig};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An attempt is given up after the lease's duration divided by this.
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 6;
/// A change is given up after so many attempts.
const MAX_TRIES: u32 = 8;

/// What to do with a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Commits the value that is there, and returns it.
    Read,
    /// Commits a new value.
    CompareAndSet {
        /// The change is made only if this is the version that is there; none: if nothing is.
        expected: Option<EntryVersion>,
        /// The change is made only if the value that is there was written under no higher token.
        fencing_token: u64,
        /// The new value.
        value: Vec<u8>,
    },
}

/// How a change has ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProposalOutcome {
    /// A majority has accepted it.
    Committed {
        /// The register.
        name: Name,
        /// Its value; none after a read of an empty register.
        entry: Option<Entry>,
    },
    /// Another version is there, or one under a higher token, or the value was too long; nothing was changed.
    Conflict {
        /// The register.
        name: Name,
        /// The value that is there.
        entry: Option<Entry>,
    },
    /// Too few voters replied in time. The change may have been committed, or may yet be.
    Unknown {
        /// The register.
        name: Name,
    },
}

impl ProposalOutcome {
    /// The register that was to be changed.
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
    /// Which attempt of the change this is, from 1 on.
    tries: u32,
    /// Voters by index, as in the two sets below.
    promises: BTreeSet<usize>,
    acceptances: BTreeSet<usize>,
    rejections: BTreeSet<usize>,
    /// The highest epoch among the promises.
    epoch: u64,
    /// What was accepted in the latest ballot among the promises.
    last_accepted: Option<AcceptedEntry>,
    /// What was sent to be accepted, once a majority has promised.
    decision: Option<Decision>,
    /// When it is tried again; set once it has failed.
    retry_at: Option<Duration>,
}

/// The changes that one front has running; one a register at most.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    incarnation: Incarnation,
    /// How many voters there are.
    voters: usize,
    /// The round of the latest ballot used or reported.
    round: u64,
    attempts: BTreeMap<Name, Attempt>,
    outcomes: Vec<ProposalOutcome>,
}

impl Proposer {
    /// A proposer of a fleet with so many voters.
    pub fn new(incarnation: Incarnation, voters: usize) -> Proposer {
        Proposer { incarnation, voters, round: 0, attempts: BTreeMap::new(), outcomes: Vec::new() }
    }

    /// Whether a change of this register is running.
    pub fn is_busy(&self, name: &str) -> bool {
        self.attempts.contains_key(name)
    }

    /// Begins a change. A running change of the same register ends as unknown.
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

    /// When [`Proposer::poll`] has something to do next.
    pub fn next_timeout(&self, config: &LeaseConfig) -> Option<Duration> {
        let timeout = attempt_timeout(config);
        let due = |attempt: &Attempt| attempt.retry_at.unwrap_or(attempt.started + timeout);
        self.attempts.values().map(due).min()
    }

    /// Gives up attempts that take too long, and tries again. `chance` yields numbers from 0 up to 1; each attempt that
    /// is given up draws one, to be tried again at another time than by other fronts.
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
        if attempt.tries >= MAX_TRIES {
            self.outcomes.push(ProposalOutcome::Unknown { name });
            return Vec::new();
        }
        self.begin_attempt(now, &name, attempt.operation, attempt.tries + 1)
    }

    fn begin_attempt(
        &mut self,
        now: Duration,
        name: &str,
        operation: Operation,
        tries: u32,
    ) -> Vec<OutboundMessage> {
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.incarnation.id };
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
            decision: None,
            retry_at: None,
        };
        self.attempts.insert(name.to_owned(), attempt);
        to_all(self.voters, &RegisterRequest::Prepare { name: name.to_owned(), ballot })
    }
}

/// How long an attempt may take.
fn attempt_timeout(config: &LeaseConfig) -> Duration {
    config.duration / ATTEMPT_TIMEOUT_DIVISOR
}

fn to_all(voters: usize, request: &RegisterRequest) -> Vec<OutboundMessage> {
    (0..voters).map(|voter| OutboundMessage { voter, request: request.clone() }).collect()
}
