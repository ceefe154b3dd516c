//! The lease settings, which must be the same at all fronts and voters of a fleet.

use std::fmt;
use std::time::Duration;

/// Shortest lease duration that may be configured.
const MIN_DURATION: Duration = Duration::from_millis(100);
/// Longest lease duration that may be configured.
const MAX_DURATION: Duration = Duration::from_secs(600);
/// The configured clock drift must be below this many thousandths.
const DRIFT_LIMIT_PERMILLE: u32 = 500;

/// Lease duration and limits on clock drift and actions. They must be the same at all fronts and voters of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a lease lasts on its holder's clock; 100 ms to 10 minutes.
    pub duration: Duration,
    /// Maximum deviation of a clock's rate from true time, fast or slow, in thousandths; below 500.
    pub clock_drift_permille: u32,
    /// Longest time that one action takes. It matters for resources that can't refuse an older fencing token.
    pub max_action_time: Duration,
}

/// A setting of a [`LeaseConfig`] that is out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseConfigError {
    /// The duration is shorter than 100 ms or longer than 10 minutes.
    Duration,
    /// The clock drift is 500 thousandths or more.
    ClockDrift,
}

impl fmt::Display for LeaseConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            LeaseConfigError::Duration => "lease duration must be from 100 ms to 10 minutes",
            LeaseConfigError::ClockDrift => "clock drift must be less than 500 thousandths",
        })
    }
}

impl std::error::Error for LeaseConfigError {}

impl LeaseConfig {
    /// How long a voter counts a grant as held, on its own clock. The holder's lease has ended by then, even if the
    /// voter's clock is as fast and the holder's as slow as the drift allows.
    pub fn voter_hold_time(&self) -> Duration {
        self.with_drift(self.duration)
    }

    /// Extends a duration by the clock drift: the result on one clock takes at least as long as `duration` on any
    /// other clock within the drift.
    pub fn with_drift(&self, duration: Duration) -> Duration {
        duration * (1000 + self.clock_drift_permille) / (1000 - self.clock_drift_permille).max(1)
    }

    /// Checks the duration and the clock drift against their limits.
    pub fn validate(&self) -> Result<(), LeaseConfigError> {
        if self.duration < MIN_DURATION || self.duration > MAX_DURATION {
            return Err(LeaseConfigError::Duration);
        }
        if self.clock_drift_permille >= DRIFT_LIMIT_PERMILLE {
            return Err(LeaseConfigError::ClockDrift);
        }
        Ok(())
    }
}
