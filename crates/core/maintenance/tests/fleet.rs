//! A night of works in virtual time: fronts that send, restart, hear late and let go late, coordinators that die and lose what
//! they knew, operators that ask, withdraw and say that machines are back. Judged by what machines were sent.

use lemonusher_maintenance::*;
use lemonusher_zone_failover::ClassLoad;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ZONES: u32 = 3;
const MACHINES_PER_ZONE: u32 = 8;
const FRONTS: usize = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config() -> MaintenanceConfig {
    MaintenanceConfig {
        poll_interval: ms(100),
        required_fronts: (0..FRONTS).map(|front| format!("n{front}")).collect(),
        min_reserve: 0.9,
        demand_margin: 0.1,
        probation: ms(300),
    }
}

fn zone(machine: Machine) -> u32 {
    machine / MACHINES_PER_ZONE
}

/// 24 machines of 8; what is asked for fills a loss of any zone to nine tenths.
fn fleet(dead: &BTreeSet<Machine>) -> FleetCapacity {
    let machines = (0..ZONES * MACHINES_PER_ZONE)
        .map(|machine| (machine, (zone(machine), 8.0, !dead.contains(&machine))));
    let class = ClassLoad {
        priority_weight: 1.0,
        work: 1.0,
        rate: 104.0,
        latency_objective: 1.0,
        deadline: 20.0,
        floor: 0.0,
        allowed_zones: None,
    };
    FleetCapacity { machines: machines.collect(), classes: vec![class] }
}

#[derive(Default)]
struct Front {
    participant: Participant,
    /// What the owner has closed, by which version; it follows a round later.
    applied: (u64, BTreeSet<Machine>, bool),
    out: BTreeMap<Machine, u32>,
    alive: bool,
    disconnected: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Nothing,
    /// One front is not waited for.
    FrontLeftOut,
    /// A front says that it has let go before its owner has stopped sending.
    CountedBefore,
    /// A front that starts uses all before it knows anything.
    StartsOpen,
    /// What is to spare is not counted.
    NoReserve,
}

struct World {
    now: Duration,
    fault: Fault,
    registers: BTreeMap<u8, ((u64, u64), MaintenanceRequest)>,
    fronts: Vec<Front>,
    coordinator: MaintenanceCoordinator,
    number: u64,
    confirmations: Vec<(Duration, String, Vec<DrainConfirmation>)>,
    rng: fastrand::Rng,
    dead: BTreeSet<Machine>,
    sites_down: bool,
    wrong: Vec<String>,
    most_out: usize,
    released: usize,
    wanted: Option<RegisterAction>,
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
            number: 1,
            confirmations: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            dead: BTreeSet::new(),
            sites_down: false,
            wrong: Vec::new(),
            most_out: 0,
            released: 0,
            wanted: None,
        }
    }

    fn settle(&mut self, number: u8, work: MaintenanceRequest) {
        let version = self.registers.get(&number).map_or(0, |((_, version), _)| *version) + 1;
        self.registers.insert(number, ((1, version), work));
    }

    fn phases(&self, holds: impl Fn(Phase) -> bool) -> BTreeSet<Machine> {
        let all = self.registers.values().flat_map(|(_, work)| &work.machines);
        all.filter(|(_, phase)| holds(*phase)).map(|(machine, _)| *machine).collect()
    }

    fn step(&mut self) {
        self.now += ms(20);
        let released = self.phases(|phase| matches!(phase, Phase::Released { .. }));
        for number in 0..FRONTS {
            let hears = !self.fronts[number].disconnected && self.rng.f64() < 0.3;
            let starts_open = self.fault == Fault::StartsOpen;
            let front = &mut self.fronts[number];
            if !front.alive {
                continue;
            }
            // The owner follows what the participant knows some time later.
            if self.rng.f64() < 0.1 || !front.applied.2 {
                let open = front.participant.is_complete() || starts_open;
                front.applied = (front.participant.revision(), front.participant.closed_machines(), open);
            }
            if hears {
                for work in 0..MAX_REQUESTS as u8 {
                    match self.registers.get(&work) {
                        Some((version, value)) => {
                            front.participant.handle_request(work, *version, value.clone())
                        }
                        None => front.participant.handle_no_request(work),
                    }
                }
            }
            for _ in 0..3 {
                let machine = self.rng.u32(..ZONES * MACHINES_PER_ZONE);
                if front.applied.2 && !front.applied.1.contains(&machine) && !self.dead.contains(&machine) {
                    *front.out.entry(machine).or_default() += 1;
                    if released.contains(&machine) {
                        self.wrong.push(format!("n{number} sent to {machine}, which is released"));
                    }
                }
            }
            let rng = &mut self.rng;
            front.out.values_mut().for_each(|out| *out -= u32::from(*out > 0 && rng.f64() < 0.5));
            if self.rng.f64() < 0.5 {
                let by = if self.fault == Fault::CountedBefore { u64::MAX } else { front.applied.0 };
                let confirmations = front.participant.confirmations(by, &front.out);
                let late = ms(self.rng.u64(0..400));
                self.confirmations.push((self.now + late, format!("n{number}"), confirmations));
            }
            for (machine, out) in &front.out {
                if *out > 0 && released.contains(machine) {
                    self.wrong.push(format!("n{number} has {out} out on {machine}, which is released"));
                }
            }
        }
        let now = self.now;
        let due: Vec<_> = self.confirmations.extract_if(.., |(at, ..)| *at <= now).collect();
        due.into_iter().for_each(|(_, front, confirmations)| {
            self.coordinator.handle_confirmations(&front, &confirmations)
        });
        for (number, (version, work)) in &self.registers {
            if self.rng.f64() < 0.5 {
                self.coordinator.handle_request(now, *number, *version, work.clone());
            }
        }
        let mut config = config();
        match self.fault {
            Fault::FrontLeftOut => drop(config.required_fronts.pop()),
            Fault::NoReserve => (config.min_reserve, config.demand_margin) = (0.0, -1.0),
            _ => {}
        }
        let seen =
            FleetView { capacity: fleet(&self.dead), degraded_share: 0.0, zones_down: self.sites_down };
        self.coordinator.set_lease(Some(self.number));
        let want = self.coordinator.poll(now, &config, &seen);
        // Rounds take a while, and now and then nobody learns how one ended.
        if let Some(want) = want.or_else(|| self.wanted.take()) {
            if self.rng.f64() < 0.5 {
                self.wanted = Some(want);
            } else {
                self.round(want);
            }
        }
        let out = self.phases(Phase::is_out);
        let whole = CapacityReserve::new(fleet(&self.dead), 0.9, 0.1);
        if whole.headroom(&out) < 1.0 && !self.sites_down && self.dead.is_empty() {
            self.wrong.push(format!("more is out than the rest can carry: {out:?}"));
        }
        self.most_out = self.most_out.max(out.len());
    }

    fn round(&mut self, want: RegisterAction) {
        let work = match want {
            RegisterAction::Read(work) => work,
            RegisterAction::Write(RegisterWrite { request: work, expected: after, value }) => {
                // The register settles it only if what stands there is still what it was worked out from.
                if self.registers.get(&work).is_some_and(|(version, _)| *version == after) {
                    self.settle(work, value);
                }
                work
            }
        };
        if self.rng.f64() < 0.1 {
            return self.coordinator.handle_failure(work);
        }
        let stands = self.registers.get(&work).cloned();
        self.coordinator.handle_committed(self.now, work, stands);
    }

    /// Those who work on machines: at their own pace, and now and then they say so twice.
    fn return_released_machines(&mut self) {
        let released: Vec<(u8, Machine)> = (self.registers.iter())
            .flat_map(|(number, (_, work))| {
                work.machines.iter().map(move |(machine, phase)| (*number, *machine, *phase))
            })
            .filter(|(_, _, phase)| matches!(phase, Phase::Released { .. }))
            .map(|(number, machine, _)| (number, machine))
            .collect();
        for (number, machine) in released {
            if self.rng.f64() < 0.02 {
                let mut work = self.registers[&number].1.clone();
                assert!(work.mark_returned(machine) && !work.mark_returned(machine));
                self.settle(number, work);
                self.released += 1;
            }
        }
    }

    fn restart(&mut self, front: usize) {
        // What it had out ends with it.
        self.fronts[front] =
            Front { alive: true, disconnected: self.fronts[front].disconnected, ..Front::default() };
    }

    fn over(&self) -> bool {
        self.registers.values().all(|(_, work)| work.is_over())
    }
}

fn play(seed: u64, fault: Fault) -> World {
    let mut world = World::new(seed, fault);
    let all: Vec<Machine> = (0..ZONES * MACHINES_PER_ZONE).collect();
    world.settle(0, MaintenanceRequest::new("ann", 1, 3, 600, &all[..12]));
    world.settle(1, MaintenanceRequest::new("bob", 5, 2, 600, &all[6..]));
    for turn in 0..6000 {
        world.step();
        world.return_released_machines();
        if turn < 1500 {
            let front = world.rng.usize(..FRONTS);
            match world.rng.u32(..200) {
                0 => world.restart(front),
                1 => world.fronts[front].disconnected = true,
                2..=4 => world.fronts[front].disconnected = false,
                // What the last coordinator had under way is ended by the next one's reading.
                5 => {
                    (world.coordinator, world.number, world.wanted) =
                        (MaintenanceCoordinator::default(), world.number + 1, None)
                }
                6 => world.sites_down = !world.sites_down,
                _ => {}
            }
        } else {
            world.sites_down = false;
            world.fronts.iter_mut().for_each(|front| front.disconnected = false);
        }
        if world.over() && turn > 1500 {
            break;
        }
    }
    world
}

#[test]
fn nobody_uses_a_released_machine_and_the_rest_always_carries_the_load() {
    let (mut released, mut most) = (0, 0);
    for seed in 0..60 {
        let world = play(seed, Fault::Nothing);
        assert!(world.wrong.is_empty(), "seed {seed}: {:?}", &world.wrong[..world.wrong.len().min(3)]);
        assert!(world.over(), "seed {seed}: {:?} {:?}", world.registers, world.coordinator.blocked());
        assert_eq!(world.released, 30, "12 and 18 machines, six of them twice");
        (released, most) = (released + world.released, most.max(world.most_out));
    }
    println!("proof: works_releases_in_virtual_time {released}, most out at once {most}");
    assert!(most > 1);
}

#[test]
fn each_spoilt_rule_is_caught() {
    for (fault, name) in [
        (Fault::FrontLeftOut, "front_left_out"),
        (Fault::CountedBefore, "counted_before_closing"),
        (Fault::StartsOpen, "starts_open"),
        (Fault::NoReserve, "no_reserve"),
    ] {
        let caught = (0..30).filter(|seed| !play(*seed, fault).wrong.is_empty()).count();
        println!("proof: works_mutant_{name}_caught in {caught} of 30");
        assert!(caught > 0, "{name}");
    }
}

#[test]
fn a_front_that_is_not_heard_holds_the_release_until_an_operator_leaves_it_out() {
    let mut world = World::new(3, Fault::Nothing);
    for _ in 0..50 {
        world.step();
    }
    world.fronts[2].disconnected = true;
    world.settle(0, MaintenanceRequest::new("ann", 1, 1, 600, &[4]));
    (0..500).for_each(|_| world.step());
    assert_eq!(world.registers[&0].1.phase(4), Some(Phase::Draining));
    let says = |confirmations: &Notice| matches!(confirmations, Notice::Blocked { reason: why, .. } if why.contains("n2"));
    assert!((0..20).any(|_| {
        world.step();
        world.coordinator.blocked().iter().any(says)
    }));
    world.fronts[2].alive = false;
    let mut work = world.registers[&0].1.clone();
    work.excluded_fronts.push("n2".to_owned());
    world.settle(0, work);
    (0..100).for_each(|_| world.step());
    assert!(matches!(world.registers[&0].1.phase(4), Some(Phase::Released { .. })));
    assert_eq!(world.coordinator.released().len(), 1);
}

#[test]
fn a_failed_machine_counts_as_out_and_a_late_one_stops_the_queue() {
    let mut world = World::new(4, Fault::Nothing);
    world.dead = (0..8).collect(); // A whole zone has failed by itself.
    world.settle(0, MaintenanceRequest::new("ann", 1, 5, 1, &[9, 10, 11]));
    (0..300).for_each(|_| world.step());
    assert_eq!(world.phases(Phase::is_out).len(), 0, "nothing is to spare");
    world.dead.clear();
    (0..100).for_each(|_| world.step());
    let out = world.phases(Phase::is_out);
    assert!(!out.is_empty());
    // Nobody brings it back: after the second that was asked for, nothing further goes.
    world.settle(1, MaintenanceRequest::new("bob", 9, 5, 600, &[20]));
    (0..100).for_each(|_| world.step());
    let late = |confirmations: &Notice| matches!(confirmations, Notice::Blocked { reason: why, .. } if why.contains("longer than was asked"));
    assert!((0..20).any(|_| {
        world.step();
        world.coordinator.blocked().iter().any(late)
    }));
}

#[test]
fn what_is_withdrawn_is_opened_unless_it_is_released() {
    let mut work = MaintenanceRequest::new("ann", 1, 9, 60, &[1, 2, 3]);
    assert!(!work.mark_returned(1), "it was never released");
    let mut moved = work.to_bytes();
    assert_eq!(MaintenanceRequest::from_bytes(&moved), Some(work.clone()));
    work.machines[0].1 = Phase::Released { fencing_token: 7 };
    work.machines[1].1 = Phase::Draining;
    work.withdraw();
    assert_eq!(
        work.machines.iter().map(|(_, phase)| *phase).collect::<Vec<_>>(),
        [Phase::Released { fencing_token: 7 }, Phase::Withdrawn, Phase::Withdrawn]
    );
    assert!(!work.is_over() && work.mark_returned(1) && !work.is_over());
    moved.truncate(3);
    assert_eq!(MaintenanceRequest::from_bytes(&moved), None);
    let machines: Vec<Machine> = (0..MAX_MACHINES as u32).map(|n| u32::MAX - n).collect();
    let mut full = MaintenanceRequest::new(&"w".repeat(MAX_NAME_BYTES), 9, 9, u32::MAX, &machines);
    full.machines
        .iter_mut()
        .take(usize::from(MAX_CONCURRENT))
        .for_each(|one| one.1 = Phase::Released { fencing_token: u64::MAX });
    assert!(full.to_bytes().len() <= 640, "{}", full.to_bytes().len());
}
