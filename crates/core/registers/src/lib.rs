//! Agreed registers: a few named values, each committed by a majority of the voters in one ballot.
//!
//! The scheme is CASPaxos (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): one register a value,
//! and each change is a whole round of prepare and accept, without a log. `docs/leases.md` compares the options.
//!
//! # Why a voter without memory may vote again
//!
//! A voter that has no folder loses its promises and accepted values when it restarts.
//!
//! 1. It is silent until every attempt that it may have replied to before has ended. An attempt lasts at most one lease
//!    duration on its proposer's clock, and a proposer ignores what arrives later, so
//!    [`LeaseConfig::voter_hold_time`](lemonusher_leases::LeaseConfig::voter_hold_time) is enough.
//! 2. It then copies the state of a majority of the voters, itself not counted. Any majority that had committed a value
//!    shares a voter with these, so the copy contains every committed value.
//! 3. Where a majority has lost its memory, no such majority exists. Only when **all** voters have replied, and the same
//!    incarnations of a majority were without memory in two rounds in a row, so that they were so at one time, does a new
//!    epoch begin with what is left. Values may be older then, and the epoch shows it. What is left carries a ballot of
//!    nobody, which commits nothing until somebody has proposed the value again.
//!
//! # Why a value shown by a majority in one ballot is committed
//!
//! In one ballot only one value is proposed. If a majority has accepted it, every later prepare reaches a voter that has
//! it, so every later value is derived from it. A [`Learner`] therefore needs no round of its own: it compares the ballots
//! that voters report, and asks each voter only for what has changed since a revision, as a watch with revisions does.
//!
//! All state machines here are pure: no sockets, clocks or files. An [`Acceptor`] is a voter's part, a [`Proposer`] changes
//! values, a [`Learner`] learns which are committed.

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

/// Registers of a voter at most; requests for further ones are answered as silent.
pub const MAX_REGISTERS: usize = 256;
/// Bytes of a value at most, so that it fits a datagram with its envelope.
pub const MAX_VALUE_BYTES: usize = 860;
/// Bytes of values and names in one page of a copy or of changes, unless one register alone is more.
const MAX_PAGE_BYTES: usize = 700;
/// Bytes of a register beside its name and value, at most.
const MAX_REGISTER_OVERHEAD_BYTES: usize = 48;
/// The proposer in the ballot of what a new epoch begins with. That was copied from fewer than a majority and may never
/// have been committed, so a majority that reports it commits nothing.
const NOBODY: u64 = 0;

/// How many of so many voters are a majority.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
