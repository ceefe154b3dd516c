//! `[fleet.sites]`.

use lemonusher_zone_failover::FailoverConfig;
use serde::Deserialize;
use std::time::Duration;

/// `[fleet.zones]`: failover of zones; alike at every front. Times are in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Sites")]
pub struct ZonesSection {
    /// Between two reports of a front.
    #[serde(rename = "period_ms")]
    pub report_interval_ms: u64,
    /// A loss must last so long.
    #[serde(rename = "confirm_ms")]
    pub confirmation_time_ms: u64,
    /// A lost zone must answer for so long before it returns.
    #[serde(rename = "steady_ms")]
    pub probation_ms: u64,
    /// Between two steps of a return, at least.
    #[serde(rename = "pace_ms")]
    pub ramp_interval_ms: u64,
    /// A lost zone is left alone for so long; doubles with each loss in a row.
    #[serde(rename = "wait_ms")]
    pub recovery_backoff_ms: u64,
    /// A front that has heard nothing of the plan for so long decides by itself.
    #[serde(rename = "stale_ms")]
    pub plan_timeout_ms: u64,
    /// Share of the remaining capacity that a plan uses at most, from 0 to 1.
    #[serde(rename = "safe_part")]
    pub max_utilization: f64,
    /// Share of each request class that is admitted at least, from 0 to 1.
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
    /// What the fleet's part for zones is configured with.
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
