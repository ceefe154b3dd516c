//! Failure detector: which fronts are members of the fleet.
//!
//! The protocol is SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", 2002) with suspicion and piggybacked gossip, by the crate `foca`. Each member
//! probes one other per [`DetectorConfig::probe_interval`]. A member that does not reply is probed indirectly
//! through other members, then suspected, and declared as left unless it refutes the suspicion in time. Each
//! incarnation of a front counts as a separate member, so a restart is detected without comparing clocks.
//!
//! **Its result is a hint.** A member reported as left may still act, and one reported as present may have
//! failed. Safety depends on leases and registers. The detector only determines which fronts are counted and
//! shown to an operator.
//!
//! [`FailureDetector`] is pure: no sockets and no clocks. A time is a duration since an arbitrary origin, and random
//! numbers come from a generator with a given seed.

#![warn(missing_docs)]

mod config;
mod detector;
mod gossip;
mod member;

pub use config::DetectorConfig;
pub use detector::{Datagram, FailureDetector};
pub use gossip::{GossipRecord, MAX_EJECTED_ENGINES};
pub use member::{Member, MemberAddress, MembershipChange};

/// Maximum number of other members; further ones are ignored.
pub const MAX_MEMBERS: usize = 4096;
/// Maximum size of a message in bytes, so that it fits a datagram with its envelope.
pub const MAX_MESSAGE_BYTES: usize = 900;
/// Maximum length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
