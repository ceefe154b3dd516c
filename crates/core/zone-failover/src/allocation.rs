//! Allocates the demand of the request classes to the zones. The allocation serves the greatest value that the zones'
//! capacities allow, grants every class its floor first, and loads the zones evenly.
//!
//! All classes consume one resource, engine work in thread-seconds a second. Classes are served in order of value
//! for each second of work, each as far as the flows of other classes can be rerouted to make capacity for it. This
//! greedy order yields the greatest value, as the sets of work that can be served form a polymatroid. All floors are
//! served before the rest of any demand. The reverse order is the order in which classes are shed.

use crate::{Demand, Zone};
use std::cmp::Ordering;

/// Work a second below which a flow or a capacity counts as zero.
const EPSILON_WORK: f64 = 1e-9;
/// A lower limit of a request's work where its value is divided by it, in seconds on one thread.
const MIN_REQUEST_WORK: f64 = 1e-6;
/// The number of equal steps in which each zone's capacity limit rises to its full capacity; see [`fill_evenly`].
const FILL_STEPS: usize = 8;

/// A request class, with its demand and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    /// The value of one request that is answered in time.
    pub priority_weight: f64,
    /// The mean work of one request, in seconds on one thread.
    pub work: f64,
    /// Arrivals, in requests a second.
    pub rate: f64,
    /// The latency objective of the class, in seconds.
    pub latency_objective: f64,
    /// The deadline of the class, in seconds.
    pub deadline: f64,
    /// The share of the demand that is served before any class gets more than its floor, from 0 to 1.
    pub floor: f64,
    /// The only zones where the class may run; `None` allows all.
    pub allowed_zones: Option<Vec<Zone>>,
}

impl ClassLoad {
    /// The demand, in thread-seconds of work a second.
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

/// The configured classes with the observed demand. A class without observed work keeps its configured work.
pub fn with_demand(classes: &[ClassLoad], demand: &[Demand]) -> Vec<ClassLoad> {
    let observed = |(class, demand): (&ClassLoad, &Demand)| ClassLoad {
        rate: f64::from(demand.rate),
        work: if demand.work > 0.0 { f64::from(demand.work) } else { class.work },
        ..class.clone()
    };
    classes.iter().zip(demand).map(observed).collect()
}

/// The capacity of a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneCapacity {
    /// The zone.
    pub zone: Zone,
    /// The work that it can do, in thread-seconds a second.
    pub work: f64,
}

/// The work of each request class in each zone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allocation {
    /// Work a second, by request class and zone; zones are in the order of the capacities.
    pub flows: Vec<Vec<f64>>,
    /// The share of the demand that is served, by request class; from 0 to 1.
    pub served_shares: Vec<f64>,
    /// By request class: 1 if no zone with capacity may run the class, else 0.
    pub unplaceable_shares: Vec<f64>,
    /// The share of the capacity that is used, by zone in the order of the capacities.
    pub utilization: Vec<f64>,
    /// Request classes in the order in which they are shed, the first to be shed first.
    pub shed_order: Vec<usize>,
}

impl Allocation {
    /// The value served a second, in units of priority weight.
    pub fn value(&self, classes: &[ClassLoad]) -> f64 {
        classes
            .iter()
            .zip(&self.served_shares)
            .map(|(class, share)| share * class.rate * class.priority_weight)
            .sum()
    }
}

/// Allocates the demand of the classes to the zones.
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

/// The work a second that is served, by class; all floors are served first.
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

/// Allocates the served work in rounds. Each round raises every zone's capacity limit by the same share of its
/// capacity, so that the zones are used about equally.
fn fill_evenly<'a>(
    classes: &'a [ClassLoad],
    capacities: &'a [ZoneCapacity],
    order: &[usize],
    served_work: &[f64],
) -> FlowNetwork<'a> {
    let mut network = FlowNetwork::new(classes, capacities);
    for step in 1..=FILL_STEPS {
        let share = step as f64 / FILL_STEPS as f64;
        for (limit, capacity) in network.capacity_limits.iter_mut().zip(capacities) {
            *limit = capacity.work * share;
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

/// Orders by value for each second of work, then by shorter latency objective, then by shorter deadline. Clients of a
/// class with longer ones can retry later.
fn by_value_of_work(a: &ClassLoad, b: &ClassLoad) -> Ordering {
    let by_value = b.value_of_work().total_cmp(&a.value_of_work());
    by_value.then(a.latency_objective.total_cmp(&b.latency_objective)).then(a.deadline.total_cmp(&b.deadline))
}

/// A step of an augmenting path: flow of this class is moved to this zone, or is added there at the first step.
#[derive(Debug, Clone, Copy)]
struct PathStep {
    class: usize,
    zone: usize,
}

/// The edge by which the search reached a zone: flow of this class can be moved there from another zone.
#[derive(Debug, Clone, Copy)]
struct Predecessor {
    class: usize,
    /// The zone that the flow is moved from; none where the path begins.
    zone: Option<usize>,
}

/// The flows of work from classes to zones, with capacity limits of the zones.
struct FlowNetwork<'a> {
    classes: &'a [ClassLoad],
    capacities: &'a [ZoneCapacity],
    /// Work a second that may be used at the current fill step, by zone.
    capacity_limits: Vec<f64>,
    /// Work a second, by class and zone.
    flows: Vec<Vec<f64>>,
}

impl<'a> FlowNetwork<'a> {
    fn new(classes: &'a [ClassLoad], capacities: &'a [ZoneCapacity]) -> FlowNetwork<'a> {
        let capacity_limits = capacities.iter().map(|capacity| capacity.work.max(0.0)).collect();
        FlowNetwork {
            classes,
            capacities,
            capacity_limits,
            flows: vec![vec![0.0; capacities.len()]; classes.len()],
        }
    }

    fn served(&self, class: usize) -> f64 {
        self.flows[class].iter().sum()
    }

    fn used(&self, zone: usize) -> f64 {
        self.flows.iter().map(|flow| flow[zone]).sum::<f64>()
    }

    fn capacity_left(&self, zone: usize) -> f64 {
        self.capacity_limits[zone] - self.used(zone)
    }

    fn utilization(&self, zone: usize) -> f64 {
        let capacity = self.capacities[zone].work;
        if capacity > EPSILON_WORK { self.used(zone) / capacity } else { 0.0 }
    }

    /// Raises the served work of a class to `wanted`, as far as flows of other classes can be moved to make capacity.
    fn serve(&mut self, class: usize, wanted: f64) {
        // Each iteration fills a zone, empties a flow or ends, so there are few. The limit guards against rounding
        // errors.
        for _ in 0..self.classes.len() * self.capacities.len() * 4 + 16 {
            let missing = wanted - self.served(class);
            if missing <= EPSILON_WORK {
                return;
            }
            let Some(path) = self.augmenting_path(class) else { return };
            self.push(class, &path, missing);
        }
    }

    /// The shortest path from a class to a zone with capacity left, by breadth-first search.
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
            if self.capacity_left(zone) > EPSILON_WORK {
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
        zones.sort_by(|a, b| self.capacity_left(*b).total_cmp(&self.capacity_left(*a)));
        zones
    }

    /// Moves the missing work along the path, or as much of it as the path allows.
    fn push(&mut self, class: usize, path: &[PathStep], missing: f64) {
        let last = path.last().map_or(0, |step| step.zone);
        let movable = path.windows(2).map(|pair| self.flows[pair[1].class][pair[0].zone]);
        let amount = movable.fold(missing.min(self.capacity_left(last)), f64::min);
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
