//! Leases on fleet-wide tasks: a majority of a few configured voters grants a task to one front for a limited time.
//!
//! The scheme is PaxosLease (M. Trencseni, A. Gazso, H. Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012), with
//! fencing tokens added. `docs/leases.md` compares the options.
//!
//! # Why two holders never act at once
//!
//! 1. A lease is granted by a majority of voters in one ballot, and any two majorities have a voter in common.
//! 2. That voter replies [`LeaseReply::Held`] to all other clients for [`LeaseConfig::voter_hold_time`] on its own clock.
//!    The holder counts its lease from before it sent the first message of the attempt, for [`LeaseConfig::duration`] on
//!    its own clock. Clocks are trusted for their rate only, within [`LeaseConfig::clock_drift_permille`], so the lease
//!    has ended at its holder before it ends at any voter.
//! 3. A voter keeps grants and promises in memory only. One that starts is silent for the voter hold time: what it
//!    granted or promised before has ended by then at every client.
//! 4. A holder renews by an accept without a prepare: while its lease lasts, a majority rejects all others, so nobody
//!    else can hold the task or a higher token. An acceptance that arrives after the lease has expired renews nothing.
//! 5. An action that the last holder began may outlast its lease. Either the resource refuses an older fencing token
//!    (`fenced`), or the next holder waits for [`LeaseConfig::max_action_time`], stretched by the drift, before it acts.
//!
//! Fencing tokens grow because a new grant is above all that a majority knows. Where all voters lose their memory, the
//! floor given to [`Voter::new`] and the tokens reported by resources ([`LeaseClient::observe_token`]) keep them growing.
//!
//! All state machines here are pure: time is a span since any origin of the process, chance is an argument. [`Voter`]
//! grants, [`LeaseClient`] asks for leases and holds them, [`QuotaSlots`] chooses the tasks that stand for shares.

#![warn(missing_docs)]

mod client;
mod config;
mod message;
mod quota;
mod voter;

pub use client::{ActiveLease, LeaseChange, LeaseClient, LeaseState, ObservedHolder, OutboundMessage};
pub use config::{LeaseConfig, LeaseConfigError};
pub use message::{Ballot, Incarnation, LeaseReply, LeaseRequest, Task};
pub use quota::{QuotaSlots, quota_share};
pub use voter::{Grant, Voter};

/// Bytes of a task's name at most.
pub const MAX_NAME_BYTES: usize = 48;
/// Tasks that a voter tracks at most; requests for further ones are answered as silent.
pub const MAX_TASKS: usize = 4096;
