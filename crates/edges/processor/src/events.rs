//! What passes between the server and the front.

use lemonusher::AttemptOutcome;
use lemonusher_external_call::{CallRequest, CallResponse, StreamId};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What the front learns of proxies' streams.
pub enum ProxyEvent {
    /// A request whose proxy waits for a response.
    Request {
        /// The request.
        call_request: CallRequest,
        /// Where the responses to it go.
        responses: async_channel::Sender<ProxyResponse>,
        /// When its message was received.
        received: Instant,
    },
    /// The engine's response has begun.
    ResponseHeaders {
        /// The request's stream.
        stream: StreamId,
        /// How the attempt ended, as far as the headers tell.
        outcome: AttemptOutcome,
    },
    /// A stream of which the front knows has ended. Sent once for each.
    StreamEnded {
        /// The stream.
        stream: StreamId,
        /// Whether it ended in order, not by a reset.
        complete: bool,
    },
    /// How long a message took to this server and its response to the proxy, without the time for the decision.
    RoundTrip(Duration),
}

/// The front's response to a request.
#[derive(Debug, Clone)]
pub struct ProxyResponse {
    /// What the proxy is to do.
    pub response: CallResponse,
    /// Address of the engine, if the request is forwarded.
    pub engine_address: Option<SocketAddr>,
    /// How long the request waited until the front took it up.
    pub queued: Duration,
    /// When the front responded.
    pub sent_at: Instant,
}
