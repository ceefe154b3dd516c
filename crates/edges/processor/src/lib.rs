//! The external processor's door: Envoy's `ext_proc` v3 over gRPC. Streams and headers are translated here; what a
//! call may do is `lemonusher-external-call`'s to say, and which engine it goes to the decision module's. The door runs on a
//! thread of its own and reaches the front by one bounded queue; each stream hears back by a bounded line of its own.

mod door;
mod names;

pub use door::{ServerConfig, StartedServer, start};
pub use names::{HeaderNames, RequestClass, RequestError, attempt_outcome};

use lemonusher::AttemptOutcome;
use lemonusher_external_call::{CallRequest, CallResponse, StreamId};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What proxies tell, as the front hears it.
pub enum ProxyEvent {
    Request {
        call_request: CallRequest,
        responses: async_channel::Sender<ProxyResponse>,
        received: Instant,
    },
    /// The engine has answered.
    ResponseHeaders {
        stream: StreamId,
        outcome: AttemptOutcome,
    },
    /// A stream is over, whole or broken.
    StreamEnded {
        stream: StreamId,
        complete: bool,
    },
    /// What a message took on its way here and back, without the time that the decision took.
    RoundTrip(Duration),
}

/// What a proxy is told.
#[derive(Debug, Clone)]
pub struct ProxyResponse {
    pub response: CallResponse,
    /// Where the engine of a verdict is.
    pub engine_address: Option<SocketAddr>,
    /// From the message's receipt until the front took it up, and when it answered.
    pub queued: Duration,
    pub sent_at: Instant,
}
