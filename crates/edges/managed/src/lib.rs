//! The managed front. A thread of its own holds the store and its log, takes the front's parts through each commit, and
//! serves managers over gNMI and NETCONF. It reaches the request router by bounded queues alone and decides nothing that the
//! pure packages decide.

#![warn(missing_docs)]

mod disk;
pub mod gnmi;
mod hub;
pub mod netconf;
mod parts;
mod start;
mod state;
mod users;

pub use disk::{Disk, DiskError};
pub use hub::{Hub, ManagementEvent};
pub use lemonusher_desired_state::Names;
pub use parts::{Part, PartFuture};
pub use start::{GnmiConfig, ManagementConfig, NetconfConfig, StartError, Started, Tls, start};
pub use users::{Grant, User, Users};
