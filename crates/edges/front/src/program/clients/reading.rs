//! Reads the lines of a client connection and turns them into router events.
//!
//! Lines are read in passes of at most `MAX_LINES_PER_PASS` available lines, and the requests of a pass are
//! forwarded at its end. If the pass finds that the client has disconnected, its requests are dropped before they
//! start, however long they waited unread. The limit of open requests limits how many are held back.

use super::session::{ClientSession, MAX_DISCARDED_BYTES, MAX_OPEN_REQUESTS};
use crate::protocol::client::{
    self, ClientMessage, ClientRequest, Fault, FaultKind, MAX_LINE_BYTES, ParsedLine,
};
use crate::protocol::statement::table_group;
use crate::transport::{self, MessageReader, ReadError, ReadLimits, ReadStatus};
use futures_lite::FutureExt;
use lemonusher::RequestId;
use lemonusher_routing::{Counter, IncomingRequest, RouterEvent};
use std::convert::Infallible;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time from a line's first byte to its last.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of the lines read in one pass, after which the task yields to others.
const MAX_LINES_PER_PASS: usize = 2048;
/// A client timeout longer than the request class's deadline times this is refused as invalid.
const MAX_TIMEOUT_FACTOR: u64 = 2;
/// Number of error responses without an id to invalid lines, after which a connection accepts no more lines.
const MAX_INVALID_LINES: u32 = 16;
/// Limit of the unwritten bytes of a connection after an invalid line. Above the limit, the connection accepts no
/// more lines.
const MAX_UNREAD_FAULT_BYTES: usize = 64 * 1024;

type LineReader = MessageReader<fn(&[u8]) -> Result<Option<ParsedLine>, Infallible>>;

/// Reason why a connection accepts no more lines.
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

/// The result of one pass over the available lines.
struct ReadPass {
    accepted: Vec<IncomingRequest>,
    lines_read: usize,
    end: Option<ReadEnd>,
}

impl ClientSession {
    /// Reads until the connection accepts no more lines, and returns the reason.
    pub(super) async fn read(self: &Rc<Self>) -> ReadEnd {
        let socket = self.socket();
        let limits =
            ReadLimits { bytes: MAX_LINE_BYTES, time: LINE_TIMEOUT, memory: self.shared.line_memory.clone() };
        let mut lines: LineReader = transport::read_messages(socket.clone(), limits, client::parse_line);
        loop {
            let mut pass = self.read_available(&mut lines).await;
            self.has_partial_line.set(lines.has_partial());
            if matches!(pass.end, Some(ReadEnd::LimitExceeded))
                && transport::discard_available(&socket, MAX_DISCARDED_BYTES)
            {
                pass.end = Some(ReadEnd::ClientClosed);
            }
            if matches!(pass.end, Some(ReadEnd::ClientClosed | ReadEnd::Broken)) {
                // The client has disconnected, and the router has not received these requests: they are dropped.
                let mut open_requests = self.open_requests.borrow_mut();
                pass.accepted.iter().for_each(|incoming| drop(open_requests.remove(&incoming.ticket)));
            } else {
                for incoming in pass.accepted {
                    let _ = self.shared.events.send(RouterEvent::Request(incoming)).await;
                }
                if pass.lines_read == MAX_LINES_PER_PASS {
                    futures_lite::future::yield_now().await;
                    continue;
                }
            }
            // Everything that arrived before the connection was accepted has been read.
            self.accept_wait.set(Duration::ZERO);
            if pass.end.is_none() {
                pass.end = self.wait_for_more(&mut lines).await;
            }
            if let Some(end) = pass.end {
                return end;
            }
        }
    }

    /// Reads the available lines. A revoke of a request that the router has received is forwarded at once.
    async fn read_available(self: &Rc<Self>, lines: &mut LineReader) -> ReadPass {
        let mut pass = ReadPass { accepted: Vec::new(), lines_read: 0, end: None };
        while pass.lines_read < MAX_LINES_PER_PASS {
            pass.lines_read += 1;
            match lines.try_next() {
                ReadStatus::Message(line) => {
                    self.last_used.set(Instant::now());
                    self.has_received_line.set(true);
                    if let Some(event) = self.handle_line(line, &mut pass.accepted) {
                        let _ = self.shared.events.send(event).await;
                    }
                    if !self.accepting.get() {
                        pass.end = Some(ReadEnd::LimitExceeded);
                    }
                }
                ReadStatus::Pending => return pass,
                ReadStatus::End => pass.end = Some(ReadEnd::ClientClosed),
                ReadStatus::Failed(error) => pass.end = Some(self.handle_read_error(error)),
            }
            if pass.end.is_some() {
                return pass;
            }
        }
        pass
    }

    /// Waits until more bytes are available, or until the connection has closed on request.
    async fn wait_for_more(&self, lines: &mut LineReader) -> Option<ReadEnd> {
        let more = async { lines.wait_for_more().await.err().map(|error| self.handle_read_error(error)) };
        let close_requested = async {
            let _ = self.close_requested.wait().await;
            self.try_close().then_some(ReadEnd::Idle)
        };
        more.or(close_requested).await
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

    /// Handles one line. A request is added to `accepted`; a revoke may return an event for the router.
    fn handle_line(
        self: &Rc<Self>,
        line: Result<ClientMessage, Fault>,
        accepted: &mut Vec<IncomingRequest>,
    ) -> Option<RouterEvent> {
        match line {
            Ok(ClientMessage::Request(request)) => match self.accept_request(request) {
                Ok(incoming) => accepted.push(incoming),
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
            Ok(ClientMessage::Revoke(ticket)) => return self.revoke(ticket, accepted),
            Err(fault) => self.handle_fault(fault),
        }
        None
    }

    /// Handles a client that no longer waits for a request. Returns an event only if the router has received the
    /// request.
    fn revoke(self: &Rc<Self>, ticket: u64, accepted: &mut Vec<IncomingRequest>) -> Option<RouterEvent> {
        let revoked = self.open_requests.borrow_mut().remove(&ticket);
        log::debug!("the client revoked its request {ticket}; request id if still open: {revoked:?}");
        let accepted_before = accepted.len();
        accepted.retain(|incoming| incoming.ticket != ticket);
        let router_has_request = accepted_before == accepted.len();
        let request = revoked.filter(|_| router_has_request)?;
        Some(RouterEvent::ClientDisconnected { sink: self.clone(), ticket, request })
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
