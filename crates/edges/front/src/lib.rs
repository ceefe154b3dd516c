//! The front on sockets. `transport` moves bytes, `protocol` reads and writes messages, `lemonusher-routing`
//! owns the gateway, `program` puts them together; each uses only those before it.

mod program;
mod protocol;
mod transport;

pub use program::external_processing::ExternalProcessing;
pub use program::start::{
    DeploymentNames, FleetChannels, ManagementChannels, StartError, ZoneFailover, read_names, run, serve,
};
pub use protocol::statement::table_group;
