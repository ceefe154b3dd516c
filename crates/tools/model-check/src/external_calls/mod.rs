//! External calls: two or more processors of one deployment, one proxy that takes them in any order, one request of a
//! client that may come back, and its engine.
//!
//! The processors run the production state machine. Each reads what it is sent as late as it likes, the messages of one
//! stream in order and those of different streams in any order; it may be restarted and then knows nothing. The proxy retries, fails open or closed, and keeps the continuation token.
//! The connection to the engine may be reset before or after the engine has read the request.

mod events;
mod processor;
mod proxy;
mod world;

use lemonusher::Idempotency;
use lemonusher_external_call::{CallConfig, StreamId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub use world::CallsWorld;

/// Time that passes in one step.
const TICK: Duration = Duration::from_millis(100);
/// How long the proxy waits for a response to a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a call stays open for the proxy's retry.
const RETRY_WINDOW: Duration = Duration::from_millis(300);
/// Longer than any history.
const RETENTION: Duration = Duration::from_secs(3600);
const MAX_CALLS: usize = 8;

/// The size of a search, and the deployment.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Number of processors.
    pub processors: usize,
    /// Whether the proxy forwards a request when it gets no response in time.
    pub failure_mode_allow: bool,
    /// Whether the request may run any number of times.
    pub idempotent: bool,
    /// Whether a processor may extend the proxy's timeout.
    pub extends_timeout: bool,
    /// Maximum number of attempts that the proxy sends each time that the client sends the request.
    pub attempts: u32,
    /// Maximum number of times that the client sends the request again.
    pub returns: u32,
    /// Maximum number of steps of time.
    pub ticks: u32,
    /// Maximum number of restarts of processors.
    pub restarts: u32,
}

impl Bounds {
    fn call_config(&self) -> CallConfig {
        let idempotency = if self.idempotent { Idempotency::Idempotent } else { Idempotency::NonIdempotent };
        CallConfig {
            message_timeout: MESSAGE_TIMEOUT,
            failure_mode_allow: self.failure_mode_allow,
            max_timeout_extension: if self.extends_timeout { MESSAGE_TIMEOUT } else { Duration::ZERO },
            retry_window: RETRY_WINDOW,
            unknown_outcome_retention: RETENTION,
            idempotency: vec![idempotency],
            max_calls: MAX_CALLS,
            max_finished_calls: MAX_CALLS,
        }
    }
}

/// An event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The client, told that a retry is safe, sends the request again.
    ClientReturns,
    /// The proxy sends an attempt's headers to this processor.
    ProxySends(usize),
    /// This processor reads the next message of a stream.
    ProcessorReads {
        /// The processor.
        processor: usize,
        /// The stream.
        stream: StreamId,
    },
    /// This processor handles the timeouts that are due.
    TimerFires(usize),
    /// This processor's router grants an attempt.
    RouterGrants(usize),
    /// This processor's router rejects the request.
    RouterRejects(usize),
    /// This processor's router fails the request.
    RouterFails(usize),
    /// The proxy reads the oldest response that it was sent.
    ProxyReads,
    /// The proxy's timer expires; no response has been written.
    ProxyTimesOut,
    /// The proxy's timer expires while a response is on its way.
    ProxyTimesOutBeforeResponse,
    /// The engine reads the request, and runs it.
    EngineReads,
    /// The engine returns the result.
    EngineReturns,
    /// The engine reports an error.
    EngineErrors,
    /// The engine rejects the request without running it.
    EngineRejects,
    /// The connection between the proxy and the engine is reset.
    ConnectionResets,
    /// This processor is restarted.
    ProcessorRestarts(usize),
    /// Time passes.
    TimePasses,
}

/// A broken rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A request that must not run twice ran again.
    RanTwice,
    /// A processor told the proxy to forward such a request though it may have run.
    ForwardedAgain,
    /// The client was told that a retry is safe though the request may have run.
    ToldSafe,
    /// A stream got two final responses.
    AnsweredTwice,
    /// A request was submitted to a router that has it already.
    SubmittedTwice,
    /// An attempt ended twice, or one that the router does not know ended.
    EndedTwice,
}
