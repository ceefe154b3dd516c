//! The thread: drives a [`Node`] with a socket, a clock and chance. It decides nothing.

use crate::FleetConfig;
use crate::actions::TokenRejection;
use crate::channel::{TrafficCounters, add};
use crate::frame::MAX_DATAGRAM_BYTES;
use crate::node::{ClusterStats, Datagram, Message, Node, StartParameters};
use crate::state_folder::StateFolder;
use async_channel::{Receiver, Sender};
use lemonusher_routing::ControlUpdate;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20); // It looks round this often at least.
const MIN_WAIT: Duration = Duration::from_millis(1);
const STATS_INTERVAL: Duration = Duration::from_secs(1);
const MAX_QUEUED_UPDATES: usize = 64;
const MAX_DATAGRAMS_PER_ROUND: usize = 256; // Datagrams that are taken in before what is due is looked at again.
const MAX_REJECTIONS_PER_ROUND: usize = 64;

pub struct FleetHandle {
    /// What this front is to know, in order; where it is slow to listen, only the latest of each kind counts.
    pub control_updates: Receiver<ControlUpdate>,
    pub address: SocketAddr,
    pub counters: Arc<TrafficCounters>,
    stats: Arc<Mutex<ClusterStats>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FleetHandle {
    /// What this front held a second ago at most.
    pub fn stats(&self) -> ClusterStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for FleetHandle {
    /// Lets go of all that is held, so that others need not wait for it to run out.
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Thread {
    node: Node,
    socket: UdpSocket,
    /// Acts are told from here, and what is acted upon answers here.
    actions: UdpSocket,
    clock: Instant,
    clock_rate: f64,
    counters: Arc<TrafficCounters>,
    stats: Arc<Mutex<ClusterStats>>,
    next_stats: Duration,
    updates: Sender<ControlUpdate>,
}

/// Binds and starts the thread.
pub fn start(config: FleetConfig) -> io::Result<FleetHandle> {
    let socket = UdpSocket::bind(config.listen)?;
    let address = socket.local_addr()?;
    let actions = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    actions.set_nonblocking(true)?;
    let counters = Arc::new(TrafficCounters::default());
    let stats = Arc::new(Mutex::new(ClusterStats::default()));
    let stopping = Arc::new(AtomicBool::new(false));
    let (updates, control_updates) = async_channel::bounded(MAX_QUEUED_UPDATES);
    let state_folder = config.state_folder.as_deref().map(StateFolder::open).transpose()?;
    let unix_time_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let start_parameters =
        StartParameters { address, incarnation: fastrand::u64(1..), unix_time_ms, seed: fastrand::u64(..) };
    let mut thread = Thread {
        node: Node::new(config, start_parameters, state_folder, counters.clone()),
        socket,
        actions,
        clock: Instant::now(),
        clock_rate: clock_rate(),
        counters: counters.clone(),
        stats: stats.clone(),
        next_stats: Duration::ZERO,
        updates,
    };
    let is_stopping = stopping.clone();
    let thread = std::thread::Builder::new().name("fleet".to_owned()).spawn(move || {
        while !is_stopping.load(Ordering::Relaxed) {
            thread.run_once();
        }
        thread.end();
    })?;
    Ok(FleetHandle { control_updates, address, counters, stats, stopping, thread: Some(thread) })
}

/// How fast the clock runs; builds for tests may be told otherwise, to prove what drift does.
fn clock_rate() -> f64 {
    let control_updates =
        if cfg!(debug_assertions) { std::env::var("LEMONUSHER_TEST_CLOCK").ok() } else { None };
    control_updates.and_then(|text| text.parse().ok()).unwrap_or(1.0)
}

impl Thread {
    fn now(&self) -> Duration {
        self.clock.elapsed().mul_f64(self.clock_rate)
    }

    fn run_once(&mut self) {
        let now = self.now();
        self.node.poll(now);
        self.receive_rejections();
        self.send_outputs();
        if self.next_stats <= now {
            self.next_stats = now + STATS_INTERVAL;
            *self.stats.lock().unwrap_or_else(PoisonError::into_inner) = self.node.stats(now);
        }
        let due = self.node.next_timeout().unwrap_or(Duration::MAX).saturating_sub(self.now());
        self.receive(due.min(MAX_POLL_INTERVAL));
        self.send_outputs();
    }

    /// Waits for a datagram for so long, and takes in all that have come.
    fn receive(&mut self, span: Duration) {
        let _ = self.socket.set_read_timeout(Some(span.max(MIN_WAIT)));
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { return };
        self.node.handle_datagram(self.now(), from, &bytes[..length]);
        let _ = self.socket.set_nonblocking(true);
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { break };
            self.node.handle_datagram(self.now(), from, &bytes[..length]);
        }
        let _ = self.socket.set_nonblocking(false);
    }

    fn receive_rejections(&mut self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_REJECTIONS_PER_ROUND {
            let Ok((length, _)) = self.actions.recv_from(&mut bytes) else { break };
            if let Some(rejection) = TokenRejection::parse(&bytes[..length]) {
                self.node.handle_token_rejection(self.now(), &rejection);
            }
        }
    }

    /// Sends what the node has for others, and passes on what it has for this front.
    fn send_outputs(&mut self) {
        for Message { datagram: Datagram { to, bytes }, .. } in self.node.take_outgoing() {
            if self.socket.send_to(&bytes, to).is_ok() {
                add(&self.counters.sent);
                self.counters.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            }
        }
        for Datagram { to, bytes } in self.node.take_actions() {
            let _ = self.actions.send_to(&bytes, to);
        }
        for update in self.node.take_control_updates() {
            // Guards against a front that does not listen: the oldest word gives way.
            let _ = self.updates.force_send(update);
        }
    }

    fn end(&mut self) {
        let now = self.now();
        self.node.leave(now);
        self.send_outputs();
    }
}
