//! Machines taken out for work: one full request is worked off by the holder of the lease, with every front letting go
//! within a period.

use super::{CORES, DONE_AFTER, PERIOD, Shown, Turns, bytes_of, sites, zone};
use crate::budget;
use crate::error::MeasureError;
use lemonusher_maintenance::{
    DrainConfirmation, FleetCapacity, FleetView, MAX_CONCURRENT, MAX_MACHINES, Machine, MachineCapacity,
    MaintenanceConfig, MaintenanceCoordinator, MaintenanceRequest, Phase, RegisterAction, VersionedRequest,
};
use lemonusher_registers::EntryVersion;
use std::time::Duration;

/// The request's number, and how long a machine may be out.
const NUMBER: u8 = 0;
const OUT_SECONDS: u32 = 3_600;
/// Machines of the request in a quick run.
const QUICK_MACHINES: usize = 4;
/// Turns at most for each machine of the request.
const TURNS_A_MACHINE: usize = 40;

fn terms() -> MaintenanceConfig {
    MaintenanceConfig {
        poll_interval: PERIOD,
        required_fronts: (0..budget::FRONTS).map(name).collect(),
        min_reserve: 0.9,
        demand_margin: 0.1,
        probation: PERIOD * 2,
    }
}

fn name(front: u32) -> String {
    format!("front-{front}")
}

fn fleet(machines: u32) -> FleetCapacity {
    let entry = |machine| {
        let capacity = MachineCapacity { zone: zone(machine), work: f64::from(CORES), answers: true };
        (machine, capacity)
    };
    FleetCapacity { machines: (0..machines).map(entry).collect(), classes: sites::groups(machines) }
}

/// The register of the request: what stands there, and under which stamp.
struct Register {
    stamp: EntryVersion,
    work: MaintenanceRequest,
}

impl Register {
    fn committed(&self) -> VersionedRequest {
        VersionedRequest { version: self.stamp, request: self.work.clone() }
    }

    fn settle(&mut self, work: MaintenanceRequest) {
        self.stamp.counter += 1;
        self.work = work;
    }

    fn machines(&self, wanted: impl Fn(Phase) -> bool) -> Vec<Machine> {
        let all = self.work.machines.iter().filter(|status| wanted(status.phase));
        all.map(|status| status.machine).collect()
    }
}

/// Works off one request as large as a register holds.
pub fn request(machines: u32, quick: bool) -> Result<Shown, MeasureError> {
    let asked = if quick { QUICK_MACHINES } else { MAX_MACHINES }.min(machines as usize);
    let wanted: Vec<Machine> =
        (0..machines).step_by((machines as usize / asked).max(1)).take(asked).collect();
    let work = MaintenanceRequest::new("operator", 0, MAX_CONCURRENT, OUT_SECONDS, &wanted);
    let mut register = Register { stamp: EntryVersion { epoch: 1, counter: 1 }, work };
    let (terms, seen) = (terms(), FleetView { capacity: fleet(machines), ..FleetView::default() });
    let mut foreman = MaintenanceCoordinator::default();
    foreman.set_lease(Some(1));
    let (mut turns, mut now) = (Turns::default(), Duration::ZERO);
    let fronts: Vec<String> = (0..budget::FRONTS).map(name).collect();
    for _ in 0..asked * TURNS_A_MACHINE {
        now += PERIOD;
        turns.time(|| {
            tell(&mut foreman, &register, &fronts);
            act(&mut foreman, &mut register, now, &terms, &seen);
        });
        if register.work.is_over() {
            let more = vec![(DONE_AFTER, now.as_secs_f64())];
            return Ok(Shown { turns, bytes: bytes_of((foreman, seen)), more });
        }
        work_done(&mut foreman, &mut register, now);
    }
    Err(MeasureError::Failed("the request was never worked off".into()))
}

/// Every front says each period what it has let go.
fn tell(foreman: &mut MaintenanceCoordinator, register: &Register, fronts: &[String]) {
    let draining = register.machines(|phase| phase == Phase::Draining);
    let let_go = |machine| DrainConfirmation { request: NUMBER, version: register.stamp, machine };
    let told: Vec<DrainConfirmation> = draining.into_iter().map(let_go).collect();
    fronts.iter().for_each(|front| foreman.handle_confirmations(front, &told));
}

/// One period of the holder: all reads are answered at once, and one change settled.
fn act(
    foreman: &mut MaintenanceCoordinator,
    register: &mut Register,
    now: Duration,
    terms: &MaintenanceConfig,
    seen: &FleetView,
) {
    while let Some(want) = foreman.poll(now, terms, seen) {
        match want {
            RegisterAction::Read(NUMBER) => {
                foreman.handle_committed(now, NUMBER, Some(register.committed()));
            }
            RegisterAction::Read(other) => foreman.handle_committed(now, other, None),
            RegisterAction::Write(change) => {
                register.settle(change.value);
                foreman.handle_committed(now, NUMBER, Some(register.committed()));
                return;
            }
        }
    }
}

/// Whoever works on the machines says at once that they are back.
fn work_done(foreman: &mut MaintenanceCoordinator, register: &mut Register, now: Duration) {
    let released = register.machines(|phase| matches!(phase, Phase::Released { .. }));
    if released.is_empty() {
        return;
    }
    let mut work = register.work.clone();
    released.into_iter().for_each(|machine| {
        work.mark_returned(machine);
    });
    register.settle(work);
    foreman.handle_request(now, NUMBER, register.stamp, register.work.clone());
}
