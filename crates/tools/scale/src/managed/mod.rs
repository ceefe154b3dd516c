//! Managed fronts and their managers: the management servers of many fronts in one process, and a manager that commits at each over
//! loopback. The time that a network would take is drawn and added; what a server does is measured.

mod count;
mod manager;
mod servers;
mod wire;

pub use count::ByteCount;
pub use manager::{Change, Commit, FrontCommit, Manager, Rollout};
pub use servers::{ManagementServer, ManagementServers, RealFront, names};
pub use wire::{Exchange, exchange};
