//! A fake proxy with the parts of Envoy's `ext_proc` filter that tests need: it calls the processor for each
//! request, waits up to the message timeout, fails open or closed, forwards the request over HTTP/1.1 to the
//! engine that the processor chose (its verdict), and retries. Also fake HTTP engines that count the runs of each
//! request.

use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as MessageBody;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as ReplyBody;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    HttpBody, HttpHeaders, ProcessingRequest, ProcessingResponse,
};
use envoy_types::pb::google::protobuf::{Struct, Value, value::Kind};
use lemonusher_fakes::{ClosedPort, Front, start_config, temp_file, temp_path};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::{Channel, Endpoint};

/// Reaction of an engine to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpEngineBehavior {
    Serve,
    /// Rejects it without running it.
    Full,
    /// Runs it and fails.
    Fail,
    /// Runs it and closes the connection without a reply.
    HangUp,
}

/// A fake engine that speaks HTTP.
pub struct HttpEngine {
    pub address: SocketAddr,
    ran: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl HttpEngine {
    pub async fn start(behavior: impl Fn(usize) -> HttpEngineBehavior + Send + Sync + 'static) -> HttpEngine {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ran: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let (runs, behavior) = (ran.clone(), Arc::new(behavior));
        let number = Arc::new(AtomicU64::new(0));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (runs, behavior, number) = (runs.clone(), behavior.clone(), number.clone());
                tokio::spawn(async move {
                    let mut bytes = Vec::new();
                    while !bytes.windows(4).any(|four| four == b"\r\n\r\n") {
                        let mut part = [0; 4096];
                        match stream.read(&mut part).await {
                            Ok(0) | Err(_) => return,
                            Ok(count) => bytes.extend_from_slice(&part[..count]),
                        }
                    }
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    let id = text.lines().find_map(|line| line.strip_prefix("x-request-id: "));
                    let id = id.unwrap_or_default().to_owned();
                    let behavior = behavior(number.fetch_add(1, Ordering::SeqCst) as usize);
                    if behavior != HttpEngineBehavior::Full {
                        *runs.lock().unwrap().entry(id).or_default() += 1;
                    }
                    let reply = match behavior {
                        HttpEngineBehavior::Serve => "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
                        HttpEngineBehavior::Full => {
                            "HTTP/1.1 503 Full\r\nx-lemonusher-outcome: full\r\ncontent-length: 0\r\n\r\n"
                        }
                        HttpEngineBehavior::Fail => "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
                        HttpEngineBehavior::HangUp => return,
                    };
                    let _ = stream.write_all(reply.as_bytes()).await;
                });
            }
        });
        HttpEngine { address, ran }
    }

    /// How often each request ran here.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.ran.lock().unwrap().clone()
    }
}

/// A processor that runs as a process, with an address that stays the same over restarts.
pub struct Processor {
    pub front: Option<Front>,
    pub address: SocketAddr,
    start_file: String,
    key: PathBuf,
    extra_toml: String,
    /// Reserve the processor's address while it is down, and the address of the discovery service, which does
    /// not run.
    _closed: [ClosedPort; 2],
}

impl Processor {
    pub fn new(engines: &[SocketAddr], extra_toml: &str) -> Processor {
        Processor::with_start_file(engines, extra_toml, |_| ())
    }

    /// Starts a processor with a start file that the caller has changed.
    pub fn with_start_file(
        engines: &[SocketAddr],
        extra_toml: &str,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Processor {
        let (reserved, closed_port) = (reserved_address(), ClosedPort::bind());
        let engine_addresses: Vec<(u32, SocketAddr)> =
            engines.iter().enumerate().map(|(number, address)| (number as u32 + 1, *address)).collect();
        let key = temp_path("tickets.key");
        std::fs::write(&key, "a key of the test's own").unwrap();
        let mut start_file = start_config(&engine_addresses, closed_port.address);
        change(&mut start_file);
        let start_file = start_file.to_string();
        let mut processor = Processor {
            front: None,
            address: reserved.address,
            start_file,
            key,
            extra_toml: extra_toml.to_owned(),
            _closed: [reserved, closed_port],
        };
        processor.start();
        processor
    }

    pub fn start(&mut self) {
        let start_file = temp_file("json", &self.start_file);
        let text = format!(
            "[front]\ntold = {:?}\n[processor]\nlisten = \"{}\"\nkey_file = {:?}\n{}\n",
            start_file.display().to_string(),
            self.address,
            self.key.display().to_string(),
            self.extra_toml,
        );
        let path = temp_file("toml", &text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_lemonusher"));
        command.arg("run").arg(&path);
        self.front = Some(Front::spawn_until(command, path, "serves proxies"));
        let _ = std::fs::remove_file(start_file);
    }

    pub fn kill(&mut self) {
        self.front.take().into_iter().for_each(|mut front| front.kill());
    }
}

/// Reserves an address for a processor over its restarts. It is on a loopback host of its own, so the port is
/// not assigned to an outgoing connection of another test while the processor is down.
fn reserved_address() -> ClosedPort {
    static RESERVED: AtomicU32 = AtomicU32::new(0);
    let (process, index) = (std::process::id(), RESERVED.fetch_add(1, Ordering::Relaxed));
    let host = [127, 1 + (process / 250 % 250) as u8, 1 + (process % 250) as u8, 1 + (index % 250) as u8];
    ClosedPort::reserve(host)
}

impl Drop for Processor {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

/// A fake proxy with its settings.
#[derive(Clone)]
pub struct Proxy {
    pub processors: Vec<SocketAddr>,
    pub message_timeout: Duration,
    /// Engine to which requests without a verdict are forwarded (fail open); none to fail closed.
    pub fallback_engine: Option<SocketAddr>,
    pub attempts: u32,
    pub upstream_timeout: Duration,
    /// Body of each request, sent if the processor requests it.
    pub body: Option<String>,
    channels: Arc<Mutex<BTreeMap<SocketAddr, Channel>>>,
    next_call: Arc<AtomicU64>,
    /// Number of messages without a response within the message timeout.
    pub late: Arc<AtomicU64>,
}

/// The response that the proxy's client gets, with the number of attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalResponse {
    pub status: u32,
    pub outcome: Option<String>,
    pub attempts: u32,
    pub has_retry_after: bool,
}

fn header(key: &str, value: &str) -> HeaderValue {
    HeaderValue { key: key.into(), raw_value: value.as_bytes().to_vec(), ..Default::default() }
}

pub fn headers(list: Vec<HeaderValue>) -> HttpHeaders {
    HttpHeaders { headers: Some(HeaderMap { headers: list }), end_of_stream: true, ..Default::default() }
}

pub fn message(body: MessageBody) -> ProcessingRequest {
    ProcessingRequest { request: Some(body), ..Default::default() }
}

enum UpstreamResult {
    Status(u32, Option<String>),
    NoConnection,
    Reset,
    TimedOut,
}

impl Proxy {
    pub fn new(processors: &[SocketAddr], fallback_engine: Option<SocketAddr>) -> Proxy {
        Proxy {
            processors: processors.to_vec(),
            message_timeout: Duration::from_millis(1000),
            fallback_engine,
            attempts: 3,
            upstream_timeout: Duration::from_secs(5),
            body: None,
            channels: Arc::default(),
            next_call: Arc::default(),
            late: Arc::default(),
        }
    }

    pub async fn channel(&self, address: SocketAddr) -> Option<Channel> {
        if let Some(channel) = self.channels.lock().unwrap().get(&address) {
            return Some(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
        let channel = endpoint.connect_timeout(Duration::from_millis(500)).connect().await.ok()?;
        self.channels.lock().unwrap().insert(address, channel.clone());
        Some(channel)
    }

    pub async fn open(
        &self,
        address: SocketAddr,
    ) -> Option<(mpsc::Sender<ProcessingRequest>, Streaming<ProcessingResponse>, ProcessingRequest)> {
        let channel = self.channel(address).await?;
        let (send, requests) = mpsc::channel(8);
        let first = message(MessageBody::RequestHeaders(headers(Vec::new())));
        let mut client = ExternalProcessorClient::new(channel);
        let opened =
            tokio::time::timeout(self.message_timeout, client.process(ReceiverStream::new(requests))).await;
        match opened {
            Ok(Ok(call_responses)) => Some((send, call_responses.into_inner(), first)),
            _ => {
                self.channels.lock().unwrap().remove(&address);
                None
            }
        }
    }

    /// Sends one request and returns its response.
    pub async fn request(&self, id: &str, group: &str) -> FinalResponse {
        let mut token: Option<String> = None;
        let mut attempt = 0;
        loop {
            attempt += 1;
            let is_last = attempt >= self.attempts;
            let next_call = self.next_call.fetch_add(1, Ordering::SeqCst) as usize;
            let address = self.processors[next_call % self.processors.len()];
            let mut list = vec![
                header("x-request-id", id),
                header("x-service-group", group),
                header("x-table-group", &format!("t{}", id.len())),
                header("x-envoy-expected-rq-timeout-ms", "5000"),
                header("x-envoy-attempt-count", &attempt.to_string()),
            ];
            list.extend(token.iter().map(|token| header("x-lemonusher-ticket", token)));
            let finish = |status, outcome, has_retry_after| FinalResponse {
                status,
                outcome,
                attempts: attempt,
                has_retry_after,
            };
            let Some((send, mut call_responses, _)) = self.open(address).await else {
                match self.forward_without_verdict(id, attempt).await {
                    Some(response) => return response,
                    None => return finish(504, None, false),
                }
            };
            let mut first = headers(list);
            first.end_of_stream = self.body.is_none();
            let _ = send.send(message(MessageBody::RequestHeaders(first))).await;
            let mut timeout = self.message_timeout;
            let verdict = loop {
                match tokio::time::timeout(timeout, call_responses.message()).await {
                    Ok(Ok(Some(call_response))) => match call_response.override_message_timeout {
                        Some(extension) => {
                            timeout = Duration::new(extension.seconds as u64, extension.nanos as u32)
                        }
                        None if call_response.mode_override.is_some() => {
                            let body = self.body.clone().unwrap_or_default().into_bytes();
                            let body = HttpBody { body, end_of_stream: true, ..Default::default() };
                            let _ = send.send(message(MessageBody::RequestBody(body))).await;
                        }
                        None => break call_response.response,
                    },
                    Ok(_) => break None,
                    Err(_) => {
                        self.late.fetch_add(1, Ordering::SeqCst);
                        break None;
                    }
                }
            };
            let mutation = match verdict {
                Some(ReplyBody::ImmediateResponse(call_response)) => {
                    let set = call_response.headers.unwrap_or_default().set_headers;
                    let get = |name: &str| {
                        let headers = set.iter().filter_map(|option| option.header.as_ref());
                        headers
                            .into_iter()
                            .find(|h| h.key == name)
                            .map(|h| String::from_utf8_lossy(&h.raw_value).into_owned())
                    };
                    let has_retry_after = get("retry-after").is_some();
                    return finish(
                        call_response.status.unwrap().code as u32,
                        get("x-lemonusher-outcome"),
                        has_retry_after,
                    );
                }
                Some(ReplyBody::RequestHeaders(call_response)) => {
                    call_response.response.unwrap().header_mutation.unwrap()
                }
                Some(ReplyBody::RequestBody(call_response)) => {
                    call_response.response.unwrap().header_mutation.unwrap()
                }
                _ => {
                    drop((send, call_responses));
                    match self.forward_without_verdict(id, attempt).await {
                        Some(response) => return response,
                        None => return finish(504, None, false),
                    }
                }
            };
            let set: BTreeMap<String, String> = mutation
                .set_headers
                .into_iter()
                .filter_map(|option| option.header)
                .map(|h| (h.key, String::from_utf8_lossy(&h.raw_value).into_owned()))
                .collect();
            token = set.get("x-lemonusher-ticket").cloned();
            let engine: SocketAddr = set["x-envoy-original-dst-host"].parse().unwrap();
            let (status, outcome, details) = match self.upstream(engine, id).await {
                UpstreamResult::Status(status, outcome) => (status, outcome, None),
                UpstreamResult::NoConnection => {
                    (503, None, Some("upstream_reset_before_response_started{connection_failure}"))
                }
                UpstreamResult::Reset => {
                    (503, None, Some("upstream_reset_before_response_started{connection_termination}"))
                }
                UpstreamResult::TimedOut => (504, None, Some("upstream_response_timeout")),
            };
            let mut list = vec![header(":status", &status.to_string())];
            list.extend(outcome.iter().map(|outcome| header("x-lemonusher-outcome", outcome)));
            let mut response = message(MessageBody::ResponseHeaders(headers(list)));
            if let Some(details) = details {
                let value = Value { kind: Some(Kind::StringValue(details.to_owned())) };
                let fields = [("response.code_details".to_owned(), value)].into_iter().collect();
                response.attributes.insert("envoy.filters.http.ext_proc".to_owned(), Struct { fields });
            }
            let _ = send.send(response).await;
            let _ = tokio::time::timeout(self.message_timeout, call_responses.message()).await;
            drop(send);
            let _ = tokio::time::timeout(Duration::from_millis(50), call_responses.message()).await;
            if status < 500 || is_last {
                return finish(status, outcome, false);
            }
        }
    }

    /// Handles a request without a verdict: forwards it to the fallback engine, or returns none to fail closed.
    async fn forward_without_verdict(&self, id: &str, attempts: u32) -> Option<FinalResponse> {
        let fallback_engine = self.fallback_engine?;
        let status = match self.upstream(fallback_engine, id).await {
            UpstreamResult::Status(status, _) => status,
            _ => 503,
        };
        Some(FinalResponse { status, outcome: None, attempts, has_retry_after: false })
    }

    async fn upstream(&self, engine: SocketAddr, id: &str) -> UpstreamResult {
        let exchange = async {
            let Ok(mut stream) = TcpStream::connect(engine).await else {
                return UpstreamResult::NoConnection;
            };
            let request = format!("GET / HTTP/1.1\r\nhost: engine\r\nx-request-id: {id}\r\n\r\n");
            if stream.write_all(request.as_bytes()).await.is_err() {
                return UpstreamResult::Reset;
            }
            let mut bytes = Vec::new();
            while !bytes.windows(4).any(|four| four == b"\r\n\r\n") {
                let mut part = [0; 1024];
                match stream.read(&mut part).await {
                    Ok(0) | Err(_) => return UpstreamResult::Reset,
                    Ok(count) => bytes.extend_from_slice(&part[..count]),
                }
            }
            let text = String::from_utf8_lossy(&bytes);
            let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(500);
            let outcome = text.lines().find_map(|line| line.strip_prefix("x-lemonusher-outcome: "));
            UpstreamResult::Status(status, outcome.map(str::to_owned))
        };
        tokio::time::timeout(self.upstream_timeout, exchange).await.unwrap_or(UpstreamResult::TimedOut)
    }
}
