//! The external processor: a gRPC server for Envoy's `ext_proc` v3 protocol. This crate translates messages
//! and headers. `lemonusher-external-call` decides which transitions a call may make, and the gateway selects
//! the engine. The server runs on its own thread and sends events to the front through one queue of limited
//! length; each stream has a queue of limited length for the responses to it. Inputs are the proxies' streams
//! and the front's responses; outputs are `ProxyEvent`s and the messages to the proxies. Names and values of
//! the protocol are in `wire.rs`.

#![warn(missing_docs)]

mod events;
mod headers;
mod messages;
mod outcome;
mod server;
mod stream;
mod wire;

pub use events::{ProxyEvent, ProxyResponse};
pub use headers::{HeaderNames, PathClass, RequestClass, RequestError};
pub use outcome::attempt_outcome;
pub use server::{ServerConfig, StartedServer, TokenIssuer, start};
