//! The identity of a member, and what changes among the members.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of one front. A front that has restarted, also under the same name and address, is another member: the
/// old incarnation is found to have left without a comparison of clocks. Encoded with postcard: the order of fields is
/// part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The front's name; at most [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes.
    pub name: String,
    /// Where other members reach it.
    pub address: SocketAddr,
    /// Drawn at random at each start; never 0, which means any incarnation at the address.
    pub incarnation: u64,
    /// The zone in which it runs.
    pub zone: u32,
    /// Counts up each time that it refutes a report that it has left.
    pub refutations: u16,
}

/// Whom a message is for: an incarnation, or, where that is not known, whoever receives it.
#[derive(Debug, Clone, Copy)]
pub struct MemberAddress {
    incarnation: u64,
}

impl PartialEq for MemberAddress {
    /// An announcement to an unknown incarnation is for whoever receives it, at whichever address: relays hide addresses.
    fn eq(&self, other: &MemberAddress) -> bool {
        self.incarnation == other.incarnation || self.incarnation == 0 || other.incarnation == 0
    }
}

impl Identity for Member {
    type Addr = MemberAddress;

    fn renew(&self) -> Option<Self> {
        Some(Member { refutations: self.refutations.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> MemberAddress {
        MemberAddress { incarnation: self.incarnation }
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.refutations > other.refutations
    }
}

/// What has changed among the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member was seen for the first time, or again.
    Joined(Member),
    /// A member has not replied for long, or said that it leaves.
    Left(Member),
    /// Other members reported this front as left, and it has refuted that.
    Refuted,
}
