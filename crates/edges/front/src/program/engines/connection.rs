//! One connection to an engine: what is out on it, and what its answers mean.

use super::super::shared::Shared;
use crate::protocol::engine::{self, EngineReply, ReplyError, ReplyKind};
use crate::transport::{Reservation, Socket, WriteQueue};
use lemonusher::{AttemptOutcome, AttemptProgress, EngineId, LoadReport, ResourceUsage};
use lemonusher_routing::{Counter, RouterEvent, Token};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const WRITE_QUEUE_BYTES: usize = 128 * 1024; // And one message that is longer by itself.
const MAX_REQUEST_IDS: usize = 1024; // Ids that one connection has carried before it takes no further ones.
const MAX_RESULT_BYTES: usize = 64 * 1024;
const MAX_PAGES: usize = 64;

/// How far an attempt had come when its connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureStage {
    NotConnected,
    PartlySent,
    Sent,
    ReplyBegun,
}

impl FailureStage {
    /// What is known of it, and no more.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            FailureStage::NotConnected | FailureStage::PartlySent => AttemptOutcome::ConnectFailed,
            FailureStage::Sent | FailureStage::ReplyBegun => AttemptOutcome::Reset,
        }
    }
}

/// Something that is out on a connection.
struct InFlight {
    token: Token,
    /// Where its message ends among all that was written.
    end: u64,
    kind: InFlightKind,
}

pub enum InFlightKind {
    Probe,
    Request(Option<PagedResult>),
    /// Cancelled at this time; it counts as out until the engine is known to have read the cancel.
    Cancelled(Instant),
}

/// A result of several pages that has begun to come.
pub struct PagedResult {
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
    bytes: usize,
    reservation: Reservation,
    usage: Option<ResourceUsage>,
    load: Option<LoadReport>,
}

pub struct EngineConnection {
    shared: Rc<Shared>,
    pub engine: EngineId,
    pub write_queue: WriteQueue,
    in_flight: RefCell<BTreeMap<Arc<str>, InFlight>>,
    /// Ids that were ever out here: none is sent twice, so that no answer is taken for another's.
    used_ids: RefCell<BTreeSet<Arc<str>>>,
    /// It takes nothing new, and ends once nothing is out.
    pub retired: Cell<bool>,
    last_used: Cell<Instant>,
    /// When the first message went out since the engine was last heard.
    awaiting_since: Cell<Option<Instant>>,
}

impl EngineConnection {
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

    pub fn has_used(&self, id: &str) -> bool {
        self.used_ids.borrow().contains(id)
    }

    /// Puts an attempt or probe on the connection; false if it takes no more.
    pub fn send(&self, token: Token, id: Arc<str>, message: &[u8], kind: InFlightKind) -> bool {
        let Ok(end) = self.write_queue.push(message) else {
            self.retire();
            return false;
        };
        self.last_used.set(Instant::now());
        self.awaiting_since.set(self.awaiting_since.get().or(Some(Instant::now())));
        self.used_ids.borrow_mut().insert(id.clone());
        self.in_flight.borrow_mut().insert(id, InFlight { token, end, kind });
        if self.used_ids.borrow().len() >= MAX_REQUEST_IDS {
            self.retired.set(true);
        }
        true
    }

    /// Whether nothing has come for so long since something went out.
    pub fn is_silent(&self, span: Duration) -> bool {
        self.awaiting_since.get().is_some_and(|at| at.elapsed() > span)
    }

    pub fn is_unused(&self, span: Duration) -> bool {
        self.idle_time().is_some_and(|idle_time| idle_time > span)
    }

    /// For how long nothing has been out on it.
    pub fn idle_time(&self) -> Option<Duration> {
        self.in_flight.borrow().is_empty().then(|| self.last_used.get().elapsed())
    }

    /// It has ended: all that was out on it is over, by how far it had come.
    pub fn end(&self) -> Vec<(Token, RouterEvent)> {
        self.retired.set(true);
        self.write_queue.close();
        let written = self.write_queue.written();
        let in_flight = std::mem::take(&mut *self.in_flight.borrow_mut());
        let event = |in_flight: InFlight| match in_flight.kind {
            InFlightKind::Probe => {
                RouterEvent::ProbeEnded { token: in_flight.token, answered: false, load: None }
            }
            InFlightKind::Request(Some(_)) => {
                RouterEvent::attempt_ended(in_flight.token, FailureStage::ReplyBegun.outcome())
            }
            InFlightKind::Request(None) | InFlightKind::Cancelled(_) => {
                let stage =
                    if written < in_flight.end { FailureStage::PartlySent } else { FailureStage::Sent };
                RouterEvent::attempt_ended(in_flight.token, stage.outcome())
            }
        };
        in_flight.into_values().map(|in_flight| (in_flight.token, event(in_flight))).collect()
    }

    /// Streams that it still has to give. While the system takes no more, there are none: what would wait behind that
    /// could not be taken back.
    pub fn free_streams(&self, streams: usize) -> usize {
        if self.retired.get() || self.write_queue.waiting() > 0 {
            0
        } else {
            streams.saturating_sub(self.in_flight.borrow().len())
        }
    }

    pub fn retire(&self) {
        self.retired.set(true);
        self.close_if_drained();
    }

    /// A retired connection closes once nothing is out on it.
    pub fn close_if_drained(&self) {
        if self.retired.get() && self.in_flight.borrow().is_empty() {
            self.write_queue.close();
        }
    }

    /// Cancels what is out, and asks for a page of it: the engine answers that it knows of no such thing once
    /// it has read the cancel. Until then the request may not be out elsewhere, on whatever connection, as
    /// connections are not all alike in speed. Yields an outcome that is known at once.
    pub fn cancel(&self, id: &Arc<str>) -> Option<AttemptOutcome> {
        let mut all = self.in_flight.borrow_mut();
        let in_flight = all.get_mut(id)?;
        let (message, next) = match in_flight.kind {
            InFlightKind::Cancelled(_) => return None,
            // Nothing tells of these but their answer.
            InFlightKind::Probe => (String::new(), None),
            // The engine has written its end; only pages are left.
            InFlightKind::Request(Some(_)) => (engine::encode_release(id), None),
            InFlightKind::Request(None) => (
                engine::encode_cancel(id) + &engine::encode_read_page(id, 1),
                Some(InFlightKind::Cancelled(Instant::now())),
            ),
        };
        if self.write_queue.push(message.as_bytes()).is_err() {
            self.write_queue.close(); // What is out is over by how far it had come.
            return None;
        }
        match next {
            Some(kind) => {
                in_flight.kind = kind;
                None
            }
            None => all.remove(id).map(|_| AttemptOutcome::Cancelled),
        }
    }

    /// What was cancelled long ago with no sign that the engine has read it: nothing more is known of it, and
    /// the connection takes nothing new.
    pub fn take_unconfirmed_cancels(&self, limit: Duration) -> Vec<Token> {
        let mut all = self.in_flight.borrow_mut();
        let is_unconfirmed = |in_flight: &InFlight| matches!(in_flight.kind, InFlightKind::Cancelled(at) if at.elapsed() > limit);
        let tokens: Vec<Token> = all
            .extract_if(.., |_, in_flight| is_unconfirmed(in_flight))
            .map(|(_, in_flight)| in_flight.token)
            .collect();
        if !tokens.is_empty() {
            self.retired.set(true);
        }
        tokens
    }

    /// What an answer means for what is out. One that belongs to nothing that is out, or for which what is out
    /// does not wait, is passed over: it does no harm, and all else on the connection goes on.
    pub fn handle_reply(&self, reply: EngineReply) -> Result<Option<(Token, RouterEvent)>, ReplyError> {
        self.last_used.set(Instant::now());
        self.awaiting_since.set(None);
        let load = reply.load.map(|values| {
            self.shared.load_fields.read_named(values.iter().map(|(name, value)| (name.as_str(), *value)))
        });
        let mut all = self.in_flight.borrow_mut();
        let Some((id, in_flight)) =
            all.get_key_value(reply.id.as_str()).map(|(id, _)| id.clone()).and_then(|id| {
                let in_flight = all.get_mut(&id)?;
                Some((id, in_flight))
            })
        else {
            // It has been given up meanwhile: what it holds there is let go.
            if self.has_used(&reply.id)
                && matches!(reply.kind, ReplyKind::Completed { pages, .. } if pages > 1)
            {
                let _ = self.write_queue.push(engine::encode_release(&reply.id).as_bytes());
            }
            self.shared.counters.add(Counter::StrayAnswers, None);
            return Ok(None);
        };
        if matches!(reply.kind, ReplyKind::Completed { .. } | ReplyKind::Page { .. })
            && !engine::has_whole_rows(&reply.body)
        {
            return Err(ReplyError::Rows);
        }
        let token = in_flight.token;
        let over = |outcome| {
            Some((token, RouterEvent::AttemptEnded { token, outcome, usage: None, load, body: Vec::new() }))
        };
        let event = match (&mut in_flight.kind, reply.kind) {
            (InFlightKind::Probe, ReplyKind::Healthy) => {
                Some((token, RouterEvent::ProbeEnded { token, answered: true, load }))
            }
            (InFlightKind::Probe, ReplyKind::Unhealthy) => {
                Some((token, RouterEvent::ProbeEnded { token, answered: false, load }))
            }
            (InFlightKind::Request(_), ReplyKind::Progress(progress)) => {
                return Ok(progress.map(|progress| {
                    (token, RouterEvent::Progress { token, progress: progress_of(progress) })
                }));
            }
            (InFlightKind::Cancelled(_), ReplyKind::Progress(_)) => return Ok(None),
            (InFlightKind::Cancelled(_), ReplyKind::Failed | ReplyKind::Page { .. }) => {
                over(AttemptOutcome::Cancelled)
            }
            (InFlightKind::Cancelled(_), ReplyKind::Completed { pages, .. }) if pages > 1 => {
                let _ = self.write_queue.push(engine::encode_release(&id).as_bytes());
                return Ok(None);
            }
            (InFlightKind::Cancelled(_), ReplyKind::Completed { usage, .. }) => {
                let (outcome, rows, usage) =
                    (AttemptOutcome::Returned, reply.body, usage.map(resource_usage));
                Some((token, RouterEvent::AttemptEnded { token, outcome, usage, load, body: rows }))
            }
            (InFlightKind::Request(None) | InFlightKind::Cancelled(_), ReplyKind::Rejected) => {
                over(AttemptOutcome::Rejected)
            }
            (InFlightKind::Request(None) | InFlightKind::Cancelled(_), ReplyKind::NotStarted) => {
                over(AttemptOutcome::NotSent)
            }
            (InFlightKind::Request(_), ReplyKind::Failed) => over(AttemptOutcome::Errored),
            (InFlightKind::Request(pages @ None), ReplyKind::Completed { pages: count, usage }) => {
                let usage = usage.map(resource_usage);
                let mut reservation = Reservation::new(self.shared.reply_memory.clone());
                if count == 1 {
                    let (outcome, rows) = (AttemptOutcome::Returned, reply.body);
                    Some((token, RouterEvent::AttemptEnded { token, outcome, usage, load, body: rows }))
                } else if count > MAX_PAGES || !reservation.resize(reply.body.len()) {
                    let _ = self.write_queue.push(engine::encode_release(&id).as_bytes());
                    over(AttemptOutcome::Errored)
                } else {
                    let page_requests: String =
                        (1..count).map(|page| engine::encode_read_page(&id, page)).collect();
                    let mut all = vec![None; count];
                    let bytes = reply.body.len();
                    all[0] = Some(reply.body);
                    *pages =
                        Some(PagedResult { pages: all, missing: count - 1, bytes, reservation, usage, load });
                    if self.write_queue.push(page_requests.as_bytes()).is_err() {
                        return Err(ReplyError::Length);
                    }
                    return Ok(None);
                }
            }
            (InFlightKind::Request(Some(pages)), ReplyKind::Page { page }) => {
                let Some(reservation) = pages.pages.get_mut(page).filter(|page| page.is_none()) else {
                    self.shared.counters.add(Counter::StrayAnswers, None);
                    return Ok(None);
                };
                *reservation = Some(reply.body);
                pages.missing -= 1;
                pages.bytes += pages.pages[page].as_ref().map_or(0, Vec::len);
                if pages.bytes > MAX_RESULT_BYTES || !pages.reservation.resize(pages.bytes) {
                    let _ = self.write_queue.push(engine::encode_release(&id).as_bytes());
                    over(AttemptOutcome::Errored)
                } else if pages.missing > 0 {
                    return Ok(None);
                } else {
                    let _ = self.write_queue.push(engine::encode_release(&id).as_bytes());
                    let rows = pages.pages.iter_mut().filter_map(Option::take).flatten().collect();
                    let (outcome, usage, load) = (AttemptOutcome::Returned, pages.usage, pages.load);
                    Some((token, RouterEvent::AttemptEnded { token, outcome, usage, load, body: rows }))
                }
            }
            _ => {
                self.shared.counters.add(Counter::StrayAnswers, None);
                return Ok(None);
            }
        };
        all.remove(&id);
        Ok(event)
    }
}

fn resource_usage((work_ms, memory_mb): (f64, f64)) -> ResourceUsage {
    ResourceUsage { work: Duration::from_secs_f64(work_ms.min(1e9) / 1e3), memory_mb }
}

fn progress_of(progress: engine::ProgressNote) -> AttemptProgress {
    match progress {
        engine::ProgressNote::Done(share) => AttemptProgress::Done(share),
        engine::ProgressNote::Spilling(memory_mb) => AttemptProgress::Spilling(memory_mb),
        engine::ProgressNote::WaitingForMemory => AttemptProgress::WaitingForMemory,
        engine::ProgressNote::WaitingForBulkLoad => AttemptProgress::WaitingForBulkLoad,
    }
}
