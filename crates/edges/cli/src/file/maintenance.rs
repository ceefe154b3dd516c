//! `[fleet.works]`.

use lemonusher_maintenance::MaintenanceConfig;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;

/// `[fleet.maintenance]`: maintenance of machines; alike at every front. Needs `[fleet.zones]`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Works")]
pub struct MaintenanceSection {
    /// Names of the fronts that must confirm that a machine is drained before it is released.
    #[serde(rename = "fronts")]
    pub required_fronts: Vec<String>,
    /// Address that is notified of each released machine by a datagram.
    #[serde(rename = "tell")]
    pub notify: Option<Spanned<SocketAddr>>,
    /// Share that must still be served, of what would be served with a zone lost; from 0 to 1.
    #[serde(rename = "keep_part", default = "MaintenanceSection::default_min_reserve")]
    pub min_reserve: f64,
    /// By what share more demand than now is provided for.
    #[serde(rename = "margin_part", default = "MaintenanceSection::default_demand_margin")]
    pub demand_margin: f64,
    /// A returned machine must answer for so long, in milliseconds.
    #[serde(rename = "steady_ms", default = "MaintenanceSection::default_probation_ms")]
    pub probation_ms: u64,
}

impl MaintenanceSection {
    fn default_min_reserve() -> f64 {
        0.9
    }

    fn default_demand_margin() -> f64 {
        0.1
    }

    fn default_probation_ms() -> u64 {
        10_000
    }

    /// What the fleet's part for maintenance is configured with; it polls at this interval.
    pub fn config(&self, poll_interval: Duration) -> MaintenanceConfig {
        MaintenanceConfig {
            poll_interval,
            required_fronts: self.required_fronts.clone(),
            min_reserve: self.min_reserve,
            demand_margin: self.demand_margin,
            probation: Duration::from_millis(self.probation_ms),
        }
    }
}
