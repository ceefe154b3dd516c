//! Failure detector: which fronts are members of the fleet.
//!
//! The protocol is SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002) with suspicion and piggybacked gossip, by the crate `foca`. Each member probes one other
//! per [`DetectorConfig::probe_interval`]; one that does not reply is probed through others, then suspected, and declared
//! as left unless it refutes that in time. An incarnation counts as another member, so a restart needs no clock.
//!
//! **Its result is a hint.** A member reported as left may still act, and one reported as present may be dead. Safety
//! rests on leases and registers; the detector only says whom to count, whom to ask, and what to show an operator.
//!
//! [`FailureDetector`] is pure: no sockets and no clocks; time is a span since any origin, chance comes from a seed.

#![warn(missing_docs)]

mod config;
mod detector;
mod gossip;
mod member;

pub use config::DetectorConfig;
pub use detector::{Datagram, FailureDetector};
pub use gossip::{GossipRecord, MAX_EJECTED_ENGINES};
pub use member::{Member, MemberAddress, MembershipChange};

/// Members at most; further ones are ignored.
pub const MAX_MEMBERS: usize = 4096;
/// Bytes of a message at most, so that it fits a datagram with its envelope.
pub const MAX_MESSAGE_BYTES: usize = 900;
/// Bytes of a member's name at most.
pub const MAX_NAME_BYTES: usize = 64;
