//! What all fronts and voters of a fleet must be configured with alike.

use std::fmt;
use std::time::Duration;

/// The shortest lease that may be configured.
const MIN_DURATION: Duration = Duration::from_millis(100);
/// The longest lease that may be configured.
const MAX_DURATION: Duration = Duration::from_secs(600);
/// Clock drift must be below this many thousandths.
const DRIFT_LIMIT_PERMILLE: u32 = 500;

/// Durations of leases and bounds on clocks. All fronts and voters of a fleet must have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// For how long a lease is granted.
    pub duration: Duration,
    /// By how many thousandths a clock may run fast or slow against true time; below 500.
    pub clock_drift_permille: u32,
    /// The longest time that one action takes where the resource can't refuse an older fencing token.
    pub max_action_time: Duration,
}

/// Why a [`LeaseConfig`] is not valid.
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
            LeaseConfigError::Duration => "a lease lasts from 100 ms to 10 minutes",
            LeaseConfigError::ClockDrift => "a clock's drift is under 500 thousandths",
        })
    }
}

impl std::error::Error for LeaseConfigError {}

impl LeaseConfig {
    /// For how long a voter counts a grant as held, on its own clock. However fast that clock runs, and however slow the
    /// holder's, the holder's lease has ended by then.
    pub fn voter_hold_time(&self) -> Duration {
        self.with_drift(self.duration)
    }

    /// A time span on one clock that is at least as long as `span` on any other clock within the drift.
    pub fn with_drift(&self, span: Duration) -> Duration {
        span * (1000 + self.clock_drift_permille) / (1000 - self.clock_drift_permille).max(1)
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
