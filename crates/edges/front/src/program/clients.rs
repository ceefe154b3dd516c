//! Client connections: requests are read as they come and put into the owner's queue; answers go out as the
//! owner gives them.
//!
//! Each connection is its task's, which alone settles what becomes of it: others only ask it to look whether it may
//! close. It says once, by `leave`, that its client has gone, and nothing that is read once it takes no more is sent on.

use super::shared::Shared;
use crate::protocol::client::{self, Fault, FaultKind, LONGEST_LINE, Message, Request};
use crate::protocol::statement::table_group;
use crate::transport::{self, Bounds, Broken, Now, Outbox, Wire};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use lemonusher::RequestId;
use lemonusher_routing::{Counter, IncomingRequest, Response, ResponseSink, RouterEvent};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpListener};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

const MOST_OPEN: usize = 32;
const OUTBOX: usize = MOST_OPEN * 96 * 1024; // An answer to each open request fits, however large.
const STALL: Duration = Duration::from_secs(10); // A client that reads nothing for so long has gone.
const SLOW: Duration = Duration::from_secs(2); // A line takes no longer to come, nor the first one to begin.
const IDLE: Duration = Duration::from_secs(6); // Past the time after which clients close idle connections.
const FRESH: Duration = Duration::from_millis(100); // The first line of a new connection is on its way.
const LINGER: Duration = Duration::from_secs(1); // A connection that has ended is read and dropped for so long.
const TEND: Duration = Duration::from_millis(250);
const MOST_TTL: u64 = 2; // No client waits longer than so many times the request class's deadline.
const MOST_UNREADABLE: u32 = 16; // Lines of a connection that could be read for nothing.
const MOST_REPLIES: usize = 64 * 1024; // Bytes that wait for a client which goes on sending what is faulty.
const MOST_DROPPED: usize = 1024 * 1024; // Bytes read after a fault while what is open gets its answers.
const MOST_AT_ONCE: usize = 2048; // Lines read before others have their turn.
const QUIET: Duration = Duration::from_secs(1); // Between two warnings of one kind.
const NO_DESCRIPTOR: Duration = Duration::from_millis(20);
const SOON: Duration = Duration::from_millis(2); // A connection that was asked to close has looked by then.

/// One client connection.
struct Session {
    shared: Rc<Shared>,
    outbox: Outbox,
    /// What was taken here and is owed an answer, by ticket.
    open: RefCell<BTreeMap<u64, RequestId>>,
    /// Whether lines that come are still taken.
    taking: Cell<bool>,
    /// Whether a line has come in part.
    partial: Cell<bool>,
    /// Since when it only waits for its client's end.
    lingers: Cell<Option<Instant>>,
    /// Asks it to look whether it may close; where it lingers already, to do so no longer.
    asked: (async_channel::Sender<()>, async_channel::Receiver<()>),
    /// Bytes that wait here, as the sum over all connections has them.
    counted: Cell<usize>,
    used: Cell<Instant>,
    /// Whether a whole line has come, and the highest ticket in one.
    spoke: Cell<bool>,
    highest: Cell<u64>,
    unreadable: Cell<u32>,
}

/// Why a connection takes no more.
#[derive(Debug)]
enum Stopped {
    /// Its client has ended its side.
    Gone,
    /// It broke off.
    Broken,
    /// What it said can't be read on; its client may still wait for answers.
    Faulty,
    /// Nothing was open on it and nothing on its way: its writing side has been shut.
    Idle,
}

/// All client connections, and where new ones come from.
pub struct Clients {
    shared: Rc<Shared>,
    listener: Async<TcpListener>,
    sessions: Rc<RefCell<BTreeMap<u64, Rc<Session>>>>,
    next: Cell<u64>,
}

impl Clients {
    pub fn new(shared: Rc<Shared>, listener: Async<TcpListener>) -> Self {
        Clients { shared, listener, sessions: Rc::default(), next: Cell::new(0) }
    }

    /// Accepts for as long as the front runs.
    pub async fn run(&self) {
        self.tend().or(self.accept()).await
    }

    async fn accept(&self) {
        let mut warned = Instant::now() - QUIET;
        loop {
            self.make_room().await;
            match self.listener.accept().await {
                Ok((wire, _)) => self.serve(Wire::new(wire)),
                Err(error) => {
                    if warned.elapsed() > QUIET {
                        log::warn!("can't accept: {error}");
                        warned = Instant::now();
                    }
                    self.close_idlest();
                    Timer::after(NO_DESCRIPTOR).await;
                }
            }
        }
    }

    fn serve(&self, wire: Wire) {
        let _ = wire.get_ref().set_nodelay(true);
        self.shared.counters.add(Counter::ClientConnections, None);
        let number = self.next.replace(self.next.get() + 1);
        let session = Rc::new(Session::new(self.shared.clone(), wire));
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
    async fn make_room(&self) {
        loop {
            let (all, lingering) = {
                let sessions = self.sessions.borrow();
                (sessions.len(), sessions.values().filter(|session| session.lingers.get().is_some()).count())
            };
            if all - lingering >= self.shared.descriptors.clients {
                let wait = if self.close_idlest() { SOON } else { NO_DESCRIPTOR };
                Timer::after(wait).await;
            } else if all >= self.shared.descriptors.clients + self.shared.descriptors.lingering {
                self.cut_longest_lingering();
                Timer::after(SOON).await;
            } else {
                return;
            }
        }
    }

    /// Asks what has said nothing since it came to close, or else what has been idle longest.
    fn close_idlest(&self) -> bool {
        let sessions = self.sessions.borrow();
        let idle = sessions.values().filter_map(|session| Some((session, session.idle()?)));
        // One that has just come is the last to go: its first line is on its way.
        let rank = |session: &Session, span: Duration| match (session.spoke.get(), span < FRESH) {
            (false, false) => 2,
            (true, _) => 1,
            (false, true) => 0,
        };
        let idlest = idle
            .filter(|(session, _)| !transport::unread(&session.outbox.wire()))
            .max_by_key(|(session, span)| (rank(session, *span), *span));
        idlest.inspect(|(session, _)| session.ask()).is_some()
    }

    fn cut_longest_lingering(&self) {
        let sessions = self.sessions.borrow();
        let lingering = sessions.values().filter_map(|session| Some((session.lingers.get()?, session)));
        if let Some((_, session)) = lingering.min_by_key(|(since, _)| *since) {
            session.ask();
        }
    }

    /// Closes connections on which nothing has been said for too long.
    async fn tend(&self) {
        loop {
            Timer::after(TEND).await;
            for session in self.sessions.borrow().values() {
                let most = if session.spoke.get() { IDLE } else { SLOW };
                if session.idle().is_some_and(|span| span > most) {
                    session.ask();
                }
            }
        }
    }

    /// The front ends: who stands in line is let in, nobody else is, and each connection closes in order once nothing is
    /// open on it. Ends when all have, or at this time.
    pub async fn end(self, until: Instant) {
        while let Ok((wire, _)) = self.listener.get_ref().accept() {
            if let Ok(wire) = Async::new(wire) {
                self.serve(Wire::new(wire));
            }
        }
        drop(self.listener);
        while !self.sessions.borrow().is_empty() && Instant::now() < until {
            for session in self.sessions.borrow().values().filter(|session| session.lingers.get().is_none()) {
                // The first line of one that has just come is on its way.
                if session.idle().is_some_and(|span| session.spoke.get() || span > FRESH) {
                    session.ask();
                }
            }
            Timer::after(SOON * 4).await;
        }
    }
}

impl Session {
    fn new(shared: Rc<Shared>, wire: Wire) -> Self {
        let outbox = Outbox::new(wire, OUTBOX);
        Session {
            shared,
            outbox,
            open: RefCell::default(),
            taking: Cell::new(true),
            partial: Cell::new(false),
            lingers: Cell::new(None),
            asked: async_channel::bounded(1),
            counted: Cell::new(0),
            used: Cell::new(Instant::now()),
            spoke: Cell::new(false),
            highest: Cell::new(0),
            unreadable: Cell::new(0),
        }
    }

    /// Asks it to look whether it may close.
    fn ask(&self) {
        let _ = self.asked.0.try_send(()); // Full: it will look.
    }

    /// Nothing is owed on it and nothing half said, for so long.
    fn idle(&self) -> Option<Duration> {
        let owes = !self.open.borrow().is_empty() || self.outbox.waiting() > 0 || self.partial.get();
        (self.taking.get() && !owes).then(|| self.used.get().elapsed())
    }

    async fn serve(self: &Rc<Self>) {
        let talk = async {
            let stopped = self.read().await;
            self.taking.set(false);
            log::debug!("a client's connection takes no more: {stopped:?}");
            match stopped {
                // What it left open has no attempt begun from here on, whether or not it reads what it had asked for.
                // It may have closed only its side: it gets an answer that promises nothing.
                Stopped::Gone => {
                    self.leave(true).await;
                    self.outbox.close();
                    self.linger(std::future::pending()).await;
                    return false;
                }
                Stopped::Broken => return false,
                Stopped::Idle => self.outbox.close(),
                Stopped::Faulty => {
                    if self.open.borrow().is_empty() {
                        self.outbox.close();
                    }
                    if transport::discard(&self.outbox.wire(), MOST_DROPPED).await {
                        return false;
                    }
                }
            }
            std::future::pending().await
        };
        let write = async {
            let written = self.outbox.run(STALL, || self.count()).await;
            written.inspect_err(|error| log::debug!("a client's connection ends: {error}")).is_ok()
        };
        if talk.or(write).await {
            self.linger(transport::finish(&self.outbox.wire(), LINGER)).await;
        }
    }

    /// Waits for the other side to end, for a while, and no longer once it is asked to go.
    async fn linger(&self, end: impl Future<Output = ()>) {
        self.lingers.set(Some(Instant::now()));
        while self.asked.1.try_recv().is_ok() {}
        let cut = async { self.asked.1.recv().await.unwrap_or_default() };
        transport::within(LINGER, end.or(cut)).await;
    }

    /// The one place that says that its client has gone: what is open is nobody's any more.
    async fn leave(self: &Rc<Self>, tell: bool) {
        let open = std::mem::take(&mut *self.open.borrow_mut());
        for (ticket, request) in open {
            let _ =
                self.shared.queue.send(RouterEvent::ClientGone { sink: self.clone(), ticket, request }).await;
            if tell {
                self.write(&client::errored(ticket));
            }
        }
    }

    async fn end(self: &Rc<Self>) {
        self.taking.set(false);
        self.outbox.close();
        self.leave(false).await;
        let unwritten = &self.shared.unwritten;
        unwritten.set(unwritten.get() - self.counted.replace(0));
    }

    /// Keeps the sum of what waits to be written on all connections.
    fn count(&self) {
        let (unwritten, waits) = (&self.shared.unwritten, self.outbox.waiting());
        unwritten.set(unwritten.get() - self.counted.replace(waits) + waits);
    }

    /// Reads until nothing more is taken.
    async fn read(self: &Rc<Self>) -> Stopped {
        let wire = self.outbox.wire();
        let bounds = Bounds { bytes: LONGEST_LINE, time: SLOW, room: self.shared.lines.clone() };
        let mut lines = transport::messages(wire.clone(), bounds, client::cut);
        loop {
            // All that has come is read before any of it is handed on: a client that sent much and went has gone
            // before its requests begin, however long they waited to be read. What may be open bounds what is held.
            let mut taken: Vec<IncomingRequest> = Vec::new();
            let mut read = 0;
            let mut stopped = loop {
                if read == MOST_AT_ONCE {
                    break None;
                }
                read += 1;
                match lines.now() {
                    Now::Message(line) => {
                        self.used.set(Instant::now());
                        self.spoke.set(true);
                        if let Some(left) = self.hear(line, &mut taken) {
                            let _ = self.shared.queue.send(left).await;
                        }
                        if !self.taking.get() {
                            break Some(Stopped::Faulty);
                        }
                    }
                    Now::Nothing => break None,
                    Now::End => break Some(Stopped::Gone),
                    Now::Broken(error) => break Some(self.broken(error)),
                }
            };
            self.partial.set(lines.partial());
            if matches!(stopped, Some(Stopped::Faulty)) && transport::discard_now(&wire, MOST_DROPPED) {
                stopped = Some(Stopped::Gone);
            }
            if !matches!(stopped, Some(Stopped::Gone | Stopped::Broken)) {
                for one in taken {
                    let _ = self.shared.queue.send(RouterEvent::Request(one)).await;
                }
                if read == MOST_AT_ONCE {
                    futures_lite::future::yield_now().await;
                    continue;
                }
            } else {
                // Nobody has heard of them, and nobody waits for them.
                taken.iter().for_each(|one| drop(self.open.borrow_mut().remove(&one.ticket)));
            }
            if stopped.is_none() {
                let more = async { lines.more().await.err().map(|error| self.broken(error)) };
                let asked = async {
                    let _ = self.asked.1.recv().await;
                    self.may_close().then_some(Stopped::Idle)
                };
                stopped = more.or(asked).await;
            }
            if let Some(stopped) = stopped {
                return stopped;
            }
        }
    }

    /// Asked to close: it does if nothing is open, half said or unread, and shuts its writing side in the same breath.
    /// What comes from there on is dropped; its client sees that nobody has taken it.
    fn may_close(&self) -> bool {
        let wire = self.outbox.wire();
        let closes = self.idle().is_some() && !transport::unread(&wire);
        if closes {
            self.taking.set(false);
            let _ = wire.get_ref().shutdown(Shutdown::Write);
        }
        closes
    }

    /// A fault ends the reading; a line that is too long is told of once.
    fn broken(&self, error: Broken<std::convert::Infallible>) -> Stopped {
        log::debug!("a client's connection can't be read on: {error}");
        match error {
            Broken::Io(_) => Stopped::Broken,
            Broken::CutShort => Stopped::Gone,
            Broken::TooLong => {
                self.fault(Fault { id: None, kind: FaultKind::InvalidRequest });
                Stopped::Faulty
            }
            Broken::NoRoom | Broken::Slow | Broken::Bad(_) => {
                if let Broken::NoRoom = error {
                    self.shared.counters.add(Counter::LinesWithoutRoom, None);
                }
                Stopped::Faulty
            }
        }
    }

    /// What a line means. A request joins those taken; what is to be told at once comes back.
    fn hear(
        self: &Rc<Self>,
        line: Result<Message, Fault>,
        taken: &mut Vec<IncomingRequest>,
    ) -> Option<RouterEvent> {
        match line {
            Ok(Message::Request(request)) => taken.extend(self.take(request)),
            Ok(Message::Heartbeat(id)) => self.write(&client::heartbeat(id, !self.shared.closing.get())),
            // A revoke may cross the answer; but nothing has ever been asked under a higher ticket.
            Ok(Message::Revoke(ticket)) if ticket > self.highest.get() => {
                self.fault(Fault { id: None, kind: FaultKind::InvalidParams });
            }
            Ok(Message::Revoke(ticket)) => {
                let left = self.open.borrow_mut().remove(&ticket);
                log::debug!("ticket {ticket} revoked, batch {left:?}");
                let heard_of = taken.len();
                taken.retain(|one| one.ticket != ticket);
                let known = heard_of == taken.len();
                return left.filter(|_| known).map(|request| RouterEvent::ClientGone {
                    sink: self.clone(),
                    ticket,
                    request,
                });
            }
            Err(fault) => self.fault(fault),
        }
        None
    }

    fn take(self: &Rc<Self>, request: Request) -> Option<IncomingRequest> {
        let faulty = |id, kind| {
            self.fault(Fault { id, kind });
            None
        };
        let named = |class: &lemonusher_deployment::RequestClassSettings| class.name == request.method;
        let Some(service_group) = self.shared.settled.request_classes.iter().position(named) else {
            return faulty(Some(request.id), FaultKind::UnknownMethod);
        };
        self.highest.set(self.highest.get().max(request.id));
        let most = self.shared.settled.request_classes[service_group].deadline_us.saturating_mul(MOST_TTL);
        if request.ttl_ms == 0 || request.ttl_ms.saturating_mul(1000) > most {
            return faulty(Some(request.id), FaultKind::InvalidParams);
        }
        let (twice, many) = {
            let open = self.open.borrow();
            (open.contains_key(&request.id), open.len() >= MOST_OPEN)
        };
        if twice || many {
            // An error under an id that is open would end the request that came under it first.
            return faulty((!twice).then_some(request.id), FaultKind::InvalidRequest);
        }
        let call: RequestId = request.call.into();
        log::debug!("batch {call} taken: {} of {} ms", request.method, request.ttl_ms);
        self.open.borrow_mut().insert(request.id, call.clone());
        Some(IncomingRequest {
            sink: self.clone(),
            ticket: request.id,
            request: call,
            service_group,
            table_group: table_group(&String::from_utf8_lossy(&request.statement)).unwrap_or_default(),
            // The client's time runs from its sending, also while this process does not.
            client_timeout: Duration::from_millis(request.ttl_ms)
                .saturating_sub(self.shared.pulse.lag(Instant::now())),
            client_retry: request.repeat,
            statement: request.statement.into(),
        })
    }

    fn fault(&self, fault: Fault) {
        self.shared.counters.add(Counter::FaultyLines, None);
        log::debug!("a client's line is faulty: {fault:?}");
        self.write(&client::fault(&fault));
        // Errors cost little, but not to no end.
        self.unreadable.set(self.unreadable.get() + u32::from(fault.id.is_none()));
        if self.unreadable.get() >= MOST_UNREADABLE || self.outbox.waiting() > MOST_REPLIES {
            self.taking.set(false);
        }
    }

    fn write(&self, line: &str) {
        if self.outbox.push(line.as_bytes()).is_err() {
            log::debug!("a client reads too slowly: its connection ends");
            self.taking.set(false);
            self.outbox.close();
        }
        self.count();
    }
}

impl ResponseSink for Session {
    fn respond(&self, ticket: u64, answer: Response) {
        if self.open.borrow_mut().remove(&ticket).is_none() {
            return;
        }
        self.used.set(Instant::now());
        // While clients read too slowly for the memory there is, results give way to errors.
        let full = self.shared.unwritten.get() > self.shared.most_unwritten;
        self.write(&match answer {
            Response::Returned(_) if full => client::errored(ticket),
            Response::Returned(rows) => client::result(ticket, &rows),
            Response::Rejected(wait) => client::pushed_back(ticket, wait.map(|w| w.as_millis() as u64)),
            Response::Failed => client::errored(ticket),
        });
        // What takes no more ends with its last answer.
        if !self.taking.get() && self.open.borrow().is_empty() {
            self.outbox.close();
        }
    }
}
