//! The thread: drives a [`Node`] with a socket, a clock and chance. It decides nothing.

use crate::FleetConfig;
use crate::acts::TokenRejection;
use crate::disk::StateFolder;
use crate::frame::MAX_DATAGRAM_BYTES;
use crate::node::{ClusterStats, Datagram, Message, Node, StartParameters};
use crate::wire::{TrafficCounters, add};
use async_channel::{Receiver, Sender};
use lemonusher_routing::ControlUpdate;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NAP: Duration = Duration::from_millis(20); // It looks round this often at least.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
const CENSUS_EVERY: Duration = Duration::from_secs(1);
const WORDS: usize = 64;
const MOST_AT_ONCE: usize = 256; // Datagrams that are taken in before what is due is looked at again.
const MOST_REFUSALS: usize = 64;

pub struct FleetHandle {
    /// What this front is to know, in order; where it is slow to listen, only the latest of each kind counts.
    pub control_updates: Receiver<ControlUpdate>,
    pub address: SocketAddr,
    pub counters: Arc<TrafficCounters>,
    stats: Arc<Mutex<ClusterStats>>,
    ending: Arc<AtomicBool>,
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
        self.ending.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Thread {
    node: Node,
    socket: UdpSocket,
    /// Acts are told from here, and what is acted upon answers here.
    acts: UdpSocket,
    clock: Instant,
    rate: f64,
    counts: Arc<TrafficCounters>,
    census: Arc<Mutex<ClusterStats>>,
    next_census: Duration,
    words: Sender<ControlUpdate>,
}

/// Binds and starts the thread.
pub fn start(terms: FleetConfig) -> io::Result<FleetHandle> {
    let socket = UdpSocket::bind(terms.listen)?;
    let address = socket.local_addr()?;
    let acts = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    acts.set_nonblocking(true)?;
    let counts = Arc::new(TrafficCounters::default());
    let census = Arc::new(Mutex::new(ClusterStats::default()));
    let ending = Arc::new(AtomicBool::new(false));
    let (words, told) = async_channel::bounded(WORDS);
    let disk = terms.state_folder.as_deref().map(StateFolder::open).transpose()?;
    let date_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let birth = StartParameters {
        address,
        incarnation: fastrand::u64(1..),
        unix_time_ms: date_ms,
        seed: fastrand::u64(..),
    };
    let mut thread = Thread {
        node: Node::new(terms, birth, disk, counts.clone()),
        socket,
        acts,
        clock: Instant::now(),
        rate: rate(),
        counts: counts.clone(),
        census: census.clone(),
        next_census: Duration::ZERO,
        words,
    };
    let ends = ending.clone();
    let thread = std::thread::Builder::new().name("fleet".to_owned()).spawn(move || {
        while !ends.load(Ordering::Relaxed) {
            thread.round();
        }
        thread.end();
    })?;
    Ok(FleetHandle {
        control_updates: told,
        address,
        counters: counts,
        stats: census,
        ending,
        thread: Some(thread),
    })
}

/// How fast the clock runs; builds for tests may be told otherwise, to prove what drift does.
fn rate() -> f64 {
    let told = if cfg!(debug_assertions) { std::env::var("LEMONUSHER_TEST_CLOCK").ok() } else { None };
    told.and_then(|text| text.parse().ok()).unwrap_or(1.0)
}

impl Thread {
    fn now(&self) -> Duration {
        self.clock.elapsed().mul_f64(self.rate)
    }

    fn round(&mut self) {
        let now = self.now();
        self.node.poll(now);
        self.hear_refusals();
        self.carry_out();
        if self.next_census <= now {
            self.next_census = now + CENSUS_EVERY;
            *self.census.lock().unwrap_or_else(PoisonError::into_inner) = self.node.stats(now);
        }
        let due = self.node.next_timeout().unwrap_or(Duration::MAX).saturating_sub(self.now());
        self.hear(due.min(NAP));
        self.carry_out();
    }

    /// Waits for a datagram for so long, and takes in all that have come.
    fn hear(&mut self, span: Duration) {
        let _ = self.socket.set_read_timeout(Some(span.max(SHORTEST_WAIT)));
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let Ok((long, from)) = self.socket.recv_from(&mut bytes) else { return };
        self.node.handle_datagram(self.now(), from, &bytes[..long]);
        let _ = self.socket.set_nonblocking(true);
        for _ in 0..MOST_AT_ONCE {
            let Ok((long, from)) = self.socket.recv_from(&mut bytes) else { break };
            self.node.handle_datagram(self.now(), from, &bytes[..long]);
        }
        let _ = self.socket.set_nonblocking(false);
    }

    fn hear_refusals(&mut self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MOST_REFUSALS {
            let Ok((long, _)) = self.acts.recv_from(&mut bytes) else { break };
            if let Some(refusal) = TokenRejection::read(&bytes[..long]) {
                self.node.handle_token_rejection(self.now(), &refusal);
            }
        }
    }

    /// Sends what the node has for others, and passes on what it has for this front.
    fn carry_out(&mut self) {
        for Message { datagram: Datagram { to, bytes }, .. } in self.node.take_outgoing() {
            if self.socket.send_to(&bytes, to).is_ok() {
                add(&self.counts.sent);
                self.counts.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            }
        }
        for Datagram { to, bytes } in self.node.take_actions() {
            let _ = self.acts.send_to(&bytes, to);
        }
        for word in self.node.take_control_updates() {
            // Guards against a front that does not listen: the oldest word gives way.
            let _ = self.words.force_send(word);
        }
    }

    fn end(&mut self) {
        let now = self.now();
        self.node.leave(now);
        self.carry_out();
    }
}
