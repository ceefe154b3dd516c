//! The external processor: a gRPC server of Envoy's `ext_proc` v3. Messages and headers are translated here; what a
//! call may do is decided by `lemonusher-external-call`, and which engine it goes to by the decision module. The
//! server runs on a thread of its own and reaches the front through one bounded queue; each stream has a bounded queue
//! for the responses to it. Inputs are the streams of proxies and the front's responses; outputs are `ProxyEvent`s and
//! the messages to proxies. The names of the wire stand in `wire.rs`.

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
pub use server::{ServerConfig, StartedServer, start};
