//! A fake discovery service that sends drains, repeats events, cuts messages off, stops sending, and changes its
//! address.

use crate::recorder::Recorder;
use crate::scenario::DiscoveryChange;
use lemonusher_fakes::delta_frame;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two checks of a connection for an event to send.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time from a change of address until connections to the old address are closed.
const FORMER_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// Timeout for the first message of a front, which states the last event that it knows.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of the event in the start configuration before any drain.
const FIRST_EVENT: u64 = 1;
const STATE_DRAINING: u8 = 1;

#[derive(Clone, Copy)]
struct EngineEntry {
    address: SocketAddr,
    is_draining: bool,
}

#[derive(Default)]
struct State {
    engines: Vec<EngineEntry>,
    /// Indices of the engines that began to drain, one per event after `FIRST_EVENT`.
    drained: Vec<usize>,
    /// Number of [`DiscoveryChange::Repeat`] so far. A connection that finds it increased sends its last event again,
    /// if it has sent one.
    repeats: u64,
    cut_next: bool,
    /// Connections accepted before this time send nothing more.
    silent_before: Option<Instant>,
    down_until: Option<Instant>,
    /// Number of the current address, from 1.
    current: usize,
    /// Time since which it is current.
    moved_at: Option<Instant>,
}

/// A discovery service with all its addresses.
#[derive(Clone)]
pub(crate) struct Discovery {
    state: Arc<Mutex<State>>,
    recorder: Arc<Recorder>,
}

impl Discovery {
    pub(crate) fn start(recorder: Arc<Recorder>, engines: &[SocketAddr]) -> Discovery {
        let engines = engines.iter().map(|address| EngineEntry { address: *address, is_draining: false });
        let state = State { engines: engines.collect(), ..State::default() };
        Discovery { state: Arc::new(Mutex::new(state)), recorder }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a new address and abandons the previous one.
    pub(crate) fn open_address(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut state = self.lock();
        state.current += 1;
        state.moved_at = Some(Instant::now());
        let number = state.current;
        drop(state);
        let discovery = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if discovery.recorder.has_ended() {
                    return;
                }
                let discovery = discovery.clone();
                thread::spawn(move || discovery.serve(number, stream));
            }
        });
        address
    }

    pub(crate) fn apply(&self, change: DiscoveryChange) {
        let mut state = self.lock();
        match change {
            DiscoveryChange::Drain(engine) => {
                if !std::mem::replace(&mut state.engines[engine].is_draining, true) {
                    state.drained.push(engine);
                }
            }
            DiscoveryChange::Repeat => state.repeats += 1,
            DiscoveryChange::CutNext => state.cut_next = true,
            DiscoveryChange::FallSilent => state.silent_before = Some(Instant::now()),
            DiscoveryChange::GoDown(duration) => state.down_until = Some(Instant::now() + duration),
        }
    }

    /// Endpoint list for a front's start configuration: the number of the last event, and the engines. Records the
    /// drains in it as notified.
    pub(crate) fn known(&self) -> Value {
        let state = self.lock();
        let member = |(index, engine): (usize, &EngineEntry)| {
            json!({"id": format!("s-{:08x}", index + 1), "host_port": engine.address.to_string(),
                "locality": "east", "flavor": "std", "cell": 0, "size": 1, "up_since_ms": 0,
                "phase": if engine.is_draining { "Terminating" } else { "Ready" }})
        };
        let members: Vec<Value> = state.engines.iter().enumerate().map(member).collect();
        let number = FIRST_EVENT + state.drained.len() as u64;
        for engine in &state.drained {
            self.recorder.add_drain(*engine as u32 + 1);
        }
        json!({"cursor": number, "cmds": [{"nodes": {"revision": number, "complete": true, "members": members}}]})
    }

    /// Serves one connection until it is closed. `number` is the number of the address that accepted it.
    fn serve(&self, number: usize, mut stream: TcpStream) {
        let accepted_at = Instant::now();
        let mut known = [0; 8];
        let _ = stream.set_read_timeout(Some(FIRST_MESSAGE_TIMEOUT));
        if stream.read_exact(&mut known).is_err() {
            return;
        }
        let mut sent = u64::from_be_bytes(known);
        let mut repeats = self.lock().repeats;
        while !self.recorder.has_ended() {
            thread::sleep(POLL_INTERVAL);
            let mut state = self.lock();
            match state.connection(number, accepted_at) {
                ConnectionState::Closed => return,
                ConnectionState::Silent => continue,
                ConnectionState::Open => {}
            }
            if std::mem::replace(&mut repeats, state.repeats) != state.repeats && sent > FIRST_EVENT {
                sent -= 1;
            }
            let Some(event) = state.event_after(sent) else { continue };
            let is_cut = std::mem::take(&mut state.cut_next);
            drop(state);
            let length = if is_cut { event.frame.len() / 2 } else { event.frame.len() };
            if stream.write_all(&event.frame[..length]).is_err() || is_cut {
                return;
            }
            sent += 1;
            self.recorder.add_drain(event.engine);
        }
    }
}

/// State of a connection.
enum ConnectionState {
    Open,
    Silent,
    Closed,
}

/// Event that an engine drains, with its encoded frame.
struct DrainEvent {
    engine: u32,
    frame: Vec<u8>,
}

impl State {
    /// State of a connection that the address with this number accepted.
    fn connection(&self, number: usize, accepted_at: Instant) -> ConnectionState {
        let now = Instant::now();
        if self.down_until.is_some_and(|until| now < until) {
            return ConnectionState::Closed;
        }
        if self.current != number {
            // A former address closes new connections after their first message. It sends nothing more on older
            // ones, and closes them after a delay.
            let is_closed = |at: Instant| now > at + FORMER_ADDRESS_CLOSE_DELAY || accepted_at > at;
            return match self.moved_at.is_some_and(is_closed) {
                true => ConnectionState::Closed,
                false => ConnectionState::Silent,
            };
        }
        match self.silent_before.is_some_and(|at| accepted_at < at) {
            true => ConnectionState::Silent,
            false => ConnectionState::Open,
        }
    }

    fn event_after(&self, sent: u64) -> Option<DrainEvent> {
        let engine = *self.drained.get(sent.saturating_sub(FIRST_EVENT) as usize)?;
        let number = engine as u32 + 1;
        let frame = delta_frame(sent + 1, &[(number, self.engines[engine].address, STATE_DRAINING)]);
        Some(DrainEvent { engine: number, frame })
    }
}
