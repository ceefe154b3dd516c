//! What waits to be written on one connection, bounded, and how much of it the system has taken.

use super::{Socket, with_timeout};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::time::Duration;

/// More waits on a connection than its bound allows, or it has closed.
#[derive(Debug, PartialEq)]
pub struct WriteQueueFull;

pub struct WriteQueue {
    socket: Socket,
    max_bytes: usize,
    state: RefCell<State>,
    wake: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

#[derive(Default)]
struct State {
    waiting: VecDeque<u8>,
    pushed: u64,
    written: u64,
    closing: bool,
    broken: Option<io::ErrorKind>,
}

impl WriteQueue {
    pub fn new(socket: Socket, max_bytes: usize) -> Self {
        WriteQueue { socket, max_bytes, state: RefCell::default(), wake: async_channel::bounded(1) }
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
            let _ = self.wake.0.try_send(()); // Full: a wake-up is on its way.
        }
        Ok(state.pushed)
    }

    pub fn socket(&self) -> Socket {
        self.socket.clone()
    }

    pub fn written(&self) -> u64 {
        self.state.borrow().written
    }

    pub fn waiting(&self) -> usize {
        self.state.borrow().waiting.len()
    }

    /// Takes nothing more; `run` ends when all that waits has been written.
    pub fn close(&self) {
        self.state.borrow_mut().closing = true;
        let _ = self.wake.0.try_send(());
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
                None if !waiting => drop(self.wake.1.recv().await),
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
