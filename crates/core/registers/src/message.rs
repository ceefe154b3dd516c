//! Messages between proposers, learners and voters. Between fronts, and in a voter's folder, they are encoded with
//! postcard: the order of variants and fields is part of the protocol, their names are not.

use lemonusher_leases::Ballot;
use serde::{Deserialize, Serialize};

/// A register's name, such as `sites`; at most [`MAX_NAME_BYTES`](lemonusher_leases::MAX_NAME_BYTES) bytes.
pub type Name = String;

/// Which of a register's values is the newer. Commands print it under the earlier names, which stand beside the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct EntryVersion {
    /// Grows whenever a majority of the voters has lost its memory, and values may have gone back.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Counts up by one with each value of an epoch.
    #[serde(rename = "version")]
    pub counter: u64,
}

/// A register's value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its version.
    pub version: EntryVersion,
    /// The fencing token of the lease under which it was written.
    pub fencing_token: u64,
    /// The value's bytes; at most [`MAX_VALUE_BYTES`](crate::MAX_VALUE_BYTES).
    pub value: Vec<u8>,
}

/// What a voter has accepted of a register.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedEntry {
    /// In which ballot.
    pub ballot: Ballot,
    /// What.
    pub entry: Entry,
}

/// A register as a voter has promised and accepted it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterState {
    /// The register.
    pub name: Name,
    /// No ballot below this is accepted.
    pub promised: Ballot,
    /// None if only a promise was given.
    pub accepted: Option<AcceptedEntry>,
}

/// To a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterRequest {
    /// Asks for a promise to accept no older ballot, and for what was accepted last.
    Prepare {
        /// The register.
        name: Name,
        /// The attempt.
        ballot: Ballot,
    },
    /// Asks to accept a value.
    Accept {
        /// The register.
        name: Name,
        /// The attempt.
        ballot: Ballot,
        /// What to accept.
        entry: Entry,
    },
    /// Asks for what is accepted.
    Read {
        /// The register.
        name: Name,
        /// The value is left out of the reply if this is its version.
        known: Option<EntryVersion>,
    },
    /// From a voter without memory: asks for a page of all that is promised and accepted.
    CopyState {
        /// The round of the recovery.
        round: u64,
        /// The page begins after this name.
        after: Name,
    },
    /// Asks for what has been accepted since a revision.
    ChangesSince {
        /// The voter's incarnation that the revision belongs to; of another one, everything is returned.
        incarnation: u64,
        /// The last revision that is known.
        revision: u64,
    },
}

/// From a voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegisterReply {
    /// No older ballot is accepted from here on.
    Promise {
        /// The register.
        name: Name,
        /// The attempt.
        ballot: Ballot,
        /// The voter's epoch.
        epoch: u64,
        /// What it accepted last.
        accepted: Option<AcceptedEntry>,
    },
    /// The value has been accepted.
    Accepted {
        /// The register.
        name: Name,
        /// The attempt.
        ballot: Ballot,
    },
    /// A later ballot has been promised.
    StaleBallot {
        /// The register.
        name: Name,
        /// The attempt.
        ballot: Ballot,
        /// The round of the later ballot.
        round: u64,
    },
    /// The voter has no memory and does not vote, has no capacity, or the request exceeds a limit.
    Silent {
        /// The register.
        name: Name,
        /// The attempt.
        ballot: Ballot,
    },
    /// What is accepted.
    Value {
        /// The register.
        name: Name,
        /// The ballot in which it was accepted.
        ballot: Ballot,
        /// Its version.
        version: EntryVersion,
        /// The value, where it is not known yet.
        entry: Option<Entry>,
    },
    /// Nothing was ever accepted.
    NotFound {
        /// The register.
        name: Name,
    },
    /// A page of a voter's state.
    StateCopy {
        /// The round of the request.
        round: u64,
        /// The incarnation of the voter that replies, so that a restart between pages is noticed.
        incarnation: u64,
        /// It has no memory itself.
        without_memory: bool,
        /// Its epoch.
        epoch: u64,
        /// The registers of this page, in the order of their names.
        registers: Vec<RegisterState>,
        /// There are more after these.
        more: bool,
    },
    /// A page of changes.
    Changes(Changes),
}

/// What a voter accepted after the revision `since` and up to `revision`.
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
    /// There is more after `revision`.
    pub more: bool,
}

/// A register as a voter last accepted it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangedRegister {
    /// The register.
    pub name: Name,
    /// The ballot in which it was accepted.
    pub ballot: Ballot,
    /// What was accepted.
    pub entry: Entry,
}

/// A request and the voter, by its index in the configured list, that it is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutboundMessage {
    /// Index of the voter.
    pub voter: usize,
    /// What it is asked.
    pub request: RegisterRequest,
}
