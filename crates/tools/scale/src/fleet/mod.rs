//! Simulated fronts: each runs the fleet state machine of a front ([`lemonusher_fleet::Node`]) with the frames and
//! timers of a real one, but serves no requests. Hundreds run in one process, in virtual time ([`Simulation`]) or over
//! loopback sockets ([`Loopback`]).
//!
//! CSV cases, figures of tests and the type [`Hollow`] name a simulated front `hollow`.

mod events;
mod hollow;
mod loopback;
mod meter;
mod network;
mod setup;
mod side_by_side;
mod simulation;
mod traffic;

pub use events::{Partition, Replacement, ThunderingHerd, herd, partition_regions, replacements};
pub use hollow::Hollow;
pub use loopback::Loopback;
pub use meter::{Cost, Meter, Run, resident_bytes};
pub use network::{Delays, Network, Place};
pub use setup::{Registers, Setup, TASK};
pub use side_by_side::{Account, SideBySide, side_by_side};
pub use simulation::Simulation;
pub use traffic::{Flow, Traffic};
