//! The decision module of lemonusher, a gateway that keeps short and long queries apart on shared
//! engines. [`Gateway`] is told events one by one with the clock; after the last event of a tick it
//! decides once and yields its [`Action`]s. It does no input or output and names no protocol.
//!
//! ```
//! use lemonusher::{Deployment, Gateway};
//! use std::time::Duration;
//!
//! let mut gateway = Gateway::new(Deployment::default(), 7);
//! assert!(gateway.decide(Duration::from_secs(1)).is_empty());
//! ```

mod candidate;
mod engine;
mod engine_table;
mod fleet_means;
mod interface;
mod logic;
mod orders;
mod request;
mod statistics;

pub use interface::*;
pub use logic::Gateway;
