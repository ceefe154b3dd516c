//! What an operator configures of zone failover, and its bounds.

use std::time::Duration;

/// Report intervals over which a loss is confirmed at least.
const MIN_CONFIRMATION_REPORTS: u32 = 2;
/// Report intervals for which a plan stays valid at least.
const MIN_PLAN_TIMEOUT_REPORTS: u32 = 4;
/// The largest admission floor, as a share of a class's demand.
const MAX_ADMISSION_FLOOR: f64 = 0.5;

/// What an operator configures of zone failover; the same at every front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverConfig {
    /// How often a front reports what it observes.
    pub report_interval: Duration,
    /// How long an engine must leave requests unanswered to count as silent, and then how long a zone's health must stay bad
    /// before the zone counts as lost. A zone that falls silent without errors needs both.
    pub confirmation_time: Duration,
    /// How long a probed zone must answer before it recovers.
    pub probation: Duration,
    /// The least time between two steps of a recovery or of a drain.
    pub ramp_interval: Duration,
    /// How long a lost zone is left alone before it is probed; doubled with each loss in a row, 16-fold at most.
    pub recovery_backoff: Duration,
    /// The share of a zone's cores that a plan fills, over 0 up to 1.
    pub max_utilization: f64,
    /// The share of each request class's demand that is served before any class gets more, from 0 to 0.5.
    pub admission_floor: f64,
    /// A front that has not confirmed the plan for so long is isolated.
    pub plan_timeout: Duration,
}

/// Why a [`FailoverConfig`] is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FailoverConfigError {
    /// The confirmation time is under two report intervals, or the interval is zero.
    #[error("a loss is confirmed over two periods at least")]
    ConfirmationTooShort,
    /// The utilization or the floor lies outside its range.
    #[error("the safe part goes up to 1, the floor up to 0.5")]
    ShareOutOfRange,
    /// The plan timeout is under four report intervals.
    #[error("a plan is stale after four periods at least")]
    PlanTimeoutTooShort,
}

impl FailoverConfig {
    /// Checks the bounds; reports the first that is broken.
    pub fn validate(&self) -> Result<(), FailoverConfigError> {
        let interval = self.report_interval;
        if interval.is_zero() || self.confirmation_time < interval * MIN_CONFIRMATION_REPORTS {
            return Err(FailoverConfigError::ConfirmationTooShort);
        }
        // NaN lies in no range.
        if !(f64::MIN_POSITIVE..=1.0).contains(&self.max_utilization)
            || !(0.0..=MAX_ADMISSION_FLOOR).contains(&self.admission_floor)
        {
            return Err(FailoverConfigError::ShareOutOfRange);
        }
        if self.plan_timeout < interval * MIN_PLAN_TIMEOUT_REPORTS {
            return Err(FailoverConfigError::PlanTimeoutTooShort);
        }
        Ok(())
    }
}
