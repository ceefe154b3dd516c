//! The identity of a member, and the changes of the membership.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of one front. A front that has restarted is another member, even under the same name and
/// address, and its old incarnation is reported as left. No clocks are compared for this. Encoded with postcard: the
/// order of fields is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The front's name; at most [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes.
    pub name: String,
    /// The address to which other members send datagrams.
    pub address: SocketAddr,
    /// A random number, drawn at each start. Never 0, which stands for an unknown incarnation.
    pub incarnation: u64,
    /// Number of the zone in which the front runs.
    pub zone: u32,
    /// Incremented each time that this incarnation refutes a report that it has left.
    pub refutations: u16,
}

/// The receiver of a message: an incarnation, or, if the incarnation is unknown (0), any member that receives it.
#[derive(Debug, Clone, Copy)]
pub struct MemberAddress {
    incarnation: u64,
}

impl PartialEq for MemberAddress {
    /// An announcement to an unknown incarnation matches any receiver. Addresses are not compared, because relays
    /// hide them.
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

/// A change of the membership, as this front sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member was seen for the first time, or again after it was reported as left.
    Joined(Member),
    /// A member did not refute a suspicion in time, or announced that it leaves.
    Left(Member),
    /// Other members reported this front as left, and it has refuted that.
    Refuted,
}
