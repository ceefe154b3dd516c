//! The thread that drives a [`Node`] with sockets, a clock and random numbers. It contains no protocol logic.

use crate::FleetConfig;
use crate::actions::TokenRejection;
use crate::counters::{TrafficCounters, add, increment};
use crate::frame::MAX_DATAGRAM_BYTES;
use crate::node::{ClusterStats, Datagram, Message, Node, StartParameters};
use crate::pending_updates::PendingUpdates;
use crate::state_folder::StateFolder;
use async_channel::{Receiver, Sender};
use lemonusher_routing::{ControlUpdate, QuotaShare};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time between two polls of the node.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time to wait for a datagram; a socket does not accept a read timeout of zero.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Interval at which the statistics are updated.
const STATS_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the router's queue of updates. While it is full, the latest update of each kind waits here.
const MAX_QUEUED_UPDATES: usize = 64;
/// Maximum number of further datagrams received between two polls, after the first one.
const MAX_DATAGRAMS_PER_ROUND: usize = 256;
/// Maximum number of token rejections received between two polls.
const MAX_REJECTIONS_PER_ROUND: usize = 64;

/// Handle of a running fleet thread. Dropping it releases the front's leases and stops the thread.
pub struct FleetHandle {
    /// Updates for this front's router, in order. Each replaces the earlier one of the same kind. If the router
    /// reads too slowly, it misses updates that a later one has replaced, and no others.
    pub control_updates: Receiver<ControlUpdate>,
    /// The UDP address that the thread has bound.
    pub address: SocketAddr,
    /// Counters of datagrams sent, received and dropped.
    pub counters: Arc<TrafficCounters>,
    stats: Arc<Mutex<ClusterStats>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FleetHandle {
    /// The latest statistics, updated about once a second.
    pub fn stats(&self) -> ClusterStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for FleetHandle {
    /// Stops the thread, which releases all leases so that other fronts need not wait until they expire.
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
    /// Sends notifications of actions to resources, and receives their token rejections.
    actions: UdpSocket,
    clock: Instant,
    clock_rate: f64,
    counters: Arc<TrafficCounters>,
    stats: Arc<Mutex<ClusterStats>>,
    next_stats: Duration,
    updates: Sender<ControlUpdate>,
    pending_updates: PendingUpdates,
}

/// Binds the sockets, opens the state folder and starts the thread. Returns an error if any of these fails.
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
        pending_updates: PendingUpdates::default(),
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

/// The ratio of this front's clock rate to real time. Debug builds read it from the environment, to test clock
/// drift; otherwise it is 1.
fn clock_rate() -> f64 {
    let rate = if cfg!(debug_assertions) { std::env::var("LEMONUSHER_TEST_CLOCK").ok() } else { None };
    rate.and_then(|text| text.parse().ok()).unwrap_or(1.0)
}

impl Thread {
    fn now(&self) -> Duration {
        self.clock.elapsed().mul_f64(self.clock_rate)
    }

    /// The instant of a time of the node's clock.
    fn instant(&self, time: Duration) -> Instant {
        self.clock + time.div_f64(self.clock_rate)
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

    /// Waits for a datagram for at most `timeout`, then handles it and those already queued at the socket.
    fn receive(&mut self, timeout: Duration) {
        let _ = self.socket.set_read_timeout(Some(timeout.max(MIN_WAIT)));
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

    /// Sends the node's datagrams and notifications, and queues its updates for the router.
    fn send_outputs(&mut self) {
        for Message { datagram: Datagram { to, bytes }, .. } in self.node.take_outgoing() {
            if self.socket.send_to(&bytes, to).is_ok() {
                increment(&self.counters.sent);
                add(&self.counters.sent_bytes, bytes.len());
            }
        }
        for Datagram { to, bytes } in self.node.take_actions(self.now()) {
            let _ = self.actions.send_to(&bytes, to);
        }
        if let Some(quota) = self.node.take_quota() {
            let valid_until = quota.valid_until.map(|until| self.instant(until));
            let quota = QuotaShare { share: quota.share, valid_until };
            self.pending_updates.add(ControlUpdate::SlowStartQuota(quota));
        }
        for update in self.node.take_control_updates() {
            self.pending_updates.add(update);
        }
        self.pending_updates.send(&self.updates);
    }

    fn end(&mut self) {
        let now = self.now();
        self.node.leave(now);
        self.send_outputs();
    }
}
