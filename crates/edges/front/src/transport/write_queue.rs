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
    queued: VecDeque<u8>,
    /// Total bytes pushed.
    pushed: u64,
    /// Total bytes that the kernel has accepted.
    written: u64,
    closing: bool,
    error: Option<io::ErrorKind>,
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
        let queued_bytes = state.queued.len();
        if state.closing
            || state.error.is_some()
            || (queued_bytes > 0 && queued_bytes + message.len() > self.max_bytes)
        {
            return Err(WriteQueueFull);
        }
        state.pushed += message.len() as u64;
        let accepted = if queued_bytes == 0 { state.write(&self.socket, message) } else { 0 };
        state.queued.extend(&message[accepted..]);
        if !state.queued.is_empty() || state.error.is_some() {
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
    pub fn queued_bytes(&self) -> usize {
        self.state.borrow().queued.len()
    }

    /// Accepts no more messages. [`run`](Self::run) returns once all queued bytes are written.
    pub fn close(&self) {
        self.state.borrow_mut().closing = true;
        self.wake.notify();
    }

    /// Writes queued bytes, and calls `on_progress` after each step. Returns once the queue is
    /// closed and empty. Fails if the connection breaks or accepts no bytes for `stall_timeout`.
    pub async fn run(&self, stall_timeout: Duration, mut on_progress: impl FnMut()) -> io::Result<()> {
        loop {
            let (has_queued, closing, error) = {
                let state = self.state.borrow();
                (!state.queued.is_empty(), state.closing, state.error)
            };
            match error {
                Some(kind) => return Err(kind.into()),
                None if !has_queued && closing => return Ok(()),
                None if !has_queued => drop(self.wake.wait().await),
                None => {
                    let ready = with_timeout(stall_timeout, self.socket.writable()).await;
                    ready.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
                    let mut state = self.state.borrow_mut();
                    let mut queued = std::mem::take(&mut state.queued);
                    let accepted = state.write(&self.socket, queued.make_contiguous());
                    queued.drain(..accepted);
                    state.queued = queued;
                    if state.queued.is_empty() {
                        state.queued = VecDeque::new();
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
        let mut accepted = 0;
        while accepted < message.len() {
            match socket.get_ref().write(&message[accepted..]) {
                Ok(0) => self.error = Some(io::ErrorKind::WriteZero),
                Ok(n) => {
                    accepted += n;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => self.error = Some(e.kind()),
            }
            break;
        }
        self.written += accepted as u64;
        accepted
    }
}
