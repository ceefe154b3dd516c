//! A fake proxy with the parts of Envoy's `ext_proc` filter that tests need: it calls the processor for each
//! request, waits up to the message timeout, fails open or closed, forwards the request over HTTP/1.1 to the
//! engine of the verdict, and retries. Also fake HTTP engines that count the runs of each request.

use envoy_types::pb::envoy::config::core::v3::{HeaderMap, HeaderValue};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_client::ExternalProcessorClient;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as Say;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as Answer;
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
pub enum Does {
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
    pub async fn start(does: impl Fn(usize) -> Does + Send + Sync + 'static) -> HttpEngine {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ran: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let (kept, does) = (ran.clone(), Arc::new(does));
        let number = Arc::new(AtomicU64::new(0));
        tokio::spawn(async move {
            while let Ok((mut wire, _)) = listener.accept().await {
                let (kept, does, number) = (kept.clone(), does.clone(), number.clone());
                tokio::spawn(async move {
                    let mut bytes = Vec::new();
                    while !bytes.windows(4).any(|four| four == b"\r\n\r\n") {
                        let mut part = [0; 4096];
                        match wire.read(&mut part).await {
                            Ok(0) | Err(_) => return,
                            Ok(count) => bytes.extend_from_slice(&part[..count]),
                        }
                    }
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    let id = text.lines().find_map(|line| line.strip_prefix("x-request-id: "));
                    let id = id.unwrap_or_default().to_owned();
                    let does = does(number.fetch_add(1, Ordering::SeqCst) as usize);
                    if does != Does::Full {
                        *kept.lock().unwrap().entry(id).or_default() += 1;
                    }
                    let answer = match does {
                        Does::Serve => "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
                        Does::Full => {
                            "HTTP/1.1 503 Full\r\nx-lemonusher-outcome: full\r\ncontent-length: 0\r\n\r\n"
                        }
                        Does::Fail => "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
                        Does::HangUp => return,
                    };
                    let _ = wire.write_all(answer.as_bytes()).await;
                });
            }
        });
        HttpEngine { address, ran }
    }

    /// How often each request ran here.
    pub fn ran(&self) -> BTreeMap<String, u32> {
        self.ran.lock().unwrap().clone()
    }
}

/// A processor that runs as a process, with an address that stays the same over restarts.
pub struct Processor {
    pub front: Option<Front>,
    pub address: SocketAddr,
    told: String,
    key: PathBuf,
    more: String,
    /// Reserve the processor's address while it is down, and the address of the discovery service, which does
    /// not run.
    _closed: [ClosedPort; 2],
}

impl Processor {
    pub fn new(engines: &[SocketAddr], more: &str) -> Processor {
        let (reserved, nobody) = (reserved_address(), ClosedPort::bind());
        let known: Vec<(u32, SocketAddr)> =
            engines.iter().enumerate().map(|(number, address)| (number as u32 + 1, *address)).collect();
        let key = temp_path("tickets.key");
        std::fs::write(&key, "a key of the test's own").unwrap();
        let told = start_config(&known, nobody.address).to_string();
        let mut processor = Processor {
            front: None,
            address: reserved.address,
            told,
            key,
            more: more.to_owned(),
            _closed: [reserved, nobody],
        };
        processor.start();
        processor
    }

    pub fn start(&mut self) {
        let told = temp_file("json", &self.told);
        let text = format!(
            "[front]\ntold = {:?}\n[processor]\nlisten = \"{}\"\nkey_file = {:?}\n{}\n",
            told.display().to_string(),
            self.address,
            self.key.display().to_string(),
            self.more,
        );
        let path = temp_file("toml", &text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_lemonusher"));
        command.arg("run").arg(&path);
        self.front = Some(Front::spawn_until(command, path, "serves proxies"));
        let _ = std::fs::remove_file(told);
    }

    pub fn kill(&mut self) {
        self.front.take().into_iter().for_each(|mut front| front.kill());
    }
}

/// Reserves an address for a processor over its restarts. It is on a loopback host of its own, so the port is
/// not assigned to an outgoing connection of another test while the processor is down.
fn reserved_address() -> ClosedPort {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let (process, place) = (std::process::id(), TAKEN.fetch_add(1, Ordering::Relaxed));
    let host = [127, 1 + (process / 250 % 250) as u8, 1 + (process % 250) as u8, 1 + (place % 250) as u8];
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
    pub own: Option<SocketAddr>,
    pub attempts: u32,
    pub upstream_timeout: Duration,
    /// Body of each request, sent if the processor requests it.
    pub body: Option<String>,
    channels: Arc<Mutex<BTreeMap<SocketAddr, Channel>>>,
    turn: Arc<AtomicU64>,
    /// Number of messages without a response within the message timeout.
    pub late: Arc<AtomicU64>,
}

/// The response that the proxy's client gets, with the number of attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Final {
    pub status: u32,
    pub outcome: Option<String>,
    pub attempts: u32,
    pub come_back: bool,
}

fn header(key: &str, value: &str) -> HeaderValue {
    HeaderValue { key: key.into(), raw_value: value.as_bytes().to_vec(), ..Default::default() }
}

pub fn headers(list: Vec<HeaderValue>) -> HttpHeaders {
    HttpHeaders { headers: Some(HeaderMap { headers: list }), end_of_stream: true, ..Default::default() }
}

pub fn say(say: Say) -> ProcessingRequest {
    ProcessingRequest { request: Some(say), ..Default::default() }
}

enum Reached {
    Status(u32, Option<String>),
    NoConnection,
    Reset,
    TimedOut,
}

impl Proxy {
    pub fn new(processors: &[SocketAddr], own: Option<SocketAddr>) -> Proxy {
        Proxy {
            processors: processors.to_vec(),
            message_timeout: Duration::from_millis(1000),
            own,
            attempts: 3,
            upstream_timeout: Duration::from_secs(5),
            body: None,
            channels: Arc::default(),
            turn: Arc::default(),
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
        let first = say(Say::RequestHeaders(headers(Vec::new())));
        let mut client = ExternalProcessorClient::new(channel);
        let opened =
            tokio::time::timeout(self.message_timeout, client.process(ReceiverStream::new(requests))).await;
        match opened {
            Ok(Ok(answers)) => Some((send, answers.into_inner(), first)),
            _ => {
                self.channels.lock().unwrap().remove(&address);
                None
            }
        }
    }

    /// Sends one request and returns its response.
    pub async fn request(&self, id: &str, group: &str) -> Final {
        let mut ticket: Option<String> = None;
        let mut attempt = 0;
        loop {
            attempt += 1;
            let last = attempt >= self.attempts;
            let turn = self.turn.fetch_add(1, Ordering::SeqCst) as usize;
            let address = self.processors[turn % self.processors.len()];
            let mut list = vec![
                header("x-request-id", id),
                header("x-service-group", group),
                header("x-table-group", &format!("t{}", id.len())),
                header("x-envoy-expected-rq-timeout-ms", "5000"),
                header("x-envoy-attempt-count", &attempt.to_string()),
            ];
            list.extend(ticket.iter().map(|ticket| header("x-lemonusher-ticket", ticket)));
            let done = |status, outcome, come_back| Final { status, outcome, attempts: attempt, come_back };
            let Some((send, mut answers, _)) = self.open(address).await else {
                match self.without(id, attempt).await {
                    Some(done) => return done,
                    None => return done(504, None, false),
                }
            };
            let mut first = headers(list);
            first.end_of_stream = self.body.is_none();
            let _ = send.send(say(Say::RequestHeaders(first))).await;
            let mut limit = self.message_timeout;
            let verdict = loop {
                match tokio::time::timeout(limit, answers.message()).await {
                    Ok(Ok(Some(answer))) => match answer.override_message_timeout {
                        Some(more) => limit = Duration::new(more.seconds as u64, more.nanos as u32),
                        None if answer.mode_override.is_some() => {
                            let body = self.body.clone().unwrap_or_default().into_bytes();
                            let body = HttpBody { body, end_of_stream: true, ..Default::default() };
                            let _ = send.send(say(Say::RequestBody(body))).await;
                        }
                        None => break answer.response,
                    },
                    Ok(_) => break None,
                    Err(_) => {
                        self.late.fetch_add(1, Ordering::SeqCst);
                        break None;
                    }
                }
            };
            let mutation = match verdict {
                Some(Answer::ImmediateResponse(answer)) => {
                    let set = answer.headers.unwrap_or_default().set_headers;
                    let get = |name: &str| {
                        let held = set.iter().filter_map(|option| option.header.as_ref());
                        held.into_iter()
                            .find(|h| h.key == name)
                            .map(|h| String::from_utf8_lossy(&h.raw_value).into_owned())
                    };
                    let come_back = get("retry-after").is_some();
                    return done(answer.status.unwrap().code as u32, get("x-lemonusher-outcome"), come_back);
                }
                Some(Answer::RequestHeaders(answer)) => answer.response.unwrap().header_mutation.unwrap(),
                Some(Answer::RequestBody(answer)) => answer.response.unwrap().header_mutation.unwrap(),
                _ => {
                    drop((send, answers));
                    match self.without(id, attempt).await {
                        Some(done) => return done,
                        None => return done(504, None, false),
                    }
                }
            };
            let set: BTreeMap<String, String> = mutation
                .set_headers
                .into_iter()
                .filter_map(|option| option.header)
                .map(|h| (h.key, String::from_utf8_lossy(&h.raw_value).into_owned()))
                .collect();
            ticket = set.get("x-lemonusher-ticket").cloned();
            let engine: SocketAddr = set["x-envoy-original-dst-host"].parse().unwrap();
            let (status, outcome, details) = match self.upstream(engine, id).await {
                Reached::Status(status, outcome) => (status, outcome, None),
                Reached::NoConnection => {
                    (503, None, Some("upstream_reset_before_response_started{connection_failure}"))
                }
                Reached::Reset => {
                    (503, None, Some("upstream_reset_before_response_started{connection_termination}"))
                }
                Reached::TimedOut => (504, None, Some("upstream_response_timeout")),
            };
            let mut list = vec![header(":status", &status.to_string())];
            list.extend(outcome.iter().map(|outcome| header("x-lemonusher-outcome", outcome)));
            let mut response = say(Say::ResponseHeaders(headers(list)));
            if let Some(details) = details {
                let value = Value { kind: Some(Kind::StringValue(details.to_owned())) };
                let fields = [("response.code_details".to_owned(), value)].into_iter().collect();
                response.attributes.insert("envoy.filters.http.ext_proc".to_owned(), Struct { fields });
            }
            let _ = send.send(response).await;
            let _ = tokio::time::timeout(self.message_timeout, answers.message()).await;
            drop(send);
            let _ = tokio::time::timeout(Duration::from_millis(50), answers.message()).await;
            if status < 500 || last {
                return done(status, outcome, false);
            }
        }
    }

    /// Handles a request without a verdict: forwards it to the fallback engine, or returns none to fail closed.
    async fn without(&self, id: &str, attempts: u32) -> Option<Final> {
        let own = self.own?;
        let status = match self.upstream(own, id).await {
            Reached::Status(status, _) => status,
            _ => 503,
        };
        Some(Final { status, outcome: None, attempts, come_back: false })
    }

    async fn upstream(&self, engine: SocketAddr, id: &str) -> Reached {
        let exchange = async {
            let Ok(mut wire) = TcpStream::connect(engine).await else { return Reached::NoConnection };
            let request = format!("GET / HTTP/1.1\r\nhost: engine\r\nx-request-id: {id}\r\n\r\n");
            if wire.write_all(request.as_bytes()).await.is_err() {
                return Reached::Reset;
            }
            let mut bytes = Vec::new();
            while !bytes.windows(4).any(|four| four == b"\r\n\r\n") {
                let mut part = [0; 1024];
                match wire.read(&mut part).await {
                    Ok(0) | Err(_) => return Reached::Reset,
                    Ok(count) => bytes.extend_from_slice(&part[..count]),
                }
            }
            let text = String::from_utf8_lossy(&bytes);
            let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(500);
            let outcome = text.lines().find_map(|line| line.strip_prefix("x-lemonusher-outcome: "));
            Reached::Status(status, outcome.map(str::to_owned))
        };
        tokio::time::timeout(self.upstream_timeout, exchange).await.unwrap_or(Reached::TimedOut)
    }
}
