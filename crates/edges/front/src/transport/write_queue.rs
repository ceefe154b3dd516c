//! What waits to be written on one connection, bounded, and how much of it the system has taken.

use super::signal::Signal;
use super::socket::{Socket, with_timeout};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::time::Duration;

/// More waits on a connection than its limit allows, or it has closed.
#[derive(Debug, PartialEq)]
pub struct WriteQueueFull;

/// The bytes that wait to be written on one connection.
pub struct WriteQueue {
    socket: Socket,
    max_bytes: usize,
    state: RefCell<State>,
    wake: Signal,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<u8>,
    /// Bytes that were ever pushed, and of those, bytes that the system has taken.
    pushed: u64,
    written: u64,
    closing: bool,
    broken: Option<io::ErrorKind>,
}

impl WriteQueue {
    /// A queue in which at most `max_bytes` wait, and one message that is longer by itself.
    pub fn new(socket: Socket, max_bytes: usize) -> Self {
        WriteQueue { socket, max_bytes, state: RefCell::default(), wake: Signal::new() }
    }

    /// Takes a whole message, and hands over at once what the system takes. Yields the position of its end:
    /// once `written` has come so far, the system has it all.
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

    /// Bytes that the system has taken.
    pub fn written(&self) -> u64 {
        self.state.borrow().written
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.state.borrow().waiting.len()
    }

    /// Takes nothing more; `run` ends when all that waits has been written.
    pub fn close(&self) {
        self.state.borrow_mut().closing = true;
        self.wake.notify();
    }

    /// Writes what waits, until closed or broken; calls `moved` after each step. A connection that takes
    /// nothing for as long as `stall` is broken.
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
    /// Writes as much as the system takes now.
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
