//! Requests of 1,024 machines, of as many as the registers hold, and of one more.

use lemonusher_maintenance::*;
use lemonusher_zone_failover::ClassLoad;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const CAPACITY: usize = MAX_REQUESTS * MAX_MACHINES;
const VERSION: (u64, u64) = (1, 1);

fn request(machines: usize, at_once: u16) -> Vec<MaintenanceRequest> {
    let machines: Vec<Machine> = (0..machines as u32).collect();
    MaintenanceRequest::new("ann", 1, at_once, 600, &machines).split(7)
}

#[test]
fn a_request_is_cut_into_as_many_registers_as_it_needs() {
    for (machines, registers) in
        [(0, 0), (1, 1), (32, 1), (33, 2), (1024, 32), (CAPACITY, 64), (CAPACITY + 1, 65)]
    {
        let parts = request(machines, MAX_CONCURRENT);
        assert_eq!(
            (parts.len(), parts.len() <= MAX_REQUESTS),
            (registers, machines <= CAPACITY),
            "{machines}"
        );
        let read: Vec<MaintenanceRequest> =
            parts.iter().filter_map(|part| MaintenanceRequest::from_bytes(&part.to_bytes())).collect();
        assert_eq!(read, parts);
        let named: BTreeSet<Machine> =
            read.iter().flat_map(|part| &part.machines).map(|(id, _)| *id).collect();
        assert_eq!(named.len(), machines);
        assert!(parts.iter().all(|part| parts.len() == 1 || part.is_same_request(&parts[0])));
    }
    let other = MaintenanceRequest::new("ann", 1, 1, 600, &[1]).split(8);
    assert!(!other[0].is_same_request(&request(1, 1)[0]), "requests of one part are no parts of each other");
}

#[test]
fn each_machine_that_is_let_go_is_said_in_its_turn() {
    for machines in [32, 33, 1024, CAPACITY] {
        let mut participant = Participant::default();
        let parts = request(machines, MAX_CONCURRENT);
        for number in 0..MAX_REQUESTS {
            match parts.get(number).cloned() {
                Some(mut part) => {
                    part.machines.iter_mut().for_each(|one| one.1 = Phase::Draining);
                    participant.handle_request(number as u8, VERSION, part);
                }
                None => participant.handle_no_request(number as u8),
            }
        }
        let mut said = BTreeSet::new();
        for _ in 0..machines.div_ceil(32) {
            let page = participant.next_confirmations(u64::MAX, &BTreeMap::new(), 32);
            assert!(page.len() <= 32);
            said.extend(page.into_iter().map(|one| one.machine));
        }
        assert_eq!(said.len(), machines, "not all are said");
    }
}

#[test]
fn what_is_out_at_once_is_counted_over_all_parts() {
    for (machines, at_once) in [(40, 3), (1024, 1024), (CAPACITY, MAX_CONCURRENT)] {
        let mut coordinator = MaintenanceCoordinator::default();
        let config = MaintenanceConfig {
            poll_interval: Duration::from_millis(1),
            required_fronts: vec!["n0".to_owned()],
            min_reserve: 0.1,
            demand_margin: 0.0,
            probation: Duration::ZERO,
        };
        let class = ClassLoad {
            priority_weight: 1.0,
            work: 1.0,
            rate: 1.0,
            latency_objective: 1.0,
            deadline: 20.0,
            floor: 0.0,
            allowed_zones: None,
        };
        // As many again bear the load meanwhile.
        let bears = (0..2 * machines as u32).map(|machine| (machine, (machine % 2, 8.0, true)));
        let fleet = FleetCapacity { machines: bears.collect(), classes: vec![class] };
        let seen = FleetView { capacity: fleet, degraded_share: 0.0, zones_down: false };
        let mut now = Duration::ZERO;
        coordinator.set_lease(Some(1));
        let parts = request(machines, at_once);
        for number in 0..MAX_REQUESTS {
            let stands = parts.get(number).map(|part| (VERSION, part.clone()));
            coordinator.handle_committed(now, number as u8, stands);
        }
        // What drains is few where each further one is looked for among many; two registers' worth shows it.
        let turns = usize::from(at_once).min(2 * MAX_MACHINES + 1);
        for _ in 0..turns {
            now += config.poll_interval;
            let Some(RegisterAction::Write(change)) = coordinator.poll(now, &config, &seen) else { break };
            let (era, version) = change.expected;
            coordinator.handle_committed(now, change.request, Some(((era, version + 1), change.value)));
        }
        let out = coordinator.machines_out().len();
        assert!(out <= usize::from(at_once), "{out} are out of {at_once}");
        assert!(out >= usize::from(at_once).min(turns), "only {out} are out of {at_once}");
    }
}

#[test]
fn fronts_declared_dead_are_kept_by_their_place_in_the_list_that_counts() {
    for (fronts, held) in [(1024, 1024), (MAX_FRONTS, MAX_FRONTS), (MAX_FRONTS + 1, MAX_FRONTS)] {
        let names: Vec<String> = (0..fronts).map(|front| format!("front-{front:06}")).collect();
        let mut work = MaintenanceRequest::new("ann", 1, 1, 600, &[1]);
        let added = names.iter().filter(|name| work.extension.dead_fronts.add(&names, name)).count();
        assert_eq!(added, held);
        let read = MaintenanceRequest::from_bytes(&work.to_bytes()).unwrap();
        assert_eq!(names.iter().filter(|name| read.excludes(&names, name)).count(), held);
        assert!(!read.excludes(&names[1..], &names[5]), "counted in another list");
        assert!(!work.extension.dead_fronts.add(&names, "nobody"));
    }
    let mut old = MaintenanceRequest::new("ann", 1, 1, 600, &[1]);
    old.excluded_fronts.push("n3".to_owned());
    assert!(
        MaintenanceRequest::from_bytes(&old.to_bytes()).unwrap().excludes(&[], "n3"),
        "named by an earlier version"
    );
}
