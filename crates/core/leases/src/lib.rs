//! Leases on fleet-wide tasks: a majority of a few configured voters grants a task to one front for a limited time.
//!
//! The scheme is PaxosLease (M. Trencseni, A. Gazso, H. Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012), with
//! fencing tokens added. `docs/leases.md` compares the options.
//!
//! # Why no two holders act at the same time
//!
//! 1. A lease is granted by a majority of voters in one ballot, and any two majorities have a voter in common.
//! 2. That voter replies [`LeaseReply::Held`] to all other clients for [`LeaseConfig::voter_hold_time`] on its own clock.
//!    The holder counts its lease from before it sent the first message of the attempt, for [`LeaseConfig::duration`] on
//!    its own clock. Clocks need not show the same time; only their rates must stay within
//!    [`LeaseConfig::clock_drift_permille`]. The lease therefore ends at its holder before it ends at any voter.
//! 3. A voter keeps grants and promises in memory only. After a start it does not vote for the voter hold time.
//!    By then, all that it granted or promised before the restart has ended at every client.
//! 4. A holder renews with an accept request alone, without a prepare. While its lease lasts, a majority rejects
//!    all other clients, so no other client can hold the task or a higher token. An acceptance that arrives after
//!    the lease has expired renews nothing.
//! 5. An action that the previous holder began may outlast its lease. Either the resource refuses an older
//!    fencing token (`fenced`), or the next holder waits for [`LeaseConfig::max_action_time`], extended for the
//!    clock drift, before it acts.
//!
//! Fencing tokens increase because a new lease gets a token above every token that a majority reports. If all voters
//! lose their memory, the floor given to [`Voter::new`] and the tokens reported by resources
//! ([`LeaseClient::observe_token`]) keep them increasing.
//!
//! All state machines here are pure: a time is a duration since an arbitrary origin of the process, and random
//! numbers are passed in as arguments. [`Voter`] grants leases, [`LeaseClient`] acquires, renews and releases
//! them, and [`QuotaSlots`] chooses the quota slots that a front acquires.

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

/// Maximum length of a task's name, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Maximum number of tasks that a voter tracks. A request for a further one gets [`LeaseReply::Silent`], unless the
/// voter can drop a task whose grants and promises have expired.
pub const MAX_TASKS: usize = 4096;
