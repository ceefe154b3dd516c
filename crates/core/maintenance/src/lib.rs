//! Machines taken out for maintenance, in an order that the fronts agree on (docs/works.md); pure: time is an argument,
//! nothing is random.
//!
//! Each [`MaintenanceRequest`] is the value of a register of its own. The voter that holds the lease
//! ([`MaintenanceCoordinator`]) decides which machine is drained next, so that the rest carries the load even if a zone
//! is lost meanwhile ([`CapacityReserve`]). Every front ([`Participant`]) stops sending to a draining machine, and
//! confirms once it has nothing in flight there. When all required fronts have confirmed, the coordinator commits the
//! machine as released, with a fencing token.
//!
//! # Release safety
//!
//! No front uses a released machine, and no clock is needed for it:
//!
//! 1. A machine is released only after every required front has confirmed, following a committed version that drains
//!    it, that it has nothing in flight there.
//! 2. A front that has confirmed does not open the machine again in that incarnation before a later version opens it.
//! 3. A front that starts uses no machine before it knows all requests. What a majority shows it then was committed
//!    before it started or later, so it includes the drain.
//! 4. A front that does not confirm blocks the release, however long. Only an operator who knows that it is down may
//!    exclude it from a request.

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

/// A machine, by its engine's id.
pub type Machine = u32;
/// Registers for requests. A request that names more machines than one register holds takes several of them.
pub const MAX_REQUESTS: usize = 64;
/// Machines in one register, so that it fits a datagram even with all of them released.
pub const MAX_MACHINES: usize = 32;
/// Machines of one request that are out at once, at most: all that the registers hold.
pub const MAX_CONCURRENT: u16 = (MAX_REQUESTS * MAX_MACHINES) as u16;
/// Bytes of a requester's name at most.
pub const MAX_NAME_BYTES: usize = 32;
