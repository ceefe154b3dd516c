//! Maintenance at a front. Connects the coordinator and the participant of `lemonusher-maintenance` to the
//! lease, the registers, the other fronts' drain confirmations and this front's router. Notifies the
//! configured address of machines that are released for work.

use crate::Datagram;
use crate::actions::{Notification, RequiredLease};
use crate::body::{Body, StoredRequest};
use crate::zone_failover::FleetLoad;
use lemonusher_maintenance::{
    DrainConfirmation, FleetCapacity, FleetView, MAX_REQUESTS, Machine, MachineStatus, MaintenanceConfig,
    MaintenanceCoordinator, MaintenanceRequest, Notice, Participant, RegisterAction, RegisterWrite,
    VersionedRequest,
};
use lemonusher_registers::{Entry, Learner, Operation, ProposalOutcome};
use lemonusher_routing::ControlUpdate;
use lemonusher_zone_failover::LocalView;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name of the coordinator's lease, and prefix of the names of the requests' registers.
pub const LEASE: &str = "works";
/// Maximum number of drain confirmations in one datagram; the rest is sent in the next poll intervals.
const MAX_CONFIRMATIONS: usize = 32;
/// Maximum length in characters of a reason shown to an operator, so that it fits a datagram.
const MAX_REASON_CHARS: usize = 160;

/// Configuration of maintenance at a front.
#[derive(Debug, Clone)]
pub struct MaintenanceSettings {
    /// Durations, required fronts and capacity reserve.
    pub config: MaintenanceConfig,
    /// Address that is notified of each released machine; none for no notification.
    pub notify: Option<SocketAddr>,
}

/// Identifies the last update sent to the router; the version determines the set of closed machines.
#[derive(Clone, Copy, PartialEq, Eq)]
struct SentUpdate {
    version: u64,
    is_complete: bool,
}

pub(crate) struct Maintenance {
    config: MaintenanceConfig,
    notify: Option<SocketAddr>,
    participant: Participant,
    /// None at a front that is not a voter.
    coordinator: Option<MaintenanceCoordinator>,
    last_update: Option<SentUpdate>,
    /// Version of the requests that the router has applied.
    applied_version: u64,
    /// Number of attempts in flight by machine, counted by the router with `applied_version` applied.
    in_flight: BTreeMap<Machine, u32>,
    next_report: Duration,
    view: FleetView,
}

/// Messages that a front sends once per poll interval.
pub(crate) struct Report {
    /// For the voters: machines that this front has drained.
    pub(crate) confirmations: Vec<DrainConfirmation>,
    /// For the configured address: notifications of released machines.
    pub(crate) released: Vec<Notification>,
}

/// An operation to propose on a register.
pub(crate) struct Proposal {
    pub(crate) register: String,
    pub(crate) operation: Operation,
}

/// The name of the register of a maintenance request.
pub fn register_name(request: u8) -> String {
    format!("{LEASE}.{request}")
}

/// The number of the maintenance request that a register belongs to; none for any other register.
fn request_of(register: &str) -> Option<u8> {
    let request = register.strip_prefix(LEASE)?.strip_prefix('.')?.parse::<u8>().ok()?;
    (usize::from(request) < MAX_REQUESTS).then_some(request)
}

fn decode(entry: &Entry) -> Option<VersionedRequest> {
    Some(VersionedRequest { version: entry.version, request: MaintenanceRequest::from_bytes(&entry.value)? })
}

impl Maintenance {
    /// A voter has a coordinator, which collects confirmations and acts while this front holds the
    /// coordinator's lease.
    pub(crate) fn new(settings: &MaintenanceSettings, is_voter: bool) -> Maintenance {
        Maintenance {
            config: settings.config.clone(),
            notify: settings.notify,
            participant: Participant::default(),
            coordinator: is_voter.then(MaintenanceCoordinator::default),
            last_update: None,
            applied_version: 0,
            in_flight: BTreeMap::new(),
            next_report: Duration::ZERO,
            view: FleetView::default(),
        }
    }

    /// Stores an observation of this front's router: the attempts in flight, counted with the requests of
    /// `applied_version` applied, and the machines and demand that it sees.
    pub(crate) fn observe_machines(
        &mut self,
        applied_version: u64,
        in_flight: BTreeMap<Machine, u32>,
        capacity: FleetCapacity,
        local: &LocalView,
    ) {
        self.applied_version = applied_version;
        self.in_flight = in_flight;
        self.view.capacity = FleetCapacity { classes: local.classes.clone(), ..capacity };
    }

    /// Stores the load of all fronts, which only a voter knows. It replaces the demand seen by this front
    /// alone.
    pub(crate) fn observe_load(&mut self, load: FleetLoad) {
        self.view.capacity.classes = load.classes;
        self.view.degraded_share = load.degraded_share;
        self.view.zones_down = load.zones_down;
    }

    /// Reads the committed requests from the learner. Returns an update for this front's router if it has
    /// changed.
    pub(crate) fn poll_update(&mut self, now: Duration, learner: &Learner) -> Option<ControlUpdate> {
        (0..MAX_REQUESTS as u8).for_each(|request| self.follow(now, learner, request));
        let update =
            SentUpdate { version: self.participant.revision(), is_complete: self.participant.is_complete() };
        if self.last_update == Some(update) {
            return None;
        }
        self.last_update = Some(update);
        Some(ControlUpdate::Maintenance {
            version: update.version,
            complete: update.is_complete,
            closed: Arc::new(self.participant.closed_machines()),
        })
    }

    fn follow(&mut self, now: Duration, learner: &Learner, request: u8) {
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

    /// Returns the messages to send, once per poll interval. `fencing_token` is that of the coordinator's lease; none
    /// while this front does not hold it.
    pub(crate) fn poll_report(&mut self, now: Duration, fencing_token: Option<u64>) -> Option<Report> {
        if now < self.next_report {
            return None;
        }
        self.next_report = now + self.config.poll_interval;
        let confirmations =
            self.participant.next_confirmations(self.applied_version, &self.in_flight, MAX_CONFIRMATIONS);
        Some(Report { confirmations, released: self.released(fencing_token) })
    }

    /// Notifications of the machines that are released; none unless this front is the active coordinator.
    fn released(&self, fencing_token: Option<u64>) -> Vec<Notification> {
        let coordinator = self.active_coordinator(fencing_token);
        let Some(((to, coordinator), lease_token)) = self.notify.zip(coordinator).zip(fencing_token) else {
            return Vec::new();
        };
        let notifications = coordinator.released().into_iter().filter_map(|notice| match notice {
            Notice::Released { request, machine, fencing_token } => {
                let machine = format!("{machine:08x}");
                let message =
                    serde_json::json!({"work": request, "machine": machine, "number": fencing_token});
                let datagram = Datagram { to, bytes: message.to_string().into_bytes() };
                let lease = RequiredLease { task: LEASE.to_owned(), fencing_token: lease_token };
                Some(Notification { datagram, lease: Some(lease) })
            }
            _ => None,
        });
        notifications.collect()
    }

    /// The coordinator, if it acts under the lease that this front holds now. Since its last poll the lease may have
    /// ended, or begun anew under another token.
    fn active_coordinator(&self, fencing_token: Option<u64>) -> Option<&MaintenanceCoordinator> {
        let is_active = |coordinator: &&MaintenanceCoordinator| coordinator.is_active_under(fencing_token);
        self.coordinator.as_ref().filter(is_active)
    }

    pub(crate) fn handle_confirmations(&mut self, front: &str, confirmations: &[DrainConfirmation]) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.handle_confirmations(front, confirmations);
        }
    }

    /// Returns the coordinator's next operation on a register. `fencing_token` is that of the coordinator's
    /// lease; none while this front does not hold it.
    pub(crate) fn poll(&mut self, now: Duration, fencing_token: Option<u64>) -> Option<Proposal> {
        let coordinator = self.coordinator.as_mut()?;
        coordinator.set_lease(fencing_token);
        match coordinator.poll(now, &self.config, &self.view)? {
            RegisterAction::Read(request) => {
                Some(Proposal { register: register_name(request), operation: Operation::Read })
            }
            RegisterAction::Write(RegisterWrite { request, expected, value }) => {
                for MachineStatus { machine, phase } in &value.machines {
                    tracing::debug!(
                        work = request,
                        "maintenance: the coordinator proposes machine {machine:08x} as {phase}"
                    );
                }
                let operation = Operation::CompareAndSet {
                    expected: Some(expected),
                    fencing_token: fencing_token?,
                    value: value.to_bytes(),
                };
                Some(Proposal { register: register_name(request), operation })
            }
        }
    }

    /// Handles the outcome of a proposal that [`Maintenance::poll`] returned. Ignores a register that holds no
    /// maintenance request.
    pub(crate) fn handle_outcome(&mut self, now: Duration, register: &str, outcome: &ProposalOutcome) {
        let Some(coordinator) = &mut self.coordinator else { return };
        let Some(request) = request_of(register) else { return };
        match outcome {
            ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
                coordinator.handle_committed(now, request, entry.as_ref().and_then(decode));
            }
            ProposalOutcome::Unknown { .. } => coordinator.handle_failure(request),
        }
    }

    /// The committed request that this front follows, and, at the coordinator, the reason why it makes no
    /// progress. `fencing_token` is that of the coordinator's lease; none while this front does not hold it.
    pub(crate) fn show(&self, request: u8, fencing_token: Option<u64>) -> Body {
        let coordinator = self.active_coordinator(fencing_token);
        let blocked = coordinator.map(MaintenanceCoordinator::blocked).unwrap_or_default();
        let blocked_reason = blocked.iter().find_map(|notice| match notice {
            Notice::Blocked { request: blocked, machine, reason } if *blocked == request => {
                Some(format!("{machine:08x}: {reason}").chars().take(MAX_REASON_CHARS).collect())
            }
            _ => None,
        });
        let stored = self.participant.request(request);
        Body::MaintenanceShown {
            request,
            stored: stored
                .map(|stored| StoredRequest { version: stored.version, value: stored.request.to_bytes() }),
            is_coordinator: coordinator.is_some(),
            blocked_reason,
        }
    }
}
