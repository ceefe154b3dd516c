//! Transitions of zones, and their reasons as logged.

use crate::ZoneState;
use std::fmt;

/// The reason of a zone's transition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionReason {
    /// The zone is unreachable for the confirmation time; during a drain also if it is partitioned.
    Unreachable,
    /// Only the zone's own fronts reach it, for the confirmation time.
    Partitioned,
    /// The zone is unreachable or partitioned, but not yet for the confirmation time.
    Suspected,
    /// A suspected zone is neither unreachable nor partitioned any more.
    EvidenceCleared,
    /// An operator drains the zone.
    OperatorDisabled,
    /// A drill ended by itself, as outcomes in another zone degraded.
    DrillDegradedOthers,
    /// An operator ended the drain.
    OperatorEnabled,
    /// The next step of a drain.
    DrainStep,
    /// A partitioned zone became unreachable for its own fronts too.
    UnreachableLocally,
    /// The recovery backoff is over.
    BackoffElapsed,
    /// The probed zone answered for the probation.
    ProbationPassed,
    /// The probed zone did not answer within four probations.
    ProbationFailed,
    /// The zone was lost again while it recovered.
    LostDuringRecovery,
    /// Attempts in a recovering zone fail or are slow.
    OutcomesDegraded,
    /// The next step of a recovery.
    RampStep,
    /// The recovery is complete.
    RampComplete,
}

impl fmt::Display for TransitionReason {
    /// The text in log lines.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            TransitionReason::Unreachable => "unreachable from most fronts",
            TransitionReason::Partitioned => "reachable from its own fronts only",
            TransitionReason::Suspected => "unreachable or partitioned, not confirmed yet",
            TransitionReason::EvidenceCleared => "no longer unreachable or partitioned",
            TransitionReason::OperatorDisabled => "drained by an operator",
            TransitionReason::DrillDegradedOthers => "drill ended, outcomes in another zone degraded",
            TransitionReason::OperatorEnabled => "drain ended by an operator",
            TransitionReason::DrainStep => "next drain step",
            TransitionReason::UnreachableLocally => "unreachable from its own fronts too",
            TransitionReason::BackoffElapsed => "recovery backoff elapsed",
            TransitionReason::ProbationPassed => "probation passed",
            TransitionReason::ProbationFailed => "no answer within four probations",
            TransitionReason::LostDuringRecovery => "lost again during recovery",
            TransitionReason::OutcomesDegraded => "outcomes degraded",
            TransitionReason::RampStep => "next recovery step",
            TransitionReason::RampComplete => "recovery complete",
        })
    }
}

/// A change of a zone's state or of the share that is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The state before.
    pub from: ZoneState,
    /// The state after; equal to `from` if only the open share changes.
    pub to: ZoneState,
    /// The share of the zone's engines that is open now, in thousandths.
    pub open_permille: u16,
    /// The reason.
    pub reason: TransitionReason,
}
