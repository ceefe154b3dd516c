//! A fake engine that speaks the engines' line protocol and runs the emulator's engine model in real time. After a
//! restart it is cold: its speed rises linearly to full speed over the warm-up. A cold engine that is sent more work
//! than its overload limit replies to probes only, and to no request until it is restarted.

use crate::fake_zones::{FakeZonesConfig, Shared};
use lemonusher_emulator::{Engine as Model, Work};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Memory of an engine, in MB. It is so large that requests never run out of it.
const ENGINE_MEMORY_MB: f64 = 1e9;
/// Memory of a request, in MB.
const REQUEST_MEMORY_MB: f64 = 1.0;
/// The model's [`Model::thrashing_loss`].
const THREAD_OVERHEAD: f64 = 0.05;

/// An attempt that an engine received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// When it arrived.
    pub at: Instant,
    /// Its id on the wire.
    pub id: String,
    /// Index of its request class.
    pub class: usize,
    /// Zone of the front that sent it.
    pub from_zone: usize,
}

struct RunningRequest {
    stream: TcpStream,
    id: String,
    class: usize,
}

struct Connection {
    from_zone: usize,
    stream: TcpStream,
}

/// Work of one request sent to the engine, in thread-seconds.
struct RecentWork {
    at: Instant,
    work: f64,
}

/// The state of one engine.
pub(crate) struct FakeEngine {
    pub(crate) zone: usize,
    model: Model,
    /// Time of the last restart; `None` before the first, when the engine is warm.
    started_at: Option<Instant>,
    last_number: u64,
    /// Requests that the model runs, by their number in the model.
    running: BTreeMap<u64, RunningRequest>,
    connections: Vec<Connection>,
    pub(crate) received: Vec<ReceivedRequest>,
    /// Work sent within the overload window.
    recent_work: VecDeque<RecentWork>,
    pub(crate) is_up: bool,
    /// Whether it was overloaded; it replies to no request until it is restarted.
    pub(crate) is_overloaded: bool,
    /// Highest number of threads per core since the value was last taken.
    pub(crate) max_load: f64,
}

impl FakeEngine {
    pub(crate) fn new(zone: usize, cores: f64) -> FakeEngine {
        FakeEngine {
            zone,
            model: Model::new(cores, ENGINE_MEMORY_MB, THREAD_OVERHEAD),
            started_at: None,
            last_number: 0,
            running: BTreeMap::new(),
            connections: Vec::new(),
            received: Vec::new(),
            recent_work: VecDeque::new(),
            is_up: true,
            is_overloaded: false,
            max_load: 0.0,
        }
    }

    pub(crate) fn add_connection(&mut self, from_zone: usize, stream: TcpStream) {
        self.connections.push(Connection { from_zone, stream });
    }

    pub(crate) fn stop(&mut self) {
        self.is_up = false;
        self.model.clear();
        self.running.clear();
        for connection in self.connections.drain(..) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    pub(crate) fn restart(&mut self) {
        self.is_up = true;
        self.started_at = Some(Instant::now());
        self.is_overloaded = false;
    }

    pub(crate) fn set_slowdown(&mut self, factor: f64) {
        self.model.slowdown = factor;
    }

    pub(crate) fn close_connections_from(&mut self, zone: usize) {
        for connection in self.connections.extract_if(.., |connection| connection.from_zone == zone) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Advances the model by `elapsed`, and replies to the requests that finished.
    pub(crate) fn run(&mut self, config: &FakeZonesConfig, now: Instant, elapsed: Duration) {
        let speed = self.speed(config, now);
        for finished in self.model.run(elapsed.as_secs_f64(), speed) {
            let Some(request) = self.running.remove(&finished.0) else { continue };
            let work_ms = config.classes[request.class].work * 1e3;
            let id = &request.id;
            let message = format!("{id} HIT fetches=1,effort={work_ms},high=1 6\r\nx\ty\tz\n\r\n");
            let _ = (&request.stream).write_all(message.as_bytes());
        }
    }

    /// Current speed as a share of full speed: rises from the cold share to 1 over the warm-up.
    fn speed(&self, config: &FakeZonesConfig, now: Instant) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age_s = now.saturating_duration_since(started_at).as_secs_f64();
        let cold = config.cold_share;
        (cold + (1.0 - cold) * age_s / config.warm_up.as_secs_f64()).min(1.0)
    }

    /// Records a request, and runs it unless the engine is down or overloaded.
    fn submit(&mut self, config: &FakeZonesConfig, request: ReceivedRequest, stream: &TcpStream) {
        let ReceivedRequest { at, id, class, .. } = request.clone();
        let work = config.classes[class].work;
        self.received.push(request);
        if !self.is_up || self.is_overloaded {
            return;
        }
        if self.overloads(config, at, work) {
            self.is_overloaded = true;
            self.model.clear();
            return;
        }
        self.last_number += 1;
        self.running
            .insert(self.last_number, RunningRequest { stream: stream.try_clone().unwrap(), id, class });
        let work = Work {
            remaining_s: work,
            threads: config.classes[class].threads,
            memory_mb: REQUEST_MEMORY_MB,
            table_group: 0,
            is_bulk_load: false,
            waits_for_bulk_loads: false,
        };
        self.model.run_now(self.last_number, work);
        self.max_load = self.max_load.max(self.model.threads_per_core());
    }

    /// Records work sent to the engine, and returns whether it overloads the engine. Only a cold engine can be
    /// overloaded.
    fn overloads(&mut self, config: &FakeZonesConfig, now: Instant, work: f64) -> bool {
        let window = config.overload_window;
        let is_cold = self.started_at.is_some_and(|at| at.elapsed() < config.warm_up);
        self.recent_work.push_back(RecentWork { at: now, work });
        while self.recent_work.front().is_some_and(|recent| now.duration_since(recent.at) > window) {
            self.recent_work.pop_front();
        }
        let sent: f64 = self.recent_work.iter().map(|recent| recent.work).sum();
        let limit = config.overload_multiple * config.cold_share * config.cores * window.as_secs_f64();
        is_cold && sent > limit
    }

    fn cancel(&mut self, id: &str) {
        let number = self.running.iter().find(|(_, request)| request.id == id).map(|(number, _)| *number);
        if let Some(number) = number {
            self.running.remove(&number);
            self.model.cancel(number);
        }
    }

    /// Share of the cores that is busy, from 0 to 1.
    fn busy_share(&self) -> f64 {
        self.model.threads_per_core().min(1.0)
    }
}

/// Serves one connection from a front until it is closed.
pub(crate) fn serve_connection(shared: &Shared, index: usize, from_zone: usize, stream: TcpStream) {
    let engine = || shared.engines[index].lock().unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_owned).collect();
        line.clear();
        let id = words.get(1).cloned().unwrap_or_default();
        match words[0].as_str() {
            "serve" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                let class = class_of(&shared.config, &words[2]);
                let request = ReceivedRequest { at: Instant::now(), id, class, from_zone };
                engine().submit(&shared.config, request, &stream);
            }
            "gauges" => {
                let busy = engine().busy_share();
                let _ = (&stream).write_all(format!("{id} PONG use=busy:{busy:.2} 0\r\n\r\n").as_bytes());
            }
            "cancel" => engine().cancel(&id),
            "read" => {
                let _ = (&stream).write_all(format!("{id} FAULT - 0\r\n\r\n").as_bytes());
            }
            _ => {}
        }
    }
}

/// Index of the request class named by the request's `queue` field.
fn class_of(config: &FakeZonesConfig, fields: &str) -> usize {
    let name = fields.split(',').find_map(|field| field.strip_prefix("queue="));
    config.classes.iter().position(|class| Some(class.name) == name).unwrap()
}
