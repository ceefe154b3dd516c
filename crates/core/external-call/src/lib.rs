//! The states of external processing calls: requests that a proxy such as Envoy forwards itself, after it has asked
//! this gateway which engine to use. Messages of proxies and attempts of the request router go in; responses to
//! proxies and events for the router come out. No I/O: time is an argument (a `Duration` since the caller's origin),
//! and the key that signs continuation tokens is handed in.
//!
//! The rule decided here is when a request may be given another attempt. The gateway does not carry out the attempts
//! itself, so it claims no more than it can know:
//!
//! - Before a response that forwards the request is written, nothing ran.
//! - Once it is written, the attempt may have run until the proxy reports how it ended.
//! - A stream that ends without a response from the engine leaves the outcome unknown, however late the forwarding
//!   response was: the proxy may have read it at the last moment. With `failure_mode_allow` a proxy may have forwarded
//!   the request without any response of ours.
//! - A request that must not run twice is not forwarded again while an outcome is unknown, whether that is remembered
//!   here, is stated by a continuation token, or follows from the proxy's count of attempts.

#![warn(missing_docs)]

mod calls;
mod config;
mod finished;
mod messages;
mod round_trip;
mod state;
mod token;

pub use calls::ExternalCalls;
pub use config::CallConfig;
pub use messages::{AttemptToken, CallAction, CallRequest, CallResponse, FinalResponse, StreamId};
pub use token::{ContinuationToken, SigningKey, TokenError};
