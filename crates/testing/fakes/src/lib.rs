//! Fakes of the clients, engines and discovery server of a front, on loopback, and built programs run as
//! processes. They panic when a test should fail.

#![warn(missing_docs)]

mod base64;
mod client;
mod closed_port;
mod counting_engine;
mod discovery;
mod engine;
mod file_system;
mod files;
mod front;
mod settings;

pub use base64::base64;
pub use client::Client;
pub use closed_port::ClosedPort;
pub use counting_engine::{CountingEngine, EngineBehavior, ReceivedRequest};
pub use discovery::{DiscoveryConnection, DiscoveryServer, delta_frame};
pub use engine::{Engine, EngineMessage, UnconnectableEngine};
pub use file_system::{Effect, Fault, FaultyFileSystem, OpenFile};
pub use files::{temp_file, temp_path};
pub use front::{FailedStart, Front, start_failure};
pub use settings::{settings, start_config};

use std::time::Duration;

/// Timeout of waits in tests, meant to be longer than any operation of a front takes on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
