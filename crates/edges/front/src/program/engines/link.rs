//! One connection to an engine: what is out on it, and what its answers mean.

use super::super::shared::Shared;
use crate::protocol::engine::{self, Answer, Malformed, Word};
use crate::transport::{Outbox, Place, Wire};
use lemonusher::{AttemptOutcome, AttemptProgress, EngineId, LoadReport, ResourceUsage};
use lemonusher_routing::{Counter, RouterEvent, Token};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const OUTBOX: usize = 128 * 1024; // And one message that is longer by itself.
const MOST_IDS: usize = 1024; // Ids that one connection has carried before it takes no further ones.
const LARGEST_RESULT: usize = 64 * 1024;
const MOST_PAGES: usize = 64;

/// How far an attempt had come when its connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HowFar {
    NotConnected,
    NotWhollySent,
    Sent,
    Answering,
}

impl HowFar {
    /// What is known of it, and no more.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            HowFar::NotConnected | HowFar::NotWhollySent => AttemptOutcome::ConnectFailed,
            HowFar::Sent | HowFar::Answering => AttemptOutcome::Reset,
        }
    }
}

/// Something that is out on a connection.
struct Out {
    token: Token,
    /// Where its message ends among all that was written.
    end: u64,
    kind: OutKind,
}

pub enum OutKind {
    Probe,
    Request(Option<Pages>),
    /// Cancelled at this time; it counts as out until the engine is known to have read the cancel.
    GivenUp(Instant),
}

/// A result of several pages that has begun to come.
pub struct Pages {
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
    bytes: usize,
    place: Place,
    cost: Option<ResourceUsage>,
    load: Option<LoadReport>,
}

pub struct Link {
    shared: Rc<Shared>,
    pub engine: EngineId,
    pub outbox: Outbox,
    out: RefCell<BTreeMap<Arc<str>, Out>>,
    /// Ids that were ever out here: none is sent twice, so that no answer is taken for another's.
    carried: RefCell<BTreeSet<Arc<str>>>,
    /// It takes nothing new, and ends once nothing is out.
    pub retired: Cell<bool>,
    used: Cell<Instant>,
    /// When the first message went out since the engine was last heard.
    asked: Cell<Option<Instant>>,
}

impl Link {
    pub fn new(shared: Rc<Shared>, engine: EngineId, wire: Wire) -> Self {
        Link {
            shared,
            engine,
            outbox: Outbox::new(wire, OUTBOX),
            out: RefCell::default(),
            carried: RefCell::default(),
            retired: Cell::new(false),
            used: Cell::new(Instant::now()),
            asked: Cell::new(None),
        }
    }

    pub fn has_carried(&self, id: &str) -> bool {
        self.carried.borrow().contains(id)
    }

    /// Puts an attempt or probe on the connection; false if it takes no more.
    pub fn put(&self, token: Token, id: Arc<str>, message: &[u8], kind: OutKind) -> bool {
        let Ok(end) = self.outbox.push(message) else {
            self.retire();
            return false;
        };
        self.used.set(Instant::now());
        self.asked.set(self.asked.get().or(Some(Instant::now())));
        self.carried.borrow_mut().insert(id.clone());
        self.out.borrow_mut().insert(id, Out { token, end, kind });
        if self.carried.borrow().len() >= MOST_IDS {
            self.retired.set(true);
        }
        true
    }

    /// Whether nothing has come for so long since something went out.
    pub fn silent(&self, span: Duration) -> bool {
        self.asked.get().is_some_and(|at| at.elapsed() > span)
    }

    pub fn unused(&self, span: Duration) -> bool {
        self.idle().is_some_and(|idle| idle > span)
    }

    /// For how long nothing has been out on it.
    pub fn idle(&self) -> Option<Duration> {
        self.out.borrow().is_empty().then(|| self.used.get().elapsed())
    }

    /// It has ended: all that was out on it is over, by how far it had come.
    pub fn end(&self) -> Vec<(Token, RouterEvent)> {
        self.retired.set(true);
        self.outbox.close();
        let written = self.outbox.written();
        let out = std::mem::take(&mut *self.out.borrow_mut());
        let heard = |out: Out| match out.kind {
            OutKind::Probe => RouterEvent::ProbeEnded { token: out.token, answered: false, load: None },
            OutKind::Request(Some(_)) => RouterEvent::attempt_ended(out.token, HowFar::Answering.outcome()),
            OutKind::Request(None) | OutKind::GivenUp(_) => {
                let how_far = if written < out.end { HowFar::NotWhollySent } else { HowFar::Sent };
                RouterEvent::attempt_ended(out.token, how_far.outcome())
            }
        };
        out.into_values().map(|out| (out.token, heard(out))).collect()
    }

    /// Streams that it still has to give. While the system takes no more, there are none: what would wait behind that
    /// could not be taken back.
    pub fn free(&self, streams: usize) -> usize {
        if self.retired.get() || self.outbox.waiting() > 0 {
            0
        } else {
            streams.saturating_sub(self.out.borrow().len())
        }
    }

    pub fn retire(&self) {
        self.retired.set(true);
        self.settle();
    }

    /// A retired connection closes once nothing is out on it.
    pub fn settle(&self) {
        if self.retired.get() && self.out.borrow().is_empty() {
            self.outbox.close();
        }
    }

    /// Cancels what is out, and asks for a page of it: the engine answers that it knows of no such thing once
    /// it has read the cancel. Until then the request may not be out elsewhere, on whatever connection, as
    /// connections are not all alike in speed. Yields an outcome that is known at once.
    pub fn give_up(&self, id: &Arc<str>) -> Option<AttemptOutcome> {
        let mut all = self.out.borrow_mut();
        let out = all.get_mut(id)?;
        let (message, next) = match out.kind {
            OutKind::GivenUp(_) => return None,
            // Nothing tells of these but their answer.
            OutKind::Probe => (String::new(), None),
            // The engine has written its end; only pages are left.
            OutKind::Request(Some(_)) => (engine::release(id), None),
            OutKind::Request(None) => {
                (engine::cancel(id) + &engine::read(id, 1), Some(OutKind::GivenUp(Instant::now())))
            }
        };
        if self.outbox.push(message.as_bytes()).is_err() {
            self.outbox.close(); // What is out is over by how far it had come.
            return None;
        }
        match next {
            Some(kind) => {
                out.kind = kind;
                None
            }
            None => all.remove(id).map(|_| AttemptOutcome::Cancelled),
        }
    }

    /// What was cancelled long ago with no sign that the engine has read it: nothing more is known of it, and
    /// the connection takes nothing new.
    pub fn unconfirmed(&self, limit: Duration) -> Vec<Token> {
        let mut all = self.out.borrow_mut();
        let late = |out: &Out| matches!(out.kind, OutKind::GivenUp(at) if at.elapsed() > limit);
        let tokens: Vec<Token> = all.extract_if(.., |_, out| late(out)).map(|(_, out)| out.token).collect();
        if !tokens.is_empty() {
            self.retired.set(true);
        }
        tokens
    }

    /// What an answer means for what is out. One that belongs to nothing that is out, or for which what is out
    /// does not wait, is passed over: it does no harm, and all else on the connection goes on.
    pub fn hear(&self, answer: Answer) -> Result<Option<(Token, RouterEvent)>, Malformed> {
        self.used.set(Instant::now());
        self.asked.set(None);
        let load = answer.load.map(|values| {
            self.shared.fields.read_named(values.iter().map(|(name, value)| (name.as_str(), *value)))
        });
        let mut all = self.out.borrow_mut();
        let Some((id, out)) =
            all.get_key_value(answer.id.as_str()).map(|(id, _)| id.clone()).and_then(|id| {
                let out = all.get_mut(&id)?;
                Some((id, out))
            })
        else {
            // It has been given up meanwhile: what it holds there is let go.
            if self.has_carried(&answer.id) && matches!(answer.word, Word::Hit { pages, .. } if pages > 1) {
                let _ = self.outbox.push(engine::release(&answer.id).as_bytes());
            }
            self.shared.counters.add(Counter::StrayAnswers, None);
            return Ok(None);
        };
        if matches!(answer.word, Word::Hit { .. } | Word::Part { .. }) && !engine::whole_rows(&answer.body) {
            return Err(Malformed::Rows);
        }
        let token = out.token;
        let over = |outcome| {
            Some((token, RouterEvent::AttemptEnded { token, outcome, usage: None, load, body: Vec::new() }))
        };
        let heard = match (&mut out.kind, answer.word) {
            (OutKind::Probe, Word::Pong) => {
                Some((token, RouterEvent::ProbeEnded { token, answered: true, load }))
            }
            (OutKind::Probe, Word::Sick) => {
                Some((token, RouterEvent::ProbeEnded { token, answered: false, load }))
            }
            (OutKind::Request(_), Word::Info(note)) => {
                return Ok(note.map(|note| (token, RouterEvent::Progress { token, progress: noted(note) })));
            }
            (OutKind::GivenUp(_), Word::Info(_)) => return Ok(None),
            (OutKind::GivenUp(_), Word::Fault | Word::Part { .. }) => over(AttemptOutcome::Cancelled),
            (OutKind::GivenUp(_), Word::Hit { pages, .. }) if pages > 1 => {
                let _ = self.outbox.push(engine::release(&id).as_bytes());
                return Ok(None);
            }
            (OutKind::GivenUp(_), Word::Hit { cost, .. }) => {
                let (outcome, rows, cost) = (AttemptOutcome::Returned, answer.body, cost.map(took));
                Some((token, RouterEvent::AttemptEnded { token, outcome, usage: cost, load, body: rows }))
            }
            (OutKind::Request(None) | OutKind::GivenUp(_), Word::Shed) => over(AttemptOutcome::Rejected),
            (OutKind::Request(None) | OutKind::GivenUp(_), Word::Late) => over(AttemptOutcome::NotSent),
            (OutKind::Request(_), Word::Fault) => over(AttemptOutcome::Errored),
            (OutKind::Request(pages @ None), Word::Hit { pages: count, cost }) => {
                let cost = cost.map(took);
                let mut place = Place::new(self.shared.answers.clone());
                if count == 1 {
                    let (outcome, rows) = (AttemptOutcome::Returned, answer.body);
                    Some((token, RouterEvent::AttemptEnded { token, outcome, usage: cost, load, body: rows }))
                } else if count > MOST_PAGES || !place.set(answer.body.len()) {
                    let _ = self.outbox.push(engine::release(&id).as_bytes());
                    over(AttemptOutcome::Errored)
                } else {
                    let ask: String = (1..count).map(|page| engine::read(&id, page)).collect();
                    let mut all = vec![None; count];
                    let bytes = answer.body.len();
                    all[0] = Some(answer.body);
                    *pages = Some(Pages { pages: all, missing: count - 1, bytes, place, cost, load });
                    if self.outbox.push(ask.as_bytes()).is_err() {
                        return Err(Malformed::Length);
                    }
                    return Ok(None);
                }
            }
            (OutKind::Request(Some(pages)), Word::Part { page }) => {
                let Some(place) = pages.pages.get_mut(page).filter(|page| page.is_none()) else {
                    self.shared.counters.add(Counter::StrayAnswers, None);
                    return Ok(None);
                };
                *place = Some(answer.body);
                pages.missing -= 1;
                pages.bytes += pages.pages[page].as_ref().map_or(0, Vec::len);
                if pages.bytes > LARGEST_RESULT || !pages.place.set(pages.bytes) {
                    let _ = self.outbox.push(engine::release(&id).as_bytes());
                    over(AttemptOutcome::Errored)
                } else if pages.missing > 0 {
                    return Ok(None);
                } else {
                    let _ = self.outbox.push(engine::release(&id).as_bytes());
                    let rows = pages.pages.iter_mut().filter_map(Option::take).flatten().collect();
                    let (outcome, cost, load) = (AttemptOutcome::Returned, pages.cost, pages.load);
                    Some((token, RouterEvent::AttemptEnded { token, outcome, usage: cost, load, body: rows }))
                }
            }
            _ => {
                self.shared.counters.add(Counter::StrayAnswers, None);
                return Ok(None);
            }
        };
        all.remove(&id);
        Ok(heard)
    }
}

fn took((work_ms, memory_mb): (f64, f64)) -> ResourceUsage {
    ResourceUsage { work: Duration::from_secs_f64(work_ms.min(1e9) / 1e3), memory_mb }
}

fn noted(note: engine::Note) -> AttemptProgress {
    match note {
        engine::Note::Advance(share) => AttemptProgress::Done(share),
        engine::Note::Disk(memory_mb) => AttemptProgress::Spilling(memory_mb),
        engine::Note::StallForMemory => AttemptProgress::WaitingForMemory,
        engine::Note::StallForLoad => AttemptProgress::WaitingForBulkLoad,
    }
}
