//! The phases of a machine in a request. Their order is part of the registers' encoding, and commands print their
//! names, so both must stay.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The phase of a machine in a request: Pending, Draining, Released, Returned and Done in this order, or Withdrawn
/// after Pending or Draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The machine waits to be drained.
    #[serde(rename = "Asked")]
    Pending,
    /// Fronts send nothing new to the machine; attempts in flight run to their end.
    Draining,
    /// No front uses the machine. It may be worked on for the requested outage.
    Released {
        /// The fencing token of the lease under which it was released.
        #[serde(rename = "number")]
        fencing_token: u64,
    },
    /// The machine was reported as returned. Fronts send to it, and it is on probation.
    #[serde(rename = "Back")]
    Returned,
    /// The machine was returned and has answered for the whole probation.
    Done,
    /// The request was withdrawn before the machine was released.
    Withdrawn,
}

impl fmt::Display for Phase {
    /// The name in logs and in the output of commands. Operators' scripts may match it, so its older words stay.
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
    /// Whether fronts may not send to the machine.
    pub fn is_closed(self) -> bool {
        matches!(self, Phase::Draining | Phase::Released { .. })
    }

    /// Whether the machine counts as unavailable and adds no capacity to the fleet. A returned machine counts as
    /// unavailable until its probation is over.
    pub fn is_unavailable(self) -> bool {
        matches!(self, Phase::Draining | Phase::Released { .. } | Phase::Returned)
    }

    /// Whether the machine is done or withdrawn.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::Withdrawn)
    }
}
