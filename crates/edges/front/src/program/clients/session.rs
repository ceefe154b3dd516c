//! One client connection from its accept to its close: its state, its writes, and when it may close.

use super::reading::{ClientInput, ReadEnd};
use crate::program::shared::Shared;
use crate::protocol::client;
use crate::transport::{self, Signal, Socket, WriteQueue};
use futures_lite::FutureExt;
use lemonusher::RequestId;
use lemonusher_routing::{Response, ResponseSink, RouterEvent};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Limit of the open requests of one connection.
pub(super) const MAX_OPEN_REQUESTS: usize = 32;
/// Limit of the write queue in bytes. It holds the largest response to each open request.
const WRITE_QUEUE_BYTES: usize = MAX_OPEN_REQUESTS * 96 * 1024;
/// Time without progress of a write after which a client counts as disconnected.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which the input of an ended connection is read and discarded.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of the bytes that are read and discarded after the input exceeded a limit, while open requests get their
/// responses.
pub(super) const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// State of one client connection, shared by its task, the listener and, as a [`ResponseSink`], the router.
pub(super) struct ClientSession {
    /// State shared by the front's tasks.
    pub(super) shared: Rc<Shared>,
    /// Bytes that wait to be written, and the socket.
    pub(super) write_queue: WriteQueue,
    /// Accepted requests without a response so far, by ticket (the id of the client's message).
    pub(super) open_requests: RefCell<BTreeMap<u64, RequestId>>,
    /// Whether lines are still accepted.
    pub(super) accepting: Cell<bool>,
    /// Reads the client's lines, and keeps what they contain until the router can take it.
    pub(super) input: ClientInput,
    /// Since when the connection lingers, that is, accepts no more lines and only waits for its last write or for its
    /// client to close; `None` if it does not linger.
    lingering_since: Cell<Option<Instant>>,
    /// Signals the connection's task to check whether it may close, or to stop lingering if it does.
    pub(super) close_requested: Signal,
    /// Bytes of this connection that are included in [`Shared::unwritten_bytes`].
    counted_bytes: Cell<usize>,
    /// When a line was last read or a response last given.
    pub(super) last_used: Cell<Instant>,
    /// Whether a complete line has been read.
    pub(super) has_received_line: Cell<bool>,
    /// The highest ticket received.
    pub(super) highest_ticket: Cell<u64>,
    /// Number of error responses without an id to invalid lines.
    pub(super) invalid_lines: Cell<u32>,
    /// How long the bytes that are read now may have waited for the connection to be accepted.
    pub(super) accept_wait: Cell<Duration>,
}

impl ClientSession {
    /// Wraps the socket of an accepted connection, which may have waited for the duration `accept_wait` to be
    /// accepted.
    pub fn new(shared: Rc<Shared>, socket: Socket, accept_wait: Duration) -> Self {
        let input = ClientInput::new(socket.clone(), shared.line_memory.clone());
        let write_queue = WriteQueue::new(socket, WRITE_QUEUE_BYTES);
        ClientSession {
            shared,
            input,
            write_queue,
            open_requests: RefCell::default(),
            accepting: Cell::new(true),
            lingering_since: Cell::new(None),
            close_requested: Signal::new(),
            counted_bytes: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            has_received_line: Cell::new(false),
            highest_ticket: Cell::new(0),
            invalid_lines: Cell::new(0),
            accept_wait: Cell::new(accept_wait),
        }
    }

    pub fn socket(&self) -> Socket {
        self.write_queue.socket()
    }

    /// Whether a complete line has been read.
    pub fn has_received_line(&self) -> bool {
        self.has_received_line.get()
    }

    /// Since when the connection lingers, if it does.
    pub fn lingering_since(&self) -> Option<Instant> {
        self.lingering_since.get()
    }

    /// Whether the connection accepts no more lines and only waits for its last write or for its client to close.
    pub fn is_lingering(&self) -> bool {
        self.lingering_since.get().is_some()
    }

    /// Requests a close. The connection's task closes it if it is idle, and ends it if it lingers.
    pub fn request_close(&self) {
        self.close_requested.notify();
    }

    /// How long the connection has been idle. `None` if a request is open, bytes are unwritten, a line is
    /// partially read, or the connection accepts no more.
    pub fn idle_time(&self) -> Option<Duration> {
        let is_busy = !self.open_requests.borrow().is_empty()
            || self.write_queue.queued_bytes() > 0
            || self.input.has_partial_line();
        (self.accepting.get() && !is_busy).then(|| self.last_used.get().elapsed())
    }

    /// Reads and writes until the connection ends.
    pub async fn serve(self: &Rc<Self>) {
        let write = async {
            let written = self.write_queue.run(WRITE_STALL_TIMEOUT, || self.update_unwritten()).await;
            written.inspect_err(|error| log::debug!("writing to a client connection failed: {error}")).is_ok()
        };
        if self.serve_reads().or(write).await {
            self.linger(transport::close_gracefully(&self.socket(), LINGER_TIMEOUT)).await;
        }
    }

    /// Reads until the connection accepts no more lines. Returns false once the socket has failed, or the client has
    /// closed its side and the linger timeout is over. Otherwise never returns; the last write ends the connection.
    async fn serve_reads(self: &Rc<Self>) -> bool {
        let end = self.read().await;
        self.accepting.set(false);
        log::debug!("client connection accepts no more requests: {end}");
        match end {
            // No further attempt starts for the client's open requests. The client may have closed only its
            // writing side and still read, so each request gets the response "failed", which promises nothing
            // about effects.
            ReadEnd::ClientClosed => {
                self.abandon_requests(true).await;
                self.write_queue.close();
                self.linger(std::future::pending()).await;
                return false;
            }
            ReadEnd::Broken => return false,
            ReadEnd::Idle => self.write_queue.close(),
            ReadEnd::LimitExceeded => {
                if self.open_requests.borrow().is_empty() {
                    self.write_queue.close();
                }
                if !transport::discard(&self.socket(), MAX_DISCARDED_BYTES).await {
                    self.input.wait_until_closed().await;
                }
                return false;
            }
        }
        std::future::pending().await
    }

    /// Waits for `end`, until the linger timeout or a close request. The connection counts as lingering meanwhile.
    async fn linger(&self, end: impl Future<Output = ()>) {
        self.lingering_since.set(Some(Instant::now()));
        self.close_requested.clear();
        let close_requested = async { self.close_requested.wait().await.unwrap_or_default() };
        transport::with_timeout(LINGER_TIMEOUT, end.or(close_requested)).await;
    }

    /// Reports to the router that the client of each open request has disconnected, and forgets the requests. A
    /// revoke reports the same event for its one request. Requests that the router has not received are dropped.
    async fn abandon_requests(self: &Rc<Self>, respond_failed: bool) {
        while let Some(event) = self.input.next_event() {
            if !matches!(event, RouterEvent::Request(_)) {
                let _ = self.shared.events.send(event).await;
            }
        }
        let open_requests = std::mem::take(&mut *self.open_requests.borrow_mut());
        for (ticket, request) in open_requests {
            let disconnected = RouterEvent::ClientDisconnected { sink: self.clone(), ticket, request };
            let _ = self.shared.events.send(disconnected).await;
            if respond_failed {
                self.write(&client::encode_failed(ticket));
            }
        }
    }

    /// Closes the connection, abandons what is open, and removes its bytes from the shared count. Called once, at
    /// the end.
    pub async fn end(self: &Rc<Self>) {
        self.accepting.set(false);
        self.write_queue.close();
        self.abandon_requests(false).await;
        let unwritten = &self.shared.unwritten_bytes;
        unwritten.set(unwritten.get() - self.counted_bytes.replace(0));
    }

    /// Updates this connection's part of [`Shared::unwritten_bytes`].
    fn update_unwritten(&self) {
        let (unwritten, queued_bytes) = (&self.shared.unwritten_bytes, self.write_queue.queued_bytes());
        unwritten.set(unwritten.get() - self.counted_bytes.replace(queued_bytes) + queued_bytes);
    }

    /// Closes the connection if it is idle and no byte is unread, and returns whether it did. The writing side is
    /// shut down in the same step. Later input is discarded, and the client sees from the close that it was not
    /// accepted.
    pub(super) fn try_close(&self) -> bool {
        let socket = self.socket();
        let closes = self.idle_time().is_some() && !transport::has_unread(&socket);
        if closes {
            self.accepting.set(false);
            let _ = socket.get_ref().shutdown(Shutdown::Write);
        }
        closes
    }

    /// Queues a line to be written. A client that reads too slowly for the write queue loses its connection.
    pub(super) fn write(&self, line: &str) {
        if self.write_queue.push(line.as_bytes()).is_err() {
            log::debug!("client connection dropped: the client reads too slowly");
            self.accepting.set(false);
            self.write_queue.close();
        }
        self.update_unwritten();
    }
}

impl ResponseSink for ClientSession {
    fn is_waiting(self: Rc<Self>, ticket: u64) -> bool {
        self.catch_up_with_client();
        !self.input.is_closed() && self.open_requests.borrow().contains_key(&ticket)
    }

    fn respond(&self, ticket: u64, response: Response) {
        if self.open_requests.borrow_mut().remove(&ticket).is_none() {
            return;
        }
        self.last_used.set(Instant::now());
        // While clients read too slowly for the memory limit, an error is sent in place of a result.
        let is_full = self.shared.unwritten_bytes.get() > self.shared.max_unwritten_bytes;
        self.write(&match response {
            Response::Returned(_) if is_full => client::encode_failed(ticket),
            Response::Returned(rows) => client::encode_result(ticket, &rows),
            Response::Rejected(retry_after) => {
                client::encode_rejected(ticket, retry_after.map(|wait| wait.as_millis() as u64))
            }
            Response::Failed => client::encode_failed(ticket),
        });
        // A connection that accepts no more lines closes after its last response.
        if !self.accepting.get() && self.open_requests.borrow().is_empty() {
            self.write_queue.close();
        }
    }
}
