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
    LocalFrontsLostIt,
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
            TransitionReason::Unreachable => "it answers nobody",
            TransitionReason::Partitioned => "only its own fronts reach it",
            TransitionReason::Suspected => "evidence speaks against it",
            TransitionReason::EvidenceCleared => "the evidence has passed",
            TransitionReason::OperatorDisabled => "an operator takes it out",
            TransitionReason::DrillDegradedOthers => "the drill made others worse",
            TransitionReason::OperatorEnabled => "an operator gives it back",
            TransitionReason::DrainStep => "a further step out",
            TransitionReason::LocalFrontsLostIt => "its own fronts lost it too",
            TransitionReason::BackoffElapsed => "it has been left alone for its wait",
            TransitionReason::ProbationPassed => "it answered for long enough",
            TransitionReason::ProbationFailed => "it did not answer when tried out",
            TransitionReason::LostDuringRecovery => "lost again on its return",
            TransitionReason::OutcomesDegraded => "outcomes there worsen",
            TransitionReason::RampStep => "what is open there does well",
            TransitionReason::RampComplete => "all of it is open",
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
