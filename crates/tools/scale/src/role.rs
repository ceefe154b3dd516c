//! The roles of a front that are measured.

use clap::ValueEnum;
use clap::builder::PossibleValue;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A measured role of a front. Its names are used on the command line and in CSV files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Routing decisions over an endpoint list.
    Decision,
    /// Applying updates of the endpoint list.
    Discovery,
    /// The failure detector between the fronts.
    FailureDetector,
    /// Leases and registers.
    Leases,
    /// Configuration changes by management clients.
    Configuration,
    /// Client connections.
    Connections,
    /// Zone failover and maintenance.
    Maintenance,
    /// Voters on dedicated machines.
    ControlMachines,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 8] = [
        Role::Decision,
        Role::Discovery,
        Role::FailureDetector,
        Role::Leases,
        Role::Configuration,
        Role::Connections,
        Role::Maintenance,
        Role::ControlMachines,
    ];

    /// The name on the command line and of the CSV file.
    pub fn name(self) -> &'static str {
        match self {
            Role::Decision => "decision",
            Role::Discovery => "discovery",
            Role::FailureDetector => "failure-detector",
            Role::Leases => "leases",
            Role::Configuration => "configuration",
            Role::Connections => "connections",
            Role::Maintenance => "maintenance",
            Role::ControlMachines => "control-machines",
        }
    }

    /// The axis that the sizes of its samples count along.
    pub fn axis(self) -> Axis {
        match self {
            Role::Decision | Role::Discovery | Role::Maintenance => Axis::Engines,
            Role::FailureDetector | Role::Leases | Role::Configuration | Role::ControlMachines => {
                Axis::Fronts
            }
            Role::Connections => Axis::Connections,
        }
    }
}

impl ValueEnum for Role {
    fn value_variants<'a>() -> &'a [Self] {
        &Role::ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The quantity that a size counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Axis {
    /// Fronts of the fleet.
    Fronts,
    /// Engines of the fleet.
    Engines,
    /// Client connections of one front.
    Connections,
}

impl Axis {
    /// The plural noun for tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Fronts => "fronts",
            Axis::Engines => "engines",
            Axis::Connections => "connections",
        }
    }
}
