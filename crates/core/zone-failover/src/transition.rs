//! A transition of a zone, and its reason, as logs show them.

use crate::ZoneState;
use std::fmt;

/// Why a zone was moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionReason {
    /// No front reaches it.
    Unreachable,
    /// Only its own fronts reach it.
    Partitioned,
    /// It is unreachable or partitioned, not yet for the confirmation time.
    Suspected,
    /// A suspected zone is healthy again.
    EvidenceCleared,
    /// An operator drains it.
    OperatorDisabled,
    /// A drill ended, as outcomes elsewhere degraded.
    DrillDegradedOthers,
    /// An operator ended the drain.
    OperatorEnabled,
    /// The drain goes on.
    DrainStep,
    /// A partitioned zone became unreachable for its own fronts too.
    LocalFrontsLostIt,
    /// The recovery backoff is over.
    BackoffElapsed,
    /// The probed zone answered for the probation.
    ProbationPassed,
    /// The probed zone did not answer in time.
    ProbationFailed,
    /// Lost again while it recovered.
    LostDuringRecovery,
    /// Attempts there fail or are slow while it recovers.
    OutcomesDegraded,
    /// The recovery goes on.
    RampStep,
    /// The recovery is complete.
    RampComplete,
}

impl fmt::Display for TransitionReason {
    /// The wording in logs.
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
    /// The state after; the same where only the open share changes.
    pub to: ZoneState,
    /// The share of the zone's engines that is open now, in thousandths.
    pub open_permille: u16,
    /// Why.
    pub reason: TransitionReason,
}
