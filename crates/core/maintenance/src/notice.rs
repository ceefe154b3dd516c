//! What the coordinator tells operators, and whoever works on machines. The texts are shown by commands.

use crate::Machine;
use std::fmt;

/// A notice about a machine of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The request does not go on with this machine, for its operator.
    Blocked {
        /// The register of the request.
        request: u8,
        /// The machine.
        machine: Machine,
        /// Why.
        reason: BlockReason,
    },
    /// The machine may be worked on.
    Released {
        /// The register of the request.
        request: u8,
        /// The machine.
        machine: Machine,
        /// Of the lease under which it was released.
        fencing_token: u64,
    },
}

/// Why a request does not go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BlockReason {
    /// The machine was reported back, but does not answer.
    ReturnedNotAnswering,
    /// These fronts have not confirmed the drain.
    MissingConfirmations(Vec<String>),
    /// The request is on hold.
    OnHold,
    /// So many machines of the request are out, the most that it allows at once.
    MaxConcurrent(usize),
    /// None of its pending machines is known as an engine and not out already.
    MachineUnavailable,
    /// The other machines could not serve the load, or not with a zone lost as well.
    NoHeadroom,
    /// A zone is not up.
    ZoneNotUp,
    /// Attempts fail or are slow.
    OutcomesDegraded,
    /// This machine has been out for longer than was requested.
    OutageExceeded(Machine),
}

impl fmt::Display for BlockReason {
    /// The wording that operators are shown.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            BlockReason::ReturnedNotAnswering => f.write_str("it was told as back, but does not answer"),
            BlockReason::MissingConfirmations(fronts) => {
                write!(f, "draining; {} have not let go: {}", fronts.len(), fronts.join(", "))
            }
            BlockReason::OnHold => f.write_str("held by an operator"),
            BlockReason::MaxConcurrent(out) => write!(f, "{out} of it are out, as many as asked for"),
            BlockReason::MachineUnavailable => f.write_str("it is not among the engines, or out for another"),
            BlockReason::NoHeadroom => {
                f.write_str("the rest could not carry it, or the loss of a site besides")
            }
            BlockReason::ZoneNotUp => f.write_str("a site is not up"),
            BlockReason::OutcomesDegraded => f.write_str("outcomes have worsened"),
            BlockReason::OutageExceeded(machine) => {
                write!(f, "machine {machine:08x} has been out for longer than was asked")
            }
        }
    }
}
