//! The server side of the discovery channel: sends fronts numbered frames with endpoint updates, and an empty frame
//! each second.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes of a frame header: length, number and kind.
pub const FRAME_HEADER_BYTES: usize = 13;
/// Bytes of the record of one engine in a frame.
pub const RECORD_BYTES: usize = 27;
/// Interval of empty frames.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const HELLO_BYTES: usize = 8;
const WEIGHT: u32 = 1_000;

/// The state of an engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may receive requests.
    Ready,
    /// It is removed from the endpoint list.
    Removed,
}

/// One engine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The engine's id.
    pub id: u32,
    /// The address that it listens on.
    pub address: SocketAddrV4,
    /// Its state in the list.
    pub state: State,
    /// The zone that it is in.
    pub zone: u8,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListUpdate {
    /// No change: a keepalive.
    Empty,
    /// The full list.
    Full(Vec<Entry>),
    /// Entries that changed.
    Delta(Vec<Entry>),
}

/// Encodes a frame.
pub fn frame(number: u64, update: &ListUpdate) -> Vec<u8> {
    let (kind, entries): (u8, &[Entry]) = match update {
        ListUpdate::Empty => (0, &[]),
        ListUpdate::Full(entries) => (1, entries),
        ListUpdate::Delta(entries) => (2, entries),
    };
    let length = FRAME_HEADER_BYTES - 4 + RECORD_BYTES * entries.len();
    let mut bytes = (length as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    entries.iter().for_each(|entry| record(&mut bytes, entry));
    bytes
}

fn record(bytes: &mut Vec<u8>, entry: &Entry) {
    let state = match entry.state {
        State::Ready => 0,
        State::Removed => 2,
    };
    bytes.extend(entry.id.to_be_bytes());
    bytes.extend(entry.address.ip().octets());
    bytes.extend(entry.address.port().to_be_bytes());
    bytes.extend([state, entry.zone, 0]);
    bytes.extend(0u16.to_be_bytes());
    bytes.extend(WEIGHT.to_be_bytes());
    bytes.extend(0u64.to_be_bytes());
}

#[derive(Debug, Default)]
struct Followers {
    number: u64,
    /// The latest frame with a full list, which a new follower gets first.
    full_list: Option<Vec<u8>>,
    streams: Vec<TcpStream>,
}

/// A listener that sends all fronts the same frames.
#[derive(Debug)]
pub struct Channel {
    /// The address that fronts connect to.
    pub address: SocketAddr,
    state: Arc<Mutex<Followers>>,
}

impl Channel {
    /// Starts the listener, without a list.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<Followers>> = Arc::default();
        let accepting = Arc::downgrade(&state);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Some(state) = accepting.upgrade() else { return };
                if let Ok(stream) = stream {
                    let _ = add_follower(stream, &mut lock(&state)); // A front reconnects after a broken connection.
                }
            }
        });
        let weak = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(state) = weak.upgrade() {
                let mut state = lock(&state);
                let empty = frame(state.number, &ListUpdate::Empty);
                state.send(&empty);
                drop(state);
                thread::sleep(KEEPALIVE_INTERVAL);
            }
        });
        Ok(Channel { address, state })
    }

    /// Sends an update to all fronts; returns the bytes sent to each.
    pub fn publish(&self, update: &ListUpdate) -> usize {
        let mut state = lock(&self.state);
        state.number += 1;
        let bytes = frame(state.number, update);
        if matches!(update, ListUpdate::Full(_)) {
            state.full_list = Some(bytes.clone());
        }
        state.send(&bytes);
        bytes.len()
    }

    /// The number of connected fronts.
    pub fn fronts(&self) -> usize {
        lock(&self.state).streams.len()
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        lock(&self.state).streams.clear();
        self.state = Arc::default();
        let _ = TcpStream::connect(self.address); // Wakes the accepting thread, which then ends.
    }
}

impl Followers {
    /// Sends a frame to all followers, and drops those whose connection is broken.
    fn send(&mut self, bytes: &[u8]) {
        self.streams.retain_mut(|stream| stream.write_all(bytes).is_ok());
    }
}

fn add_follower(mut stream: TcpStream, state: &mut Followers) -> io::Result<()> {
    stream.set_read_timeout(Some(KEEPALIVE_INTERVAL))?;
    stream.set_nodelay(true)?;
    stream.read_exact(&mut [0; HELLO_BYTES])?;
    if let Some(full_list) = &state.full_list {
        stream.write_all(full_list)?;
    }
    state.streams.push(stream);
    Ok(())
}

fn lock(state: &Mutex<Followers>) -> MutexGuard<'_, Followers> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
