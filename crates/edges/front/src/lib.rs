//! The front's network I/O: client and engine connections, discovery and the start of the process.
//!
//! `transport` reads and writes bytes, `protocol` decodes and encodes messages, the crate `lemonusher-routing`
//! owns the gateway, and `program` connects them. Each uses only those before it.

#![warn(missing_docs)]

mod program;
mod protocol;
mod transport;

pub use program::config::{DeploymentNames, StartError, read_names};
pub use program::control_channels::{FleetChannels, ManagementChannels, ZoneFailover};
pub use program::external_processing::ExternalProcessing;
pub use program::start::{run, serve};
pub use protocol::statement::table_group;
