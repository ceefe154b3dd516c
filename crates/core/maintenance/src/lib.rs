//! Takes machines out of service for maintenance, in an order that the fronts agree on (docs/works.md). The crate
//! does no I/O, takes the time as an argument and uses no random numbers.
//!
//! Each [`MaintenanceRequest`] is stored in a register of its own, or split over several. The voter that holds the
//! lease ([`MaintenanceCoordinator`]) decides which machine is drained next, so that the remaining machines can
//! serve the required share of the load, also if a zone is lost meanwhile ([`CapacityReserve`]). Every front
//! ([`Participant`]) stops sending to a draining machine, and confirms the drain once it has nothing in flight
//! there. When all required fronts have confirmed, the coordinator commits the machine as released, with a fencing
//! token.
//!
//! # Release safety
//!
//! No front uses a released machine. This holds without any assumption about clocks:
//!
//! 1. A machine is released only after every required front has confirmed that it follows a committed version of the
//!    request which drains the machine, and that it has nothing in flight on the machine.
//! 2. A front that has confirmed does not use the machine again in that incarnation before a later version of the
//!    request opens it.
//! 3. A front that starts uses no machine before it knows all requests. It reads them from a majority after its
//!    start, so they include every drain committed before it started.
//! 4. A front that does not confirm blocks the release without a time limit. Only an operator who knows that the
//!    front is down may exclude it from a request.

#![warn(missing_docs)]

mod config;
mod coordinator;
mod dead_fronts;
mod notice;
mod participant;
mod phase;
mod request;
mod reserve;

pub use config::MaintenanceConfig;
pub use coordinator::{FleetView, MaintenanceCoordinator, RegisterAction, RegisterWrite};
pub use dead_fronts::{DeadFronts, MAX_FRONTS};
pub use notice::{BlockReason, Notice};
pub use participant::{DrainConfirmation, Participant};
pub use phase::Phase;
pub use request::{Extension, MachineStatus, MaintenanceRequest, VersionedRequest};
pub use reserve::{CapacityReserve, FleetCapacity, MachineCapacity};

/// A machine, identified by the id of its engine.
pub type Machine = u32;
/// The number of registers for requests. A request with more than [`MAX_MACHINES`] machines is split over several.
pub const MAX_REQUESTS: usize = 64;
/// The maximum number of machines in one register. The register's value fits a datagram even if all are released.
pub const MAX_MACHINES: usize = 32;
/// The greatest value of [`MaintenanceRequest::max_concurrent`]: all machines that the registers hold.
pub const MAX_CONCURRENT: u16 = (MAX_REQUESTS * MAX_MACHINES) as u16;
/// The maximum length of a requester's name, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
