//! Messages between the gRPC server and the front.

use lemonusher::AttemptOutcome;
use lemonusher_external_call::{CallRequest, CallResponse, StreamId};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An event of a proxy's stream, for the front.
pub enum ProxyEvent {
    /// A request whose proxy waits for a response.
    Request {
        /// The request.
        call_request: CallRequest,
        /// Channel for the responses to it.
        responses: async_channel::Sender<ProxyResponse>,
        /// When its message was received.
        received: Instant,
    },
    /// The headers of the engine's response were received.
    ResponseHeaders {
        /// The request's stream.
        stream: StreamId,
        /// Outcome of the attempt, as derived from the headers.
        outcome: AttemptOutcome,
    },
    /// A stream whose request was sent to the front has ended. Sent once for each such stream.
    StreamEnded {
        /// The stream.
        stream: StreamId,
        /// Whether it ended normally and not by a reset.
        complete: bool,
    },
    /// Round-trip time of a message, without the time for the decision: the time that the request was queued
    /// for the front, plus the time from the front's response until the stream's task handles it.
    RoundTrip(Duration),
}

/// The front's response to a request.
#[derive(Debug, Clone)]
pub struct ProxyResponse {
    /// The response.
    pub response: CallResponse,
    /// Address of the engine, if the response forwards the request.
    pub engine_address: Option<SocketAddr>,
    /// Time that the request was queued until the front handled it.
    pub queued: Duration,
    /// Time of the front's response.
    pub sent_at: Instant,
}
