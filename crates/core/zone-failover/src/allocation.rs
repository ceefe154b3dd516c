//! Who is served where, and who is refused: the most worth that the zones can bear, with a floor for every service
//! group, and then as evenly as can be over the zones.
//!
//! All groups draw on one resource, seconds of engine work, so taking groups by worth for each second, each as far as
//! flows can be rearranged to make room for it, yields the most worth there is (the sets that can be served form a
//! polymatroid). Floors come first, then the rest. That order is also the order of refusal, read backwards.

use crate::Zone;
use std::cmp::Ordering;

/// Less than this much work a second counts as nothing.
const NOTHING: f64 = 1e-9;
/// In so many portions zones are filled, so that all fill alike.
const PORTIONS: usize = 8;

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

    fn allows(&self, site: Zone) -> bool {
        self.allowed_zones.as_ref().is_none_or(|only| only.contains(&site))
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
    pub fn value(&self, groups: &[ClassLoad]) -> f64 {
        groups
            .iter()
            .zip(&self.served_shares)
            .map(|(group, part)| part * group.rate * group.priority_weight)
            .sum()
    }
}

/// Works out who is served where.
pub fn allocate(groups: &[ClassLoad], capacities: &[ZoneCapacity]) -> Allocation {
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by(|a, b| dearer(&groups[*a], &groups[*b]).then(a.cmp(b)));
    let mut net = Net::new(groups, capacities);
    for group in &order {
        net.serve(*group, groups[*group].demand() * groups[*group].floor.clamp(0.0, 1.0));
    }
    for group in &order {
        net.serve(*group, groups[*group].demand());
    }
    // How much of each is settled; now the same again in portions, so that all zones fill alike.
    let settled: Vec<f64> = (0..groups.len()).map(|group| net.served(group)).collect();
    let mut even = Net::new(groups, capacities);
    for portion in 1..=PORTIONS {
        let part = portion as f64 / PORTIONS as f64;
        even.room.iter_mut().zip(capacities).for_each(|(room, capacity)| *room = capacity.work * part);
        for group in &order {
            even.serve(*group, settled[*group]);
        }
    }
    let part = |some: f64, of: f64| if of > NOTHING { (some / of).clamp(0.0, 1.0) } else { 1.0 };
    let served = (0..groups.len()).map(|group| part(even.served(group), groups[group].demand())).collect();
    let nowhere = groups.iter().map(|group| {
        let anywhere =
            capacities.iter().any(|capacity| capacity.work > NOTHING && group.allows(capacity.zone));
        if anywhere { 0.0 } else { 1.0 }
    });
    let filled = (0..capacities.len()).map(|site| {
        let used: f64 = even.flows.iter().map(|flow| flow[site]).sum();
        if capacities[site].work > NOTHING { used / capacities[site].work } else { 0.0 }
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
fn dearer(a: &ClassLoad, b: &ClassLoad) -> Ordering {
    let worth = |group: &ClassLoad| group.priority_weight / group.work.max(1e-6);
    let by_worth = worth(b).total_cmp(&worth(a));
    by_worth.then(a.latency_objective.total_cmp(&b.latency_objective)).then(a.deadline.total_cmp(&b.deadline))
}

struct Net<'a> {
    groups: &'a [ClassLoad],
    capacities: &'a [ZoneCapacity],
    room: Vec<f64>,
    flows: Vec<Vec<f64>>,
}

impl<'a> Net<'a> {
    fn new(groups: &'a [ClassLoad], capacities: &'a [ZoneCapacity]) -> Net<'a> {
        let room = capacities.iter().map(|capacity| capacity.work.max(0.0)).collect();
        Net { groups, capacities, room, flows: vec![vec![0.0; capacities.len()]; groups.len()] }
    }

    fn served(&self, group: usize) -> f64 {
        self.flows[group].iter().sum()
    }

    fn left(&self, site: usize) -> f64 {
        self.room[site] - self.flows.iter().map(|flow| flow[site]).sum::<f64>()
    }

    /// Raises what a group is served to this much, as far as others can be moved to make room.
    fn serve(&mut self, group: usize, wanted: f64) {
        // Each turn fills a zone or empties a flow, so there are few; the bound is against rounding alone.
        for _ in 0..self.groups.len() * self.capacities.len() * 4 + 16 {
            let missing = wanted - self.served(group);
            if missing <= NOTHING {
                return;
            }
            let Some(path) = self.path(group) else { return };
            self.push(group, &path, missing);
        }
    }

    /// The shortest way to room: zones, and between each two the group that moves from the first to the second.
    fn path(&self, group: usize) -> Option<Vec<(usize, usize)>> {
        let sites = self.capacities.len();
        let mut from: Vec<Option<(usize, Option<usize>)>> = vec![None; sites];
        let mut reached = Vec::new();
        let mut emptiest: Vec<usize> =
            (0..sites).filter(|site| self.groups[group].allows(self.capacities[*site].zone)).collect();
        emptiest.sort_by(|a, b| self.left(*b).total_cmp(&self.left(*a)));
        for site in emptiest {
            from[site] = Some((group, None));
            reached.push(site);
        }
        let mut at = 0;
        while at < reached.len() {
            let site = reached[at];
            at += 1;
            if self.left(site) > NOTHING {
                let (mut path, mut back) = (Vec::new(), Some(site));
                while let Some(here) = back {
                    let (mover, before) = from[here]?;
                    path.push((mover, here));
                    back = before;
                }
                path.reverse();
                return Some(path);
            }
            for (mover, flow) in self.flows.iter().enumerate().filter(|(_, flow)| flow[site] > NOTHING) {
                for (next, capacity) in self.capacities.iter().enumerate() {
                    if from[next].is_none() && self.groups[mover].allows(capacity.zone) && flow[site] > 0.0 {
                        from[next] = Some((mover, Some(site)));
                        reached.push(next);
                    }
                }
            }
        }
        None
    }

    fn push(&mut self, group: usize, path: &[(usize, usize)], missing: f64) {
        let last = path.last().map_or(0, |(_, site)| *site);
        let moved = path.windows(2).map(|pair| self.flows[pair[1].0][pair[0].1]);
        let much = moved.fold(missing.min(self.left(last)), f64::min);
        for pair in path.windows(2) {
            let (before, (mover, after)) = (pair[0].1, pair[1]);
            self.flows[mover][before] -= much;
            self.flows[mover][after] += much;
        }
        if let Some((_, first)) = path.first() {
            self.flows[group][*first] += much;
        }
    }
}
