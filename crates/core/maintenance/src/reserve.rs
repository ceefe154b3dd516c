//! Whether the rest can carry the load without a machine, also with any one zone lost.

use crate::Machine;
use lemonusher_zone_failover::{ClassLoad, Zone, ZoneCapacity, allocate};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of the machines and of what is asked for.
#[derive(Debug, Clone, Default)]
pub struct FleetCapacity {
    /// Of each machine: its zone, what it bears (work a second), and whether it answers.
    pub machines: BTreeMap<Machine, (Zone, f64, bool)>,
    pub classes: Vec<ClassLoad>,
}

#[derive(Debug, Clone)]
pub struct CapacityReserve {
    fleet: FleetCapacity,
    zones: Vec<Zone>,
    /// Worth with nothing lost, and with each zone lost, that must still be served.
    required_value: Vec<f64>,
}

impl CapacityReserve {
    /// `keep`: the part of what could be served that must be served with machines out; with no zone lost, nearly all.
    pub fn new(mut fleet: FleetCapacity, keep: f64, margin: f64) -> CapacityReserve {
        fleet.classes.iter_mut().for_each(|class| class.rate *= 1.0 + margin);
        let zones: BTreeSet<Zone> = fleet.machines.values().map(|(zone, ..)| *zone).collect();
        let zones: Vec<Zone> = zones.into_iter().collect();
        let mut reserve = CapacityReserve { fleet, zones, required_value: Vec::new() };
        let none = BTreeSet::new();
        let whole = reserve.value(&none, None);
        let mut wanted = vec![whole * 0.99];
        wanted.extend(reserve.zones.iter().map(|zone| reserve.value(&none, Some(*zone)) * keep));
        reserve.required_value = wanted;
        reserve
    }

    fn value(&self, out: &BTreeSet<Machine>, lost: Option<Zone>) -> f64 {
        let mut bears: BTreeMap<Zone, f64> = BTreeMap::new();
        for (machine, (zone, work, answers)) in &self.fleet.machines {
            // A machine that failed by itself is out as well.
            if *answers && !out.contains(machine) && Some(*zone) != lost {
                *bears.entry(*zone).or_default() += work;
            }
        }
        let capacities: Vec<ZoneCapacity> =
            bears.into_iter().map(|(zone, work)| ZoneCapacity { zone, work }).collect();
        allocate(&self.fleet.classes, &capacities).value(&self.fleet.classes)
    }

    /// How much is to spare with these machines out: the least over all cases of what is served over what must be; under
    /// one it is too much.
    pub fn headroom(&self, out: &BTreeSet<Machine>) -> f64 {
        let cases = std::iter::once(None).chain(self.zones.iter().map(|zone| Some(*zone)));
        let parts = cases.zip(&self.required_value).map(|(lost, wanted)| {
            if *wanted <= 1e-9 { f64::INFINITY } else { self.value(out, lost) / wanted }
        });
        parts.fold(f64::INFINITY, f64::min)
    }

    pub fn knows(&self, machine: Machine) -> bool {
        self.fleet.machines.contains_key(&machine)
    }
}
