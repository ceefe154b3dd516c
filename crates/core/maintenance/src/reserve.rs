//! Checks whether the remaining machines can serve the load while some are unavailable, also if a zone is lost.
//!
//! The load is the present demand plus the configured margin. While machines are unavailable, at least 0.99 of
//! the value that all machines could serve must still be served. With any one zone lost as well, at least the
//! configured share of the value that could be served with only that zone lost must still be served. Machines that
//! don't answer have no capacity in any of these cases.

use crate::Machine;
use lemonusher_zone_failover::{ClassLoad, Zone, ZoneCapacity, allocate};
use std::collections::{BTreeMap, BTreeSet};

/// The share of the value that must still be served while no zone is lost.
const MIN_VALUE_SHARE: f64 = 0.99;
/// A required value of at most this, per second, counts as zero.
const EPSILON_VALUE: f64 = 1e-9;

/// The capacity of a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineCapacity {
    /// The machine's zone.
    pub zone: Zone,
    /// The work that it can do, in thread-seconds a second.
    pub work: f64,
    /// Whether the machine answers.
    pub answers: bool,
}

/// The capacity of all machines, and the demand.
#[derive(Debug, Clone, Default)]
pub struct FleetCapacity {
    /// The capacity, by machine.
    pub machines: BTreeMap<Machine, MachineCapacity>,
    /// The demand of all fronts, by request class.
    pub classes: Vec<ClassLoad>,
}

/// The value that must still be served while machines are unavailable.
#[derive(Debug, Clone)]
pub struct CapacityReserve {
    fleet: FleetCapacity,
    zones: Vec<Zone>,
    /// The value a second that must be served: first with no zone lost, then with each of `zones` lost.
    required_value: Vec<f64>,
}

impl CapacityReserve {
    /// Computes the required values. `min_reserve` and `demand_margin` are as in [`crate::MaintenanceConfig`].
    pub fn new(mut fleet: FleetCapacity, min_reserve: f64, demand_margin: f64) -> CapacityReserve {
        fleet.classes.iter_mut().for_each(|class| class.rate *= 1.0 + demand_margin);
        let zones: BTreeSet<Zone> = fleet.machines.values().map(|machine| machine.zone).collect();
        let zones: Vec<Zone> = zones.into_iter().collect();
        let mut reserve = CapacityReserve { fleet, zones, required_value: Vec::new() };
        let none_unavailable = BTreeSet::new();
        let mut required = vec![reserve.value(&none_unavailable, None) * MIN_VALUE_SHARE];
        let with_zone_lost = reserve.zones.iter().map(|zone| reserve.value(&none_unavailable, Some(*zone)));
        required.extend(with_zone_lost.map(|value| value * min_reserve));
        reserve.required_value = required;
        reserve
    }

    /// The headroom with these machines unavailable: the value served over the value required, in the worst
    /// case of no zone or any one zone lost. Below 1, too many machines are unavailable.
    pub fn headroom(&self, unavailable: &BTreeSet<Machine>) -> f64 {
        let lost_zones = std::iter::once(None).chain(self.zones.iter().map(|zone| Some(*zone)));
        let ratios = lost_zones.zip(&self.required_value).map(|(lost, required)| {
            if *required <= EPSILON_VALUE { f64::INFINITY } else { self.value(unavailable, lost) / required }
        });
        ratios.fold(f64::INFINITY, f64::min)
    }

    /// Whether the machine belongs to the fleet.
    pub fn has_machine(&self, machine: Machine) -> bool {
        self.fleet.machines.contains_key(&machine)
    }

    /// The value a second that can be served with these machines unavailable and this zone lost.
    fn value(&self, unavailable: &BTreeSet<Machine>, lost: Option<Zone>) -> f64 {
        let mut work_by_zone: BTreeMap<Zone, f64> = BTreeMap::new();
        for (id, machine) in &self.fleet.machines {
            if machine.answers && !unavailable.contains(id) && Some(machine.zone) != lost {
                *work_by_zone.entry(machine.zone).or_default() += machine.work;
            }
        }
        let capacities: Vec<ZoneCapacity> =
            work_by_zone.into_iter().map(|(zone, work)| ZoneCapacity { zone, work }).collect();
        allocate(&self.fleet.classes, &capacities).value(&self.fleet.classes)
    }
}
