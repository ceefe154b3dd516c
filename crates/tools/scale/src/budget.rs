//! The size that the fleet is designed for, and the budget of each role at that size.

use crate::role::{Axis, Role};
use crate::sample::{Metric, metric};

/// Fronts at the design size.
pub const FRONTS: u32 = 520;
/// Engines at the design size.
pub const ENGINES: u32 = 1_300;
/// Zones at the design size.
pub const ZONES: u32 = 7;
/// Regions at the design size.
pub const REGIONS: u32 = 2;
/// Client connections of all fronts.
pub const CLIENT_CONNECTIONS: u32 = 3_400_000;
/// Client connections of one front.
pub const CONNECTIONS_PER_FRONT: u32 = 6_540;
/// Requests a second to one front.
pub const REQUESTS_PER_SECOND: u32 = 2_885;
/// Configuration changes a day.
pub const CHANGES_PER_DAY: u32 = 360;
/// Engines restarted or replaced in a day.
pub const REPLACEMENTS_PER_DAY: u32 = 110;
/// Machines set aside for control.
pub const CONTROL_MACHINES: u32 = 8;

/// Processor time of one front for control, in percent of a core.
pub const CONTROL_PROCESSOR_PERCENT: f64 = 1.8;
/// Memory of one front for control, in MB.
pub const CONTROL_MEMORY_MB: f64 = 256.0;
/// Bytes a second that one front may send and receive for control, in total.
pub const CONTROL_BYTES_PER_SECOND: f64 = 2_048.0;
/// Time within which a configuration change has to be in force at all fronts, in seconds.
pub const IN_FORCE_SECONDS: f64 = 3.0;
/// Time within which a task must have another working lease holder, in seconds.
pub const REPLACEMENT_SECONDS: f64 = 9.0;

/// Processor time that the platform gives a front (`docs/front-example.json`, `limits`), in percent of a core.
pub const FRONT_PROCESSOR_PERCENT: f64 = 100.0;
/// Memory that the platform gives a front, in MB.
pub const FRONT_MEMORY_MB: f64 = 192.0;
/// Descriptors that the platform gives a front.
pub const FRONT_DESCRIPTORS: f64 = 1_024.0;

/// The upper limit of a metric of a role at the design size.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// The metric.
    pub metric: Metric,
    /// The limit, in the metric's unit.
    pub max: f64,
}

/// The design size along an axis.
pub fn design_size(axis: Axis) -> u32 {
    match axis {
        Axis::Fronts => FRONTS,
        Axis::Engines => ENGINES,
        Axis::Connections => CONNECTIONS_PER_FRONT,
    }
}

/// All budgets of a role. The budget for control is shared by all roles; each role is compared with all of it, and the
/// page adds them up.
pub fn of(role: Role) -> Vec<Budget> {
    let control = [
        (metric::PROCESSOR, CONTROL_PROCESSOR_PERCENT),
        (metric::MEMORY, CONTROL_MEMORY_MB),
        (metric::BYTES_CONTROL, CONTROL_BYTES_PER_SECOND),
    ];
    let own: Vec<(Metric, f64)> = match role {
        Role::Decision => {
            vec![(metric::PROCESSOR, FRONT_PROCESSOR_PERCENT), (metric::MEMORY, FRONT_MEMORY_MB)]
        }
        Role::Connections => vec![
            (metric::PROCESSOR, FRONT_PROCESSOR_PERCENT),
            (metric::MEMORY, FRONT_MEMORY_MB),
            (metric::DESCRIPTORS, FRONT_DESCRIPTORS),
        ],
        Role::Configuration => control.into_iter().chain([(metric::IN_FORCE, IN_FORCE_SECONDS)]).collect(),
        Role::Leases | Role::ControlMachines => {
            control.into_iter().chain([(metric::REPLACEMENT, REPLACEMENT_SECONDS)]).collect()
        }
        Role::Discovery | Role::FailureDetector | Role::Maintenance => control.into(),
    };
    own.into_iter().map(|(metric, max)| Budget { metric, max }).collect()
}

/// The budget of one metric of a role, if it has one.
pub fn of_metric(role: Role, metric: &Metric) -> Option<f64> {
    of(role).into_iter().find(|budget| budget.metric == *metric).map(|budget| budget.max)
}
