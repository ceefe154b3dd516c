//! One connection to an engine: the attempts and probes in flight on it, and how much of each was written or
//! received.

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

/// Limit of the write queue in bytes. A single longer message is accepted if the queue is empty.
const WRITE_QUEUE_BYTES: usize = 128 * 1024;
/// Number of request and probe ids sent on a connection after which it is retired. This limits `used_ids`.
const MAX_REQUEST_IDS: usize = 1024;

/// How far an attempt had progressed when its connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureStage {
    /// No connection was established.
    NotConnected,
    /// The kernel has not accepted all bytes of the message.
    PartlySent,
    /// The kernel has accepted the whole message; no part of the result was received.
    Sent,
    /// A part of the result was received.
    ReplyBegun,
}

impl FailureStage {
    /// The outcome that this stage proves: an attempt without a connection, or whose message was sent only in part,
    /// did not run; any other may have run.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            FailureStage::NotConnected | FailureStage::PartlySent => AttemptOutcome::ConnectFailed,
            FailureStage::Sent | FailureStage::ReplyBegun => AttemptOutcome::Reset,
        }
    }
}

/// An attempt or probe that is in flight on a connection.
pub(super) struct InFlight {
    /// The router's number for the attempt or probe.
    pub token: Token,
    /// Byte offset of the message's end in the connection's output. The kernel has accepted the whole message once
    /// [`WriteQueue::written`] reaches it.
    message_end: u64,
    /// Whether it is a probe or an attempt, and the state of the attempt.
    pub kind: InFlightKind,
}

/// Kind and state of an entry that is in flight.
pub enum InFlightKind {
    /// A probe.
    Probe,
    /// An attempt; with its result if that has several pages and the first was received.
    Request(Option<PagedResult>),
    /// An attempt that was cancelled at this time. It stays in flight until the engine has confirmed that it read
    /// the cancel.
    Cancelled(Instant),
}

/// A result of several pages that has been received in part.
pub struct PagedResult {
    /// The pages by number; `None` for those not yet received.
    pub(super) pages: Vec<Option<Vec<u8>>>,
    /// Number of pages not yet received.
    pub(super) missing: usize,
    /// Total size of the received pages in bytes.
    pub(super) bytes: usize,
    /// Reservation of reply memory for the received pages.
    pub(super) reservation: Reservation,
    /// The attempt's resource usage as reported with the first page.
    pub(super) usage: Option<ResourceUsage>,
    /// The engine's load report received with the first page.
    pub(super) load: Option<LoadReport>,
}

/// A router event together with the number of the attempt or probe that it concerns.
pub struct TokenEvent {
    /// Number of the attempt or probe.
    pub token: Token,
    /// The event to send to the router.
    pub event: RouterEvent,
}

/// One connection to an engine.
pub struct EngineConnection {
    /// State shared by the front's tasks.
    pub(super) shared: Rc<Shared>,
    /// Id of the engine.
    pub engine: EngineId,
    /// Bytes that wait to be written, and the socket.
    pub write_queue: WriteQueue,
    /// The attempts and probes in flight, by id.
    pub(super) in_flight: RefCell<BTreeMap<Arc<str>, InFlight>>,
    /// All ids ever sent on this connection. None is sent twice, so that a late reply to an earlier attempt is not
    /// matched to a later one.
    used_ids: RefCell<BTreeSet<Arc<str>>>,
    /// Whether the connection accepts no new attempts or probes; it closes once nothing is in flight.
    pub retired: Cell<bool>,
    /// When an attempt or probe was last sent, or a reply last received.
    pub(super) last_used: Cell<Instant>,
    /// When the first attempt or probe since the engine's last reply was sent; `None` if none was sent since
    /// then, even if earlier ones are still in flight.
    pub(super) awaiting_since: Cell<Option<Instant>>,
}

impl EngineConnection {
    /// Wraps the socket of an established connection.
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

    /// Whether this id was ever sent on this connection.
    pub fn has_used(&self, id: &str) -> bool {
        self.used_ids.borrow().contains(id)
    }

    /// Sends an attempt or probe. If the write queue does not accept the message, retires the connection and returns
    /// false.
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

    /// Whether the engine has sent no reply for longer than `max_silence` after an attempt or probe.
    pub fn is_silent(&self, max_silence: Duration) -> bool {
        self.awaiting_since.get().is_some_and(|since| since.elapsed() > max_silence)
    }

    /// Whether the connection has been idle for longer than `max_idle_time`.
    pub fn is_unused(&self, max_idle_time: Duration) -> bool {
        self.idle_time().is_some_and(|idle_time| idle_time > max_idle_time)
    }

    /// How long the connection has been idle; `None` if something is in flight.
    pub fn idle_time(&self) -> Option<Duration> {
        self.in_flight.borrow().is_empty().then(|| self.last_used.get().elapsed())
    }

    /// Closes the connection for good and returns the final event of each attempt and probe that was in flight. An
    /// attempt's outcome follows from its [`FailureStage`].
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

    /// Number of free streams out of `streams`. There are none while bytes are queued for the kernel, because a
    /// message behind them could not be withdrawn.
    pub fn free_streams(&self, streams: usize) -> usize {
        if self.retired.get() || self.write_queue.queued_bytes() > 0 {
            0
        } else {
            streams.saturating_sub(self.in_flight.borrow().len())
        }
    }

    /// Stops the connection from accepting new attempts and probes, and closes it if nothing is in flight.
    pub fn retire(&self) {
        self.retired.set(true);
        self.close_if_drained();
    }

    /// Closes the connection if it is retired and nothing is in flight on it.
    pub fn close_if_drained(&self) {
        if self.retired.get() && self.in_flight.borrow().is_empty() {
            self.write_queue.close();
        }
    }

    /// Cancels an attempt, or stops waiting for a probe. Returns the outcome if it is known at once.
    ///
    /// A cancelled attempt stays in flight until the engine is known to have read the cancel. To find that out, a
    /// request for a page of the attempt's result is sent behind the cancel, to which the engine replies that it
    /// knows of none. Until then the request must not be in flight on any other connection, because that one may
    /// be faster and deliver the new attempt before the cancel.
    pub fn cancel(&self, id: &Arc<str>) -> Option<AttemptOutcome> {
        let mut all = self.in_flight.borrow_mut();
        let in_flight = all.get_mut(id)?;
        let (message, next_kind) = match in_flight.kind {
            InFlightKind::Cancelled(_) => return None,
            // Nothing is sent for a probe; its reply is ignored.
            InFlightKind::Probe => (String::new(), None),
            // The engine has completed the attempt; only the remaining pages are released.
            InFlightKind::Request(Some(_)) => (engine::encode_release(id), None),
            InFlightKind::Request(None) => (
                engine::encode_cancel(id) + &engine::encode_read_page(id, 1),
                Some(InFlightKind::Cancelled(Instant::now())),
            ),
        };
        if self.write_queue.push(message.as_bytes()).is_err() {
            self.write_queue.close(); // Ends the connection; `end` then reports everything in flight.
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

    /// Removes and returns the attempts whose cancel the engine has not confirmed within the timeout. If there
    /// are any, the connection is retired.
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
