//! The acceptor of a voter: it promises ballots and accepts values. An acceptor without memory first recovers its
//! state from the other voters. Events are requests and copies of other voters' state; outputs are the returned
//! replies and messages.

mod pages;
mod recovery;

use crate::{
    AcceptedEntry, Entry, MAX_REGISTERS, MAX_VALUE_BYTES, NO_PROPOSER, Name, OutboundMessage, RegisterReply,
    RegisterRequest, RegisterState,
};
use lemonusher_leases::{Ballot, LeaseConfig, MAX_NAME_BYTES};
use recovery::Recovery;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The state that an acceptor must never lose. A voter with a state folder stores it there, encoded with postcard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct PersistentState {
    /// The acceptor's epoch.
    pub epoch: u64,
    /// All registers, in the order of their names.
    pub registers: Vec<RegisterState>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct StoredRegister {
    /// The highest promised ballot; lower ones are rejected.
    promised: Ballot,
    accepted: Option<AcceptedEntry>,
    /// The acceptor's revision when `accepted` was set, from 1; 0 while nothing is accepted.
    revision: u64,
}

/// The stages of an acceptor from its start until it votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AcceptorState {
    /// It does not vote, because attempts that it may have replied to before it lost its memory can still be running.
    Silent,
    /// It does not vote yet and copies the state of the other voters.
    Recovering,
    /// It promises ballots and accepts values.
    Voting,
}

impl fmt::Display for AcceptorState {
    /// Writes the name of the state in logs: `Mute` is [`AcceptorState::Silent`], `Copying` is
    /// [`AcceptorState::Recovering`].
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            AcceptorState::Silent => "Mute",
            AcceptorState::Recovering => "Copying",
            AcceptorState::Voting => "Voting",
        })
    }
}

/// The registers of a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    /// The number of voters in the fleet.
    voters: usize,
    /// Index of this voter among them.
    index: usize,
    incarnation: u64,
    epoch: u64,
    /// The lowest epoch that this acceptor may begin, also if no voter remembers an epoch.
    first_epoch: u64,
    registers: BTreeMap<Name, StoredRegister>,
    /// Incremented with each entry that this incarnation accepts, copies or restores; no two registers have the same
    /// revision above 0.
    revision: u64,
    /// None once the acceptor votes.
    recovery: Option<Recovery>,
}

impl Acceptor {
    /// Creates an acceptor without memory. It does not vote for [`LeaseConfig::voter_hold_time`] and then
    /// recovers its state. `index` is its own index among the voters, `incarnation` a random number drawn at the
    /// start, and `first_epoch` the lowest epoch that it may begin, derived from the date.
    pub fn without_memory(
        now: Duration,
        config: &LeaseConfig,
        voters: usize,
        index: usize,
        incarnation: u64,
        first_epoch: u64,
    ) -> Acceptor {
        Acceptor {
            voters,
            index,
            incarnation,
            epoch: 0,
            first_epoch,
            registers: BTreeMap::new(),
            revision: 0,
            recovery: Some(Recovery::new(now + config.voter_hold_time())),
        }
    }

    /// Creates an acceptor from a state folder with everything that it ever promised and accepted. It votes at once.
    pub fn restored(voters: usize, index: usize, incarnation: u64, stored: PersistentState) -> Acceptor {
        let mut revision = 0;
        let mut registers = BTreeMap::new();
        for RegisterState { name, promised, accepted } in stored.registers {
            revision += u64::from(accepted.is_some());
            let register_revision = if accepted.is_some() { revision } else { 0 };
            registers.insert(name, StoredRegister { promised, accepted, revision: register_revision });
        }
        let epoch = stored.epoch;
        Acceptor { voters, index, incarnation, epoch, first_epoch: 0, registers, revision, recovery: None }
    }

    /// The state that a voter with a state folder must store before it sends any reply.
    pub fn persistent_state(&self) -> PersistentState {
        let registers = self.registers.iter().map(|(name, register)| register.state(name));
        PersistentState { epoch: self.epoch, registers: registers.collect() }
    }

    /// Whether the acceptor votes, recovers or is silent.
    pub fn state(&self, now: Duration) -> AcceptorState {
        match &self.recovery {
            None => AcceptorState::Voting,
            Some(recovery) if recovery.is_silent(now) => AcceptorState::Silent,
            Some(_) => AcceptorState::Recovering,
        }
    }

    /// The highest epoch that the acceptor knows.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The entries that this acceptor has accepted; they need not be committed.
    pub fn accepted(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.registers.iter().filter_map(|(name, register)| Some((name, &register.accepted.as_ref()?.entry)))
    }

    /// The next time at which [`Acceptor::poll`] has something to do.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.recovery.as_ref().map(Recovery::next_request)
    }

    /// During recovery, returns requests for the missing parts of the other voters' state.
    pub fn poll(&mut self, now: Duration, config: &LeaseConfig) -> Vec<OutboundMessage> {
        let (voters, index) = (self.voters, self.index);
        self.recovery.as_mut().map(|recovery| recovery.poll(now, config, voters, index)).unwrap_or_default()
    }

    /// The name of a register whose value a new epoch began with and no proposer has proposed since; none while the
    /// acceptor does not vote. The value counts as committed only after a proposal, for which an
    /// [`Operation::Read`](crate::Operation::Read) is enough.
    pub fn unproposed_register(&self, now: Duration) -> Option<&Name> {
        let is_unproposed = |register: &StoredRegister| {
            register.accepted.as_ref().is_some_and(|accepted| accepted.ballot.proposer == NO_PROPOSER)
        };
        let unproposed =
            self.registers.iter().find(|(_, register)| is_unproposed(register)).map(|(name, _)| name);
        unproposed.filter(|_| self.state(now) == AcceptorState::Voting)
    }

    /// Handles a request and returns the reply. A voter with a state folder must store [`Acceptor::persistent_state`]
    /// before it sends the reply.
    pub fn handle_request(&mut self, now: Duration, request: RegisterRequest) -> Option<RegisterReply> {
        let is_voting = self.state(now) == AcceptorState::Voting;
        match request {
            RegisterRequest::CopyState { round, after } => Some(self.copy_state(round, &after)),
            RegisterRequest::Read { name, known } => is_voting.then(|| self.read(&name, known)),
            RegisterRequest::ChangesSince { incarnation, revision } => {
                is_voting.then(|| self.changes_since(incarnation, revision))
            }
            RegisterRequest::Prepare { name, ballot } => {
                if !is_voting || !self.is_within_limits(&name, ballot) {
                    return Some(RegisterReply::Silent { name, ballot });
                }
                Some(self.handle_prepare(name, ballot))
            }
            RegisterRequest::Accept { name, ballot, entry } => {
                let fits = entry.value.len() <= MAX_VALUE_BYTES;
                if !is_voting || !fits || !self.is_within_limits(&name, ballot) {
                    return Some(RegisterReply::Silent { name, ballot });
                }
                Some(self.handle_accept(name, ballot, entry))
            }
        }
    }

    fn is_within_limits(&self, name: &str, ballot: Ballot) -> bool {
        let has_capacity = self.registers.contains_key(name) || self.registers.len() < MAX_REGISTERS;
        has_capacity && !name.is_empty() && name.len() <= MAX_NAME_BYTES && ballot > Ballot::default()
    }

    fn handle_prepare(&mut self, name: Name, ballot: Ballot) -> RegisterReply {
        let epoch = self.epoch;
        let register = self.registers.entry(name.clone()).or_default();
        if ballot < register.promised {
            return RegisterReply::StaleBallot { name, ballot, round: register.promised.round };
        }
        register.promised = ballot;
        RegisterReply::Promise { name, ballot, epoch, accepted: register.accepted.clone() }
    }

    fn handle_accept(&mut self, name: Name, ballot: Ballot, entry: Entry) -> RegisterReply {
        let register = self.registers.entry(name.clone()).or_default();
        // A request of an earlier epoch was sent before a majority lost its memory. No proposer counts a reply to
        // it any more, but learners would count the accepted entry, and another value may have been committed
        // under its version.
        let is_older_epoch = entry.version.epoch < self.epoch;
        if ballot < register.promised || is_older_epoch {
            return RegisterReply::StaleBallot { name, ballot, round: register.promised.round };
        }
        register.promised = ballot;
        self.epoch = self.epoch.max(entry.version.epoch);
        self.revision += 1;
        register.revision = self.revision;
        register.accepted = Some(AcceptedEntry { ballot, entry });
        RegisterReply::Accepted { name, ballot }
    }
}

impl StoredRegister {
    fn state(&self, name: &Name) -> RegisterState {
        RegisterState { name: name.clone(), promised: self.promised, accepted: self.accepted.clone() }
    }
}
