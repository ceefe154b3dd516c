//! The operator's settings of maintenance.

use std::time::Duration;

/// The operator's settings of maintenance; they must be the same at every front.
#[derive(Debug, Clone, PartialEq)]
pub struct MaintenanceConfig {
    /// The time between two decisions of the coordinator.
    pub poll_interval: Duration,
    /// The names of the fronts that must confirm a drain before the machine is released.
    pub required_fronts: Vec<String>,
    /// The least value that must be servable with any one zone lost and machines unavailable, as a share of the value
    /// that is servable with only that zone lost; from 0 to 1.
    pub min_reserve: f64,
    /// The margin added to the present demand when the capacity reserve is checked, as a share of the demand; 0.1
    /// means ten percent more.
    pub demand_margin: f64,
    /// How long a returned machine must answer without a break before it is done.
    pub probation: Duration,
}
