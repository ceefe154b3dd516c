//! Reads the lines of a client connection and turns them into router events.
//!
//! Lines are read in passes of at most `MAX_LINES_PER_PASS` available lines, and the events of a pass are
//! forwarded at its end. If the pass finds that the client has disconnected, its requests are dropped before they
//! start, however long they waited unread. The limit of open requests limits how many events are held back.
//!
//! After the process has not run for some time, a pass is also made just before an attempt of one of the connection's
//! requests is written, unless the last one was a moment ago. What the client sent before, such as its disconnection,
//! is therefore known, in whatever order the tasks run.

use super::session::{ClientSession, MAX_DISCARDED_BYTES, MAX_OPEN_REQUESTS};
use crate::protocol::client::{
    self, ClientMessage, ClientRequest, Fault, FaultKind, MAX_LINE_BYTES, ParsedLine,
};
use crate::protocol::statement::table_group;
use crate::transport::{
    self, MemoryBudget, MessageReader, ReadError, ReadLimits, ReadStatus, Signal, Socket,
};
use futures_lite::FutureExt;
use lemonusher::RequestId;
use lemonusher_routing::{Counter, IncomingRequest, RouterEvent};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time from a line's first byte to its last.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of the lines read in one pass, after which the task yields to others.
const MAX_LINES_PER_PASS: usize = 2048;
/// Input that was read to its end within this time is not read again before an attempt is written. A tenth of the time
/// for which a client that has left may still get an attempt.
const MAX_INPUT_AGE: Duration = Duration::from_millis(10);
/// A client timeout longer than the request class's deadline times this is refused as invalid.
const MAX_TIMEOUT_FACTOR: u64 = 2;
/// Number of error responses without an id to invalid lines, after which a connection accepts no more lines.
const MAX_INVALID_LINES: u32 = 16;
/// Limit of the unwritten bytes of a connection after an invalid line. Above the limit, the connection accepts no
/// more lines.
const MAX_UNREAD_FAULT_BYTES: usize = 64 * 1024;

type LineReader = MessageReader<fn(&[u8]) -> Result<Option<ParsedLine>, Infallible>>;

/// Reason why a connection accepts no more lines.
#[derive(Clone, Copy)]
pub(super) enum ReadEnd {
    /// The client has closed its side.
    ClientClosed,
    /// The socket failed.
    Broken,
    /// A limit was exceeded: of a line's length, time or memory, of invalid lines, or of unwritten bytes after an
    /// invalid line. The client may still wait for responses.
    LimitExceeded,
    /// A requested close: no request was open and no byte unread, and the writing side has been shut down.
    Idle,
}

impl fmt::Display for ReadEnd {
    /// The reason as it stands in the log.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ReadEnd::ClientClosed => "closed by the client",
            ReadEnd::Broken => "socket failed",
            ReadEnd::LimitExceeded => "input exceeded a limit",
            ReadEnd::Idle => "closed while idle",
        })
    }
}

/// The reading side of a connection. The connection's task reads whenever bytes arrive. After a
/// stall, the engine driver makes it read too, just before an attempt is written: the task may not have run since the client disconnected.
pub(super) struct ClientInput {
    lines: RefCell<LineReader>,
    /// Events that the router has not received yet, in order.
    received: RefCell<VecDeque<RouterEvent>>,
    /// Why no more lines are read; `None` while they are.
    end: Cell<Option<ReadEnd>>,
    /// When everything that had arrived was last read.
    read_at: Cell<Instant>,
    /// Whether a partial line has been read.
    has_partial_line: Cell<bool>,
    /// Signals the connection's task that another task has read.
    read_elsewhere: Signal,
}

impl ClientInput {
    /// Reads from `socket`. `memory` is the budget for partial lines.
    pub(super) fn new(socket: Socket, memory: Rc<MemoryBudget>) -> Self {
        let limits = ReadLimits { bytes: MAX_LINE_BYTES, time: LINE_TIMEOUT, memory };
        ClientInput {
            lines: RefCell::new(transport::read_messages(socket, limits, client::parse_line)),
            received: RefCell::default(),
            end: Cell::new(None),
            read_at: Cell::new(Instant::now()),
            has_partial_line: Cell::new(false),
            read_elsewhere: Signal::new(),
        }
    }

    /// Whether a partial line has been read.
    pub(super) fn has_partial_line(&self) -> bool {
        self.has_partial_line.get()
    }

    /// Whether the client has closed its side, or the socket has failed.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.end.get(), Some(ReadEnd::ClientClosed | ReadEnd::Broken))
    }

    /// Waits until another task finds that the client has closed its side.
    pub(super) async fn wait_until_closed(&self) {
        while !self.is_closed() && self.read_elsewhere.wait().await.is_ok() {}
    }

    /// Removes the request with this ticket if the router has not received it, and returns whether it did.
    fn remove_request(&self, ticket: u64) -> bool {
        let mut received = self.received.borrow_mut();
        let events_before = received.len();
        received.retain(|event| match event {
            RouterEvent::Request(incoming) => incoming.ticket != ticket,
            _ => true,
        });
        received.len() < events_before
    }

    /// Removes and returns the next event for the router. The events hold the session, so none may be left at its end.
    pub(super) fn next_event(&self) -> Option<RouterEvent> {
        self.received.borrow_mut().pop_front()
    }
}

impl ClientSession {
    /// Reads until the connection accepts no more lines, and returns the reason.
    pub(super) async fn read(self: &Rc<Self>) -> ReadEnd {
        loop {
            let lines_read = self.read_available();
            while let Some(event) = self.input.next_event() {
                let _ = self.shared.events.send(event).await;
            }
            if let Some(end) = self.input.end.get() {
                self.input.lines.borrow_mut().release();
                return end;
            }
            if lines_read == MAX_LINES_PER_PASS {
                futures_lite::future::yield_now().await;
                continue;
            }
            // Everything that arrived before the connection was accepted has been read.
            self.accept_wait.set(Duration::ZERO);
            self.wait_for_more().await;
        }
    }

    /// After a stall of this process, reads what the client has sent, unless that was done within [`MAX_INPUT_AGE`], so
    /// that the request of a client that has left counts as abandoned. The connection's task forwards the events.
    pub(super) fn catch_up_with_client(self: &Rc<Self>) {
        let input = &self.input;
        // Without a stall, this connection's task has run since its input arrived.
        if self.shared.stall_detector.delay(Instant::now()).is_zero() {
            return;
        }
        let is_reading = input.end.get().is_none() && self.accepting.get();
        if is_reading && input.read_at.get().elapsed() > MAX_INPUT_AGE {
            self.read_available();
            input.read_elsewhere.notify();
        }
        // After the input exceeded a limit, its rest is discarded unread.
        let is_discarding = matches!(input.end.get(), Some(ReadEnd::LimitExceeded));
        if is_discarding && transport::is_closed_by_peer(&self.socket()) {
            input.end.set(Some(ReadEnd::ClientClosed));
            input.read_elsewhere.notify();
        }
    }

    /// Reads the available lines, unless reading has ended, and returns their number. Their events wait in the
    /// input. If the client has disconnected, requests that the router has not received are dropped.
    fn read_available(self: &Rc<Self>) -> usize {
        if self.input.end.get().is_some() {
            return 0;
        }
        let mut lines = self.input.lines.borrow_mut();
        let mut lines_read = 0;
        let mut end = None;
        while lines_read < MAX_LINES_PER_PASS && end.is_none() {
            match lines.try_next() {
                ReadStatus::Message(line) => {
                    lines_read += 1;
                    end = self.handle_line(line);
                }
                ReadStatus::Pending => {
                    self.input.read_at.set(Instant::now());
                    break;
                }
                ReadStatus::End => end = Some(ReadEnd::ClientClosed),
                ReadStatus::Failed(error) => end = Some(self.handle_read_error(error)),
            }
        }
        self.input.has_partial_line.set(lines.has_partial());
        if let Some(end) = end {
            self.end_input(end);
        }
        lines_read
    }

    /// Ends the input. Requests of a client that has disconnected are dropped if the router has not received them.
    fn end_input(&self, reason: ReadEnd) {
        let exceeds_limit = matches!(reason, ReadEnd::LimitExceeded);
        let is_closed = exceeds_limit && transport::discard_available(&self.socket(), MAX_DISCARDED_BYTES);
        self.input.end.set(Some(if is_closed { ReadEnd::ClientClosed } else { reason }));
        if self.input.is_closed() {
            let mut open_requests = self.open_requests.borrow_mut();
            self.input.received.borrow_mut().retain(|event| {
                let RouterEvent::Request(incoming) = event else { return true };
                open_requests.remove(&incoming.ticket);
                false
            });
        }
    }

    /// Waits until more bytes are available, another task has read, or the connection has closed on request.
    async fn wait_for_more(&self) {
        let input = &self.input;
        let wait = input.lines.borrow_mut().begin_wait();
        let more = async { wait.readable().await.err().map(|error| self.handle_read_error(error)) };
        let close_requested = async {
            let _ = self.close_requested.wait().await;
            self.try_close().then_some(ReadEnd::Idle)
        };
        let read_elsewhere = async {
            let _ = input.read_elsewhere.wait().await;
            None
        };
        let end = more.or(close_requested).or(read_elsewhere).await;
        input.end.set(input.end.get().or(end));
    }

    /// Maps a read error to the reason why reading ends. A line that is too long gets one error response.
    fn handle_read_error(&self, error: ReadError<Infallible>) -> ReadEnd {
        log::debug!("reading from a client connection failed: {error}");
        match error {
            ReadError::Io(_) => ReadEnd::Broken,
            ReadError::Truncated => ReadEnd::ClientClosed,
            ReadError::TooLong => {
                self.handle_fault(Fault { id: None, kind: FaultKind::InvalidRequest });
                ReadEnd::LimitExceeded
            }
            ReadError::NoMemory | ReadError::Slow | ReadError::Malformed(_) => {
                if let ReadError::NoMemory = error {
                    self.shared.counters.add(Counter::LinesOverMemoryLimit, None);
                }
                ReadEnd::LimitExceeded
            }
        }
    }

    /// Handles one line: a request or a revoke becomes an event for the router. Returns why reading ends, if it does.
    fn handle_line(self: &Rc<Self>, line: Result<ClientMessage, Fault>) -> Option<ReadEnd> {
        self.last_used.set(Instant::now());
        self.has_received_line.set(true);
        match line {
            Ok(ClientMessage::Request(request)) => match self.accept_request(request) {
                Ok(incoming) => self.input.received.borrow_mut().push_back(RouterEvent::Request(incoming)),
                Err(fault) => self.handle_fault(fault),
            },
            Ok(ClientMessage::Heartbeat(id)) => {
                self.write(&client::encode_heartbeat(id, !self.shared.shutting_down.get()));
            }
            // A revoke of a finished request is valid, as it may be sent before the client receives the response.
            // A ticket above the highest received belongs to no request.
            Ok(ClientMessage::Revoke(ticket)) if ticket > self.highest_ticket.get() => {
                self.handle_fault(Fault { id: None, kind: FaultKind::InvalidParams });
            }
            Ok(ClientMessage::Revoke(ticket)) => self.revoke(ticket),
            Err(fault) => self.handle_fault(fault),
        }
        (!self.accepting.get()).then_some(ReadEnd::LimitExceeded)
    }

    /// Handles a client that no longer waits for a request. The router is notified only if it has received the request.
    fn revoke(self: &Rc<Self>, ticket: u64) {
        let revoked = self.open_requests.borrow_mut().remove(&ticket);
        log::debug!("the client revoked its request {ticket}; request id if still open: {revoked:?}");
        if self.input.remove_request(ticket) {
            return;
        }
        if let Some(request) = revoked {
            let disconnected = RouterEvent::ClientDisconnected { sink: self.clone(), ticket, request };
            self.input.received.borrow_mut().push_back(disconnected);
        }
    }

    /// Checks a request and registers it as open, or returns the fault to respond with.
    fn accept_request(self: &Rc<Self>, message: ClientRequest) -> Result<IncomingRequest, Fault> {
        let fault = |id, kind| Fault { id, kind };
        let classes = &self.shared.settings.request_classes;
        let request_class = classes
            .iter()
            .position(|class| class.name == message.request_class)
            .ok_or(fault(Some(message.id), FaultKind::UnknownMethod))?;
        self.highest_ticket.set(self.highest_ticket.get().max(message.id));
        let max_timeout_us = classes[request_class].deadline_us.saturating_mul(MAX_TIMEOUT_FACTOR);
        let timeout_us = message.client_timeout_ms.saturating_mul(1000);
        if timeout_us == 0 || timeout_us > max_timeout_us {
            return Err(fault(Some(message.id), FaultKind::InvalidParams));
        }
        self.check_open_requests(message.id)?;
        let request: RequestId = message.request.into();
        log::debug!(
            "batch {request} accepted: class {}, client timeout {} ms",
            message.request_class,
            message.client_timeout_ms
        );
        self.open_requests.borrow_mut().insert(message.id, request.clone());
        Ok(IncomingRequest {
            sink: self.clone(),
            ticket: message.id,
            request,
            request_class,
            table_group: table_group(&String::from_utf8_lossy(&message.statement)).unwrap_or_default(),
            // The client timeout counts from when the client sent the request. Time in which this process was
            // stopped, or accepted no connections, is subtracted.
            client_timeout: Duration::from_millis(message.client_timeout_ms)
                .saturating_sub(self.shared.stall_detector.delay(Instant::now()).max(self.accept_wait.get())),
            client_retry: message.client_retry,
            statement: message.statement.into(),
        })
    }

    /// Checks that one more request may be open under this message id.
    fn check_open_requests(&self, id: u64) -> Result<(), Fault> {
        let open_requests = self.open_requests.borrow();
        let is_duplicate = open_requests.contains_key(&id);
        if is_duplicate || open_requests.len() >= MAX_OPEN_REQUESTS {
            // The client would take an error under the id of an open request as the response to that request.
            return Err(Fault { id: (!is_duplicate).then_some(id), kind: FaultKind::InvalidRequest });
        }
        Ok(())
    }

    fn handle_fault(&self, fault: Fault) {
        self.shared.counters.add(Counter::InvalidLines, None);
        log::debug!("invalid message from a client: {fault:?}");
        self.write(&client::encode_fault(&fault));
        // Error responses cost little, but they are limited too.
        self.invalid_lines.set(self.invalid_lines.get() + u32::from(fault.id.is_none()));
        if self.invalid_lines.get() >= MAX_INVALID_LINES
            || self.write_queue.queued_bytes() > MAX_UNREAD_FAULT_BYTES
        {
            self.accepting.set(false);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/reading.rs"]
mod tests;
