//! The operator's settings of zone failover, and their limits.

use std::time::Duration;

/// The least confirmation time, in report intervals.
const MIN_CONFIRMATION_REPORTS: u32 = 2;
/// The least plan timeout, in report intervals.
const MIN_PLAN_TIMEOUT_REPORTS: u32 = 4;
/// The largest admission floor, as a share of a class's demand.
const MAX_ADMISSION_FLOOR: f64 = 0.5;

/// The operator's settings of zone failover; they must be the same at every front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverConfig {
    /// The time between two reports of a front to the voters.
    pub report_interval: Duration,
    /// How long an engine must leave requests unanswered to count as silent, and how long a zone's health must stay
    /// bad before the zone counts as lost. A zone that stops answering without errors is lost after twice this time.
    pub confirmation_time: Duration,
    /// How long a zone must answer its probes before its recovery starts.
    pub probation: Duration,
    /// The least time between two steps of a recovery or of a drain.
    pub ramp_interval: Duration,
    /// How long a lost zone receives nothing before it is probed; doubled with each consecutive loss, up to 16-fold.
    pub recovery_backoff: Duration,
    /// The share of a zone's cores that a plan may use, over 0 up to 1.
    pub max_utilization: f64,
    /// The share of each request class's demand that is served before any class gets more, from 0 to 0.5.
    pub admission_floor: f64,
    /// A front is isolated if it has not confirmed the plan with a majority of the voters for this time.
    pub plan_timeout: Duration,
}

/// An invalid setting of a [`FailoverConfig`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FailoverConfigError {
    /// The confirmation time is under two report intervals, or the interval is zero.
    #[error("the confirmation time must be at least two report intervals, and the report interval over zero")]
    ConfirmationTooShort,
    /// The utilization or the admission floor lies outside its range.
    #[error("the maximum utilization must be over 0 and up to 1, the admission floor from 0 to 0.5")]
    ShareOutOfRange,
    /// The plan timeout is under four report intervals.
    #[error("the plan timeout must be at least four report intervals")]
    PlanTimeoutTooShort,
}

impl FailoverConfig {
    /// Checks all limits; returns the first that is violated.
    pub fn validate(&self) -> Result<(), FailoverConfigError> {
        let interval = self.report_interval;
        if interval.is_zero() || self.confirmation_time < interval * MIN_CONFIRMATION_REPORTS {
            return Err(FailoverConfigError::ConfirmationTooShort);
        }
        // NaN is in no range, so it is rejected.
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
