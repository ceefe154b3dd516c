//! Exhaustive models of our own state machines. The production code runs as it is; a model adds the world around it, and
//! states what may never happen.
//!
//! [`search`] visits every state that up to a stated bound of events can reach, and returns a short history that
//! breaks a rule. A history is printed with an event a line, and replayed from that text by [`history::replay`].
//!
//! The search is that of the crate `stateright`, which the model of leases uses as well.

#![warn(missing_docs)]

pub mod external_calls;
pub mod history;
mod search;

pub use search::{Landmark, SearchResult, Space, World, search};
