//! Clients that send requests, and cancel some of them or close their connections at random. After SIGTERM they do
//! neither, and use their connections until the front closes them or ends.

use crate::recorder::Recorder;
use crate::records::{RequestClass, RequestRecord, ResponseKind, ResponseRecord};
use lemonusher_fakes::base64;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The shortest client timeout, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 400;
/// The longest client timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 2500;
/// Before SIGTERM, one request in this many is cancelled, on average.
const CANCEL_ONE_IN: u32 = 40;
/// Before SIGTERM, the client closes its connection after one request in this many, on average, and opens another.
const CLOSE_ONE_IN: u32 = 60;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of table groups that statements name.
const TABLE_GROUPS: u32 = 20;

/// State shared by the clients of one front process.
pub(crate) struct ClientContext {
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) process: usize,
    pub(crate) address: SocketAddr,
    pub(crate) deadline: Duration,
    pub(crate) request_interval: Duration,
    /// Whether the front was sent SIGTERM. From then on, clients neither cancel requests nor close connections.
    pub(crate) terminated: AtomicBool,
    /// Whether clients have to disconnect and end.
    pub(crate) ended: AtomicBool,
    /// Whether idle clients fill the front's descriptors.
    pub(crate) crowd: AtomicBool,
    pub(crate) next_call: Arc<AtomicU64>,
}

type OpenRequests = Arc<Mutex<BTreeMap<u64, usize>>>;

/// One client connection, with a thread that reads its responses.
struct Connection {
    context: Arc<ClientContext>,
    stream: TcpStream,
    /// Index of each request's record, by the request's JSON-RPC id.
    requests: OpenRequests,
    /// Whether the front has closed the connection.
    closed: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
    last_id: u64,
    connected_at: Duration,
    in_crowd: bool,
}

impl Connection {
    fn open(context: &Arc<ClientContext>) -> Option<Connection> {
        let in_crowd = context.crowd.load(Ordering::SeqCst);
        let stream = TcpStream::connect_timeout(&context.address, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        let requests = OpenRequests::default();
        let reading = stream.try_clone().ok()?;
        let (open, of_reader, closed) = (requests.clone(), context.clone(), Arc::new(AtomicBool::new(false)));
        let closed_flag = closed.clone();
        let reader = thread::spawn(move || {
            read_responses(reading, &open, &of_reader.recorder);
            closed_flag.store(true, Ordering::SeqCst);
            if of_reader.crowd.load(Ordering::SeqCst) {
                let requests: Vec<usize> = lock(&open).values().copied().collect();
                of_reader.recorder.set_closed_for_crowd(&requests);
            }
        });
        let (context, connected_at) = (context.clone(), context.recorder.now());
        let reader = Some(reader);
        Some(Connection { context, stream, requests, closed, reader, last_id: 0, connected_at, in_crowd })
    }

    /// Sends a request, and returns the index of its record if the request could be written.
    fn send(&mut self, rng: &mut fastrand::Rng) -> Option<usize> {
        self.last_id += 1;
        let context = &self.context;
        let class = if rng.u8(..4) == 0 { RequestClass::NonIdempotent } else { RequestClass::Idempotent };
        let method = if class == RequestClass::NonIdempotent { "load" } else { "look-up" };
        let ttl = rng.u64(MIN_TIMEOUT_MS..=MAX_TIMEOUT_MS.min(context.deadline.as_millis() as u64));
        let call = format!("{:016x}", context.next_call.fetch_add(1, Ordering::SeqCst));
        let data = base64(format!("select * from sales_{}.orders", rng.u32(..TABLE_GROUPS)).as_bytes());
        let params = json!({"call": call, "ttl": ttl, "data": data});
        let line = json!({"jsonrpc": "2.0", "id": self.last_id, "method": method, "params": params});
        if self.closed.load(Ordering::SeqCst) {
            return None;
        }
        // The record is added before the request is written, so that it exists when a response is read.
        let record = RequestRecord {
            call,
            class,
            process: context.process,
            connected_at: self.connected_at,
            sent_at: context.recorder.now(),
            timeout: Duration::from_millis(ttl),
            client_left_at: None,
            in_crowd: self.in_crowd,
            closed_for_crowd_at: None,
            responses: Vec::new(),
        };
        let index = context.recorder.add_request(record);
        lock(&self.requests).insert(self.last_id, index);
        if (&self.stream).write_all(format!("{line}\n").as_bytes()).is_err() {
            // The request was not sent, so the client does not wait for it.
            context.recorder.set_client_left(index);
            return None;
        }
        Some(index)
    }

    fn cancel_last(&self, index: usize) {
        let line = json!({"jsonrpc": "2.0", "method": "revoke", "params": {"id": self.last_id}});
        if (&self.stream).write_all(format!("{line}\n").as_bytes()).is_ok() {
            self.context.recorder.set_client_left(index);
        }
    }

    /// Closes the connection on the client's side, and records that the client has left its requests.
    fn close(mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        let open: Vec<usize> = lock(&self.requests).values().copied().collect();
        open.into_iter().for_each(|index| self.context.recorder.set_client_left(index));
        self.reader.take().map(JoinHandle::join);
    }

    /// Waits until the front closes the connection or ends.
    fn wait_for_end(mut self) {
        self.reader.take().map(JoinHandle::join);
    }
}

fn lock(requests: &OpenRequests) -> std::sync::MutexGuard<'_, BTreeMap<u64, usize>> {
    requests.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read_responses(stream: TcpStream, requests: &OpenRequests, recorder: &Recorder) {
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let Ok(message) = serde_json::from_str::<Value>(&line) else { continue };
        let Some(index) = message["id"].as_u64().and_then(|id| lock(requests).get(&id).copied()) else {
            continue;
        };
        let kind = match message["error"]["code"].as_i64() {
            None => ResponseKind::Result,
            Some(REJECTED) => ResponseKind::Rejected,
            Some(_) => ResponseKind::Failed,
        };
        recorder.add_response(index, ResponseRecord { at: recorder.now(), kind });
    }
}

/// JSON-RPC error code of a rejected request.
const REJECTED: i64 = -32002;

/// Starts a client that opens one connection after another until SIGTERM, and uses the last one until its end.
pub(crate) fn start_steady(context: &Arc<ClientContext>, mut rng: fastrand::Rng) -> JoinHandle<()> {
    let context = context.clone();
    thread::spawn(move || {
        while !context.ended.load(Ordering::SeqCst) {
            match Connection::open(&context) {
                Some(connection) => use_connection(connection, &context, &mut rng),
                None => thread::sleep(context.request_interval),
            }
            if context.terminated.load(Ordering::SeqCst) {
                return;
            }
        }
    })
}

fn use_connection(mut connection: Connection, context: &Arc<ClientContext>, rng: &mut fastrand::Rng) {
    loop {
        thread::sleep(context.request_interval.mul_f64(rng.f64() * 2.0));
        if context.ended.load(Ordering::SeqCst) {
            return connection.close();
        }
        let Some(index) = connection.send(rng) else { return connection.wait_for_end() };
        let may_leave = !context.terminated.load(Ordering::SeqCst);
        if may_leave && rng.u32(..CANCEL_ONE_IN) == 0 {
            connection.cancel_last(index);
        }
        if may_leave && rng.u32(..CLOSE_ONE_IN) == 0 {
            return connection.close();
        }
    }
}

/// Starts a client that connects after SIGTERM, and uses its one connection as the others do.
pub(crate) fn start_late(context: &Arc<ClientContext>, mut rng: fastrand::Rng) -> JoinHandle<()> {
    let context = context.clone();
    thread::spawn(move || {
        if let Some(connection) = Connection::open(&context) {
            use_connection(connection, &context, &mut rng);
        }
    })
}

/// Opens connections of idle clients until one fails, and returns those that were established.
pub(crate) fn open_idle(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count).map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()).collect()
}
