//! One connection to an engine: what is in flight on it, and how far it has come.

use crate::program::shared::Shared;
use crate::protocol::engine;
use crate::transport::{Reservation, Socket, WriteQueue};
use lemonusher::{AttemptOutcome, EngineId, LoadReport, ResourceUsage};
use lemonusher_routing::{RouterEvent, Token};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes that may wait to be written, and one message that is longer by itself.
const WRITE_QUEUE_BYTES: usize = 128 * 1024;
/// Ids that one connection carries before it takes no further ones.
const MAX_REQUEST_IDS: usize = 1024;

/// How far an attempt had come when its connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureStage {
    /// No connection came up.
    NotConnected,
    /// The system has not taken all of its message.
    PartlySent,
    /// The system has taken all of its message.
    Sent,
    /// A part of its result has come.
    ReplyBegun,
}

impl FailureStage {
    /// What is known of the attempt, and no more.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            FailureStage::NotConnected | FailureStage::PartlySent => AttemptOutcome::ConnectFailed,
            FailureStage::Sent | FailureStage::ReplyBegun => AttemptOutcome::Reset,
        }
    }
}

/// An attempt or probe that is in flight on a connection.
pub(super) struct InFlight {
    /// The router's number of it.
    pub token: Token,
    /// Where its message ends among all bytes that were written.
    message_end: u64,
    /// What it is, and how far it has come.
    pub kind: InFlightKind,
}

/// What is in flight.
pub enum InFlightKind {
    /// A probe.
    Probe,
    /// An attempt, with its result if a part of that has come.
    Request(Option<PagedResult>),
    /// An attempt that was cancelled at this time; it is in flight until the engine is known to have read the cancel.
    Cancelled(Instant),
}

/// A result of several pages of which a part has come.
pub struct PagedResult {
    /// The pages, by number; none for those that have not come.
    pub(super) pages: Vec<Option<Vec<u8>>>,
    /// Pages that have not come.
    pub(super) missing: usize,
    /// Bytes of the pages that have come.
    pub(super) bytes: usize,
    /// Memory for the pages.
    pub(super) reservation: Reservation,
    /// What the attempt used, as the first page says.
    pub(super) usage: Option<ResourceUsage>,
    /// The engine's load report that came with the first page.
    pub(super) load: Option<LoadReport>,
}

/// An event of an attempt or probe.
pub struct TokenEvent {
    /// Number of the attempt or probe.
    pub token: Token,
    /// What the router is notified of.
    pub event: RouterEvent,
}

/// One connection to an engine.
pub struct EngineConnection {
    /// What the front's tasks share.
    pub(super) shared: Rc<Shared>,
    /// The engine.
    pub engine: EngineId,
    /// What waits to be written.
    pub write_queue: WriteQueue,
    /// What is in flight, by id.
    pub(super) in_flight: RefCell<BTreeMap<Arc<str>, InFlight>>,
    /// Ids that were ever sent here: none is sent twice, so that no reply is taken for another's.
    used_ids: RefCell<BTreeSet<Arc<str>>>,
    /// It takes nothing new, and ends once nothing is in flight.
    pub retired: Cell<bool>,
    /// When a message was sent or came last.
    pub(super) last_used: Cell<Instant>,
    /// When the first message was sent since the engine replied last.
    pub(super) awaiting_since: Cell<Option<Instant>>,
}

impl EngineConnection {
    /// A connection that has come up.
    pub fn new(shared: Rc<Shared>, engine: EngineId, socket: Socket) -> Self {
        EngineConnection {
            shared,
            engine,
            write_queue: WriteQueue::new(socket, WRITE_QUEUE_BYTES),
            in_flight: RefCell::default(),
            used_ids: RefCell::default(),
            retired: Cell::new(false),
            last_used: Cell::new(Instant::now()),
            awaiting_since: Cell::new(None),
        }
    }

    /// Whether this id was ever sent here.
    pub fn has_used(&self, id: &str) -> bool {
        self.used_ids.borrow().contains(id)
    }

    /// Sends an attempt or probe; false if the connection takes no more.
    pub fn send(&self, token: Token, id: Arc<str>, message: &[u8], kind: InFlightKind) -> bool {
        let Ok(message_end) = self.write_queue.push(message) else {
            self.retire();
            return false;
        };
        self.last_used.set(Instant::now());
        self.awaiting_since.set(self.awaiting_since.get().or(Some(Instant::now())));
        self.used_ids.borrow_mut().insert(id.clone());
        self.in_flight.borrow_mut().insert(id, InFlight { token, message_end, kind });
        if self.used_ids.borrow().len() >= MAX_REQUEST_IDS {
            self.retired.set(true);
        }
        true
    }

    /// Whether a reply has been awaited for longer than this.
    pub fn is_silent(&self, max_silence: Duration) -> bool {
        self.awaiting_since.get().is_some_and(|since| since.elapsed() > max_silence)
    }

    /// Whether it has been idle for longer than this.
    pub fn is_unused(&self, max_idle_time: Duration) -> bool {
        self.idle_time().is_some_and(|idle_time| idle_time > max_idle_time)
    }

    /// For how long nothing has been in flight on it; none if something is.
    pub fn idle_time(&self) -> Option<Duration> {
        self.in_flight.borrow().is_empty().then(|| self.last_used.get().elapsed())
    }

    /// It has ended: all that was in flight on it is over, by how far it had come.
    pub fn end(&self) -> Vec<TokenEvent> {
        self.retired.set(true);
        self.write_queue.close();
        let written = self.write_queue.written();
        let in_flight = std::mem::take(&mut *self.in_flight.borrow_mut());
        let end_event = |InFlight { token, message_end, kind }| {
            let stage = match kind {
                InFlightKind::Probe => {
                    let event = RouterEvent::ProbeEnded { token, answered: false, load: None };
                    return TokenEvent { token, event };
                }
                InFlightKind::Request(Some(_)) => FailureStage::ReplyBegun,
                InFlightKind::Request(None) | InFlightKind::Cancelled(_) if written < message_end => {
                    FailureStage::PartlySent
                }
                InFlightKind::Request(None) | InFlightKind::Cancelled(_) => FailureStage::Sent,
            };
            TokenEvent { token, event: RouterEvent::attempt_ended(token, stage.outcome()) }
        };
        in_flight.into_values().map(end_event).collect()
    }

    /// Streams that are free, of so many. While the system takes no more bytes there are none: what would wait behind
    /// those could not be withdrawn.
    pub fn free_streams(&self, streams: usize) -> usize {
        if self.retired.get() || self.write_queue.waiting() > 0 {
            0
        } else {
            streams.saturating_sub(self.in_flight.borrow().len())
        }
    }

    /// It takes nothing new from now on.
    pub fn retire(&self) {
        self.retired.set(true);
        self.close_if_drained();
    }

    /// Closes a retired connection on which nothing is in flight.
    pub fn close_if_drained(&self) {
        if self.retired.get() && self.in_flight.borrow().is_empty() {
            self.write_queue.close();
        }
    }

    /// Cancels an attempt, and asks for a page of its result: the engine replies that it knows of none once it has read
    /// the cancel. Until then the request may not be in flight elsewhere, on whatever connection, as connections are not
    /// all alike in speed. Yields an outcome that is known at once.
    pub fn cancel(&self, id: &Arc<str>) -> Option<AttemptOutcome> {
        let mut all = self.in_flight.borrow_mut();
        let in_flight = all.get_mut(id)?;
        let (message, next_kind) = match in_flight.kind {
            InFlightKind::Cancelled(_) => return None,
            // Nothing is cancelled: only its reply is ignored.
            InFlightKind::Probe => (String::new(), None),
            // The attempt has completed; only pages are left.
            InFlightKind::Request(Some(_)) => (engine::encode_release(id), None),
            InFlightKind::Request(None) => (
                engine::encode_cancel(id) + &engine::encode_read_page(id, 1),
                Some(InFlightKind::Cancelled(Instant::now())),
            ),
        };
        if self.write_queue.push(message.as_bytes()).is_err() {
            self.write_queue.close(); // What is in flight is over by how far it had come.
            return None;
        }
        match next_kind {
            Some(kind) => {
                in_flight.kind = kind;
                None
            }
            None => all.remove(id).map(|_| AttemptOutcome::Cancelled),
        }
    }

    /// Takes out the attempts that were cancelled longer ago than the timeout with no sign that the engine has read the
    /// cancel: nothing more is known of them, and the connection takes nothing new.
    pub fn take_unconfirmed_cancels(&self, timeout: Duration) -> Vec<Token> {
        let is_unconfirmed = |in_flight: &InFlight| match in_flight.kind {
            InFlightKind::Cancelled(since) => since.elapsed() > timeout,
            InFlightKind::Probe | InFlightKind::Request(_) => false,
        };
        let mut all = self.in_flight.borrow_mut();
        let unconfirmed = all.extract_if(.., |_, in_flight| is_unconfirmed(in_flight));
        let tokens: Vec<Token> = unconfirmed.map(|(_, in_flight)| in_flight.token).collect();
        if !tokens.is_empty() {
            self.retired.set(true);
        }
        tokens
    }
}
