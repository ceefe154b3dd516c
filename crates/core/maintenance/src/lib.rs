//! Works: machines taken out for work, in an order that the fronts settle among themselves (docs/works.md).
//!
//! Each request is a [`Work`], a value in a register of its own. Whoever holds the lease ([`Coordinator`]) says which machine
//! goes next, so that the rest carries the load even if a zone is lost meanwhile; every front ([`Crew`]) stops sending
//! there and says when it has let go; only when all have is the machine **released**, by a settled value and a fencing
//! number. Nothing here opens sockets, reads clocks or files.
//!
//! Why a released machine is used by nobody, without any clock: every front that counts has said, following a version
//! that drains it, that nothing of its is out there. In that incarnation it never opens the machine again before a later
//! version says so. A front that starts uses nothing before it is sure of the works; what a majority shows it then was
//! settled before it started or later, and so holds the drain. A front that is not heard keeps the machine from being
//! released, however long; only an operator who knows that it is dead may leave it out.

mod coordinator;
mod dead_fronts;
mod participant;
mod reserve;

pub use coordinator::{FleetView, MaintenanceCoordinator, Notice, RegisterAction, RegisterWrite};
pub use dead_fronts::{DeadFronts, MAX_FRONTS};
pub use participant::{DrainConfirmation, Participant};
pub use reserve::{CapacityReserve, FleetCapacity};

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// An engine's id.
pub type Machine = u32;
/// Registers for requests. A request that names more machines than one holds takes several of them.
pub const MAX_REQUESTS: usize = 64;
/// Machines in one register, so that it fits a datagram even with all of them released.
pub const MAX_MACHINES: usize = 32;
/// Machines in one register that an earlier version may have written.
const MAX_MACHINES_READ: usize = 60;
/// Machines of one request that are out at once, at most: all that the registers hold.
pub const MAX_CONCURRENT: u16 = (MAX_REQUESTS * MAX_MACHINES) as u16;
/// Bytes of who asked at most.
pub const MAX_NAME_BYTES: usize = 32;

/// What an operator states of works, alike at every front.
#[derive(Debug, Clone, PartialEq)]
pub struct MaintenanceConfig {
    pub poll_interval: Duration,
    /// The fronts that count, by name: each must have let a machine go before it is released.
    pub required_fronts: Vec<String>,
    /// The part of the worth that could be served with a zone lost which must still be served with it lost while machines
    /// are out.
    pub min_reserve: f64,
    /// By how much more than now is asked for while machines are out.
    pub demand_margin: f64,
    /// For how long a machine that is back must answer before it counts as done.
    pub probation: Duration,
}

/// How a machine of a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for its turn.
    #[serde(rename = "Asked")]
    Pending,
    /// No front sends there any more; what is out goes to its end.
    Draining,
    /// Nobody uses it: it may be worked on, under this number, for as long as was asked.
    Released {
        #[serde(rename = "number")]
        fencing_token: u64,
    },
    /// Whoever worked on it says that it is back; it is open, and tried out.
    #[serde(rename = "Back")]
    Returned,
    Done,
    /// Taken back before it was released.
    Withdrawn,
}

impl fmt::Display for Phase {
    /// The name in logs and in what operators are shown.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Phase::Pending => f.write_str("Asked"),
            Phase::Draining => f.write_str("Draining"),
            Phase::Released { fencing_token } => write!(f, "Released {{ number: {fencing_token} }}"),
            Phase::Returned => f.write_str("Back"),
            Phase::Done => f.write_str("Done"),
            Phase::Withdrawn => f.write_str("Withdrawn"),
        }
    }
}

impl Phase {
    /// Whether fronts may not send there.
    pub fn is_closed(self) -> bool {
        matches!(self, Phase::Draining | Phase::Released { .. })
    }

    /// Whether it counts as missing from what the fleet can bear.
    pub fn is_out(self) -> bool {
        matches!(self, Phase::Draining | Phase::Released { .. } | Phase::Returned)
    }

    pub fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::Withdrawn)
    }
}

/// A request, or the part of one that stands in one register, and how far it has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    pub requester: String,
    /// The greater goes first; within one, who has waited longer.
    pub urgency: u8,
    /// At most so many of the whole request are out at once.
    pub max_concurrent: u16,
    /// For how long a machine may be out, in seconds; one that is out for longer stops the queue.
    pub max_outage_s: u32,
    /// Nothing further is begun.
    pub on_hold: bool,
    pub machines: Vec<(Machine, Phase)>,
    /// Fronts that an operator of an earlier version has declared dead, by name.
    pub excluded_fronts: Vec<String>,
    /// What later versions have added; it stands behind all else, where earlier ones don't read.
    #[serde(skip)]
    pub extension: Extension,
}

/// What has been added to a request since its form was first written.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// Alike in all parts of one request; 0 where it has one part only.
    pub request_group: u64,
    /// Fronts that an operator has declared dead, for this request alone.
    pub dead_fronts: DeadFronts,
}

impl MaintenanceRequest {
    pub fn new(who: &str, urgency: u8, at_once: u16, out_s: u32, machines: &[Machine]) -> MaintenanceRequest {
        let mut machines: Vec<Machine> = machines.to_vec();
        machines.sort_unstable();
        machines.dedup();
        let machines = machines.into_iter().map(|machine| (machine, Phase::Pending)).collect();
        let who = who.to_owned();
        MaintenanceRequest {
            requester: who,
            urgency,
            max_concurrent: at_once.clamp(1, MAX_CONCURRENT),
            max_outage_s: out_s,
            on_hold: false,
            machines,
            excluded_fronts: Vec::new(),
            extension: Extension::default(),
        }
    }

    /// Cuts a request into the parts that registers hold. `request` marks parts as one; there is none of no machines.
    pub fn split(&self, request: u64) -> Vec<MaintenanceRequest> {
        let request = if self.machines.len() > MAX_MACHINES { request.max(1) } else { 0 };
        let part = |machines: &[(Machine, Phase)]| {
            let added = Extension { request_group: request, ..self.extension.clone() };
            MaintenanceRequest { machines: machines.to_vec(), extension: added, ..self.clone() }
        };
        self.machines.chunks(MAX_MACHINES).map(part).collect()
    }

    /// Whether another register holds a part of the same request.
    pub fn is_same_request(&self, other: &MaintenanceRequest) -> bool {
        self.extension.request_group != 0 && self.extension.request_group == other.extension.request_group
    }

    /// Whether the request does not wait for this one of the fronts that count.
    pub fn excludes(&self, fronts: &[String], front: &str) -> bool {
        self.excluded_fronts.iter().any(|name| name == front)
            || self.extension.dead_fronts.contains(fronts, front)
    }

    pub fn is_over(&self) -> bool {
        self.machines.iter().all(|(_, phase)| phase.is_over())
    }

    pub fn phase(&self, machine: Machine) -> Option<Phase> {
        self.machines.iter().find(|(one, _)| *one == machine).map(|(_, phase)| *phase)
    }

    fn set(&mut self, machine: Machine, phase: Phase) {
        if let Some(one) = self.machines.iter_mut().find(|(one, _)| *one == machine) {
            one.1 = phase;
        }
    }

    /// Takes back what has not been released; what has stays out until it is back.
    pub fn withdraw(&mut self) {
        for (_, phase) in &mut self.machines {
            if matches!(phase, Phase::Pending | Phase::Draining) {
                *phase = Phase::Withdrawn;
            }
        }
    }

    /// Whoever worked on a machine says that it is back; false if it was not released, as when that was said twice.
    pub fn mark_returned(&mut self, machine: Machine) -> bool {
        let released = matches!(self.phase(machine), Some(Phase::Released { .. }));
        if released {
            self.set(machine, Phase::Returned);
        }
        released
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).unwrap_or_default();
        if self.extension != Extension::default() {
            bytes.extend(postcard::to_allocvec(&self.extension).unwrap_or_default());
        }
        bytes
    }

    /// None for what is no request.
    pub fn from_bytes(bytes: &[u8]) -> Option<MaintenanceRequest> {
        let (mut work, rest) = postcard::take_from_bytes::<MaintenanceRequest>(bytes).ok()?;
        if !rest.is_empty() {
            work.extension = postcard::from_bytes(rest).ok()?;
        }
        let fits = work.machines.len() <= MAX_MACHINES_READ
            && work.requester.len() <= MAX_NAME_BYTES
            && work.excluded_fronts.iter().all(|name| name.len() <= MAX_NAME_BYTES);
        fits.then_some(work)
    }
}
