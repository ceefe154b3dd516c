//! A limited queue of the bytes to be written on one connection. Counts the bytes that the kernel has accepted.

use super::signal::Signal;
use super::socket::{Socket, with_timeout};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::time::Duration;

/// The queue has reached its limit, or the connection is closing or broken.
#[derive(Debug, PartialEq)]
pub struct WriteQueueFull;

/// The bytes that are queued for one connection.
pub struct WriteQueue {
    socket: Socket,
    max_bytes: usize,
    state: RefCell<State>,
    wake: Signal,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<u8>,
    /// Total bytes pushed.
    pushed: u64,
    /// Total bytes that the kernel has accepted.
    written: u64,
    closing: bool,
    broken: Option<io::ErrorKind>,
}

impl WriteQueue {
    /// Creates a queue of at most `max_bytes`. An empty queue accepts one message of any length.
    pub fn new(socket: Socket, max_bytes: usize) -> Self {
        WriteQueue { socket, max_bytes, state: RefCell::default(), wake: Signal::new() }
    }

    /// Queues a message, and writes at once as much as the kernel accepts. Returns the position of the
    /// message's end: once [`written`](Self::written) has reached it, the kernel has accepted the whole
    /// message.
    pub fn push(&self, message: &[u8]) -> Result<u64, WriteQueueFull> {
        let mut state = self.state.borrow_mut();
        let waiting_bytes = state.waiting.len();
        if state.closing
            || state.broken.is_some()
            || (waiting_bytes > 0 && waiting_bytes + message.len() > self.max_bytes)
        {
            return Err(WriteQueueFull);
        }
        state.pushed += message.len() as u64;
        let taken = if waiting_bytes == 0 { state.write(&self.socket, message) } else { 0 };
        state.waiting.extend(&message[taken..]);
        if !state.waiting.is_empty() || state.broken.is_some() {
            self.wake.notify();
        }
        Ok(state.pushed)
    }

    /// The connection.
    pub fn socket(&self) -> Socket {
        self.socket.clone()
    }

    /// Total bytes that the kernel has accepted.
    pub fn written(&self) -> u64 {
        self.state.borrow().written
    }

    /// Bytes that are still queued.
    pub fn waiting(&self) -> usize {
        self.state.borrow().waiting.len()
    }

    /// Accepts no more messages. [`run`](Self::run) returns once all queued bytes are written.
    pub fn close(&self) {
        self.state.borrow_mut().closing = true;
        self.wake.notify();
    }

    /// Writes queued bytes until the queue is closed or the connection breaks, and calls `on_progress` after
    /// each step. Fails if the connection accepts no bytes for `stall_timeout`.
    pub async fn run(&self, stall_timeout: Duration, mut on_progress: impl FnMut()) -> io::Result<()> {
        loop {
            let (waiting, closing, broken) = {
                let state = self.state.borrow();
                (!state.waiting.is_empty(), state.closing, state.broken)
            };
            match broken {
                Some(kind) => return Err(kind.into()),
                None if !waiting && closing => return Ok(()),
                None if !waiting => drop(self.wake.wait().await),
                None => {
                    let ready = with_timeout(stall_timeout, self.socket.writable()).await;
                    ready.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
                    let mut state = self.state.borrow_mut();
                    let mut waiting = std::mem::take(&mut state.waiting);
                    let taken = state.write(&self.socket, waiting.make_contiguous());
                    waiting.drain(..taken);
                    state.waiting = waiting;
                    if state.waiting.is_empty() {
                        state.waiting = VecDeque::new();
                    }
                }
            }
            on_progress();
        }
    }
}

impl State {
    /// Writes as much as the kernel accepts now. Returns the number of bytes.
    fn write(&mut self, socket: &Socket, message: &[u8]) -> usize {
        let mut taken = 0;
        while taken < message.len() {
            match socket.get_ref().write(&message[taken..]) {
                Ok(0) => self.broken = Some(io::ErrorKind::WriteZero),
                Ok(n) => {
                    taken += n;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => self.broken = Some(e.kind()),
            }
            break;
        }
        self.written += taken as u64;
        taken
    }
}
