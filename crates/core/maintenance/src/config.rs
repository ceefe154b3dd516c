//! What an operator configures of maintenance.

use std::time::Duration;

/// What an operator configures of maintenance; the same at every front.
#[derive(Debug, Clone, PartialEq)]
pub struct MaintenanceConfig {
    /// How often the coordinator decides.
    pub poll_interval: Duration,
    /// The fronts that must confirm a drain before its machine is released, by name.
    pub required_fronts: Vec<String>,
    /// The share of the value that could be served with a zone lost which must still be served with it lost while
    /// machines are out; from 0 to 1.
    pub min_reserve: f64,
    /// By which share more than the present demand is planned for while machines are out.
    pub demand_margin: f64,
    /// How long a returned machine must answer before it counts as done.
    pub probation: Duration,
}
