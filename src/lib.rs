//! The decision module of lemonusher, a gateway that keeps short and long queries apart on shared engines.
//!
//! [`Gateway`] is a pure state machine. It receives events one by one, each with the current time. After the
//! last event of a tick it decides once and returns [`Action`]s. It does no input or output, reads no clock
//! and depends on no protocol: time and the seed of random draws are arguments.
//!
//! ```
//! use lemonusher::{Deployment, Gateway};
//! use std::time::Duration;
//!
//! let mut gateway = Gateway::new(Deployment::default(), 7);
//! assert!(gateway.decide(Duration::from_secs(1)).is_empty());
//! ```
//!
//! Inputs and outputs: `deployment`, `endpoint`, `event`, `action`. State: `request`, `request_class`,
//! `engine`, `engine_table`, `key_queue`, `candidate`, `preference_order`, `decaying_mean`, `random`. Rules,
//! one per module: `admission`, `arrival`, `attempt_end`, `concurrency_limit`, `conflicts`, `congestion`,
//! `ejection`, `eligibility`, `endpoint_updates`, `give_up`, `idempotency`, `load_estimate`, `overload`,
//! `placement`, `probing`, `retry`, `scan`, `slow_start`, `starvation_header`, `subsets`. `gateway` calls
//! them in order, and `reconcile` turns their results into actions.

#![warn(missing_docs)]

mod action;
mod admission;
mod arrival;
mod attempt_end;
mod candidate;
mod concurrency_limit;
mod conflicts;
mod congestion;
mod decaying_mean;
mod deployment;
mod ejection;
mod eligibility;
mod endpoint;
mod endpoint_updates;
mod engine;
mod engine_table;
mod event;
mod gateway;
mod give_up;
mod idempotency;
mod key_queue;
mod load_estimate;
mod overload;
mod placement;
mod preference_order;
mod probing;
mod random;
mod reconcile;
mod request;
mod request_class;
mod retry;
mod scan;
mod slow_start;
mod starvation_header;
mod subsets;

pub use action::Action;
pub use deployment::*;
pub use endpoint::*;
pub use event::*;
pub use gateway::Gateway;
