//! Client driver: reads requests from client connections into the router's queue, and writes the router's responses.
//!
//! Each connection is owned by one task, which alone decides when to close it; other tasks can only request that
//! it checks whether it may close. The task reports once, through `abandon_requests`, that its client has
//! disconnected. It forwards nothing that it reads after the connection stopped accepting.

mod accept_delay;
mod listener;
mod reading;
mod session;

pub use listener::ClientListener;
