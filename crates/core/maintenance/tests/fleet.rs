//! Simulates maintenance in virtual time: fronts that send, restart, and read and confirm requests late; coordinators
//! that restart without memory; released machines that are reported as returned. Checks that no front sends to a
//! released machine or has anything in flight there, and, while no zone is down, that the remaining
//! machines can serve the load.

mod common;

use common::{class, ms, version};
use lemonusher_maintenance::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ZONES: u32 = 3;
const MACHINES_PER_ZONE: u32 = 8;
const FRONTS: usize = 7;

fn config() -> MaintenanceConfig {
    MaintenanceConfig {
        poll_interval: ms(100),
        required_fronts: (0..FRONTS).map(front_name).collect(),
        min_reserve: 0.9,
        demand_margin: 0.1,
        probation: ms(300),
    }
}

fn front_name(front: usize) -> String {
    format!("n{front}")
}

/// 24 machines with a capacity of 8 each. The demand plus its margin of 0.1 is about nine tenths of the capacity that
/// is left with a zone lost.
fn fleet(dead: &BTreeSet<Machine>) -> FleetCapacity {
    let capacity = |machine| MachineCapacity {
        zone: machine / MACHINES_PER_ZONE,
        work: 8.0,
        answers: !dead.contains(&machine),
    };
    let machines = (0..ZONES * MACHINES_PER_ZONE).map(|machine| (machine, capacity(machine)));
    FleetCapacity { machines: machines.collect(), classes: vec![class(104.0)] }
}

/// The state that a front's router has applied; it follows the participant with a delay.
#[derive(Default)]
struct Applied {
    revision: u64,
    closed: BTreeSet<Machine>,
    open: bool,
}

#[derive(Default)]
struct Front {
    participant: Participant,
    applied: Applied,
    in_flight: BTreeMap<Machine, u32>,
    alive: bool,
    disconnected: bool,
}

impl Front {
    fn may_send(&self, machine: Machine) -> bool {
        self.applied.open && !self.applied.closed.contains(&machine)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The coordinator does not wait for one front.
    FrontNotRequired,
    /// A front confirms before its router has stopped sending.
    CountedBeforeClosing,
    /// A front that starts uses all machines before it knows all requests.
    StartsOpen,
    /// The headroom is not checked.
    NoReserve,
}

/// A message with confirmations to the coordinator, not delivered yet.
struct Sent {
    arrives: Duration,
    front: String,
    confirmations: Vec<DrainConfirmation>,
}

struct World {
    now: Duration,
    fault: Fault,
    registers: BTreeMap<u8, VersionedRequest>,
    fronts: Vec<Front>,
    coordinator: MaintenanceCoordinator,
    fencing_token: u64,
    sent: Vec<Sent>,
    rng: fastrand::Rng,
    dead: BTreeSet<Machine>,
    zones_down: bool,
    /// The violations of the rules so far.
    violations: Vec<String>,
    max_out: usize,
    released: usize,
    /// An operation of the coordinator that has not completed.
    pending: Option<RegisterAction>,
}

impl World {
    fn new(seed: u64, fault: Fault) -> World {
        let front = || Front { alive: true, ..Front::default() };
        World {
            now: ms(0),
            fault,
            registers: BTreeMap::new(),
            fronts: (0..FRONTS).map(|_| front()).collect(),
            coordinator: MaintenanceCoordinator::default(),
            fencing_token: 1,
            sent: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            dead: BTreeSet::new(),
            zones_down: false,
            violations: Vec::new(),
            max_out: 0,
            released: 0,
            pending: None,
        }
    }

    fn commit(&mut self, register: u8, request: MaintenanceRequest) {
        let counter = self.registers.get(&register).map_or(0, |known| known.version.counter) + 1;
        self.registers.insert(register, VersionedRequest { version: version(1, counter), request });
    }

    fn request(&self, register: u8) -> MaintenanceRequest {
        self.registers[&register].request.clone()
    }

    fn machines_in(&self, condition: impl Fn(Phase) -> bool) -> BTreeSet<Machine> {
        let all = self.registers.values().flat_map(|known| &known.request.machines);
        all.filter(|status| condition(status.phase)).map(|status| status.machine).collect()
    }

    fn step(&mut self) {
        self.now += ms(20);
        let released = self.machines_in(|phase| matches!(phase, Phase::Released { .. }));
        (0..FRONTS).for_each(|front| self.step_front(front, &released));
        self.deliver();
        self.step_coordinator();
        let out = self.machines_in(Phase::is_unavailable);
        let reserve = CapacityReserve::new(fleet(&self.dead), 0.9, 0.1);
        if reserve.headroom(&out) < 1.0 && !self.zones_down && self.dead.is_empty() {
            self.violations.push(format!("the remaining machines can't serve the load without {out:?}"));
        }
        self.max_out = self.max_out.max(out.len());
    }

    /// Runs one step of a front: its router applies the known requests, the front reads newer ones, sends attempts,
    /// ends some, and confirms drains.
    fn step_front(&mut self, index: usize, released: &BTreeSet<Machine>) {
        let reads_requests = !self.fronts[index].disconnected && self.rng.f64() < 0.3;
        let front = &mut self.fronts[index];
        if !front.alive {
            return;
        }
        if self.rng.f64() < 0.1 || !front.applied.open {
            let open = front.participant.is_complete() || self.fault == Fault::StartsOpen;
            let (revision, closed) = (front.participant.revision(), front.participant.closed_machines());
            front.applied = Applied { revision, closed, open };
        }
        if reads_requests {
            read_requests(&mut front.participant, &self.registers);
        }
        for _ in 0..3 {
            let machine = self.rng.u32(..ZONES * MACHINES_PER_ZONE);
            if front.may_send(machine) && !self.dead.contains(&machine) {
                *front.in_flight.entry(machine).or_default() += 1;
                if released.contains(&machine) {
                    self.violations.push(format!("n{index} sent to {machine}, which is released"));
                }
            }
        }
        for in_flight in front.in_flight.values_mut() {
            *in_flight -= u32::from(*in_flight > 0 && self.rng.f64() < 0.5);
        }
        if self.rng.f64() < 0.5 {
            let counted_before = self.fault == Fault::CountedBeforeClosing;
            let revision = if counted_before { u64::MAX } else { front.applied.revision };
            let confirmations = front.participant.confirmations(revision, &front.in_flight);
            let arrives = self.now + ms(self.rng.u64(0..400));
            self.sent.push(Sent { arrives, front: front_name(index), confirmations });
        }
        for (machine, in_flight) in &front.in_flight {
            if *in_flight > 0 && released.contains(machine) {
                self.violations.push(format!(
                    "n{index} has {in_flight} attempts in flight on {machine}, which is released"
                ));
            }
        }
    }

    /// Delivers due confirmations and some of the requests to the coordinator.
    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Sent> = self.sent.extract_if(.., |sent| sent.arrives <= now).collect();
        for sent in due {
            self.coordinator.handle_confirmations(&sent.front, &sent.confirmations);
        }
        for (register, known) in &self.registers {
            if self.rng.f64() < 0.5 {
                let VersionedRequest { version, request } = known.clone();
                self.coordinator.handle_request(now, *register, version, request);
            }
        }
    }

    /// Runs one step of the coordinator. Its operations complete after a random delay, some with an unknown outcome.
    fn step_coordinator(&mut self) {
        let mut config = config();
        match self.fault {
            Fault::FrontNotRequired => drop(config.required_fronts.pop()),
            Fault::NoReserve => (config.min_reserve, config.demand_margin) = (0.0, -1.0),
            _ => {}
        }
        let view =
            FleetView { capacity: fleet(&self.dead), degraded_share: 0.0, zones_down: self.zones_down };
        self.coordinator.set_lease(Some(self.fencing_token));
        let action = self.coordinator.poll(self.now, &config, &view);
        if let Some(action) = action.or_else(|| self.pending.take()) {
            if self.rng.f64() < 0.5 {
                self.pending = Some(action);
            } else {
                self.round(action);
            }
        }
    }

    fn round(&mut self, action: RegisterAction) {
        let register = match action {
            RegisterAction::Read(register) => register,
            RegisterAction::Write(RegisterWrite { request: register, expected, value }) => {
                // The compare-and-set commits only if the expected version is still the latest.
                if self.registers.get(&register).is_some_and(|known| known.version == expected) {
                    self.commit(register, value);
                }
                register
            }
        };
        if self.rng.f64() < 0.1 {
            return self.coordinator.handle_failure(register);
        }
        let committed = self.registers.get(&register).cloned();
        self.coordinator.handle_committed(self.now, register, committed);
    }

    /// Reports released machines as returned after a random delay, each twice; the second report has no effect.
    fn return_released_machines(&mut self) {
        let mut released = Vec::new();
        for (register, known) in &self.registers {
            let machines = known.request.machines.iter();
            let released_machines = machines.filter(|status| matches!(status.phase, Phase::Released { .. }));
            released.extend(released_machines.map(|status| (*register, status.machine)));
        }
        for (register, machine) in released {
            if self.rng.f64() < 0.02 {
                let mut request = self.request(register);
                assert!(request.mark_returned(machine) && !request.mark_returned(machine));
                self.commit(register, request);
                self.released += 1;
            }
        }
    }

    /// Restarts a front: its incarnation ends, and its attempts in flight with it.
    fn restart(&mut self, front: usize) {
        let disconnected = self.fronts[front].disconnected;
        self.fronts[front] = Front { alive: true, disconnected, ..Front::default() };
    }

    /// Replaces the coordinator by one without memory. The operation in progress is discarded, as the reads of the new
    /// coordinator supersede it.
    fn replace_coordinator(&mut self) {
        self.coordinator = MaintenanceCoordinator::default();
        self.fencing_token += 1;
        self.pending = None;
    }

    fn is_over(&self) -> bool {
        self.registers.values().all(|known| known.request.is_over())
    }

    /// Runs up to `steps` steps, until the coordinator reports a block reason that satisfies the condition.
    /// Returns whether it did.
    fn is_blocked_by(&mut self, steps: usize, condition: impl Fn(&BlockReason) -> bool) -> bool {
        let is_blocked =
            |notice: &Notice| matches!(notice, Notice::Blocked { reason, .. } if condition(reason));
        (0..steps).any(|_| {
            self.step();
            self.coordinator.blocked().iter().any(is_blocked)
        })
    }
}

fn read_requests(participant: &mut Participant, registers: &BTreeMap<u8, VersionedRequest>) {
    for register in 0..MAX_REQUESTS as u8 {
        match registers.get(&register) {
            Some(known) => participant.handle_request(register, known.version, known.request.clone()),
            None => participant.handle_no_request(register),
        }
    }
}

/// Simulates two concurrent requests. During the first 1,500 steps fronts restart and disconnect, coordinators are
/// replaced, and a zone is down at times.
fn simulate(seed: u64, fault: Fault) -> World {
    let mut world = World::new(seed, fault);
    let all: Vec<Machine> = (0..ZONES * MACHINES_PER_ZONE).collect();
    world.commit(0, MaintenanceRequest::new("ann", 1, 3, 600, &all[..12]));
    world.commit(1, MaintenanceRequest::new("bob", 5, 2, 600, &all[6..]));
    for iteration in 0..6000 {
        world.step();
        world.return_released_machines();
        if iteration < 1500 {
            let front = world.rng.usize(..FRONTS);
            match world.rng.u32(..200) {
                0 => world.restart(front),
                1 => world.fronts[front].disconnected = true,
                2..=4 => world.fronts[front].disconnected = false,
                5 => world.replace_coordinator(),
                6 => world.zones_down = !world.zones_down,
                _ => {}
            }
        } else {
            world.zones_down = false;
            world.fronts.iter_mut().for_each(|front| front.disconnected = false);
        }
        if world.is_over() && iteration > 1500 {
            break;
        }
    }
    world
}

#[test]
fn no_front_uses_a_released_machine_and_the_rest_serves_the_load() {
    let (mut released, mut max_out) = (0, 0);
    for seed in 0..60 {
        let world = simulate(seed, Fault::None);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            &world.violations[..world.violations.len().min(3)]
        );
        assert!(world.is_over(), "seed {seed}: {:?} {:?}", world.registers, world.coordinator.blocked());
        assert_eq!(world.released, 30, "12 and 18 machines, six of them twice");
        (released, max_out) = (released + world.released, max_out.max(world.max_out));
    }
    println!("proof: works_releases_in_virtual_time {released}, most out at once {max_out}");
    assert!(max_out > 1);
}

#[test]
fn each_fault_is_detected() {
    for (fault, name) in [
        (Fault::FrontNotRequired, "front_left_out"),
        (Fault::CountedBeforeClosing, "counted_before_closing"),
        (Fault::StartsOpen, "starts_open"),
        (Fault::NoReserve, "no_reserve"),
    ] {
        let detected = (0..30).filter(|seed| !simulate(*seed, fault).violations.is_empty()).count();
        println!("proof: works_mutant_{name}_caught in {detected} of 30");
        assert!(detected > 0, "{name}");
    }
}

#[test]
fn silent_front_blocks_the_release_until_an_operator_excludes_it() {
    let mut world = World::new(3, Fault::None);
    for _ in 0..50 {
        world.step();
    }
    world.fronts[2].disconnected = true;
    world.commit(0, MaintenanceRequest::new("ann", 1, 1, 600, &[4]));
    (0..500).for_each(|_| world.step());
    assert_eq!(world.request(0).phase(4), Some(Phase::Draining));
    assert!(world.is_blocked_by(20, |reason| reason.to_string().contains("n2")));
    world.fronts[2].alive = false;
    let mut request = world.request(0);
    request.excluded_fronts.push("n2".to_owned());
    world.commit(0, request);
    (0..100).for_each(|_| world.step());
    assert!(matches!(world.request(0).phase(4), Some(Phase::Released { .. })));
    assert_eq!(world.coordinator.released().len(), 1);
}

#[test]
fn failed_machine_counts_as_out_and_an_overdue_one_stops_drains() {
    let mut world = World::new(4, Fault::None);
    world.dead = (0..8).collect(); // All machines of one zone.
    world.commit(0, MaintenanceRequest::new("ann", 1, 5, 1, &[9, 10, 11]));
    (0..300).for_each(|_| world.step());
    assert_eq!(world.machines_in(Phase::is_unavailable).len(), 0, "there is no headroom");
    world.dead.clear();
    (0..100).for_each(|_| world.step());
    let out = world.machines_in(Phase::is_unavailable);
    assert!(!out.is_empty());
    // The machine is not reported as returned: after the requested outage of one second nothing more is drained.
    world.commit(1, MaintenanceRequest::new("bob", 9, 5, 600, &[20]));
    (0..100).for_each(|_| world.step());
    assert!(world.is_blocked_by(20, |reason| reason.to_string().contains("longer than was asked")));
}

#[test]
fn withdrawal_opens_machines_that_are_not_released() {
    let mut request = MaintenanceRequest::new("ann", 1, 9, 60, &[1, 2, 3]);
    assert!(!request.mark_returned(1), "machine 1 was never released");
    let mut bytes = request.to_bytes();
    assert_eq!(MaintenanceRequest::from_bytes(&bytes), Some(request.clone()));
    request.machines[0].phase = Phase::Released { fencing_token: 7 };
    request.machines[1].phase = Phase::Draining;
    request.withdraw();
    assert_eq!(
        request.machines.iter().map(|status| status.phase).collect::<Vec<_>>(),
        [Phase::Released { fencing_token: 7 }, Phase::Withdrawn, Phase::Withdrawn]
    );
    assert!(!request.is_over() && request.mark_returned(1) && !request.is_over());
    bytes.truncate(3);
    assert_eq!(MaintenanceRequest::from_bytes(&bytes), None);
    let machines: Vec<Machine> = (0..MAX_MACHINES as u32).map(|n| u32::MAX - n).collect();
    let mut full = MaintenanceRequest::new(&"w".repeat(MAX_NAME_BYTES), 9, 9, u32::MAX, &machines);
    full.machines
        .iter_mut()
        .take(usize::from(MAX_CONCURRENT))
        .for_each(|status| status.phase = Phase::Released { fencing_token: u64::MAX });
    assert!(full.to_bytes().len() <= 640, "{}", full.to_bytes().len());
}
