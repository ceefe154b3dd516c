//! Section `[fleet.works]`.

use lemonusher_maintenance::MaintenanceConfig;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;

/// `[fleet.works]`: maintenance of machines; the same at every front. Requires `[fleet.sites]`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Works")]
pub struct MaintenanceSection {
    /// Names of the fronts that must confirm that a machine is drained before it is released.
    #[serde(rename = "fronts")]
    pub required_fronts: Vec<String>,
    /// Address that receives a datagram for each released machine.
    #[serde(rename = "tell")]
    pub notify: Option<Spanned<SocketAddr>>,
    /// While machines are out, this share (from 0 to 1) of the value that could be served with a zone lost must
    /// still be served with that zone lost.
    #[serde(rename = "keep_part", default = "MaintenanceSection::default_min_reserve")]
    pub min_reserve: f64,
    /// Share of the present demand that is planned for in addition to it while machines are out; 0.1 plans for
    /// 10 % more.
    #[serde(rename = "margin_part", default = "MaintenanceSection::default_demand_margin")]
    pub demand_margin: f64,
    /// How long a returned machine must answer before it counts as done, in milliseconds.
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

    /// The configuration of maintenance, whose coordinator decides once per `poll_interval`.
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
