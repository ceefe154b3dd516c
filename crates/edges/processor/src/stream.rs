//! Handles one stream of a proxy, which is one attempt of one request from its headers to its end. Inputs are
//! the proxy's messages and the front's responses; outputs are events for the front and messages to the
//! proxy.

use crate::events::{ProxyEvent, ProxyResponse};
use crate::headers::{Headers, RequestError};
use crate::messages::{
    AnsweredMessage, body_request_response, error_response, response_code_details, response_message, unix_ms,
    with_response,
};
use crate::outcome::attempt_outcome;
use crate::server::ServerConfig;
use crate::wire;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    BodyResponse, HeadersResponse, HttpBody, HttpHeaders, ProcessingRequest, ProcessingResponse,
    TrailersResponse,
};
use lemonusher::RequestId;
use lemonusher_external_call::{CallRequest, CallResponse, StreamId};
use std::ops::ControlFlow;
use std::time::Instant;
use tokio::sync::mpsc;
use tonic::{Code, Status, Streaming};

/// Maximum number of the front's responses queued for one stream.
const CALL_RESPONSE_QUEUE_LENGTH: usize = 8;

/// Whether the stream continues or is closed.
type Flow = ControlFlow<()>;
const CONTINUE: Flow = ControlFlow::Continue(());
const CLOSE: Flow = ControlFlow::Break(());

/// When dropped, reports the end of the stream to the front, if the stream's request was sent to the front.
pub(crate) struct StreamGuard {
    stream: StreamId,
    events: async_channel::Sender<ProxyEvent>,
    is_reported: bool,
    /// Whether the end will be reported as complete.
    is_complete: bool,
}

impl StreamGuard {
    pub(crate) fn new(stream: StreamId, events: async_channel::Sender<ProxyEvent>) -> StreamGuard {
        StreamGuard { stream, events, is_reported: false, is_complete: false }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if !self.is_reported {
            return;
        }
        let ended = ProxyEvent::StreamEnded { stream: self.stream, complete: self.is_complete };
        if let Err(async_channel::TrySendError::Full(ended)) = self.events.try_send(ended) {
            // The queue is full at present, but the end must be reported.
            let events = self.events.clone();
            tokio::spawn(async move { events.send(ended).await });
        }
    }
}

// Only one value exists at a time and it is handled at once, so its size does not matter.
#[allow(clippy::large_enum_variant)]
enum Input {
    /// `None` means that the front closed its side of the stream's channel.
    FrontResponse(Option<ProxyResponse>),
    Message(Result<Option<ProcessingRequest>, Status>),
    /// The proxy receives no more messages.
    Closed,
}

pub(crate) struct ProxyStream {
    config: ServerConfig,
    sender: mpsc::Sender<Result<ProcessingResponse, Status>>,
    request_id: Option<RequestId>,
    /// Receives the front's responses; set once the request was sent to the front.
    front_responses: Option<async_channel::Receiver<ProxyResponse>>,
    /// Whether the front has decided about the request. Timeout extensions do not count.
    has_decision: bool,
    /// The request, while its body has been requested and not received.
    awaiting_body: Option<CallRequest>,
    /// The proxy's message that the response belongs to.
    answered_message: AnsweredMessage,
    /// Time at which `answered_message` was received.
    received: Instant,
    /// The last field, so that it is dropped last: the stream's end is reported after everything else is closed.
    guard: StreamGuard,
}

impl ProxyStream {
    pub(crate) fn new(
        config: ServerConfig,
        guard: StreamGuard,
        sender: mpsc::Sender<Result<ProcessingResponse, Status>>,
    ) -> ProxyStream {
        ProxyStream {
            config,
            guard,
            sender,
            request_id: None,
            front_responses: None,
            has_decision: false,
            awaiting_body: None,
            answered_message: AnsweredMessage::RequestHeaders,
            received: Instant::now(),
        }
    }

    pub(crate) async fn run(mut self, mut messages: Streaming<ProcessingRequest>) {
        loop {
            let flow = match self.next_input(&mut messages).await {
                Input::FrontResponse(Some(response)) => self.handle_front_response(response).await,
                Input::FrontResponse(None) => {
                    self.front_responses = None;
                    CONTINUE
                }
                Input::Message(Ok(Some(message))) => self.handle_message(message).await,
                Input::Message(Ok(None)) => {
                    self.guard.is_complete = true;
                    CLOSE
                }
                Input::Message(Err(status)) => {
                    // Proxies reset the stream of a finished request, so a reset after the response headers
                    // counts as complete. A reset before that, or a lost connection, does not.
                    self.guard.is_complete &= status.code() == Code::Cancelled;
                    CLOSE
                }
                Input::Closed => CLOSE,
            };
            if flow.is_break() {
                return;
            }
        }
    }

    async fn next_input(&self, messages: &mut Streaming<ProcessingRequest>) -> Input {
        let front_response = async {
            match &self.front_responses {
                Some(responses) => responses.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            response = front_response => Input::FrontResponse(response.ok()),
            message = messages.message() => Input::Message(message),
            () = self.sender.closed() => Input::Closed,
        }
    }

    async fn handle_front_response(&mut self, response: ProxyResponse) -> Flow {
        let round_trip = response.queued + response.sent_at.elapsed();
        self.log_response_time(&response);
        let is_last = matches!(response.response, CallResponse::Reject { .. } | CallResponse::Fail);
        self.has_decision |= !matches!(response.response, CallResponse::ExtendTimeout(_));
        let request_id = self.request_id.as_deref().unwrap_or_default();
        let message = response_message(&self.config, request_id, response, self.answered_message);
        let _ = self.guard.events.try_send(ProxyEvent::RoundTrip(round_trip));
        if self.send(message).await.is_break() {
            return CLOSE;
        }
        if is_last {
            // The proxy answers the client with this response and sends no more messages.
            self.guard.is_complete = true;
            return CLOSE;
        }
        CONTINUE
    }

    /// Logs the delays of a response, to help find the cause of late ones.
    fn log_response_time(&self, response: &ProxyResponse) {
        let (received, sent_at) = (self.received, response.sent_at);
        tracing::debug!(
            request = self.request_id.as_deref().unwrap_or_default(),
            "responding to proxy {:?} after its message was received: queued {:?}, decided after {:?}",
            received.elapsed(),
            response.queued,
            sent_at.saturating_duration_since(received),
        );
    }

    async fn handle_message(&mut self, message: ProcessingRequest) -> Flow {
        let details = response_code_details(&message);
        match message.request {
            Some(Request::RequestHeaders(headers)) if self.request_id.is_none() => {
                self.handle_request_headers(headers).await
            }
            Some(Request::RequestBody(body)) if self.awaiting_body.is_some() => {
                self.handle_request_body(body).await
            }
            Some(Request::ResponseHeaders(headers)) if self.has_decision => {
                self.handle_response_headers(headers, details.as_deref()).await
            }
            // Messages that were not requested get an empty response, so that proxies configured to send them work.
            Some(Request::RequestBody(_)) if self.has_decision => {
                self.send(with_response(Response::RequestBody(BodyResponse::default()))).await
            }
            Some(Request::ResponseBody(_)) if self.has_decision => {
                self.send(with_response(Response::ResponseBody(BodyResponse::default()))).await
            }
            Some(Request::RequestTrailers(_)) if self.has_decision => {
                self.send(with_response(Response::RequestTrailers(TrailersResponse::default()))).await
            }
            Some(Request::ResponseTrailers(_)) if self.has_decision => {
                self.send(with_response(Response::ResponseTrailers(TrailersResponse::default()))).await
            }
            _ => {
                let _ = self.sender.send(Err(Status::invalid_argument("a message out of order"))).await;
                CLOSE
            }
        }
    }

    async fn handle_request_headers(&mut self, headers: HttpHeaders) -> Flow {
        let received = Instant::now();
        let has_body = !headers.end_of_stream;
        let call_request = match self.read_request(headers) {
            Ok(call_request) => call_request,
            Err(error) => {
                let _ = self.send(error_response(error)).await;
                return CLOSE;
            }
        };
        self.request_id = Some(call_request.request.clone());
        if self.config.read_table_group.is_some() && has_body {
            self.awaiting_body = Some(call_request);
            return self.send(body_request_response()).await;
        }
        self.send_to_front(call_request, received).await
    }

    fn read_request(&self, headers: HttpHeaders) -> Result<CallRequest, RequestError> {
        let headers = Headers::read(headers.headers)?;
        let ServerConfig { header_names, request_classes, token_issuer, .. } = &self.config;
        header_names.read_request(self.guard.stream, &headers, request_classes, token_issuer, unix_ms())
    }

    async fn handle_request_body(&mut self, body: HttpBody) -> Flow {
        let received = Instant::now();
        let Some(mut call_request) = self.awaiting_body.take() else { return CLOSE };
        let statement = String::from_utf8_lossy(&body.body);
        if let Some(group) = self.config.read_table_group.and_then(|read| read(&statement)) {
            call_request.table_group = group;
        }
        self.answered_message = AnsweredMessage::RequestBody;
        self.send_to_front(call_request, received).await
    }

    /// Sends the request to the front; waits while the front's queue is full.
    async fn send_to_front(&mut self, call_request: CallRequest, received: Instant) -> Flow {
        let (responses, receiver) = async_channel::bounded(CALL_RESPONSE_QUEUE_LENGTH);
        self.front_responses = Some(receiver);
        self.received = received;
        self.guard.is_reported = true;
        self.report(ProxyEvent::Request { call_request, responses, received }).await
    }

    async fn handle_response_headers(&mut self, headers: HttpHeaders, details: Option<&str>) -> Flow {
        let Ok(headers) = Headers::read(headers.headers) else { return CLOSE };
        let status = headers.get(wire::STATUS_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
        let outcome = attempt_outcome(status, headers.get(&self.config.header_names.outcome), details);
        // The engine or the proxy has responded, so from now on a reset by the proxy means that the request is
        // finished.
        self.guard.is_complete = true;
        let event = ProxyEvent::ResponseHeaders { stream: self.guard.stream, outcome };
        if self.report(event).await.is_break() {
            return CLOSE;
        }
        self.send(with_response(Response::ResponseHeaders(HeadersResponse::default()))).await
    }

    /// Sends an event to the front. Closes the stream if the front no longer receives events.
    async fn report(&self, event: ProxyEvent) -> Flow {
        if self.guard.events.send(event).await.is_ok() { CONTINUE } else { CLOSE }
    }

    /// Sends a message to the proxy. Closes the stream if the proxy no longer receives messages.
    async fn send(&self, message: ProcessingResponse) -> Flow {
        if self.sender.send(Ok(message)).await.is_ok() { CONTINUE } else { CLOSE }
    }
}
