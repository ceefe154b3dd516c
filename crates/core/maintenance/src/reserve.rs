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
        fleet.classes.iter_mut().for_each(|group| group.rate *= 1.0 + margin);
        let sites: BTreeSet<Zone> = fleet.machines.values().map(|(site, ..)| *site).collect();
        let sites: Vec<Zone> = sites.into_iter().collect();
        let mut reserve = CapacityReserve { fleet, zones: sites, required_value: Vec::new() };
        let none = BTreeSet::new();
        let whole = reserve.value(&none, None);
        let mut wanted = vec![whole * 0.99];
        wanted.extend(reserve.zones.iter().map(|site| reserve.value(&none, Some(*site)) * keep));
        reserve.required_value = wanted;
        reserve
    }

    fn value(&self, out: &BTreeSet<Machine>, lost: Option<Zone>) -> f64 {
        let mut bears: BTreeMap<Zone, f64> = BTreeMap::new();
        for (machine, (site, work, answers)) in &self.fleet.machines {
            // A machine that failed by itself is out as well.
            if *answers && !out.contains(machine) && Some(*site) != lost {
                *bears.entry(*site).or_default() += work;
            }
        }
        let capacities: Vec<ZoneCapacity> =
            bears.into_iter().map(|(site, work)| ZoneCapacity { zone: site, work }).collect();
        allocate(&self.fleet.classes, &capacities).value(&self.fleet.classes)
    }

    /// How much is to spare with these machines out: the least over all cases of what is served over what must be; under
    /// one it is too much.
    pub fn headroom(&self, out: &BTreeSet<Machine>) -> f64 {
        let cases = std::iter::once(None).chain(self.zones.iter().map(|site| Some(*site)));
        let parts = cases.zip(&self.required_value).map(|(lost, wanted)| {
            if *wanted <= 1e-9 { f64::INFINITY } else { self.value(out, lost) / wanted }
        });
        parts.fold(f64::INFINITY, f64::min)
    }

    pub fn knows(&self, machine: Machine) -> bool {
        self.fleet.machines.contains_key(&machine)
    }
}
