//! The front's tasks: start-up and shutdown, and the connections that stand between the protocols and the router.

mod clients;
pub mod config;
pub mod control_channels;
mod descriptor_limits;
mod discovery;
mod engines;
pub mod external_processing;
mod shared;
mod shutdown;
pub mod start;
