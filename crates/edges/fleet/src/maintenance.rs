//! Works on the wire: follows requests, hands on what fronts have let go, has registers settled that the coordinator wants,
//! and tells whoever works on machines which are released. What goes when is settled in `lemonusher-maintenance`.

use crate::Datagram;
use crate::frame::Body;
use lemonusher_maintenance::{
    DrainConfirmation, FleetCapacity, FleetView, MAX_REQUESTS, Machine, MachineStatus, MaintenanceConfig,
    MaintenanceCoordinator, MaintenanceRequest, Notice, Participant, RegisterAction, RegisterWrite as Settle,
    VersionedRequest,
};
use lemonusher_registers::{Entry, Learner, Operation, ProposalOutcome};
use lemonusher_routing::ControlUpdate;
use lemonusher_zone_failover::LocalView;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The lease's name; registers add a number.
pub const LEASE: &str = "works";
/// Rows in one message; what does not fit is said in the next periods.
const MAX_ROWS: usize = 32;

/// What the operator's file says of works.
#[derive(Debug, Clone)]
pub struct MaintenanceSettings {
    pub config: MaintenanceConfig,
    /// Who is told of each machine that is released.
    pub notify: Option<SocketAddr>,
}

pub struct Maintenance {
    config: MaintenanceConfig,
    notify: Option<SocketAddr>,
    participant: Participant,
    coordinator: Option<MaintenanceCoordinator>,
    last_update: Option<(u64, bool)>,
    /// What the owner has closed, by which version, and what is out there.
    restriction_version: u64,
    in_flight: BTreeMap<Machine, u32>,
    next_report: Duration,
    pub view: FleetView,
}

/// What is to be told once a period.
pub struct Report {
    /// Machines that this front has let go.
    pub confirmations: Vec<DrainConfirmation>,
    /// For whoever works on machines: those that are released.
    pub released: Vec<Datagram>,
}

pub fn register_name(request_number: u8) -> String {
    format!("{LEASE}.{request_number}")
}

/// Of which request a register is.
pub fn request_number(register_name: &str) -> Option<u8> {
    let request_number = register_name.strip_prefix(LEASE)?.strip_prefix('.')?.parse::<u8>().ok()?;
    (usize::from(request_number) < MAX_REQUESTS).then_some(request_number)
}

fn decode(entry: &Entry) -> Option<VersionedRequest> {
    Some(VersionedRequest { version: entry.version, request: MaintenanceRequest::from_bytes(&entry.value)? })
}

impl Maintenance {
    pub fn new(poll_report: &MaintenanceSettings, is_voter: bool) -> Maintenance {
        Maintenance {
            config: poll_report.config.clone(),
            notify: poll_report.notify,
            participant: Participant::default(),
            coordinator: is_voter.then(MaintenanceCoordinator::default),
            last_update: None,
            restriction_version: 0,
            in_flight: BTreeMap::new(),
            next_report: Duration::ZERO,
            view: FleetView::default(),
        }
    }

    /// The owner has told what it has closed and has out; and what it sees of machines.
    pub fn observe_machines(
        &mut self,
        restriction_version: u64,
        in_flight: BTreeMap<Machine, u32>,
        fleet: FleetCapacity,
        local_view: &LocalView,
    ) {
        (self.restriction_version, self.in_flight) = (restriction_version, in_flight);
        self.view.capacity = FleetCapacity { classes: local_view.classes.clone(), ..fleet };
    }

    /// What is asked for over all fronts, and how outcomes are, as a voter knows it.
    pub fn observe_load(
        &mut self,
        classes: Vec<lemonusher_zone_failover::ClassLoad>,
        degraded_share: f64,
        zones_down: bool,
    ) {
        (self.view.capacity.classes, self.view.degraded_share, self.view.zones_down) =
            (classes, degraded_share, zones_down);
    }

    /// Takes in what is settled; what the front is to know, if that has changed.
    pub fn poll_update(&mut self, now: Duration, learner: &Learner) -> Option<ControlUpdate> {
        for request in 0..MAX_REQUESTS as u8 {
            let name = register_name(request);
            match learner.committed(&name).and_then(|committed| decode(committed.entry)) {
                Some(VersionedRequest { version, request: value }) => {
                    if let Some(coordinator) = &mut self.coordinator {
                        coordinator.handle_request(now, request, version, value.clone());
                    }
                    self.participant.handle_request(request, version, value);
                }
                None if learner.is_known_empty(&name) => self.participant.handle_no_request(request),
                None => {}
            }
        }
        let state = (self.participant.revision(), self.participant.is_complete());
        if self.last_update == Some(state) {
            return None;
        }
        self.last_update = Some(state);
        Some(ControlUpdate::Maintenance {
            version: state.0,
            complete: state.1,
            closed: Arc::new(self.participant.closed_machines()),
        })
    }

    /// Once a period: what this front has let go, and what is released.
    pub fn poll_report(&mut self, now: Duration) -> Option<Report> {
        if now < self.next_report {
            return None;
        }
        self.next_report = now + self.config.poll_interval;
        let confirmations =
            self.participant.next_confirmations(self.restriction_version, &self.in_flight, MAX_ROWS);
        Some(Report { confirmations, released: self.released() })
    }

    fn released(&self) -> Vec<Datagram> {
        let coordinator = self.coordinator.as_ref().filter(|coordinator| coordinator.is_active());
        let Some((to, coordinator)) = self.notify.zip(coordinator) else { return Vec::new() };
        let released = coordinator.released().into_iter().filter_map(|poll_report| match poll_report {
            Notice::Released { request, machine, fencing_token: request_number } => {
                let last_update =
                    serde_json::json!({"work": request, "machine": format!("{machine:08x}"), "number": request_number});
                Some(Datagram { to, bytes: last_update.to_string().into_bytes() })
            }
            _ => None,
        });
        released.collect()
    }

    pub fn handle_confirmations(
        &mut self,
        front: &str,
        poll_report: &[lemonusher_maintenance::DrainConfirmation],
    ) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.handle_confirmations(front, poll_report);
        }
    }

    /// What is wanted of a register, while the lease is held under this number.
    pub fn poll(&mut self, now: Duration, request_number: Option<u64>) -> Option<(String, Operation)> {
        let coordinator = self.coordinator.as_mut()?;
        coordinator.set_lease(request_number);
        match coordinator.poll(now, &self.config, &self.view)? {
            RegisterAction::Read(request) => Some((register_name(request), Operation::Read)),
            RegisterAction::Write(Settle { request, expected, value }) => {
                for MachineStatus { machine, phase } in &value.machines {
                    tracing::debug!(work = request, "works: machine {machine:08x} {phase}");
                }
                let change = Operation::CompareAndSet {
                    expected: Some(expected),
                    fencing_token: request_number?,
                    value: value.to_bytes(),
                };
                Some((register_name(request), change))
            }
        }
    }

    pub fn handle_outcome(&mut self, now: Duration, name: &str, handle_outcome: &ProposalOutcome) {
        let (Some(coordinator), Some(request)) = (&mut self.coordinator, request_number(name)) else {
            return;
        };
        match handle_outcome {
            ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
                coordinator.handle_committed(now, request, entry.as_ref().and_then(decode));
            }
            ProposalOutcome::Unknown { .. } => coordinator.handle_failure(request),
        }
    }

    /// A request as this front knows it, and why it waits.
    pub fn show(&self, request_number: u8) -> Body {
        let stored = self.participant.request(request_number);
        let blocked = self
            .coordinator
            .as_ref()
            .filter(|coordinator| coordinator.is_active())
            .map(MaintenanceCoordinator::blocked)
            .unwrap_or_default();
        let reason = blocked.iter().find_map(|poll_report| match poll_report {
            Notice::Blocked { request, machine, reason } if *request == request_number => {
                Some(format!("{machine:08x}: {reason}"))
            }
            _ => None,
        });
        Body::MaintenanceShown {
            request: request_number,
            stored: stored
                .map(|stored| ((stored.version.epoch, stored.version.counter), stored.request.to_bytes())),
            is_coordinator: self.coordinator.as_ref().is_some_and(MaintenanceCoordinator::is_active),
            blocked_reason: reason.map(|reason| reason.chars().take(160).collect()),
        }
    }
}
