//! The management plane of a front: the configuration store with its write-ahead log, the two-phase commit over the
//! parts of the front, and the gNMI and NETCONF servers for management clients. It runs on its own thread and
//! communicates with the request router only through queues of limited length. Validation, commit rules and change
//! detection are in the packages without I/O (model, store, desired-state, watch); this package does the I/O for them.

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
