//! Notices of the coordinator to operators and to the system that works on machines. Commands print these
//! texts, and operators' scripts may match them, so the wording must not change, older words included.

use crate::Machine;
use std::fmt;

/// A notice about a machine of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The request can't proceed with this machine; shown to operators.
    Blocked {
        /// The register of the request.
        request: u8,
        /// The machine.
        machine: Machine,
        /// The reason.
        reason: BlockReason,
    },
    /// The machine is released for maintenance; sent to the system that works on machines.
    Released {
        /// The register of the request.
        request: u8,
        /// The machine.
        machine: Machine,
        /// The fencing token of the lease under which the machine was released.
        fencing_token: u64,
    },
}

/// The reason why a request can't proceed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BlockReason {
    /// The machine was reported as returned, but does not answer.
    ReturnedNotAnswering,
    /// These fronts have not confirmed the drain.
    MissingConfirmations(Vec<String>),
    /// The request is on hold.
    OnHold,
    /// This number of machines of the request are unavailable, as many as the request allows at once.
    MaxConcurrent(usize),
    /// Every pending machine of the request is unknown as an engine, or already unavailable by another request.
    MachineUnavailable,
    /// Without the next machine the others could not serve the load, or not with a zone lost as well.
    NoHeadroom,
    /// A zone is not up by the failover plan.
    ZoneNotUp,
    /// Too many attempts fail or are slow.
    OutcomesDegraded,
    /// This machine has been released for longer than the requested outage.
    OutageExceeded(Machine),
}

impl fmt::Display for BlockReason {
    /// The text in the output of commands.
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
