//! Client connections: requests are read as they come and put into the owner's queue; answers go out as the
//! owner gives them.
//!
//! Each connection is its task's, which alone settles what becomes of it: others only ask it to look whether it may
//! close. It says once, by `leave`, that its client has gone, and nothing that is read once it takes no more is sent on.

use super::shared::Shared;
use crate::protocol::client::{self, ClientMessage, ClientRequest, Fault, FaultKind, MAX_LINE_BYTES};
use crate::protocol::statement::table_group;
use crate::transport::{self, ReadError, ReadLimits, ReadStatus, Socket, WriteQueue};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use lemonusher::RequestId;
use lemonusher_routing::{Counter, IncomingRequest, Response, ResponseSink, RouterEvent};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{Shutdown, TcpListener};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

const MAX_OPEN_REQUESTS: usize = 32;
const WRITE_QUEUE_BYTES: usize = MAX_OPEN_REQUESTS * 96 * 1024; // An answer to each open request fits, however large.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10); // A client that reads nothing for so long has gone.
const LINE_TIMEOUT: Duration = Duration::from_secs(2); // A line takes no longer to come, nor the first one to begin.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6); // Past the time after which clients close idle connections.
const FIRST_LINE_GRACE: Duration = Duration::from_millis(100); // The first line of a new connection is on its way.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1); // A connection that has ended is read and dropped for so long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const MAX_TIMEOUT_FACTOR: u64 = 2; // No client waits longer than so many times the request class's deadline.
const MAX_FAULTY_LINES: u32 = 16; // Lines of a connection that could be read for nothing.
const MAX_UNREAD_FAULT_BYTES: usize = 64 * 1024; // Bytes that wait for a client which goes on sending what is faulty.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024; // Bytes read after a fault while what is open gets its answers.
const MAX_LINES_AT_ONCE: usize = 2048; // Lines read before others have their turn.
const WARNING_INTERVAL: Duration = Duration::from_secs(1); // Between two warnings of one kind.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(20);
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(2); // A connection that was asked to close has looked by then.

/// One client connection.
struct ClientSession {
    shared: Rc<Shared>,
    write_queue: WriteQueue,
    /// What was taken here and is owed an answer, by ticket.
    open_requests: RefCell<BTreeMap<u64, RequestId>>,
    /// Whether lines that come are still taken.
    accepting: Cell<bool>,
    /// Whether a line has come in part.
    has_partial: Cell<bool>,
    /// Since when it only waits for its client's end.
    lingering_since: Cell<Option<Instant>>,
    /// Asks it to look whether it may close; where it lingers already, to do so no longer.
    close_request: (async_channel::Sender<()>, async_channel::Receiver<()>),
    /// Bytes that wait here, as the sum over all connections has them.
    counted_bytes: Cell<usize>,
    last_used: Cell<Instant>,
    /// Whether a whole line has come, and the highest ticket in one.
    has_sent_line: Cell<bool>,
    highest_ticket: Cell<u64>,
    faulty_lines: Cell<u32>,
}

/// Why a connection takes no more.
enum ReadEnd {
    /// Its client has ended its side.
    ClientClosed,
    /// It broke off.
    Broken,
    /// What it said can't be read on; its client may still wait for answers.
    Faulty,
    /// Nothing was open on it and nothing on its way: its writing side has been shut.
    Idle,
}

impl fmt::Display for ReadEnd {
    /// As the log names it.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ReadEnd::ClientClosed => "Gone",
            ReadEnd::Broken => "Broken",
            ReadEnd::Faulty => "Faulty",
            ReadEnd::Idle => "Idle",
        })
    }
}

/// All client connections, and where new ones come from.
pub struct ClientListener {
    shared: Rc<Shared>,
    listener: Async<TcpListener>,
    sessions: Rc<RefCell<BTreeMap<u64, Rc<ClientSession>>>>,
    next: Cell<u64>,
}

impl ClientListener {
    pub fn new(shared: Rc<Shared>, listener: Async<TcpListener>) -> Self {
        ClientListener { shared, listener, sessions: Rc::default(), next: Cell::new(0) }
    }

    /// Accepts for as long as the front runs.
    pub async fn run(&self) {
        self.close_idle().or(self.accept()).await
    }

    async fn accept(&self) {
        let mut warned = Instant::now() - WARNING_INTERVAL;
        loop {
            self.wait_for_descriptor().await;
            match self.listener.accept().await {
                Ok((socket, _)) => self.serve(Socket::new(socket)),
                Err(error) => {
                    if warned.elapsed() > WARNING_INTERVAL {
                        log::warn!("can't accept: {error}");
                        warned = Instant::now();
                    }
                    self.close_idlest();
                    Timer::after(DESCRIPTOR_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(&self, socket: Socket) {
        let _ = socket.get_ref().set_nodelay(true);
        self.shared.counters.add(Counter::ClientConnections, None);
        let number = self.next.replace(self.next.get() + 1);
        let session = Rc::new(ClientSession::new(self.shared.clone(), socket));
        self.sessions.borrow_mut().insert(number, session.clone());
        let sessions = self.sessions.clone();
        let serve = async move {
            if AssertUnwindSafe(session.serve()).catch_unwind().await.is_err() {
                session.shared.counters.add(Counter::Panics, None);
                log::error!("a client's connection panicked and ends");
            }
            session.end().await;
            sessions.borrow_mut().remove(&number);
        };
        self.shared.executor.spawn(serve).detach();
    }

    /// Waits until there is a descriptor for one more. Room is made by closing what has been idle longest; if all is
    /// busy, who comes waits in line.
    async fn wait_for_descriptor(&self) {
        loop {
            let (all, lingering) = {
                let sessions = self.sessions.borrow();
                (
                    sessions.len(),
                    sessions.values().filter(|session| session.lingering_since.get().is_some()).count(),
                )
            };
            if all - lingering >= self.shared.descriptor_limits.clients {
                let retry_after =
                    if self.close_idlest() { CLOSE_CHECK_INTERVAL } else { DESCRIPTOR_RETRY_DELAY };
                Timer::after(retry_after).await;
            } else if all >= self.shared.descriptor_limits.clients + self.shared.descriptor_limits.lingering {
                self.close_longest_lingering();
                Timer::after(CLOSE_CHECK_INTERVAL).await;
            } else {
                return;
            }
        }
    }

    /// Asks what has said nothing since it came to close, or else what has been idle longest.
    fn close_idlest(&self) -> bool {
        let sessions = self.sessions.borrow();
        let idle_time = sessions.values().filter_map(|session| Some((session, session.idle_time()?)));
        // One that has just come is the last to go: its first line is on its way.
        let rank = |session: &ClientSession, span: Duration| match (
            session.has_sent_line.get(),
            span < FIRST_LINE_GRACE,
        ) {
            (false, false) => 2,
            (true, _) => 1,
            (false, true) => 0,
        };
        let idlest = idle_time
            .filter(|(session, _)| !transport::has_unread(&session.write_queue.socket()))
            .max_by_key(|(session, span)| (rank(session, *span), *span));
        idlest.inspect(|(session, _)| session.request_close()).is_some()
    }

    fn close_longest_lingering(&self) {
        let sessions = self.sessions.borrow();
        let lingering =
            sessions.values().filter_map(|session| Some((session.lingering_since.get()?, session)));
        if let Some((_, session)) = lingering.min_by_key(|(since, _)| *since) {
            session.request_close();
        }
    }

    /// Closes connections on which nothing has been said for too long.
    async fn close_idle(&self) {
        loop {
            Timer::after(IDLE_CHECK_INTERVAL).await;
            for session in self.sessions.borrow().values() {
                let most = if session.has_sent_line.get() { IDLE_TIMEOUT } else { LINE_TIMEOUT };
                if session.idle_time().is_some_and(|span| span > most) {
                    session.request_close();
                }
            }
        }
    }

    /// The front ends: who stands in line is let in, nobody else is, and each connection closes in order once nothing is
    /// open on it. Ends when all have, or at this time.
    pub async fn end(self, until: Instant) {
        while let Ok((socket, _)) = self.listener.get_ref().accept() {
            if let Ok(socket) = Async::new(socket) {
                self.serve(Socket::new(socket));
            }
        }
        drop(self.listener);
        while !self.sessions.borrow().is_empty() && Instant::now() < until {
            for session in
                self.sessions.borrow().values().filter(|session| session.lingering_since.get().is_none())
            {
                // The first line of one that has just come is on its way.
                if session
                    .idle_time()
                    .is_some_and(|span| session.has_sent_line.get() || span > FIRST_LINE_GRACE)
                {
                    session.request_close();
                }
            }
            Timer::after(CLOSE_CHECK_INTERVAL * 4).await;
        }
    }
}

impl ClientSession {
    fn new(shared: Rc<Shared>, socket: Socket) -> Self {
        let write_queue = WriteQueue::new(socket, WRITE_QUEUE_BYTES);
        ClientSession {
            shared,
            write_queue,
            open_requests: RefCell::default(),
            accepting: Cell::new(true),
            has_partial: Cell::new(false),
            lingering_since: Cell::new(None),
            close_request: async_channel::bounded(1),
            counted_bytes: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            has_sent_line: Cell::new(false),
            highest_ticket: Cell::new(0),
            faulty_lines: Cell::new(0),
        }
    }

    /// Asks it to look whether it may close.
    fn request_close(&self) {
        let _ = self.close_request.0.try_send(()); // Full: it will look.
    }

    /// Nothing is owed on it and nothing half said, for so long.
    fn idle_time(&self) -> Option<Duration> {
        let owes = !self.open_requests.borrow().is_empty()
            || self.write_queue.waiting() > 0
            || self.has_partial.get();
        (self.accepting.get() && !owes).then(|| self.last_used.get().elapsed())
    }

    async fn serve(self: &Rc<Self>) {
        let read = async {
            let read_end = self.read().await;
            self.accepting.set(false);
            log::debug!("a client's connection takes no more: {read_end}");
            match read_end {
                // What it left open has no attempt begun from here on, whether or not it reads what it had asked for.
                // It may have closed only its side: it gets an answer that promises nothing.
                ReadEnd::ClientClosed => {
                    self.abandon_requests(true).await;
                    self.write_queue.close();
                    self.linger(std::future::pending()).await;
                    return false;
                }
                ReadEnd::Broken => return false,
                ReadEnd::Idle => self.write_queue.close(),
                ReadEnd::Faulty => {
                    if self.open_requests.borrow().is_empty() {
                        self.write_queue.close();
                    }
                    if transport::discard(&self.write_queue.socket(), MAX_DISCARDED_BYTES).await {
                        return false;
                    }
                }
            }
            std::future::pending().await
        };
        let write = async {
            let written = self.write_queue.run(WRITE_STALL_TIMEOUT, || self.update_unwritten()).await;
            written.inspect_err(|error| log::debug!("a client's connection ends: {error}")).is_ok()
        };
        if read.or(write).await {
            self.linger(transport::close_gracefully(&self.write_queue.socket(), LINGER_TIMEOUT)).await;
        }
    }

    /// Waits for the other side to end, for a while, and no longer once it is asked to go.
    async fn linger(&self, end: impl Future<Output = ()>) {
        self.lingering_since.set(Some(Instant::now()));
        while self.close_request.1.try_recv().is_ok() {}
        let cut = async { self.close_request.1.recv().await.unwrap_or_default() };
        transport::with_timeout(LINGER_TIMEOUT, end.or(cut)).await;
    }

    /// The one place that says that its client has gone: what is open is nobody's any more.
    async fn abandon_requests(self: &Rc<Self>, answer_failed: bool) {
        let open_requests = std::mem::take(&mut *self.open_requests.borrow_mut());
        for (ticket, request) in open_requests {
            let _ = self
                .shared
                .events
                .send(RouterEvent::ClientGone { sink: self.clone(), ticket, request })
                .await;
            if answer_failed {
                self.write(&client::encode_failed(ticket));
            }
        }
    }

    async fn end(self: &Rc<Self>) {
        self.accepting.set(false);
        self.write_queue.close();
        self.abandon_requests(false).await;
        let unwritten = &self.shared.unwritten_bytes;
        unwritten.set(unwritten.get() - self.counted_bytes.replace(0));
    }

    /// Keeps the sum of what waits to be written on all connections.
    fn update_unwritten(&self) {
        let (unwritten, waits) = (&self.shared.unwritten_bytes, self.write_queue.waiting());
        unwritten.set(unwritten.get() - self.counted_bytes.replace(waits) + waits);
    }

    /// Reads until nothing more is taken.
    async fn read(self: &Rc<Self>) -> ReadEnd {
        let socket = self.write_queue.socket();
        let bounds =
            ReadLimits { bytes: MAX_LINE_BYTES, time: LINE_TIMEOUT, memory: self.shared.line_memory.clone() };
        let mut lines = transport::read_messages(socket.clone(), bounds, client::parse_line);
        loop {
            // All that has come is read before any of it is handed on: a client that sent much and went has gone
            // before its requests begin, however long they waited to be read. What may be open bounds what is held.
            let mut accepted: Vec<IncomingRequest> = Vec::new();
            let mut read = 0;
            let mut read_end = loop {
                if read == MAX_LINES_AT_ONCE {
                    break None;
                }
                read += 1;
                match lines.try_next() {
                    ReadStatus::Message(line) => {
                        self.last_used.set(Instant::now());
                        self.has_sent_line.set(true);
                        if let Some(gone) = self.handle_line(line, &mut accepted) {
                            let _ = self.shared.events.send(gone).await;
                        }
                        if !self.accepting.get() {
                            break Some(ReadEnd::Faulty);
                        }
                    }
                    ReadStatus::Pending => break None,
                    ReadStatus::End => break Some(ReadEnd::ClientClosed),
                    ReadStatus::ReadError(error) => break Some(self.handle_read_error(error)),
                }
            };
            self.has_partial.set(lines.has_partial());
            if matches!(read_end, Some(ReadEnd::Faulty))
                && transport::discard_available(&socket, MAX_DISCARDED_BYTES)
            {
                read_end = Some(ReadEnd::ClientClosed);
            }
            if !matches!(read_end, Some(ReadEnd::ClientClosed | ReadEnd::Broken)) {
                for incoming in accepted {
                    let _ = self.shared.events.send(RouterEvent::Request(incoming)).await;
                }
                if read == MAX_LINES_AT_ONCE {
                    futures_lite::future::yield_now().await;
                    continue;
                }
            } else {
                // Nobody has heard of them, and nobody waits for them.
                accepted
                    .iter()
                    .for_each(|incoming| drop(self.open_requests.borrow_mut().remove(&incoming.ticket)));
            }
            if read_end.is_none() {
                let more =
                    async { lines.wait_for_more().await.err().map(|error| self.handle_read_error(error)) };
                let close_request = async {
                    let _ = self.close_request.1.recv().await;
                    self.try_close().then_some(ReadEnd::Idle)
                };
                read_end = more.or(close_request).await;
            }
            if let Some(read_end) = read_end {
                return read_end;
            }
        }
    }

    /// Asked to close: it does if nothing is open, half said or unread, and shuts its writing side in the same breath.
    /// What comes from there on is dropped; its client sees that nobody has taken it.
    fn try_close(&self) -> bool {
        let socket = self.write_queue.socket();
        let closes = self.idle_time().is_some() && !transport::has_unread(&socket);
        if closes {
            self.accepting.set(false);
            let _ = socket.get_ref().shutdown(Shutdown::Write);
        }
        closes
    }

    /// A fault ends the reading; a line that is too long is told of once.
    fn handle_read_error(&self, error: ReadError<std::convert::Infallible>) -> ReadEnd {
        log::debug!("a client's connection can't be read on: {error}");
        match error {
            ReadError::Io(_) => ReadEnd::Broken,
            ReadError::Truncated => ReadEnd::ClientClosed,
            ReadError::TooLong => {
                self.fault(Fault { id: None, kind: FaultKind::InvalidRequest });
                ReadEnd::Faulty
            }
            ReadError::NoMemory | ReadError::Slow | ReadError::Malformed(_) => {
                if let ReadError::NoMemory = error {
                    self.shared.counters.add(Counter::LinesWithoutRoom, None);
                }
                ReadEnd::Faulty
            }
        }
    }

    /// What a line means. A request joins those taken; what is to be told at once comes back.
    fn handle_line(
        self: &Rc<Self>,
        line: Result<ClientMessage, Fault>,
        accepted: &mut Vec<IncomingRequest>,
    ) -> Option<RouterEvent> {
        match line {
            Ok(ClientMessage::Request(request)) => accepted.extend(self.accept_request(request)),
            Ok(ClientMessage::Heartbeat(id)) => {
                self.write(&client::encode_heartbeat(id, !self.shared.shutting_down.get()))
            }
            // A revoke may cross the answer; but nothing has ever been asked under a higher ticket.
            Ok(ClientMessage::Revoke(ticket)) if ticket > self.highest_ticket.get() => {
                self.fault(Fault { id: None, kind: FaultKind::InvalidParams });
            }
            Ok(ClientMessage::Revoke(ticket)) => {
                let gone = self.open_requests.borrow_mut().remove(&ticket);
                log::debug!("ticket {ticket} revoked, batch {gone:?}");
                let known_count = accepted.len();
                accepted.retain(|incoming| incoming.ticket != ticket);
                let known = known_count == accepted.len();
                return gone.filter(|_| known).map(|request| RouterEvent::ClientGone {
                    sink: self.clone(),
                    ticket,
                    request,
                });
            }
            Err(fault) => self.fault(fault),
        }
        None
    }

    fn accept_request(self: &Rc<Self>, request: ClientRequest) -> Option<IncomingRequest> {
        let faulty = |id, kind| {
            self.fault(Fault { id, kind });
            None
        };
        let named = |class: &lemonusher_deployment::RequestClassSettings| class.name == request.request_class;
        let Some(request_class) = self.shared.settings.request_classes.iter().position(named) else {
            return faulty(Some(request.id), FaultKind::UnknownMethod);
        };
        self.highest_ticket.set(self.highest_ticket.get().max(request.id));
        let most = self.shared.settings.request_classes[request_class]
            .deadline_us
            .saturating_mul(MAX_TIMEOUT_FACTOR);
        if request.client_timeout_ms == 0 || request.client_timeout_ms.saturating_mul(1000) > most {
            return faulty(Some(request.id), FaultKind::InvalidParams);
        }
        let (twice, many) = {
            let open_requests = self.open_requests.borrow();
            (open_requests.contains_key(&request.id), open_requests.len() >= MAX_OPEN_REQUESTS)
        };
        if twice || many {
            // An error under an id that is open would end the request that came under it first.
            return faulty((!twice).then_some(request.id), FaultKind::InvalidRequest);
        }
        let call: RequestId = request.request.into();
        log::debug!("batch {call} taken: {} of {} ms", request.request_class, request.client_timeout_ms);
        self.open_requests.borrow_mut().insert(request.id, call.clone());
        Some(IncomingRequest {
            sink: self.clone(),
            ticket: request.id,
            request: call,
            request_class,
            table_group: table_group(&String::from_utf8_lossy(&request.statement)).unwrap_or_default(),
            // The client's time runs from its sending, also while this process does not.
            client_timeout: Duration::from_millis(request.client_timeout_ms)
                .saturating_sub(self.shared.stall_detector.delay(Instant::now())),
            client_retry: request.client_retry,
            statement: request.statement.into(),
        })
    }

    fn fault(&self, fault: Fault) {
        self.shared.counters.add(Counter::FaultyLines, None);
        log::debug!("a client's line is faulty: {fault:?}");
        self.write(&client::encode_fault(&fault));
        // Errors cost little, but not to no end.
        self.faulty_lines.set(self.faulty_lines.get() + u32::from(fault.id.is_none()));
        if self.faulty_lines.get() >= MAX_FAULTY_LINES || self.write_queue.waiting() > MAX_UNREAD_FAULT_BYTES
        {
            self.accepting.set(false);
        }
    }

    fn write(&self, line: &str) {
        if self.write_queue.push(line.as_bytes()).is_err() {
            log::debug!("a client reads too slowly: its connection ends");
            self.accepting.set(false);
            self.write_queue.close();
        }
        self.update_unwritten();
    }
}

impl ResponseSink for ClientSession {
    fn respond(&self, ticket: u64, response: Response) {
        if self.open_requests.borrow_mut().remove(&ticket).is_none() {
            return;
        }
        self.last_used.set(Instant::now());
        // While clients read too slowly for the memory there is, results give way to errors.
        let full = self.shared.unwritten_bytes.get() > self.shared.max_unwritten_bytes;
        self.write(&match response {
            Response::Returned(_) if full => client::encode_failed(ticket),
            Response::Returned(rows) => client::encode_result(ticket, &rows),
            Response::Rejected(retry_after) => {
                client::encode_rejected(ticket, retry_after.map(|w| w.as_millis() as u64))
            }
            Response::Failed => client::encode_failed(ticket),
        });
        // What takes no more ends with its last answer.
        if !self.accepting.get() && self.open_requests.borrow().is_empty() {
            self.write_queue.close();
        }
    }
}
