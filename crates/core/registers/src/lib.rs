//! Replicated registers: a few named values, each committed by a majority of the voters in one ballot.
//!
//! The scheme is CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): one register
//! per value, and each change is a full round of prepare and accept, without a log. `docs/leases.md` compares the
//! options.
//!
//! # Why a voter without memory may vote again
//!
//! A voter that has no state folder loses its promises and accepted values when it restarts.
//!
//! 1. It does not vote until every attempt that it may have replied to before the restart has ended. An attempt
//!    lasts at most one lease duration on its proposer's clock, and a proposer ignores replies that arrive later,
//!    so [`LeaseConfig::voter_hold_time`](lemonusher_leases::LeaseConfig::voter_hold_time) is enough.
//! 2. It then copies the state of a majority of the voters, itself not counted. Any majority that has committed a
//!    value has a voter in common with these, so the copy contains every committed value.
//! 3. If a majority has lost its memory, there is no majority to copy from. A new epoch begins only when **all**
//!    voters have replied, and the same incarnations of a majority were without memory in two consecutive rounds,
//!    which proves that they were without memory at the same time. The epoch begins with the values that are
//!    left, which may be older than the last committed ones; the higher epoch shows this. These values carry a
//!    ballot without a proposer, which commits nothing until a proposer has proposed the value again.
//!
//! # Why a value reported by a majority in the same ballot is committed
//!
//! Only one value is proposed in a ballot. If a majority has accepted it, every later prepare reaches a voter
//! that has accepted it, so every later value is derived from it. A [`Learner`] therefore needs no Paxos round of
//! its own: it compares the ballots that voters report. It asks each voter only for the changes since a revision,
//! as a watch does.
//!
//! All state machines here are pure: no sockets, clocks or files. An [`Acceptor`] promises and accepts for a voter, a
//! [`Proposer`] changes values, and a [`Learner`] learns which values are committed.

#![warn(missing_docs)]

mod acceptor;
mod learner;
mod message;
mod proposer;

pub use acceptor::{Acceptor, AcceptorState, PersistentState};
pub use learner::{CommittedEntry, Learner};
pub use message::{
    AcceptedEntry, ChangedRegister, Changes, Entry, EntryVersion, Name, OutboundMessage, RegisterReply,
    RegisterRequest, RegisterState,
};
pub use proposer::{Operation, ProposalOutcome, Proposer};

/// Maximum number of registers of a voter. Requests for further ones get [`RegisterReply::Silent`].
pub const MAX_REGISTERS: usize = 256;
/// Maximum length of a value in bytes, so that it fits a datagram with its envelope.
pub const MAX_VALUE_BYTES: usize = 860;
/// Maximum size in bytes of the registers in one page of a copy or of changes. A single larger register has a
/// page of its own.
const MAX_PAGE_BYTES: usize = 700;
/// Maximum encoded size in bytes of a register without its name and value.
const MAX_REGISTER_OVERHEAD_BYTES: usize = 48;
/// The proposer in the ballots of the values that a new epoch begins with. Such a value was copied from fewer than a
/// majority and may never have been committed, so it is not committed when a majority reports it.
const NO_PROPOSER: u64 = 0;

/// The number of voters that form a majority of `voters`.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
