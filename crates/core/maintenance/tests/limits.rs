//! The limits of requests and of dead fronts. A request of one machine more than the registers hold is split, but its
//! parts exceed the registers.

mod common;

use common::{class, version};
use lemonusher_maintenance::*;
use lemonusher_registers::EntryVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const CAPACITY: usize = MAX_REQUESTS * MAX_MACHINES;
const VERSION: EntryVersion = EntryVersion { epoch: 1, counter: 1 };

fn request(machines: usize, max_concurrent: u16) -> Vec<MaintenanceRequest> {
    let machines: Vec<Machine> = (0..machines as u32).collect();
    MaintenanceRequest::new("ann", 1, max_concurrent, 600, &machines).split(7)
}

#[test]
fn request_is_split_into_as_many_registers_as_it_needs() {
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
            read.iter().flat_map(|part| &part.machines).map(|status| status.machine).collect();
        assert_eq!(named.len(), machines);
        assert!(parts.iter().all(|part| parts.len() == 1 || part.is_same_request(&parts[0])));
    }
    let other = MaintenanceRequest::new("ann", 1, 1, 600, &[1]).split(8);
    assert!(!other[0].is_same_request(&request(1, 1)[0]), "requests of one part are no parts of each other");
}

#[test]
fn each_drained_machine_is_confirmed_round_robin() {
    for machines in [32, 33, 1024, CAPACITY] {
        let mut participant = Participant::default();
        let parts = request(machines, MAX_CONCURRENT);
        for register in 0..MAX_REQUESTS {
            match parts.get(register).cloned() {
                Some(mut part) => {
                    part.machines.iter_mut().for_each(|status| status.phase = Phase::Draining);
                    participant.handle_request(register as u8, VERSION, part);
                }
                None => participant.handle_no_request(register as u8),
            }
        }
        let mut confirmed = BTreeSet::new();
        for _ in 0..machines.div_ceil(32) {
            let page = participant.next_confirmations(u64::MAX, &BTreeMap::new(), 32);
            assert!(page.len() <= 32);
            confirmed.extend(page.into_iter().map(|confirmation| confirmation.machine));
        }
        assert_eq!(confirmed.len(), machines, "not all are confirmed");
    }
}

#[test]
fn concurrent_outages_are_counted_over_all_parts() {
    for (count, max_concurrent) in [(40, 3), (1024, 1024), (CAPACITY, MAX_CONCURRENT)] {
        let mut coordinator = MaintenanceCoordinator::default();
        let config = MaintenanceConfig {
            poll_interval: Duration::from_millis(1),
            required_fronts: vec!["n0".to_owned()],
            min_reserve: 0.1,
            demand_margin: 0.0,
            probation: Duration::ZERO,
        };
        // An equal number of further machines serves the load.
        let machines = (0..2 * count as u32)
            .map(|machine| (machine, MachineCapacity { zone: machine % 2, work: 8.0, answers: true }));
        let fleet = FleetCapacity { machines: machines.collect(), classes: vec![class(1.0)] };
        let view = FleetView { capacity: fleet, degraded_share: 0.0, zones_down: false };
        let mut now = Duration::ZERO;
        coordinator.set_lease(Some(1));
        let parts = request(count, max_concurrent);
        for register in 0..MAX_REQUESTS {
            let committed =
                parts.get(register).map(|part| VersionedRequest { version: VERSION, request: part.clone() });
            coordinator.handle_committed(now, register as u8, committed);
        }
        // Each step evaluates many candidates, which is slow. So the number of steps is limited to the machines in two
        // registers, plus one.
        let steps = usize::from(max_concurrent).min(2 * MAX_MACHINES + 1);
        for _ in 0..steps {
            now += config.poll_interval;
            let Some(RegisterAction::Write(write)) = coordinator.poll(now, &config, &view) else { break };
            let next = version(write.expected.epoch, write.expected.counter + 1);
            let committed = VersionedRequest { version: next, request: write.value };
            coordinator.handle_committed(now, write.request, Some(committed));
        }
        let out = coordinator.unavailable_machines().len();
        assert!(out <= usize::from(max_concurrent), "{out} are out of {max_concurrent}");
        assert!(out >= usize::from(max_concurrent).min(steps), "only {out} are out of {max_concurrent}");
    }
}

#[test]
fn dead_fronts_are_stored_by_position_in_the_required_list() {
    for (fronts, stored) in [(1024, 1024), (MAX_FRONTS, MAX_FRONTS), (MAX_FRONTS + 1, MAX_FRONTS)] {
        let names: Vec<String> = (0..fronts).map(|front| format!("front-{front:06}")).collect();
        let mut request = MaintenanceRequest::new("ann", 1, 1, 600, &[1]);
        let added = names.iter().filter(|name| request.extension.dead_fronts.add(&names, name)).count();
        assert_eq!(added, stored);
        let read = MaintenanceRequest::from_bytes(&request.to_bytes()).unwrap();
        assert_eq!(names.iter().filter(|name| read.excludes(&names, name)).count(), stored);
        assert!(!read.excludes(&names[1..], &names[5]), "counted in another list");
        assert!(!request.extension.dead_fronts.add(&names, "nobody"));
    }
    let mut earlier_request = MaintenanceRequest::new("ann", 1, 1, 600, &[1]);
    earlier_request.excluded_fronts.push("n3".to_owned());
    assert!(
        MaintenanceRequest::from_bytes(&earlier_request.to_bytes()).unwrap().excludes(&[], "n3"),
        "named by an earlier version"
    );
}
