//! The proxy, with the one request that it handles.

use lemonusher::RequestId;
use lemonusher_external_call::{AttemptToken, CallRequest, StreamId, TokenEvidence};
use std::time::Duration;

/// Longer than any history.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3600);

/// What the proxy does with the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ProxyState {
    /// Nothing; it may send an attempt.
    Idle,
    /// It waits for a processor's response.
    AwaitingResponse { processor: usize, stream: StreamId, until: Duration },
    /// It has forwarded the attempt, and waits for the engine.
    Upstream { processor: usize, stream: StreamId, is_read: bool },
    /// The client has the result.
    Finished,
}

/// A continuation token as the proxy keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Token {
    processor: usize,
    incarnation: u64,
    number: AttemptToken,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Proxy {
    request: RequestId,
    pub(super) state: ProxyState,
    /// Number of attempts since the client last sent the request.
    pub(super) attempts: u32,
    token: Option<Token>,
    client_retry: bool,
    /// Whether the client was told that a retry is safe.
    pub(super) may_client_return: bool,
}

impl Proxy {
    pub(super) fn new(request: RequestId) -> Proxy {
        Proxy {
            request,
            state: ProxyState::Idle,
            attempts: 0,
            token: None,
            client_retry: false,
            may_client_return: false,
        }
    }

    /// The client sends the request again: a new request for the proxy, with the same id.
    pub(super) fn client_returns(&mut self) {
        self.attempts = 0;
        self.token = None;
        self.client_retry = true;
        self.may_client_return = false;
    }

    /// Sends an attempt's headers to a processor with this incarnation, and returns the message.
    pub(super) fn send(
        &mut self,
        processor: usize,
        stream: StreamId,
        incarnation: u64,
        until: Duration,
    ) -> CallRequest {
        self.attempts += 1;
        self.may_client_return = false;
        self.state = ProxyState::AwaitingResponse { processor, stream, until };
        let token = match self.token {
            None => TokenEvidence::Absent,
            Some(token) if (token.processor, token.incarnation) == (processor, incarnation) => {
                TokenEvidence::ForwardedHere(token.number)
            }
            Some(_) => TokenEvidence::ForwardedElsewhere,
        };
        CallRequest {
            stream,
            request: self.request.clone(),
            request_class: 0,
            table_group: 0,
            client_timeout: CLIENT_TIMEOUT,
            client_retry: self.client_retry,
            attempt: self.attempts,
            token,
            queued: Duration::ZERO,
        }
    }

    /// Forwards the attempt to its engine, as a processor with this incarnation has told it.
    pub(super) fn forward(
        &mut self,
        processor: usize,
        stream: StreamId,
        incarnation: u64,
        number: AttemptToken,
    ) {
        self.token = Some(Token { processor, incarnation, number });
        self.state = ProxyState::Upstream { processor, stream, is_read: false };
    }
}
