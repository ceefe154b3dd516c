//! Machines drained for maintenance: the coordinator completes one request of the maximum size, and every front
//! confirms each drain within a period.

use super::{CORES, CaseResult, DONE_AFTER, PERIOD, PollTimes, freed_bytes, zone, zones};
use crate::budget;
use crate::error::MeasureError;
use lemonusher_maintenance::{
    DrainConfirmation, FleetCapacity, FleetView, MAX_CONCURRENT, MAX_MACHINES, Machine, MachineCapacity,
    MaintenanceConfig, MaintenanceCoordinator, MaintenanceRequest, Phase, RegisterAction, VersionedRequest,
};
use lemonusher_registers::EntryVersion;
use std::time::Duration;

/// The register of the request.
const REGISTER: u8 = 0;
/// The longest time for which a machine may be out of service, in seconds.
const MAX_OUTAGE_S: u32 = 3_600;
/// Machines of the request in a quick run.
const QUICK_MACHINES: usize = 4;
/// Limit of the coordinator's polls for each machine of the request.
const MAX_POLLS_PER_MACHINE: usize = 40;

fn config() -> MaintenanceConfig {
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
    FleetCapacity { machines: (0..machines).map(entry).collect(), classes: zones::classes(machines) }
}

/// The register of the request: its committed value and version.
struct Register {
    version: EntryVersion,
    request: MaintenanceRequest,
}

impl Register {
    fn committed(&self) -> VersionedRequest {
        VersionedRequest { version: self.version, request: self.request.clone() }
    }

    fn commit(&mut self, request: MaintenanceRequest) {
        self.version.counter += 1;
        self.request = request;
    }

    fn machines(&self, wanted: impl Fn(Phase) -> bool) -> Vec<Machine> {
        let all = self.request.machines.iter().filter(|status| wanted(status.phase));
        all.map(|status| status.machine).collect()
    }
}

/// Completes one request of as many machines as a register can hold; a quick run has fewer.
pub fn request(machines: u32, quick: bool) -> Result<CaseResult, MeasureError> {
    let machine_count = if quick { QUICK_MACHINES } else { MAX_MACHINES }.min(machines as usize);
    let wanted: Vec<Machine> =
        (0..machines).step_by((machines as usize / machine_count).max(1)).take(machine_count).collect();
    let request = MaintenanceRequest::new("operator", 0, MAX_CONCURRENT, MAX_OUTAGE_S, &wanted);
    let mut register = Register { version: EntryVersion { epoch: 1, counter: 1 }, request };
    let (config, view) = (config(), FleetView { capacity: fleet(machines), ..FleetView::default() });
    let mut coordinator = MaintenanceCoordinator::default();
    coordinator.set_lease(Some(1));
    let (mut poll_times, mut now) = (PollTimes::default(), Duration::ZERO);
    let fronts: Vec<String> = (0..budget::FRONTS).map(name).collect();
    for _ in 0..machine_count * MAX_POLLS_PER_MACHINE {
        now += PERIOD;
        poll_times.time(|| {
            confirm_drains(&mut coordinator, &register, &fronts);
            poll_coordinator(&mut coordinator, &mut register, now, &config, &view);
        });
        if register.request.is_over() {
            let more = vec![DONE_AFTER.of(now.as_secs_f64())];
            return Ok(CaseResult { poll_times, bytes: freed_bytes((coordinator, view)), more });
        }
        return_machines(&mut coordinator, &mut register, now);
    }
    Err(MeasureError::Failed("the maintenance request was not completed within the limit of polls".into()))
}

/// Passes the coordinator every front's confirmations of all drains.
fn confirm_drains(coordinator: &mut MaintenanceCoordinator, register: &Register, fronts: &[String]) {
    let draining = register.machines(|phase| phase == Phase::Draining);
    let confirmation = |machine| DrainConfirmation { request: REGISTER, version: register.version, machine };
    let confirmations: Vec<DrainConfirmation> = draining.into_iter().map(confirmation).collect();
    fronts.iter().for_each(|front| coordinator.handle_confirmations(front, &confirmations));
}

/// Polls the coordinator for one period: all reads are replied to at once, and at most one write is committed.
fn poll_coordinator(
    coordinator: &mut MaintenanceCoordinator,
    register: &mut Register,
    now: Duration,
    config: &MaintenanceConfig,
    view: &FleetView,
) {
    while let Some(action) = coordinator.poll(now, config, view) {
        match action {
            RegisterAction::Read(REGISTER) => {
                coordinator.handle_committed(now, REGISTER, Some(register.committed()));
            }
            RegisterAction::Read(other) => coordinator.handle_committed(now, other, None),
            RegisterAction::Write(change) => {
                register.commit(change.value);
                coordinator.handle_committed(now, REGISTER, Some(register.committed()));
                return;
            }
        }
    }
}

/// Marks all released machines as returned at once, as the operator of the maintenance does.
fn return_machines(coordinator: &mut MaintenanceCoordinator, register: &mut Register, now: Duration) {
    let released = register.machines(|phase| matches!(phase, Phase::Released { .. }));
    if released.is_empty() {
        return;
    }
    let mut request = register.request.clone();
    released.into_iter().for_each(|machine| {
        request.mark_returned(machine);
    });
    register.commit(request);
    coordinator.handle_request(now, REGISTER, register.version, register.request.clone());
}
