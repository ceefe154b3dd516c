//! A drain confirmation counts only for the drain that it confirms, and not for a later drain of the same machine, as
//! the front may have sent there in between.

mod common;

use common::{ms, version};
use lemonusher_maintenance::*;
use std::time::Duration;

const REGISTER: u8 = 0;
const MACHINE: Machine = 7;
const OTHER: Machine = 9;
const FRONTS: [&str; 2] = ["n0", "n1"];

fn config() -> MaintenanceConfig {
    MaintenanceConfig {
        poll_interval: ms(100),
        required_fronts: FRONTS.map(str::to_owned).to_vec(),
        min_reserve: 0.9,
        demand_margin: 0.1,
        probation: ms(300),
    }
}

/// One version of the request, with the phases of both machines. It is on hold, so that no further drain starts.
fn request(machine: Phase, other: Phase) -> MaintenanceRequest {
    let mut request = MaintenanceRequest::new("ann", 1, 2, 600, &[MACHINE, OTHER]);
    request.machines[0].phase = machine;
    request.machines[1].phase = other;
    request.on_hold = true;
    request
}

enum Step {
    /// The coordinator receives this version of the request: epoch, counter, phases of the two machines.
    Receive(u64, u64, Phase, Phase),
    /// The coordinator receives all fronts' confirmations of the machine's drain: epoch and counter of the version
    /// that they followed.
    Confirm(u64, u64),
}
use Step::{Confirm, Receive};

/// Whether a coordinator that holds the lease releases the machine after these steps.
fn is_released_after(steps: &[Step]) -> bool {
    let mut coordinator = MaintenanceCoordinator::default();
    coordinator.set_lease(Some(5));
    let mut now = Duration::ZERO;
    for _ in 0..MAX_REQUESTS {
        let read = coordinator.poll(now, &config(), &FleetView::default());
        let Some(RegisterAction::Read(register)) = read else { panic!("{read:?}") };
        coordinator.handle_committed(now, register, None);
    }
    for step in steps {
        now += ms(1000);
        match step {
            Receive(epoch, counter, machine, other) => {
                let request = request(*machine, *other);
                coordinator.handle_request(now, REGISTER, version(*epoch, *counter), request);
            }
            Confirm(epoch, counter) => {
                let version = version(*epoch, *counter);
                let confirmation = DrainConfirmation { request: REGISTER, version, machine: MACHINE };
                for front in FRONTS {
                    coordinator.handle_confirmations(front, std::slice::from_ref(&confirmation));
                }
            }
        }
    }
    let write = coordinator.poll(now + ms(1000), &config(), &FleetView::default());
    match write {
        Some(RegisterAction::Write(write)) => {
            matches!(write.value.phase(MACHINE), Some(Phase::Released { fencing_token: 5 }))
        }
        _ => false,
    }
}

/// Guards against the release of a machine to which a front still sends: the front has confirmed an earlier drain,
/// used the machine again after that drain ended, and its confirmation counts for the next drain.
#[test]
fn confirmation_counts_for_its_own_drain_alone() {
    use Phase::{Draining, Pending, Withdrawn};
    let cases: [(&str, bool, &[Step]); 8] = [
        ("of this drain", true, &[Receive(1, 1, Draining, Pending), Confirm(1, 1)]),
        (
            "of an earlier drain, late",
            false,
            &[
                Receive(1, 1, Draining, Pending),
                Receive(1, 2, Withdrawn, Pending),
                Receive(1, 3, Draining, Pending),
                Confirm(1, 1),
            ],
        ),
        (
            "of an earlier drain, and its end was not seen",
            false,
            &[Receive(1, 1, Draining, Pending), Confirm(1, 1), Receive(1, 3, Draining, Pending)],
        ),
        (
            "of an earlier drain, and its end was not seen, late",
            false,
            &[Receive(1, 1, Draining, Pending), Receive(1, 3, Draining, Pending), Confirm(1, 1)],
        ),
        (
            "of this drain, before the change of another machine",
            true,
            &[Receive(1, 1, Draining, Pending), Confirm(1, 1), Receive(1, 2, Draining, Draining)],
        ),
        (
            "of this drain, late, behind the change of another machine",
            true,
            &[Receive(1, 1, Draining, Pending), Receive(1, 2, Draining, Draining), Confirm(1, 1)],
        ),
        (
            "of a version that the coordinator learns later",
            true,
            &[Receive(1, 1, Draining, Pending), Confirm(1, 3), Receive(1, 3, Draining, Pending)],
        ),
        (
            "of an earlier epoch",
            false,
            &[Receive(1, 4, Draining, Pending), Confirm(1, 4), Receive(2, 5, Draining, Pending)],
        ),
    ];
    for (case, released, steps) in cases {
        assert_eq!(is_released_after(steps), released, "{case}");
    }
}
