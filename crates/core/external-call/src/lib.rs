//! State machine of external processing calls: requests that a proxy such as Envoy forwards itself, after it has
//! called this gateway to select the engine. Inputs are the proxies' messages and the request router's attempts;
//! outputs are responses to the proxies and events for the router. It does no I/O: times are passed as arguments (a
//! `Duration` since the caller's origin), as is the key that signs continuation tokens.
//!
//! The state machine decides when a request may be given another attempt. The gateway does not send the attempts
//! itself, so it assumes only what it can know:
//!
//! - Before a response that tells the proxy to forward the request is written, no attempt ran.
//! - After that, the attempt may have run, until the proxy reports how it ended.
//! - An attempt that is reserved for the proxy's retry is forwarded only while it may start, and not once the request
//!   router has withdrawn it.
//! - A rejection that a proxy with `failure_mode_allow` may have read too late proves nothing.
//! - If a stream ends without a response from the engine, the outcome is unknown, however late the forward response
//!   was sent: the proxy may have read it just in time. With `failure_mode_allow` a proxy may have forwarded the
//!   request without any response from this gateway.
//! - A request is not forwarded if an earlier attempt may have run that this processor knows nothing about, unless
//!   its class is idempotent. A continuation token or the proxy's attempt count shows such an attempt. What this
//!   processor remembers never overrules them, because another processor may have forwarded the request since.

#![warn(missing_docs)]

mod calls;
mod config;
mod earlier_attempts;
mod finished;
mod messages;
mod rejection;
mod round_trip;
mod state;
mod token;

pub use calls::ExternalCalls;
pub use config::CallConfig;
pub use messages::{
    AttemptToken, CallAction, CallRequest, CallResponse, FinalResponse, GrantedAttempt, StreamId,
    TokenEvidence,
};
pub use token::{ContinuationToken, ProcessorId, SigningKey, TokenError};
