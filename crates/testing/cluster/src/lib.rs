//! A test cluster on one machine: several real `lemonusher` processes, a UDP relay with configurable faults on
//! each link from a front to a voter ([`Relays`]), fake engines in zones that can be stopped, slowed down or
//! partitioned ([`FakeZones`]), clients that send at a given rate ([`LoadClient`]), and a task service that
//! records which front acts on it ([`FakeTaskService`]). The relays' faults are drawn from the
//! configured seed. The rig is used by tests only, so its own failures panic.

#![warn(missing_docs)]

mod config;
mod fake_engine;
mod fake_zones;
mod load_client;
mod relays;
mod rig;
mod task_service;

pub use config::{FrontStart, RigConfig};
pub use fake_engine::ReceivedRequest;
pub use fake_zones::{FakeClass, FakeZones, FakeZonesConfig};
pub use load_client::{LoadClient, RequestCounts};
pub use relays::{Faults, Relays};
pub use rig::Rig;
pub use task_service::{FakeTaskService, TaskStep};
