//! Whoever holds the lease: it settles what goes next, releases what all have let go, and takes back what returns.

use crate::{
    CapacityReserve, DrainConfirmation, FleetCapacity, MAX_REQUESTS, Machine, MaintenanceConfig,
    MaintenanceRequest, Phase,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Attempts elsewhere that fail or are slow beyond this part stop the queue.
const MAX_DEGRADED_SHARE: f64 = 0.2;
/// Moves settled at once, so that one change stays small.
const MAX_DRAINS_PER_CHANGE: usize = 4;

/// What is to be settled: this request's register, if what stands there is still of this stamp.
#[derive(Debug, Clone, PartialEq)]
pub struct RegisterWrite {
    pub request: u8,
    pub expected: (u64, u64),
    pub value: MaintenanceRequest,
}

/// What is wanted of the registers.
#[derive(Debug, Clone, PartialEq)]
pub enum RegisterAction {
    /// What stands there, by a whole round, which also ends whatever an earlier coordinator may still have under way.
    Read(u8),
    Write(RegisterWrite),
}

/// What the coordinator is told of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    pub capacity: FleetCapacity,
    /// The part of attempts that fail or are slow.
    pub degraded_share: f64,
    /// Zones that are not up by the plan for lost zones.
    pub zones_down: bool,
}

/// Why a request waits, for its operator; or who is to be told that a machine is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    Blocked { request: u8, machine: Machine, reason: String },
    Released { request: u8, machine: Machine, fencing_token: u64 },
}

#[derive(Debug, Clone, Default)]
pub struct MaintenanceCoordinator {
    requests: BTreeMap<u8, ((u64, u64), MaintenanceRequest)>,
    /// By machine and request: the fronts that have let go, and under which stamp.
    confirmed: BTreeMap<(u8, Machine), BTreeMap<String, (u64, u64)>>,
    /// Since when each machine is in its phase, as this coordinator has seen; a new one counts anew.
    since: BTreeMap<(u8, Machine), (Phase, Duration)>,
    requested_at: BTreeMap<u8, Duration>,
    next: Duration,
    blocked: Vec<Notice>,
    /// The number of the lease under which it acts.
    fencing_token: Option<u64>,
    /// Requests of which it does not know for sure what stands there: nothing is drained before it does, as what an
    /// earlier coordinator has out, or a change of its own with an unknown end, would not be counted.
    unread: BTreeSet<u8>,
    /// A round is under way.
    busy: bool,
}

impl MaintenanceCoordinator {
    /// A majority shows this request.
    pub fn handle_request(
        &mut self,
        now: Duration,
        number: u8,
        version: (u64, u64),
        work: MaintenanceRequest,
    ) {
        if usize::from(number) >= MAX_REQUESTS
            || self.requests.get(&number).is_some_and(|(known, _)| *known >= version)
        {
            return;
        }
        for (machine, phase) in &work.machines {
            let at = (number, *machine);
            if self.since.get(&at).is_none_or(|(known, _)| known != phase) {
                self.since.insert(at, (*phase, now));
                if *phase == Phase::Draining {
                    self.confirmed.remove(&at);
                }
            }
        }
        self.since.retain(|(other, machine), _| *other != number || work.phase(*machine).is_some());
        self.requested_at.entry(number).or_insert(now);
        self.requests.insert(number, (version, work));
    }

    /// The lease is held under this number, or not held.
    pub fn set_lease(&mut self, number: Option<u64>) {
        if self.fencing_token != number {
            self.fencing_token = number;
            self.unread = (0..MAX_REQUESTS as u8).collect();
            self.busy = false;
        }
    }

    pub fn is_active(&self) -> bool {
        self.fencing_token.is_some()
    }

    /// A whole round has shown what stands there.
    pub fn handle_committed(
        &mut self,
        now: Duration,
        number: u8,
        stands: Option<((u64, u64), MaintenanceRequest)>,
    ) {
        self.busy = false;
        self.unread.remove(&number);
        match stands {
            Some((version, work)) => self.handle_request(now, number, version, work),
            None => _ = self.requests.remove(&number),
        }
    }

    /// A round came to no known end.
    pub fn handle_failure(&mut self, number: u8) {
        self.busy = false;
        self.unread.insert(number);
    }

    /// A front that counts says that it has let go.
    pub fn handle_confirmations(&mut self, front: &str, confirmations: &[DrainConfirmation]) {
        for DrainConfirmation { request: work, version, machine } in confirmations {
            let known = self.requests.get(work).and_then(|(_, work)| work.phase(*machine));
            if known == Some(Phase::Draining) {
                self.confirmed.entry((*work, *machine)).or_default().insert(front.to_owned(), *version);
            }
        }
    }

    /// Machines that are out, over all requests.
    pub fn machines_out(&self) -> BTreeSet<Machine> {
        let all = self.requests.values().flat_map(|(_, work)| &work.machines);
        all.filter(|(_, phase)| phase.is_out()).map(|(machine, _)| *machine).collect()
    }

    /// Why requests wait, as of the last turn.
    pub fn blocked(&self) -> &[Notice] {
        &self.blocked
    }

    /// Machines that are released: whoever works on them is told again and again until they are back.
    pub fn released(&self) -> Vec<Notice> {
        let mut all = Vec::new();
        for (number, (_, work)) in &self.requests {
            for (machine, phase) in &work.machines {
                if let Phase::Released { fencing_token: under } = phase {
                    all.push(Notice::Released { request: *number, machine: *machine, fencing_token: *under });
                }
            }
        }
        all
    }

    /// What is wanted next, one thing at a time; nothing while the lease is not held.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &MaintenanceConfig,
        seen: &FleetView,
    ) -> Option<RegisterAction> {
        let number = self.fencing_token.filter(|_| !self.busy)?;
        if let Some(unread) = self.unread.first().copied() {
            self.busy = true;
            return Some(RegisterAction::Read(unread));
        }
        if now < self.next {
            return None;
        }
        self.next = now + config.poll_interval;
        self.blocked.clear();
        let change =
            self.complete_returned(now, config, seen).or_else(|| self.release_drained(config, number));
        let change = change.or_else(|| self.start_drains(now, config, seen))?;
        self.busy = true;
        Some(RegisterAction::Write(change))
    }

    fn change(&self, work: u8, moves: &[(Machine, Phase)]) -> Option<RegisterWrite> {
        let (after, value) = self.requests.get(&work)?;
        let mut value = value.clone();
        moves.iter().for_each(|(machine, phase)| value.set(*machine, *phase));
        Some(RegisterWrite { request: work, expected: *after, value })
    }

    /// What is back and has answered for long enough is done.
    fn complete_returned(
        &mut self,
        now: Duration,
        config: &MaintenanceConfig,
        seen: &FleetView,
    ) -> Option<RegisterWrite> {
        for (number, (_, work)) in &self.requests {
            for (machine, phase) in work.machines.iter().filter(|(_, phase)| *phase == Phase::Returned) {
                let answers = seen.capacity.machines.get(machine).is_some_and(|(_, _, answers)| *answers);
                let at = self.since.entry((*number, *machine)).or_insert((*phase, now));
                if !answers {
                    at.1 = now;
                    let why = "it was told as back, but does not answer".to_owned();
                    self.blocked.push(Notice::Blocked { request: *number, machine: *machine, reason: why });
                } else if now >= at.1 + config.probation {
                    let (work, machine) = (*number, *machine);
                    return self.change(work, &[(machine, Phase::Done)]);
                }
            }
        }
        None
    }

    /// What all who count have let go is released.
    fn release_drained(&mut self, config: &MaintenanceConfig, number: u64) -> Option<RegisterWrite> {
        for (work, (_, value)) in &self.requests {
            for (machine, _) in value.machines.iter().filter(|(_, phase)| *phase == Phase::Draining) {
                let gone = self.confirmed.get(&(*work, *machine));
                let missing: Vec<&str> = (config.required_fronts.iter())
                    .filter(|front| !value.excludes(&config.required_fronts, front))
                    .filter(|front| gone.is_none_or(|gone| !gone.contains_key(*front)))
                    .map(String::as_str)
                    .collect();
                if missing.is_empty() {
                    return self.change(*work, &[(*machine, Phase::Released { fencing_token: number })]);
                }
                let why = format!("draining; {} have not let go: {}", missing.len(), missing.join(", "));
                self.blocked.push(Notice::Blocked { request: *work, machine: *machine, reason: why });
            }
        }
        None
    }

    /// What goes next: the most urgent request, then who has waited longest; of its machines those whose loss leaves
    /// most to spare.
    fn start_drains(
        &mut self,
        now: Duration,
        config: &MaintenanceConfig,
        seen: &FleetView,
    ) -> Option<RegisterWrite> {
        let stop = self.stop_reason(now, seen);
        let mut order: Vec<u8> = self.requests.keys().copied().collect();
        order.sort_by_key(|number| {
            let urgency = self.requests[number].1.urgency;
            (std::cmp::Reverse(urgency), self.requested_at.get(number).copied().unwrap_or(now), *number)
        });
        let mut reserve = None;
        for number in order {
            let (_, work) = &self.requests[&number];
            let asked: Vec<Machine> = (work.machines.iter())
                .filter(|(_, phase)| *phase == Phase::Pending)
                .map(|(machine, _)| *machine)
                .collect();
            let Some(first) = asked.first().copied() else { continue };
            let here = self.out_of_request(work);
            let room = usize::from(work.max_concurrent).saturating_sub(here).min(MAX_DRAINS_PER_CHANGE);
            let wait =
                |why: &str| Notice::Blocked { request: number, machine: first, reason: why.to_owned() };
            let why = match &stop {
                Some(why) => Some(why.clone()),
                None if work.on_hold => Some("held by an operator".to_owned()),
                None if room == 0 => Some(format!("{here} of it are out, as many as asked for")),
                None => None,
            };
            if let Some(why) = why {
                self.blocked.push(wait(&why));
                continue;
            }
            let reserve = reserve.get_or_insert_with(|| {
                CapacityReserve::new(seen.capacity.clone(), config.min_reserve, config.demand_margin)
            });
            let mut out = self.machines_out();
            let mut moves = Vec::new();
            let mut left: Vec<Machine> = asked
                .into_iter()
                .filter(|machine| reserve.knows(*machine) && !out.contains(machine))
                .collect();
            if left.is_empty() {
                self.blocked.push(wait("it is not among the engines, or out for another"));
            }
            while moves.len() < room && !left.is_empty() {
                let spare = |machine: &Machine| {
                    let mut with = out.clone();
                    with.insert(*machine);
                    reserve.headroom(&with)
                };
                let spares: Vec<f64> = left.iter().map(spare).collect();
                let best = (0..left.len()).max_by(|a, b| spares[*a].total_cmp(&spares[*b]).then(b.cmp(a)));
                let Some(best) = best.filter(|best| spares[*best] >= 1.0) else { break };
                let machine = left.remove(best);
                out.insert(machine);
                moves.push((machine, Phase::Draining));
            }
            if !moves.is_empty() {
                return self.change(number, &moves);
            }
            if !left.is_empty() {
                self.blocked.push(wait("the rest could not carry it, or the loss of a site besides"));
            }
        }
        None
    }

    /// How many machines of the whole request are out, of which this may be a part.
    fn out_of_request(&self, work: &MaintenanceRequest) -> usize {
        let out =
            |work: &MaintenanceRequest| work.machines.iter().filter(|(_, phase)| phase.is_out()).count();
        if work.extension.request_group == 0 {
            return out(work);
        }
        let parts =
            self.requests.values().map(|(_, other)| other).filter(|other| other.is_same_request(work));
        parts.map(out).sum()
    }

    /// Why nothing further may be begun at all.
    fn stop_reason(&self, now: Duration, seen: &FleetView) -> Option<String> {
        if seen.zones_down {
            return Some("a site is not up".to_owned());
        }
        if seen.degraded_share > MAX_DEGRADED_SHARE {
            return Some("outcomes have worsened".to_owned());
        }
        for ((number, machine), (phase, since)) in &self.since {
            let out = self.requests.get(number).map_or(0, |(_, work)| work.max_outage_s);
            let late = now >= *since + Duration::from_secs(u64::from(out.max(1)));
            if matches!(phase, Phase::Released { .. }) && late {
                return Some(format!("machine {machine:08x} has been out for longer than was asked"));
            }
        }
        None
    }
}
