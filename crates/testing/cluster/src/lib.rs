//! A cluster on one machine, for tests: several real `lemonusher` processes, a relay with settable faults on each link
//! between them ([`Relays`]), engines in zones that can be lost ([`FakeZones`]), clients that send at a given rate
//! ([`LoadClient`]), and a task service that notes who acts on it ([`FakeTaskService`]). Everything random comes from one
//! seed. Failures of the rig itself panic, as it serves tests alone.

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
