//! A discovery that changes, repeats itself, breaks off, falls silent and moves.

use crate::recorder::Recorder;
use crate::scenario::DiscoveryChange;
use lemonusher_fakes::delta_frame;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often a connection looks for something to send.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// An address that was left closes its connections after this.
const LEFT_CLOSES_AFTER: Duration = Duration::from_millis(1500);
/// A front says what it knows within this.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of the event that the start file holds.
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
    /// By number, from the one after the first on: the engine that began to drain.
    drained: Vec<usize>,
    /// Grows with each order to repeat the last event.
    repeats: u64,
    cut_next: bool,
    /// Connections accepted before this say nothing more.
    silent_before: Option<Instant>,
    down_until: Option<Instant>,
    /// The address in use, and since when it is.
    current: usize,
    moved_at: Option<Instant>,
}

/// All addresses of one discovery.
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

    /// Opens a new address and leaves the one before.
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
            DiscoveryChange::GoDown(span) => state.down_until = Some(Instant::now() + span),
        }
    }

    /// What a front is started with: the number of the last event, and the engines.
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

    /// Serves one connection until it is closed.
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

/// What a connection does now.
enum ConnectionState {
    Open,
    Silent,
    Closed,
}

/// An engine that drains, as it is sent.
struct DrainEvent {
    engine: u32,
    frame: Vec<u8>,
}

impl State {
    /// Of a connection to the address of this number.
    fn connection(&self, number: usize, accepted_at: Instant) -> ConnectionState {
        let now = Instant::now();
        if self.down_until.is_some_and(|until| now < until) {
            return ConnectionState::Closed;
        }
        if self.current != number {
            // An address that was left takes no new connection, says nothing more, and closes in the end.
            let is_over = |at: Instant| now > at + LEFT_CLOSES_AFTER || accepted_at > at;
            return match self.moved_at.is_some_and(is_over) {
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
