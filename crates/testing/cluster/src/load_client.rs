//! A client that sends requests at a configured rate to the first front that it can reach, and counts their outcomes.

use crate::FakeClass;
use lemonusher_fakes::base64;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// JSON-RPC error code of a rejected request.
const REJECTED_CODE: i64 = -32002;
/// Time between two checks whether a request is due.
const SEND_INTERVAL: Duration = Duration::from_millis(4);
/// Time until the next connection attempt if no front can be reached.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of table groups; requests use them in turn.
const TABLE_GROUPS: u64 = 23;

/// Outcomes of the requests of a class since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestCounts {
    /// Requests sent.
    pub sent: u32,
    /// Requests with a result.
    pub returned: u32,
    /// Of those returned, the ones within the latency objective.
    pub on_time: u32,
    /// Requests that were rejected; a rejection may carry a retry-after time.
    pub rejected: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests without a response when the connection ended.
    pub aborted: u32,
    /// Responses that match no open request, such as a second response. All are counted in class 0.
    pub duplicates: u32,
    /// Sum of the retry-after times of rejections, in seconds.
    pub retry_after_s: f64,
}

impl RequestCounts {
    /// Share of the sent requests that returned.
    pub fn returned_share(&self) -> f64 {
        f64::from(self.returned) / f64::from(self.sent.max(1))
    }
}

/// A request without a response so far.
struct OpenRequest {
    class: usize,
    sent_at: Instant,
}

/// State shared by the client's threads.
struct Shared {
    number: u32,
    classes: Vec<FakeClass>,
    /// Counts by request class.
    counts: Mutex<Vec<RequestCounts>>,
    /// Rates by request class, in thousandths of a request per second.
    rates_milli: Vec<AtomicU64>,
    /// Addresses of the fronts, in the order in which they are tried; `None` for a front that can't be reached.
    fronts: Mutex<Vec<Option<SocketAddr>>>,
    ending: AtomicBool,
}

/// One client. Its threads end when it is dropped.
pub struct LoadClient {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl LoadClient {
    /// Starts a client that knows no front yet. `number` makes its request ids unique among clients; `rates` are
    /// requests per second by request class.
    pub fn start(number: u32, classes: Vec<FakeClass>, rates: &[f64]) -> LoadClient {
        let shared = Arc::new(Shared {
            number,
            counts: Mutex::new(vec![RequestCounts::default(); classes.len()]),
            classes,
            rates_milli: rates.iter().map(|rate| AtomicU64::new((rate * 1000.0) as u64)).collect(),
            fronts: Mutex::default(),
            ending: AtomicBool::new(false),
        });
        let of_thread = shared.clone();
        let thread = std::thread::spawn(move || of_thread.run());
        LoadClient { shared, thread: Some(thread) }
    }

    /// Sets the fronts that it can reach, in the order in which they are tried.
    pub fn set_fronts(&self, fronts: Vec<Option<SocketAddr>>) {
        *self.shared.fronts.lock().unwrap() = fronts;
    }

    /// Multiplies all rates.
    pub fn scale_rates(&self, factor: f64) {
        for rate in &self.shared.rates_milli {
            rate.store((rate.load(Ordering::Relaxed) as f64 * factor) as u64, Ordering::Relaxed);
        }
    }

    /// Counts by request class since the last call.
    pub fn take_counts(&self) -> Vec<RequestCounts> {
        let mut counts = self.shared.counts.lock().unwrap();
        let zeros = vec![RequestCounts::default(); counts.len()];
        std::mem::replace(&mut *counts, zeros)
    }
}

impl Drop for LoadClient {
    fn drop(&mut self) {
        self.shared.ending.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn run(&self) {
        let mut last_id = 0;
        while !self.ending.load(Ordering::Relaxed) {
            match self.connect() {
                Some(stream) => self.use_connection(stream, &mut last_id),
                None => std::thread::sleep(RECONNECT_INTERVAL),
            }
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        let fronts = self.fronts.lock().unwrap();
        fronts.iter().flatten().find_map(|front| TcpStream::connect(front).ok())
    }

    /// Sends requests until the connection ends, then counts the open ones as aborted.
    fn use_connection(&self, mut stream: TcpStream, last_id: &mut u64) {
        let open: Mutex<BTreeMap<u64, OpenRequest>> = Mutex::default();
        let closed = AtomicBool::new(false);
        let reading = stream.try_clone().unwrap();
        std::thread::scope(|scope| {
            scope.spawn(|| {
                self.read_responses(reading, &open);
                closed.store(true, Ordering::Relaxed);
            });
            self.send_requests(&mut stream, &open, &closed, last_id);
            let _ = stream.shutdown(Shutdown::Both);
        });
        let unanswered = std::mem::take(&mut *open.lock().unwrap());
        for request in unanswered.into_values() {
            self.counts.lock().unwrap()[request.class].aborted += 1;
        }
    }

    fn read_responses(&self, stream: TcpStream, open: &Mutex<BTreeMap<u64, OpenRequest>>) {
        let mut lines = BufReader::new(stream).lines();
        while let Some(Ok(line)) = lines.next() {
            let response: Value = serde_json::from_str(&line).unwrap();
            let id = response["id"].as_u64().unwrap_or_default();
            let request = open.lock().unwrap().remove(&id);
            let mut counts = self.counts.lock().unwrap();
            let Some(OpenRequest { class, sent_at }) = request else {
                counts[0].duplicates += 1;
                continue;
            };
            let counts = &mut counts[class];
            match response["error"]["code"].as_i64() {
                None => {
                    let in_time = sent_at.elapsed() <= self.classes[class].latency_objective;
                    counts.returned += 1;
                    counts.on_time += u32::from(in_time);
                }
                Some(REJECTED_CODE) => {
                    let retry_after_ms = response["error"]["data"]["pushback"].as_f64();
                    counts.rejected += 1;
                    counts.retry_after_s += retry_after_ms.unwrap_or_default() / 1e3;
                }
                Some(_) => counts.failed += 1,
            }
        }
    }

    fn send_requests(
        &self,
        stream: &mut TcpStream,
        open: &Mutex<BTreeMap<u64, OpenRequest>>,
        closed: &AtomicBool,
        last_id: &mut u64,
    ) {
        let mut credit = vec![0.0; self.classes.len()];
        let mut last = Instant::now();
        while !closed.load(Ordering::Relaxed) && !self.ending.load(Ordering::Relaxed) {
            std::thread::sleep(SEND_INTERVAL);
            let elapsed_s = last.elapsed().as_secs_f64();
            last = Instant::now();
            for (class, credit) in credit.iter_mut().enumerate() {
                *credit += elapsed_s * self.rates_milli[class].load(Ordering::Relaxed) as f64 / 1e3;
                while *credit >= 1.0 {
                    *credit -= 1.0;
                    *last_id += 1;
                    let message = self.message(class, *last_id);
                    open.lock().unwrap().insert(*last_id, OpenRequest { class, sent_at: Instant::now() });
                    self.counts.lock().unwrap()[class].sent += 1;
                    if stream.write_all(message.as_bytes()).is_err() {
                        closed.store(true, Ordering::Relaxed);
                    }
                }
            }
        }
    }

    /// A request as a line of JSON-RPC.
    fn message(&self, class: usize, id: u64) -> String {
        let class = &self.classes[class];
        let call = format!("{:08x}{id:08x}", self.number);
        let data = base64(format!("select * from sales_{}.orders", id % TABLE_GROUPS).as_bytes());
        let params = json!({"call": call, "ttl": class.deadline.as_millis() as u64, "data": data});
        let message = json!({"jsonrpc": "2.0", "id": id, "method": class.name, "params": params});
        format!("{message}\n")
    }
}
