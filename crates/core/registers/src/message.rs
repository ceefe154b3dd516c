//! Messages between proposers, learners and voters. Between fronts, and in a voter's folder, they are encoded with
//! postcard: the order of variants and fields is part of the protocol, their names are not.

use lemonusher_leases::Ballot;
use serde::{Deserialize, Serialize};

/// A register's name, such as `sites`; at most [`MAX_NAME_BYTES`](lemonusher_leases::MAX_NAME_BYTES) bytes.
pub type Name = String;

/// The version of a register's value; a higher one is newer. In the JSON rows of registers that commands print, its
/// fields have the keys `era` and `version`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct EntryVersion {
    /// Increases whenever a majority of the voters has lost its memory, so that values may have reverted to older
    /// ones.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Increases by one with each value of an epoch.
    #[serde(rename = "version")]
    pub counter: u64,
}

/// A register's value, with its version and the fencing token of its writer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The version of this value.
    pub version: EntryVersion,
    /// The fencing token of the lease under which it was written.
    pub fencing_token: u64,
    /// The value's bytes; at most [`MAX_VALUE_BYTES`](crate::MAX_VALUE_BYTES).
    pub value: Vec<u8>,
}

/// The entry of a register that a voter has accepted last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedEntry {
    /// The ballot in which the entry was accepted.
    pub ballot: Ballot,
    /// The accepted entry.
    pub entry: Entry,
}

/// A voter's promise and accepted entry for one register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterState {
    /// The name of the register.
    pub name: Name,
    /// The highest promised ballot; lower ones are rejected.
    pub promised: Ballot,
    /// The entry accepted last; none if the voter has only given a promise.
    pub accepted: Option<AcceptedEntry>,
}

/// A request to a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Asks for a promise to accept no lower ballot, and for the entry accepted last.
    Prepare {
        /// The name of the register.
        name: Name,
        /// The ballot of the attempt.
        ballot: Ballot,
    },
    /// Asks the voter to accept an entry.
    Accept {
        /// The name of the register.
        name: Name,
        /// The ballot of the attempt.
        ballot: Ballot,
        /// The entry to accept.
        entry: Entry,
    },
    /// Asks for the accepted entry of one register.
    Read {
        /// The name of the register.
        name: Name,
        /// The version that the sender knows; the reply leaves the entry out if it has this version.
        known: Option<EntryVersion>,
    },
    /// Asks for a page of all promises and accepted entries; sent by a voter that recovers its state.
    CopyState {
        /// The round of the sender's recovery; the reply repeats it.
        round: u64,
        /// The page begins after the register with this name; empty for the first page.
        after: Name,
    },
    /// Asks for the entries accepted since a revision.
    ChangesSince {
        /// The voter's incarnation that the revision belongs to. If the voter has another one, it returns all
        /// entries.
        incarnation: u64,
        /// The last revision that the sender knows.
        revision: u64,
    },
}

/// A reply from a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterReply {
    /// The voter accepts no lower ballot from now on.
    Promise {
        /// The name of the register.
        name: Name,
        /// The ballot of the request.
        ballot: Ballot,
        /// The highest epoch that the voter knows.
        epoch: u64,
        /// The entry that the voter accepted last.
        accepted: Option<AcceptedEntry>,
    },
    /// The voter has accepted the entry.
    Accepted {
        /// The name of the register.
        name: Name,
        /// The ballot of the request.
        ballot: Ballot,
    },
    /// The request was rejected: the voter has promised a higher ballot, or is in a later epoch than the entry.
    StaleBallot {
        /// The name of the register.
        name: Name,
        /// The ballot of the request.
        ballot: Ballot,
        /// The round of the promised ballot.
        round: u64,
    },
    /// The voter has no memory and does not vote, has no capacity for another register, or the request violates a
    /// limit.
    Silent {
        /// The name of the register.
        name: Name,
        /// The ballot of the request.
        ballot: Ballot,
    },
    /// The accepted entry of a register.
    Value {
        /// The name of the register.
        name: Name,
        /// The ballot in which the entry was accepted.
        ballot: Ballot,
        /// The version of the entry.
        version: EntryVersion,
        /// The entry; none if the sender of the request knows its version.
        entry: Option<Entry>,
    },
    /// The voter has accepted nothing for this register.
    NotFound {
        /// The name of the register.
        name: Name,
    },
    /// A page of a voter's state, for a voter that recovers.
    StateCopy {
        /// The round of the recovery, from the request.
        round: u64,
        /// The incarnation of the replying voter, so that a restart between pages is detected.
        incarnation: u64,
        /// Whether the replying voter is without memory too.
        without_memory: bool,
        /// The highest epoch that the replying voter knows.
        epoch: u64,
        /// The registers of this page, in the order of their names.
        registers: Vec<RegisterState>,
        /// There are more registers after this page.
        more: bool,
    },
    /// A page of changes.
    Changes(Changes),
}

/// The entries that a voter accepted after the revision `since` and up to `revision`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Changes {
    /// The voter's incarnation, to which both revisions belong.
    pub incarnation: u64,
    /// The page begins after this revision.
    pub since: u64,
    /// The page ends with this revision.
    pub revision: u64,
    /// The registers that changed, in the order of their revisions.
    pub registers: Vec<ChangedRegister>,
    /// There are more changes after `revision`.
    pub more: bool,
}

/// The entry of a changed register that a voter accepted last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangedRegister {
    /// The name of the register.
    pub name: Name,
    /// The ballot in which the entry was accepted.
    pub ballot: Ballot,
    /// The accepted entry.
    pub entry: Entry,
}

/// A request to one voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutboundMessage {
    /// Index of the receiving voter in the configured list of voters.
    pub voter: usize,
    /// The request to send.
    pub request: RegisterRequest,
}
