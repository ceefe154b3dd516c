//! The front's tasks: start-up, shutdown, and the client, engine and discovery drivers between the protocols and the
//! router.

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

#[cfg(test)]
#[path = "../../tests/unit/common.rs"]
mod test_support;
