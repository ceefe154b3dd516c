//! Section `[fleet.sites]`.

use lemonusher_zone_failover::FailoverConfig;
use serde::Deserialize;
use std::time::Duration;

/// `[fleet.sites]`: failover of zones; the same at every front. Times are in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Sites")]
pub struct ZonesSection {
    /// Interval between two reports of a front.
    #[serde(rename = "period_ms")]
    pub report_interval_ms: u64,
    /// How long an engine must leave requests unanswered to count as silent, and then how long a zone's health
    /// must stay bad before the zone counts as lost.
    #[serde(rename = "confirm_ms")]
    pub confirmation_time_ms: u64,
    /// How long a probed zone must answer before it recovers.
    #[serde(rename = "steady_ms")]
    pub probation_ms: u64,
    /// Minimum time between two steps of a recovery or of a drain.
    #[serde(rename = "pace_ms")]
    pub ramp_interval_ms: u64,
    /// How long a lost zone is left alone before it is probed; doubled with each loss in a row, 16-fold at most.
    #[serde(rename = "wait_ms")]
    pub recovery_backoff_ms: u64,
    /// A front that has not confirmed the plan for this long is isolated.
    #[serde(rename = "stale_ms")]
    pub plan_timeout_ms: u64,
    /// Maximum share of a zone's cores that a plan fills, above 0 and up to 1.
    #[serde(rename = "safe_part")]
    pub max_utilization: f64,
    /// Share of each request class's demand that is served before any class gets more, from 0 to 0.5.
    #[serde(rename = "floor_part")]
    pub admission_floor: f64,
}

impl Default for ZonesSection {
    fn default() -> ZonesSection {
        ZonesSection {
            report_interval_ms: 500,
            confirmation_time_ms: 2000,
            probation_ms: 4000,
            ramp_interval_ms: 5000,
            recovery_backoff_ms: 5000,
            plan_timeout_ms: 10_000,
            max_utilization: 0.8,
            admission_floor: 0.05,
        }
    }
}

impl ZonesSection {
    /// The configuration of zone failover.
    pub fn config(&self) -> FailoverConfig {
        let ms = Duration::from_millis;
        FailoverConfig {
            report_interval: ms(self.report_interval_ms),
            confirmation_time: ms(self.confirmation_time_ms),
            probation: ms(self.probation_ms),
            ramp_interval: ms(self.ramp_interval_ms),
            recovery_backoff: ms(self.recovery_backoff_ms),
            plan_timeout: ms(self.plan_timeout_ms),
            max_utilization: self.max_utilization,
            admission_floor: self.admission_floor,
        }
    }
}
