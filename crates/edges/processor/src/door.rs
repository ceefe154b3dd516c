use crate::names::{HeaderNames, Headers, RequestClass, RequestError, attempt_outcome};
use crate::{ProxyEvent, ProxyResponse};
use envoy_types::pb::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::ProcessingMode;
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_server::{
    ExternalProcessor, ExternalProcessorServer,
};
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as Said;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as Answer;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    BodyResponse, CommonResponse, HeaderMutation, HeadersResponse, ImmediateResponse, ProcessingRequest,
    ProcessingResponse, TrailersResponse,
};
use envoy_types::pb::envoy::r#type::v3::HttpStatus;
use lemonusher::RequestId;
use lemonusher_external_call::{CallResponse, ContinuationToken, SigningKey, StreamId};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_stream::{Stream, StreamExt};
use tonic::transport::Server;
use tonic::{Code, Request, Response, Status, Streaming};

/// Events of proxies that may wait for the front.
const QUEUE: usize = 4096;
/// Answers that a stream may be behind: one verdict and a few requests for more time.
const LINE: usize = 8;
const LARGEST_MESSAGE: usize = 1024 * 1024;
const STREAMS_A_CONNECTION: u32 = 4096;
const KEEPALIVE: Duration = Duration::from_secs(10);

// Values of the protocol's enumerations.
const BUFFERED: i32 = 2;
const SEND: i32 = 1;

/// What the operator's file says of the door.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    pub listen: SocketAddr,
    pub names: HeaderNames,
    pub request_classes: Vec<RequestClass>,
    pub signing_key: SigningKey,
    /// A ticket is sound for so long.
    pub token_validity: Duration,
    /// Streams at once, over all proxies.
    pub max_streams: usize,
    /// Reads the table group off a statement. With it the statement is asked for, as the request's body.
    pub read_table_group: Option<fn(&str) -> Option<u64>>,
}

pub struct StartedServer {
    pub address: SocketAddr,
    pub events: async_channel::Receiver<ProxyEvent>,
}

struct Door {
    terms: ServerConfig,
    events: async_channel::Sender<ProxyEvent>,
    next: AtomicU64,
    places: Arc<Semaphore>,
}

/// Opens the door, on a thread of its own.
pub fn start(terms: ServerConfig) -> io::Result<StartedServer> {
    let listener = TcpListener::bind(terms.listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (sender, events) = async_channel::bounded(QUEUE);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let places = Arc::new(Semaphore::new(terms.max_streams));
    // Numbers of streams go on from the clock, so that unnamed batches of two processes never meet.
    let door = Door { terms, events: sender, next: AtomicU64::new(unix_ms() << 20), places };
    let serve = async move {
        let (reporter, health) = tonic_health::server::health_reporter();
        reporter.set_serving::<ExternalProcessorServer<Door>>().await;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let service = ExternalProcessorServer::new(door).max_decoding_message_size(LARGEST_MESSAGE);
        let served = Server::builder()
            .max_concurrent_streams(STREAMS_A_CONNECTION)
            .http2_keepalive_interval(Some(KEEPALIVE))
            .http2_keepalive_timeout(Some(KEEPALIVE))
            .tcp_nodelay(true)
            .add_service(health)
            .add_service(service)
            .serve_with_incoming(TcpListenerStream::new(listener).map(|wire| {
                if let Ok(wire) = &wire {
                    let _ = wire.set_nodelay(true);
                }
                wire
            }));
        served.await.map_err(io::Error::other)
    };
    let run = move || {
        if let Err(error) = runtime.block_on(serve) {
            tracing::error!("the external processor ends: {error}");
        }
    };
    std::thread::Builder::new().name("processor".to_owned()).spawn(run)?;
    Ok(StartedServer { address, events })
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// One stream. However it ends, the front hears of it once.
struct Consulted {
    stream: StreamId,
    events: async_channel::Sender<ProxyEvent>,
    /// A question was asked that the front knows of.
    asked: bool,
    whole: bool,
}

impl Drop for Consulted {
    fn drop(&mut self) {
        if !self.asked {
            return;
        }
        let ended = ProxyEvent::StreamEnded { stream: self.stream, complete: self.whole };
        if let Err(async_channel::TrySendError::Full(ended)) = self.events.try_send(ended) {
            // The queue is full for now: the end must be told all the same.
            let events = self.events.clone();
            tokio::spawn(async move { events.send(ended).await });
        }
    }
}

type Line = Pin<Box<dyn Stream<Item = Result<ProcessingResponse, Status>> + Send>>;

#[tonic::async_trait]
impl ExternalProcessor for Door {
    type ProcessStream = Line;

    async fn process(
        &self,
        request: Request<Streaming<ProcessingRequest>>,
    ) -> Result<Response<Self::ProcessStream>, Status> {
        let place = self.places.clone().try_acquire_owned();
        let place =
            place.map_err(|_| Status::resource_exhausted("there are as many streams as there may be"))?;
        let stream = self.next.fetch_add(1, Ordering::Relaxed);
        let consulted = Consulted { stream, events: self.events.clone(), asked: false, whole: false };
        let (line, answers) = mpsc::channel(LINE);
        let terms = self.terms.clone();
        let said = request.into_inner();
        tokio::spawn(async move {
            let _place = place;
            converse(consulted, terms, said, line).await;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(answers))))
    }
}

/// One stream, from its headers to its end.
async fn converse(
    mut consulted: Consulted,
    terms: ServerConfig,
    mut said: Streaming<ProcessingRequest>,
    line: mpsc::Sender<Result<ProcessingResponse, Status>>,
) {
    let mut request_id: Option<RequestId> = None;
    let mut verdicts: Option<async_channel::Receiver<ProxyResponse>> = None;
    let mut decided = false;
    // What waits for its statement, and whether the verdict answers the body.
    let mut headers_alone = None;
    let mut by_body = false;
    loop {
        let verdict = async {
            match &verdicts {
                Some(verdicts) => verdicts.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            told = verdict => {
                let Ok(told) = told else {
                    // The front has given the stream up.
                    verdicts = None;
                    continue;
                };
                let trip = told.queued + told.sent_at.elapsed();
                let (answer, last) = answer_of(&terms, request_id.as_deref().unwrap_or_default(), told, by_body);
                decided |= answer.response.is_some();
                let _ = consulted.events.try_send(ProxyEvent::RoundTrip(trip));
                if line.send(Ok(answer)).await.is_err() {
                    return;
                }
                if last {
                    // The proxy has its answer for the client; there is nothing more to hear.
                    consulted.whole = true;
                    return;
                }
            }
            message = said.message() => {
                let request = match message {
                    Ok(Some(message)) => message,
                    Ok(None) => {
                        consulted.whole = true;
                        return;
                    }
                    Err(status) => {
                        // Proxies reset the stream of a request that is over. Before the engine's answer, or with
                        // the connection lost, a reset tells nothing of the kind.
                        consulted.whole &= status.code() == Code::Cancelled;
                        return;
                    }
                };
                let details = details_of(&request);
                let reply = match request.request {
                    Some(Said::RequestHeaders(headers)) if request_id.is_none() => {
                        let received = Instant::now();
                        let ends = headers.end_of_stream;
                        let received_request = Headers::read(headers.headers).and_then(|headers| {
                            terms.names.read_request(consulted.stream, &headers, &terms.request_classes, &terms.signing_key, unix_ms())
                        });
                        match received_request {
                            Ok(call_request) => {
                                request_id = Some(call_request.request.clone());
                                if terms.read_table_group.is_some() && !ends {
                                    headers_alone = Some(call_request);
                                    if line.send(Ok(wants_body())).await.is_err() {
                                        return;
                                    }
                                    continue;
                                }
                                let (sender, receiver) = async_channel::bounded(LINE);
                                verdicts = Some(receiver);
                                consulted.asked = true;
                                let event = ProxyEvent::Request { call_request, responses: sender, received };
                                if consulted.events.send(event).await.is_err() {
                                    return;
                                }
                                continue;
                            }
                            Err(fault) => {
                                let _ = line.send(Ok(refused(fault))).await;
                                return;
                            }
                        }
                    }
                    Some(Said::ResponseHeaders(headers)) if decided => {
                        let Ok(headers) = Headers::read(headers.headers) else {
                            return;
                        };
                        let status = headers.get(":status").and_then(|text| text.parse().ok()).unwrap_or(0);
                        let outcome = attempt_outcome(status, headers.get(&terms.names.outcome), details.as_deref());
                        // However the stream ends now, the engine has answered; but see below.
                        consulted.whole = true;
                        let event = ProxyEvent::ResponseHeaders { stream: consulted.stream, outcome };
                        if consulted.events.send(event).await.is_err() {
                            return;
                        }
                        Answer::ResponseHeaders(HeadersResponse::default())
                    }
                    Some(Said::RequestBody(body)) if headers_alone.is_some() => {
                        let received = Instant::now();
                        let Some(mut call_request) = headers_alone.take() else { return };
                        let statement = String::from_utf8_lossy(&body.body);
                        if let Some(group) = terms.read_table_group.and_then(|read| read(&statement)) {
                            call_request.table_group = group;
                        }
                        by_body = true;
                        let (sender, receiver) = async_channel::bounded(LINE);
                        verdicts = Some(receiver);
                        consulted.asked = true;
                        let event = ProxyEvent::Request { call_request, responses: sender, received };
                        if consulted.events.send(event).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    // Modes that the file does not ask for are let pass, so that a proxy set otherwise still works.
                    Some(Said::RequestBody(_)) if decided => Answer::RequestBody(BodyResponse::default()),
                    Some(Said::ResponseBody(_)) if decided => Answer::ResponseBody(BodyResponse::default()),
                    Some(Said::RequestTrailers(_)) if decided => {
                        Answer::RequestTrailers(TrailersResponse::default())
                    }
                    Some(Said::ResponseTrailers(_)) if decided => {
                        Answer::ResponseTrailers(TrailersResponse::default())
                    }
                    _ => {
                        let _ = line.send(Err(Status::invalid_argument("a message out of order"))).await;
                        return;
                    }
                };
                let reply = ProcessingResponse { response: Some(reply), ..ProcessingResponse::default() };
                if line.send(Ok(reply)).await.is_err() {
                    return;
                }
            }
            () = line.closed() => return,
        }
    }
}

/// The proxy's own word on a response that it made itself.
fn details_of(request: &ProcessingRequest) -> Option<String> {
    let attributes = request.attributes.get("envoy.filters.http.ext_proc")?;
    let value = attributes.fields.get("response.code_details")?;
    match value.kind.as_ref()? {
        envoy_types::pb::google::protobuf::value::Kind::StringValue(text) => {
            Some(text.chars().take(256).collect())
        }
        _ => None,
    }
}

fn header(name: &str, value: String) -> HeaderValueOption {
    HeaderValueOption {
        header: Some(HeaderValue {
            key: name.to_owned(),
            raw_value: value.into_bytes(),
            ..HeaderValue::default()
        }),
        append_action: 2, // Overwrite, or add.
        ..HeaderValueOption::default()
    }
}

/// The message for a verdict, and whether it is the stream's last.
fn answer_of(
    terms: &ServerConfig,
    request_id: &str,
    response: ProxyResponse,
    by_body: bool,
) -> (ProcessingResponse, bool) {
    let names = &terms.names;
    match response.response {
        CallResponse::Forward { engine, upstream_timeout, attempt } => {
            let valid_until_ms = ContinuationToken::valid_until_ms(unix_ms(), terms.token_validity);
            let token = ContinuationToken { request: request_id.to_owned(), engine, attempt, valid_until_ms };
            let mut set_headers = vec![
                header(&names.continuation_token, token.encode(&terms.signing_key)),
                header(&names.upstream_timeout, (upstream_timeout.as_millis() as u64).max(1).to_string()),
            ];
            set_headers.extend(
                response.engine_address.map(|address| header(&names.engine_address, address.to_string())),
            );
            let mutation = HeaderMutation { set_headers, ..HeaderMutation::default() };
            let common = CommonResponse {
                header_mutation: Some(mutation),
                clear_route_cache: true,
                ..CommonResponse::default()
            };
            let answer = match by_body {
                true => Answer::RequestBody(BodyResponse { response: Some(common) }),
                false => Answer::RequestHeaders(HeadersResponse { response: Some(common) }),
            };
            (ProcessingResponse { response: Some(answer), ..ProcessingResponse::default() }, false)
        }
        CallResponse::ExtendTimeout(more) => {
            let more = envoy_types::pb::google::protobuf::Duration {
                seconds: more.as_secs() as i64,
                nanos: more.subsec_nanos() as i32,
            };
            let answer =
                ProcessingResponse { override_message_timeout: Some(more), ..ProcessingResponse::default() };
            (answer, false)
        }
        CallResponse::Reject { retry_after: wait } => {
            let mut set_headers = vec![header(&names.outcome, "pushed-back".to_owned())];
            if let Some(wait) = wait {
                let seconds = wait.as_millis().div_ceil(1000);
                set_headers.push(header("retry-after", seconds.to_string()));
                set_headers.push(header("x-lemonusher-come-back-ms", wait.as_millis().to_string()));
            }
            (immediate(503, set_headers, "pushed back"), true)
        }
        CallResponse::Fail => {
            let set_headers = vec![header(&names.outcome, "errored".to_owned())];
            (immediate(502, set_headers, "errored"), true)
        }
    }
}

/// The headers go on as they are; the body is to come whole.
fn wants_body() -> ProcessingResponse {
    let mode = ProcessingMode {
        request_body_mode: BUFFERED,
        response_header_mode: SEND,
        ..ProcessingMode::default()
    };
    ProcessingResponse {
        response: Some(Answer::RequestHeaders(HeadersResponse::default())),
        mode_override: Some(mode),
        ..ProcessingResponse::default()
    }
}

fn immediate(code: i32, set_headers: Vec<HeaderValueOption>, details: &str) -> ProcessingResponse {
    let answer = ImmediateResponse {
        status: Some(HttpStatus { code }),
        headers: Some(HeaderMutation { set_headers, ..HeaderMutation::default() }),
        details: details.replace(' ', "_"),
        ..ImmediateResponse::default()
    };
    ProcessingResponse { response: Some(Answer::ImmediateResponse(answer)), ..ProcessingResponse::default() }
}

fn refused(fault: RequestError) -> ProcessingResponse {
    let (code, details) = match fault {
        RequestError::TooManyHeaders => (431, "too many headers"),
        RequestError::NoRequestClass => (400, "no service group is named"),
        RequestError::InvalidRequestId => (400, "the batch's id is too long"),
    };
    immediate(code, Vec::new(), details)
}
