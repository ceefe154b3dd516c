//! Who is served where, and who is refused: the most worth that the zones can bear, with a floor for every service
//! group, and then as evenly as can be over the zones.
//!
//! All groups draw on one resource, seconds of engine work, so taking groups by worth for each second, each as far as
//! flows can be rearranged to make room for it, yields the most worth there is (the sets that can be served form a
//! polymatroid). Floors come first, then the rest. That order is also the order of refusal, read backwards.

use crate::Zone;
use std::cmp::Ordering;

/// Less than this much work a second counts as nothing.
const EPSILON: f64 = 1e-9;
/// In so many portions zones are filled, so that all fill alike.
const FILL_STEPS: usize = 8;

/// A request class as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    /// Of a request answered in time.
    pub priority_weight: f64,
    /// Of a request, in seconds on one thread.
    pub work: f64,
    /// Requests a second.
    pub rate: f64,
    /// Seconds.
    pub latency_objective: f64,
    pub deadline: f64,
    /// The part that is served before any group gets more.
    pub floor: f64,
    /// The only zones where it may run.
    pub allowed_zones: Option<Vec<Zone>>,
}

impl ClassLoad {
    /// Work a second that is asked for.
    pub fn demand(&self) -> f64 {
        self.rate * self.work
    }

    fn allows(&self, zone: Zone) -> bool {
        self.allowed_zones.as_ref().is_none_or(|only| only.contains(&zone))
    }
}

/// Work a second that a zone can take before it falls over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneCapacity {
    pub zone: Zone,
    pub work: f64,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Allocation {
    /// By request class and zone (in the order of the capacities): work a second.
    pub flows: Vec<Vec<f64>>,
    /// By request class: the part of its demand that is served.
    pub served_shares: Vec<f64>,
    /// By request class: the part that no zone may take, however much room there is.
    pub unplaceable_shares: Vec<f64>,
    /// By zone: the part of its capacity that is filled.
    pub utilization: Vec<f64>,
    /// Groups in the order in which they are refused: the first loses first.
    pub shed_order: Vec<usize>,
}

impl Allocation {
    /// Worth served a second.
    pub fn value(&self, classes: &[ClassLoad]) -> f64 {
        classes
            .iter()
            .zip(&self.served_shares)
            .map(|(class, part)| part * class.rate * class.priority_weight)
            .sum()
    }
}

/// Works out who is served where.
pub fn allocate(classes: &[ClassLoad], capacities: &[ZoneCapacity]) -> Allocation {
    let mut order: Vec<usize> = (0..classes.len()).collect();
    order.sort_by(|a, b| by_value_density(&classes[*a], &classes[*b]).then(a.cmp(b)));
    let mut net = FlowNetwork::new(classes, capacities);
    for class in &order {
        net.serve(*class, classes[*class].demand() * classes[*class].floor.clamp(0.0, 1.0));
    }
    for class in &order {
        net.serve(*class, classes[*class].demand());
    }
    // How much of each is settled; now the same again in portions, so that all zones fill alike.
    let settled: Vec<f64> = (0..classes.len()).map(|class| net.served(class)).collect();
    let mut even = FlowNetwork::new(classes, capacities);
    for portion in 1..=FILL_STEPS {
        let part = portion as f64 / FILL_STEPS as f64;
        even.room.iter_mut().zip(capacities).for_each(|(room, capacity)| *room = capacity.work * part);
        for class in &order {
            even.serve(*class, settled[*class]);
        }
    }
    let part = |some: f64, of: f64| if of > EPSILON { (some / of).clamp(0.0, 1.0) } else { 1.0 };
    let served = (0..classes.len()).map(|class| part(even.served(class), classes[class].demand())).collect();
    let nowhere = classes.iter().map(|class| {
        let anywhere =
            capacities.iter().any(|capacity| capacity.work > EPSILON && class.allows(capacity.zone));
        if anywhere { 0.0 } else { 1.0 }
    });
    let filled = (0..capacities.len()).map(|zone| {
        let used: f64 = even.flows.iter().map(|flow| flow[zone]).sum();
        if capacities[zone].work > EPSILON { used / capacities[zone].work } else { 0.0 }
    });
    let (nowhere, filled) = (nowhere.collect(), filled.collect());
    order.reverse();
    Allocation {
        served_shares: served,
        unplaceable_shares: nowhere,
        utilization: filled,
        shed_order: order,
        flows: even.flows,
    }
}

/// Worth for each second of engine work first, then the shorter latency objective, then the shorter deadline: what has
/// longer may come again.
fn by_value_density(a: &ClassLoad, b: &ClassLoad) -> Ordering {
    let worth = |class: &ClassLoad| class.priority_weight / class.work.max(1e-6);
    let by_worth = worth(b).total_cmp(&worth(a));
    by_worth.then(a.latency_objective.total_cmp(&b.latency_objective)).then(a.deadline.total_cmp(&b.deadline))
}

struct FlowNetwork<'a> {
    classes: &'a [ClassLoad],
    capacities: &'a [ZoneCapacity],
    room: Vec<f64>,
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

    fn left(&self, zone: usize) -> f64 {
        self.room[zone] - self.flows.iter().map(|flow| flow[zone]).sum::<f64>()
    }

    /// Raises what a group is served to this much, as far as others can be moved to make room.
    fn serve(&mut self, class: usize, wanted: f64) {
        // Each turn fills a zone or empties a flow, so there are few; the bound is against rounding alone.
        for _ in 0..self.classes.len() * self.capacities.len() * 4 + 16 {
            let missing = wanted - self.served(class);
            if missing <= EPSILON {
                return;
            }
            let Some(path) = self.path(class) else { return };
            self.push(class, &path, missing);
        }
    }

    /// The shortest way to room: zones, and between each two the group that moves from the first to the second.
    fn path(&self, class: usize) -> Option<Vec<(usize, usize)>> {
        let zones = self.capacities.len();
        let mut from: Vec<Option<(usize, Option<usize>)>> = vec![None; zones];
        let mut reached = Vec::new();
        let mut emptiest: Vec<usize> =
            (0..zones).filter(|zone| self.classes[class].allows(self.capacities[*zone].zone)).collect();
        emptiest.sort_by(|a, b| self.left(*b).total_cmp(&self.left(*a)));
        for zone in emptiest {
            from[zone] = Some((class, None));
            reached.push(zone);
        }
        let mut at = 0;
        while at < reached.len() {
            let zone = reached[at];
            at += 1;
            if self.left(zone) > EPSILON {
                let (mut path, mut back) = (Vec::new(), Some(zone));
                while let Some(here) = back {
                    let (mover, before) = from[here]?;
                    path.push((mover, here));
                    back = before;
                }
                path.reverse();
                return Some(path);
            }
            for (mover, flow) in self.flows.iter().enumerate().filter(|(_, flow)| flow[zone] > EPSILON) {
                for (next, capacity) in self.capacities.iter().enumerate() {
                    if from[next].is_none() && self.classes[mover].allows(capacity.zone) && flow[zone] > 0.0 {
                        from[next] = Some((mover, Some(zone)));
                        reached.push(next);
                    }
                }
            }
        }
        None
    }

    fn push(&mut self, class: usize, path: &[(usize, usize)], missing: f64) {
        let last = path.last().map_or(0, |(_, zone)| *zone);
        let moved = path.windows(2).map(|pair| self.flows[pair[1].0][pair[0].1]);
        let much = moved.fold(missing.min(self.left(last)), f64::min);
        for pair in path.windows(2) {
            let (before, (mover, after)) = (pair[0].1, pair[1]);
            self.flows[mover][before] -= much;
            self.flows[mover][after] += much;
        }
        if let Some((_, first)) = path.first() {
            self.flows[class][*first] += much;
        }
    }
}
