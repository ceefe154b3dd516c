//! Agreed registers: a few named values that a majority of the voters settles (CASPaxos: one register a value, each
//! change a whole round, no log). docs/leases.md gives the options, and the rule for voters without memory.
//!
//! Who follows registers asks a voter only for what has changed since a revision that this voter has told (as a watch with
//! revisions does elsewhere), so registers that do not change cost one small message each way, however many there are.
//!
//! Nothing here opens sockets, reads clocks or files. A [`Acceptor`] is a voter's part, a [`Proposer`] changes values, a
//! [`Follower`] learns which are settled. An attempt lasts a lease at most by its proposer's clock: on that, and on
//! nothing else of time, rests what an acceptor without memory may do.

mod acceptor;
mod learner;
mod proposer;

pub use acceptor::{Acceptor, AcceptorState, PersistentState};
pub use learner::Learner;
pub use proposer::{Operation, ProposalOutcome, Proposer};

use lemonusher_leases::{Ballot, Incarnation};
use serde::{Deserialize, Serialize};

/// A register's name, such as `zones`; at most [`lemonusher_leases::LONGEST_NAME`] bytes.
pub type Name = String;
/// Registers at most; what is asked beyond is refused.
pub const MAX_REGISTERS: usize = 256;
/// A value's bytes at most, so that it fits a datagram with what goes round it.
pub const MAX_VALUE_BYTES: usize = 860;
/// Bytes of values and names in one page of a copy or of changes, unless one row alone is more.
const MAX_PAGE_BYTES: usize = 700;
/// Bytes of a row beside its name and value, at most.
const MAX_REGISTER_OVERHEAD_BYTES: usize = 48;
/// The incarnation in the ballot of what a new epoch begins with. Nobody has proposed that: it was copied from fewer than a majority
/// and may never have been settled, so that a majority that shows it settles nothing until somebody proposes it.
const NOBODY: u64 = 0;

/// Which of a register's values is the newer. The epoch grows whenever a majority of the voters has lost its memory and
/// values may have gone back; within an epoch versions count up by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct EntryVersion {
    pub epoch: u64,
    pub counter: u64,
}

/// A register's value, who wrote it by his fencing number, and its place in time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub version: EntryVersion,
    /// The fencing number of the lease under which it was written.
    pub fencing_token: u64,
    pub value: Vec<u8>,
}

/// What is accepted of a register, and in which round.
pub type Accepted = Option<(Ballot, Entry)>;

/// A row of a copy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterState {
    pub name: Name,
    pub promised: Ballot,
    pub accepted: Accepted,
}

/// To a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterRequest {
    Prepare {
        name: Name,
        ballot: Ballot,
    },
    Accept {
        name: Name,
        ballot: Ballot,
        entry: Entry,
    },
    /// What is accepted, unless it is what is known.
    Read {
        name: Name,
        known: Option<EntryVersion>,
    },
    /// Of a voter without memory: all that is promised and accepted, after this name.
    CopyState {
        round: u64,
        after: Name,
    },
    /// What has been accepted since a revision of the voter's incarnation, all of it where its incarnation is another.
    ChangesSince {
        incarnation: u64,
        revision: u64,
    },
}

/// From a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterReply {
    Promise {
        name: Name,
        ballot: Ballot,
        epoch: u64,
        accepted: Accepted,
    },
    Accepted {
        name: Name,
        ballot: Ballot,
    },
    /// A later attempt is under way, of this round.
    StaleBallot {
        name: Name,
        ballot: Ballot,
        round: u64,
    },
    /// It has no memory and does not vote, or has no room.
    Silent {
        name: Name,
        ballot: Ballot,
    },
    /// In which round its value was accepted; the value itself where that is not known yet.
    Value {
        name: Name,
        ballot: Ballot,
        version: EntryVersion,
        entry: Option<Entry>,
    },
    /// Nothing was ever accepted there.
    NotFound {
        name: Name,
    },
    StateCopy {
        round: u64,
        /// The incarnation of who answers, so that one who starts in between is noticed.
        incarnation: u64,
        /// It has no memory itself.
        without_memory: bool,
        epoch: u64,
        registers: Vec<RegisterState>,
        more: bool,
    },
    Changes(Changes),
}

/// What a voter accepted after the revision `since` and up to `revision`, both of its incarnation `born`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Changes {
    pub incarnation: u64,
    pub since: u64,
    pub revision: u64,
    pub registers: Vec<ChangedRegister>,
    /// There is more after `revision`.
    pub more: bool,
}

/// A register as a voter last accepted it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangedRegister {
    pub name: Name,
    pub ballot: Ballot,
    pub entry: Entry,
}

/// To the voter of this place in the list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutboundMessage {
    pub voter: usize,
    pub request: RegisterRequest,
}

/// To all voters.
fn to_all(voters: usize, request: &RegisterRequest) -> Vec<OutboundMessage> {
    (0..voters).map(|voter| OutboundMessage { voter, request: request.clone() }).collect()
}

/// So many are a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Who proposes, in the order of ballots.
fn ballot(round: u64, me: &Incarnation) -> Ballot {
    Ballot { round, proposer: me.id }
}
