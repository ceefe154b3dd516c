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
pub const NAME: &str = "works";
/// Rows in one message; what does not fit is said in the next periods.
const ROWS: usize = 32;

/// What the operator's file says of works.
#[derive(Debug, Clone)]
pub struct WorksTerms {
    pub terms: MaintenanceConfig,
    /// Who is told of each machine that is released.
    pub tell: Option<SocketAddr>,
}

pub struct Works {
    terms: MaintenanceConfig,
    tell: Option<SocketAddr>,
    crew: Participant,
    foreman: Option<MaintenanceCoordinator>,
    said: Option<(u64, bool)>,
    /// What the owner has closed, by which version, and what is out there.
    closed_by: u64,
    out: BTreeMap<Machine, u32>,
    next: Duration,
    pub seen: FleetView,
}

/// What is to be told once a period.
pub struct Report {
    /// Machines that this front has let go.
    pub let_go: Vec<DrainConfirmation>,
    /// For whoever works on machines: those that are released.
    pub released: Vec<Datagram>,
}

pub fn register(number: u8) -> String {
    format!("{NAME}.{number}")
}

/// Of which request a register is.
pub fn number(register: &str) -> Option<u8> {
    let number = register.strip_prefix(NAME)?.strip_prefix('.')?.parse::<u8>().ok()?;
    (usize::from(number) < MAX_REQUESTS).then_some(number)
}

fn read(entry: &Entry) -> Option<VersionedRequest> {
    Some(VersionedRequest { version: entry.version, request: MaintenanceRequest::from_bytes(&entry.value)? })
}

impl Works {
    pub fn new(told: &WorksTerms, votes: bool) -> Works {
        Works {
            terms: told.terms.clone(),
            tell: told.tell,
            crew: Participant::default(),
            foreman: votes.then(MaintenanceCoordinator::default),
            said: None,
            closed_by: 0,
            out: BTreeMap::new(),
            next: Duration::ZERO,
            seen: FleetView::default(),
        }
    }

    /// The owner has told what it has closed and has out; and what it sees of machines.
    pub fn counted(
        &mut self,
        closed_by: u64,
        out: BTreeMap<Machine, u32>,
        fleet: FleetCapacity,
        own: &LocalView,
    ) {
        (self.closed_by, self.out) = (closed_by, out);
        self.seen.capacity = FleetCapacity { classes: own.classes.clone(), ..fleet };
    }

    /// What is asked for over all fronts, and how outcomes are, as a voter knows it.
    pub fn load(&mut self, groups: Vec<lemonusher_zone_failover::ClassLoad>, worse: f64, sites_down: bool) {
        (self.seen.capacity.classes, self.seen.degraded_share, self.seen.zones_down) =
            (groups, worse, sites_down);
    }

    /// Takes in what is settled; what the front is to know, if that has changed.
    pub fn follow(&mut self, now: Duration, follower: &Learner) -> Option<ControlUpdate> {
        for work in 0..MAX_REQUESTS as u8 {
            let name = register(work);
            match follower.committed(&name).and_then(|(entry, _)| read(entry)) {
                Some(VersionedRequest { version: stamp, request: value }) => {
                    if let Some(foreman) = &mut self.foreman {
                        foreman.handle_request(now, work, stamp, value.clone());
                    }
                    self.crew.handle_request(work, stamp, value);
                }
                None if follower.is_known_empty(&name) => self.crew.handle_no_request(work),
                None => {}
            }
        }
        let state = (self.crew.revision(), self.crew.is_complete());
        if self.said == Some(state) {
            return None;
        }
        self.said = Some(state);
        Some(ControlUpdate::Maintenance {
            version: state.0,
            complete: state.1,
            closed: Arc::new(self.crew.closed_machines()),
        })
    }

    /// Once a period: what this front has let go, and what is released.
    pub fn told(&mut self, now: Duration) -> Option<Report> {
        if now < self.next {
            return None;
        }
        self.next = now + self.terms.poll_interval;
        let let_go = self.crew.next_confirmations(self.closed_by, &self.out, ROWS);
        Some(Report { let_go, released: self.released() })
    }

    fn released(&self) -> Vec<Datagram> {
        let foreman = self.foreman.as_ref().filter(|foreman| foreman.is_active());
        let Some((to, foreman)) = self.tell.zip(foreman) else { return Vec::new() };
        let released = foreman.released().into_iter().filter_map(|told| match told {
            Notice::Released { request: work, machine, fencing_token: number } => {
                let said =
                    serde_json::json!({"work": work, "machine": format!("{machine:08x}"), "number": number});
                Some(Datagram { to, bytes: said.to_string().into_bytes() })
            }
            _ => None,
        });
        released.collect()
    }

    pub fn hear(&mut self, front: &str, told: &[lemonusher_maintenance::DrainConfirmation]) {
        if let Some(foreman) = &mut self.foreman {
            foreman.handle_confirmations(front, told);
        }
    }

    /// What is wanted of a register, while the lease is held under this number.
    pub fn wants(&mut self, now: Duration, number: Option<u64>) -> Option<(String, Operation)> {
        let foreman = self.foreman.as_mut()?;
        foreman.set_lease(number);
        match foreman.poll(now, &self.terms, &self.seen)? {
            RegisterAction::Read(work) => Some((register(work), Operation::Read)),
            RegisterAction::Write(Settle { request: work, expected, value }) => {
                for MachineStatus { machine, phase } in &value.machines {
                    tracing::debug!(work, "works: machine {machine:08x} {phase}");
                }
                let change = Operation::CompareAndSet {
                    expected: Some(expected),
                    fencing_token: number?,
                    value: value.to_bytes(),
                };
                Some((register(work), change))
            }
        }
    }

    pub fn outcome(&mut self, now: Duration, name: &str, outcome: &ProposalOutcome) {
        let (Some(foreman), Some(work)) = (&mut self.foreman, number(name)) else { return };
        match outcome {
            ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
                foreman.handle_committed(now, work, entry.as_ref().and_then(read));
            }
            ProposalOutcome::Unknown { .. } => foreman.handle_failure(work),
        }
    }

    /// A request as this front knows it, and why it waits.
    pub fn show(&self, number: u8) -> Body {
        let known = self.crew.request(number);
        let waits = self
            .foreman
            .as_ref()
            .filter(|foreman| foreman.is_active())
            .map(MaintenanceCoordinator::blocked)
            .unwrap_or_default();
        let why = waits.iter().find_map(|told| match told {
            Notice::Blocked { request: work, machine, reason: why } if *work == number => {
                Some(format!("{machine:08x}: {why}"))
            }
            _ => None,
        });
        Body::MaintenanceShown {
            number,
            work: known.map(|known| ((known.version.epoch, known.version.counter), known.request.to_bytes())),
            foreman: self.foreman.as_ref().is_some_and(MaintenanceCoordinator::is_active),
            why: why.map(|why| why.chars().take(160).collect()),
        }
    }
}
