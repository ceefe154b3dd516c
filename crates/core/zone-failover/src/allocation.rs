//! Who is served where, and who is rejected: the most value that the zones can bear, with a floor for every request
//! class, spread evenly over the zones.
//!
//! All classes draw on one resource, seconds of engine work. Classes are taken by value for each second of work, each as
//! far as flows can be rearranged to make room for it; that yields the most value there is, as the sets that can be
//! served form a polymatroid. Floors come first, then the rest. The same order read backwards is the order in which
//! classes are shed.

use crate::{Demand, Zone};
use std::cmp::Ordering;

/// Work a second below which a flow or a room counts as zero.
const EPSILON_WORK: f64 = 1e-9;
/// The least work of a request that the value is divided by, in seconds on one thread.
const MIN_REQUEST_WORK: f64 = 1e-6;
/// Zones are filled in so many equal portions, so that all fill alike.
const FILL_STEPS: usize = 8;

/// A request class as the allocation sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    /// The value of a request answered in time.
    pub priority_weight: f64,
    /// Work of a request, in seconds on one thread.
    pub work: f64,
    /// Requests a second.
    pub rate: f64,
    /// Seconds.
    pub latency_objective: f64,
    /// Seconds.
    pub deadline: f64,
    /// The share that is served before any class gets more, from 0 to 1.
    pub floor: f64,
    /// The only zones where it may run; none: all.
    pub allowed_zones: Option<Vec<Zone>>,
}

impl ClassLoad {
    /// Work a second that is asked for.
    pub fn demand(&self) -> f64 {
        self.rate * self.work
    }

    fn allows(&self, zone: Zone) -> bool {
        self.allowed_zones.as_ref().is_none_or(|allowed| allowed.contains(&zone))
    }

    fn value_of_work(&self) -> f64 {
        self.priority_weight / self.work.max(MIN_REQUEST_WORK)
    }
}

/// The classes as configured, with the observed demand; a class whose work is not known yet stays with its own.
pub fn with_demand(classes: &[ClassLoad], demand: &[Demand]) -> Vec<ClassLoad> {
    let observed = |(class, demand): (&ClassLoad, &Demand)| ClassLoad {
        rate: f64::from(demand.rate),
        work: if demand.work > 0.0 { f64::from(demand.work) } else { class.work },
        ..class.clone()
    };
    classes.iter().zip(demand).map(observed).collect()
}

/// What a zone can take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: Zone,
    /// Work a second: thread-seconds a second.
    pub work: f64,
}

/// Who is served where.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allocation {
    /// By request class and zone (in the order of the capacities): work a second.
    pub flows: Vec<Vec<f64>>,
    /// By request class: the share of its demand that is served.
    pub served_shares: Vec<f64>,
    /// By request class: the share that no zone may take, however much room there is; 0 or 1.
    pub unplaceable_shares: Vec<f64>,
    /// By zone: the share of its capacity that is filled.
    pub utilization: Vec<f64>,
    /// Request classes in the order in which they are shed: the first loses first.
    pub shed_order: Vec<usize>,
}

impl Allocation {
    /// Value served a second.
    pub fn value(&self, classes: &[ClassLoad]) -> f64 {
        classes
            .iter()
            .zip(&self.served_shares)
            .map(|(class, share)| share * class.rate * class.priority_weight)
            .sum()
    }
}

/// Works out who is served where.
pub fn allocate(classes: &[ClassLoad], capacities: &[ZoneCapacity]) -> Allocation {
    let mut order: Vec<usize> = (0..classes.len()).collect();
    order.sort_by(|a, b| by_value_of_work(&classes[*a], &classes[*b]).then(a.cmp(b)));
    let served_work = served_work(classes, capacities, &order);
    let network = fill_evenly(classes, capacities, &order, &served_work);
    let served_shares = (0..classes.len())
        .map(|class| served_share(network.served(class), classes[class].demand()))
        .collect();
    let unplaceable_shares = classes.iter().map(|class| unplaceable_share(class, capacities)).collect();
    let utilization = (0..capacities.len()).map(|zone| network.utilization(zone)).collect();
    order.reverse();
    Allocation { served_shares, unplaceable_shares, utilization, shed_order: order, flows: network.flows }
}

/// By class: work a second that is served, floors first.
fn served_work(classes: &[ClassLoad], capacities: &[ZoneCapacity], order: &[usize]) -> Vec<f64> {
    let mut network = FlowNetwork::new(classes, capacities);
    for class in order {
        network.serve(*class, classes[*class].demand() * classes[*class].floor.clamp(0.0, 1.0));
    }
    for class in order {
        network.serve(*class, classes[*class].demand());
    }
    (0..classes.len()).map(|class| network.served(class)).collect()
}

/// The same work again, with the zones' rooms raised step by step so that all fill alike.
fn fill_evenly<'a>(
    classes: &'a [ClassLoad],
    capacities: &'a [ZoneCapacity],
    order: &[usize],
    served_work: &[f64],
) -> FlowNetwork<'a> {
    let mut network = FlowNetwork::new(classes, capacities);
    for step in 1..=FILL_STEPS {
        let share = step as f64 / FILL_STEPS as f64;
        for (room, capacity) in network.room.iter_mut().zip(capacities) {
            *room = capacity.work * share;
        }
        for class in order {
            network.serve(*class, served_work[*class]);
        }
    }
    network
}

fn served_share(served: f64, demand: f64) -> f64 {
    if demand > EPSILON_WORK { (served / demand).clamp(0.0, 1.0) } else { 1.0 }
}

fn unplaceable_share(class: &ClassLoad, capacities: &[ZoneCapacity]) -> f64 {
    let may_run =
        capacities.iter().any(|capacity| capacity.work > EPSILON_WORK && class.allows(capacity.zone));
    if may_run { 0.0 } else { 1.0 }
}

/// Value for each second of work first, then the shorter latency objective, then the shorter deadline: a class with
/// longer ones can be retried later.
fn by_value_of_work(a: &ClassLoad, b: &ClassLoad) -> Ordering {
    let by_value = b.value_of_work().total_cmp(&a.value_of_work());
    by_value.then(a.latency_objective.total_cmp(&b.latency_objective)).then(a.deadline.total_cmp(&b.deadline))
}

/// A step of an augmenting path: this class's flow moves, or begins, at this zone.
#[derive(Debug, Clone, Copy)]
struct PathStep {
    class: usize,
    zone: usize,
}

/// How the search reached a zone: by moving this class's flow there from another zone; none where it begins there.
#[derive(Debug, Clone, Copy)]
struct Predecessor {
    class: usize,
    zone: Option<usize>,
}

/// Flows of work from classes to zones.
struct FlowNetwork<'a> {
    classes: &'a [ClassLoad],
    capacities: &'a [ZoneCapacity],
    /// By zone: work a second that may be used now.
    room: Vec<f64>,
    /// By class and zone: work a second.
    flows: Vec<Vec<f64>>,
}

impl<'a> FlowNetwork<'a> {
    fn new(classes: &'a [ClassLoad], capacities: &'a [ZoneCapacity]) -> FlowNetwork<'a> {
        let room = capacities.iter().map(|capacity| capacity.work.max(0.0)).collect();
        FlowNetwork { classes, capacities, room, flows: vec![vec![0.0; capacities.len()]; classes.len()] }
    }

    fn served(&self, class: usize) -> f64 {
        self.flows[class].iter().sum()
    }

    fn used(&self, zone: usize) -> f64 {
        self.flows.iter().map(|flow| flow[zone]).sum::<f64>()
    }

    fn room_left(&self, zone: usize) -> f64 {
        self.room[zone] - self.used(zone)
    }

    fn utilization(&self, zone: usize) -> f64 {
        let capacity = self.capacities[zone].work;
        if capacity > EPSILON_WORK { self.used(zone) / capacity } else { 0.0 }
    }

    /// Raises what a class is served to `wanted`, as far as others can be moved to make room.
    fn serve(&mut self, class: usize, wanted: f64) {
        // Each round fills a zone or empties a flow, so there are few; the bound is against rounding alone.
        for _ in 0..self.classes.len() * self.capacities.len() * 4 + 16 {
            let missing = wanted - self.served(class);
            if missing <= EPSILON_WORK {
                return;
            }
            let Some(path) = self.augmenting_path(class) else { return };
            self.push(class, &path, missing);
        }
    }

    /// The shortest path from a class to a zone with room, by breadth-first search.
    fn augmenting_path(&self, class: usize) -> Option<Vec<PathStep>> {
        let mut predecessors: Vec<Option<Predecessor>> = vec![None; self.capacities.len()];
        let mut queue = self.allowed_zones_emptiest_first(class);
        for zone in &queue {
            predecessors[*zone] = Some(Predecessor { class, zone: None });
        }
        let mut next_in_queue = 0;
        while next_in_queue < queue.len() {
            let zone = queue[next_in_queue];
            next_in_queue += 1;
            if self.room_left(zone) > EPSILON_WORK {
                return path_to(zone, &predecessors);
            }
            for (mover, flow) in self.flows.iter().enumerate() {
                if flow[zone] <= EPSILON_WORK {
                    continue;
                }
                for (next, capacity) in self.capacities.iter().enumerate() {
                    if predecessors[next].is_none() && self.classes[mover].allows(capacity.zone) {
                        predecessors[next] = Some(Predecessor { class: mover, zone: Some(zone) });
                        queue.push(next);
                    }
                }
            }
        }
        None
    }

    fn allowed_zones_emptiest_first(&self, class: usize) -> Vec<usize> {
        let mut zones: Vec<usize> = (0..self.capacities.len())
            .filter(|zone| self.classes[class].allows(self.capacities[*zone].zone))
            .collect();
        zones.sort_by(|a, b| self.room_left(*b).total_cmp(&self.room_left(*a)));
        zones
    }

    /// Moves as much along the path as is missing and as the path can carry.
    fn push(&mut self, class: usize, path: &[PathStep], missing: f64) {
        let last = path.last().map_or(0, |step| step.zone);
        let movable = path.windows(2).map(|pair| self.flows[pair[1].class][pair[0].zone]);
        let amount = movable.fold(missing.min(self.room_left(last)), f64::min);
        for pair in path.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            self.flows[after.class][before.zone] -= amount;
            self.flows[after.class][after.zone] += amount;
        }
        if let Some(first) = path.first() {
            self.flows[class][first.zone] += amount;
        }
    }
}

fn path_to(zone: usize, predecessors: &[Option<Predecessor>]) -> Option<Vec<PathStep>> {
    let mut path = Vec::new();
    let mut next = Some(zone);
    while let Some(zone) = next {
        let predecessor = predecessors[zone]?;
        path.push(PathStep { class: predecessor.class, zone });
        next = predecessor.zone;
    }
    path.reverse();
    Some(path)
}
