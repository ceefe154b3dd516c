//! The front on sockets. `transport` moves bytes, `protocol` reads and writes messages, `lemonusher-routing` owns the
//! gateway, `program` connects them; each uses only those before it.

#![warn(missing_docs)]

mod program;
mod protocol;
mod transport;

pub use program::config::{DeploymentNames, StartError, read_names};
pub use program::control_channels::{FleetChannels, ManagementChannels, ZoneFailover};
pub use program::external_processing::ExternalProcessing;
pub use program::start::{run, serve};
pub use protocol::statement::table_group;
