//! Applies an engine's replies to the attempts and probes in flight on a connection.
//!
//! An unmatched reply (its id is not in flight, or its kind does not fit the attempt or probe) is counted and
//! causes no event for the router; the connection stays in use. If the reply announces further pages of an earlier
//! attempt's result, the engine is told to release them.

use super::connection::{EngineConnection, InFlightKind, PagedResult, TokenEvent};
use crate::protocol::engine::{self, EngineReply, ProgressNote, ReplyError, ReplyKind, ReportedUsage};
use crate::transport::Reservation;
use lemonusher::{AttemptOutcome, AttemptProgress, LoadReport, ResourceUsage};
use lemonusher_routing::{Counter, RouterEvent, Token};
use std::time::{Duration, Instant};

/// Limit of a result of several pages, in bytes.
const MAX_RESULT_BYTES: usize = 64 * 1024;
/// Limit of the number of pages of a result.
const MAX_PAGES: usize = 64;
/// Upper limit of the work that an engine may report for an attempt, in milliseconds; more is cut to this.
const MAX_WORK_MS: f64 = 1e9;

/// Effect of a reply on its attempt or probe.
enum ReplyEffect {
    /// It has ended, with this event for the router.
    Ended(RouterEvent),
    /// It stays in flight, with an event for the router if there is one.
    Continues(Option<RouterEvent>),
    /// It expects no reply of this kind; the reply is ignored.
    Unmatched,
}

/// A reply whose id is in flight, with the number of its attempt or probe.
struct MatchedReply<'a> {
    token: Token,
    id: &'a str,
    kind: ReplyKind,
    load: Option<LoadReport>,
    body: Vec<u8>,
}

impl MatchedReply<'_> {
    /// Ends the attempt without a result.
    fn ended(&self, outcome: AttemptOutcome) -> ReplyEffect {
        let (token, load) = (self.token, self.load);
        ReplyEffect::Ended(RouterEvent::AttemptEnded { token, outcome, usage: None, load, body: Vec::new() })
    }

    /// Ends the attempt with its whole result.
    fn returned(&mut self, usage: Option<ReportedUsage>) -> ReplyEffect {
        let body = std::mem::take(&mut self.body);
        returned(self.token, usage.map(resource_usage), self.load, body)
    }
}

impl EngineConnection {
    /// Applies a reply and returns the event that it causes, if any. An error ends the connection.
    pub fn handle_reply(&self, reply: EngineReply) -> Result<Option<TokenEvent>, ReplyError> {
        self.last_used.set(Instant::now());
        self.awaiting_since.set(None);
        let load = reply.load.map(|fields| {
            self.shared.load_fields.read_named(fields.iter().map(|field| (field.name.as_str(), field.value)))
        });
        let mut all = self.in_flight.borrow_mut();
        let Some(in_flight) = all.get_mut(reply.id.as_str()) else {
            self.handle_unmatched(&reply.id, reply.kind);
            return Ok(None);
        };
        let has_rows = matches!(reply.kind, ReplyKind::Completed { .. } | ReplyKind::Page { .. });
        if has_rows && !engine::has_complete_rows(&reply.body) {
            return Err(ReplyError::Rows);
        }
        let token = in_flight.token;
        let matched = MatchedReply { token, id: &reply.id, kind: reply.kind, load, body: reply.body };
        let effect = match &mut in_flight.kind {
            InFlightKind::Probe => apply_to_probe(&matched),
            InFlightKind::Request(paged) => self.apply_to_request(paged, matched)?,
            InFlightKind::Cancelled(_) => self.apply_to_cancelled(matched),
        };
        let event = match effect {
            ReplyEffect::Ended(event) => {
                all.remove(reply.id.as_str());
                Some(event)
            }
            ReplyEffect::Continues(event) => event,
            ReplyEffect::Unmatched => {
                self.shared.counters.add(Counter::UnmatchedReplies, None);
                None
            }
        };
        Ok(event.map(|event| TokenEvent { token, event }))
    }

    /// Handles a reply whose id is not in flight. If the reply announces further pages for an attempt that
    /// was sent on this connection and is no longer in flight, the pages are released.
    fn handle_unmatched(&self, id: &str, kind: ReplyKind) {
        if self.has_used(id) && matches!(kind, ReplyKind::Completed { pages, .. } if pages > 1) {
            self.release(id);
        }
        self.shared.counters.add(Counter::UnmatchedReplies, None);
    }

    /// Tells the engine to release the pages that it holds of a result.
    fn release(&self, id: &str) {
        let _ = self.write_queue.push(engine::encode_release(id).as_bytes());
    }

    fn apply_to_cancelled(&self, mut reply: MatchedReply) -> ReplyEffect {
        match reply.kind {
            ReplyKind::Progress(_) => ReplyEffect::Continues(None),
            ReplyKind::Failed | ReplyKind::Page { .. } => reply.ended(AttemptOutcome::Cancelled),
            ReplyKind::Completed { pages, .. } if pages > 1 => {
                self.release(reply.id);
                ReplyEffect::Continues(None)
            }
            // The engine sent the whole result before it read the cancel: the result counts.
            ReplyKind::Completed { usage, .. } => reply.returned(usage),
            ReplyKind::Rejected => reply.ended(AttemptOutcome::Rejected),
            ReplyKind::NotStarted => reply.ended(AttemptOutcome::NotSent),
            ReplyKind::Healthy | ReplyKind::Unhealthy => ReplyEffect::Unmatched,
        }
    }

    fn apply_to_request(
        &self,
        paged: &mut Option<PagedResult>,
        reply: MatchedReply,
    ) -> Result<ReplyEffect, ReplyError> {
        Ok(match (reply.kind, paged) {
            (ReplyKind::Progress(note), _) => {
                let progress =
                    |note| RouterEvent::Progress { token: reply.token, progress: progress_of(note) };
                ReplyEffect::Continues(note.map(progress))
            }
            (ReplyKind::Failed, _) => reply.ended(AttemptOutcome::Errored),
            (ReplyKind::Rejected, None) => reply.ended(AttemptOutcome::Rejected),
            (ReplyKind::NotStarted, None) => reply.ended(AttemptOutcome::NotSent),
            (ReplyKind::Completed { pages, usage }, paged @ None) => {
                return self.begin_result(paged, reply, pages, usage);
            }
            (ReplyKind::Page { page }, Some(paged)) => self.add_page(paged, reply, page),
            _ => ReplyEffect::Unmatched,
        })
    }

    /// Handles the first page of a result, and requests the other pages if there are any.
    fn begin_result(
        &self,
        paged: &mut Option<PagedResult>,
        mut reply: MatchedReply,
        page_count: usize,
        usage: Option<ReportedUsage>,
    ) -> Result<ReplyEffect, ReplyError> {
        if page_count == 1 {
            return Ok(reply.returned(usage));
        }
        let mut reservation = Reservation::new(self.shared.reply_memory.clone());
        if page_count > MAX_PAGES || !reservation.resize(reply.body.len()) {
            self.release(reply.id);
            return Ok(reply.ended(AttemptOutcome::Errored));
        }
        let requests: String = (1..page_count).map(|page| engine::encode_read_page(reply.id, page)).collect();
        let mut pages = vec![None; page_count];
        let bytes = reply.body.len();
        pages[0] = Some(reply.body);
        *paged = Some(PagedResult {
            pages,
            missing: page_count - 1,
            bytes,
            reservation,
            usage: usage.map(resource_usage),
            load: reply.load,
        });
        if self.write_queue.push(requests.as_bytes()).is_err() {
            return Err(ReplyError::Length);
        }
        Ok(ReplyEffect::Continues(None))
    }

    /// Handles a further page of a result. The last missing page ends the attempt with the result.
    fn add_page(&self, paged: &mut PagedResult, reply: MatchedReply, page: usize) -> ReplyEffect {
        let Some(missing_page) = paged.pages.get_mut(page).filter(|page| page.is_none()) else {
            return ReplyEffect::Unmatched;
        };
        paged.bytes += reply.body.len();
        paged.missing -= 1;
        if paged.bytes > MAX_RESULT_BYTES || !paged.reservation.resize(paged.bytes) {
            self.release(reply.id);
            return reply.ended(AttemptOutcome::Errored);
        }
        *missing_page = Some(reply.body);
        if paged.missing > 0 {
            return ReplyEffect::Continues(None);
        }
        self.release(reply.id);
        let body = paged.pages.iter_mut().filter_map(Option::take).flatten().collect();
        returned(reply.token, paged.usage, paged.load, body)
    }
}

fn apply_to_probe(reply: &MatchedReply) -> ReplyEffect {
    let answered = match reply.kind {
        ReplyKind::Healthy => true,
        ReplyKind::Unhealthy => false,
        _ => return ReplyEffect::Unmatched,
    };
    ReplyEffect::Ended(RouterEvent::ProbeEnded { token: reply.token, answered, load: reply.load })
}

fn returned(
    token: Token,
    usage: Option<ResourceUsage>,
    load: Option<LoadReport>,
    body: Vec<u8>,
) -> ReplyEffect {
    let outcome = AttemptOutcome::Returned;
    ReplyEffect::Ended(RouterEvent::AttemptEnded { token, outcome, usage, load, body })
}

fn resource_usage(usage: ReportedUsage) -> ResourceUsage {
    let work = Duration::from_secs_f64(usage.work_ms.min(MAX_WORK_MS) / 1e3);
    ResourceUsage { work, memory_mb: usage.memory_mb }
}

fn progress_of(note: ProgressNote) -> AttemptProgress {
    match note {
        ProgressNote::Done(share) => AttemptProgress::Done(share),
        ProgressNote::Spilling(memory_mb) => AttemptProgress::Spilling(memory_mb),
        ProgressNote::WaitingForMemory => AttemptProgress::WaitingForMemory,
        ProgressNote::WaitingForBulkLoad => AttemptProgress::WaitingForBulkLoad,
    }
}
