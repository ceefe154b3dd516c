//! Managed fronts and their management clients: the management servers of many fronts in one process, and a client
//! that commits at each over loopback. The work of the servers is measured; network delays are drawn at random and
//! added.

mod count;
mod manager;
mod servers;
mod wire;

pub use count::ByteCount;
pub use manager::{Change, Commit, FrontCommit, Manager, Rollout};
pub use servers::{ManagementServer, ManagementServers, RealFront, names};
pub use wire::{Exchange, exchange};
