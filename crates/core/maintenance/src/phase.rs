//! The phases of a machine in a request. Their order and names stand in registers and are shown to operators.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How far a machine of a request has come: Pending, Draining, Released, Returned, Done; or Withdrawn before it was
/// released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It waits to be drained.
    #[serde(rename = "Asked")]
    Pending,
    /// No front sends there any more; attempts in flight run to their end.
    Draining,
    /// No front uses it: it may be worked on, under this fencing token, for the outage that was requested.
    Released {
        /// Of the lease under which it was released.
        #[serde(rename = "number")]
        fencing_token: u64,
    },
    /// Whoever worked on it reports it back: it is open, and on probation.
    #[serde(rename = "Back")]
    Returned,
    /// It has answered for the probation.
    Done,
    /// The request was withdrawn before it was released.
    Withdrawn,
}

impl fmt::Display for Phase {
    /// The name in logs and in what operators are shown.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Phase::Pending => f.write_str("Asked"),
            Phase::Draining => f.write_str("Draining"),
            Phase::Released { fencing_token } => write!(f, "Released {{ number: {fencing_token} }}"),
            Phase::Returned => f.write_str("Back"),
            Phase::Done => f.write_str("Done"),
            Phase::Withdrawn => f.write_str("Withdrawn"),
        }
    }
}

impl Phase {
    /// Whether fronts may not send there.
    pub fn is_closed(self) -> bool {
        matches!(self, Phase::Draining | Phase::Released { .. })
    }

    /// Whether it counts as missing from the fleet's capacity.
    pub fn is_out(self) -> bool {
        matches!(self, Phase::Draining | Phase::Released { .. } | Phase::Returned)
    }

    /// Whether it is done or withdrawn.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::Withdrawn)
    }
}
