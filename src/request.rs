//! What the gateway keeps of each request. Nothing here decides.

use crate::interface::{EngineId, RequestId};
use std::time::Duration;

/// What is to become of a request.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum DesiredState {
    #[default]
    Queued,
    SentTo(EngineId),
    Rejected,
    Failed,
}

/// An attempt that is out.
pub(crate) struct InFlight {
    pub(crate) attempt: u32,
    pub(crate) engine: EngineId,
    pub(crate) sent_at: Duration,
    pub(crate) cancelled: bool,
}

/// What is known of a request.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) table_group: u64,
    pub(crate) key: Option<u64>,
    pub(crate) first_arrival: Duration, // When the client first asked, as far as its patience tells, and when this try came.
    pub(crate) arrived_at: Duration,
    pub(crate) last_attempt_ended: Duration, // When its last attempt ended.
    pub(crate) deadline: Duration,
    pub(crate) attempts: u32,
    pub(crate) first_possible_run: Option<(Duration, EngineId)>, // When and where an attempt first went that may have run.
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) desired: DesiredState,
    pub(crate) priority: u8,
    pub(crate) last_failed_engine: Option<EngineId>, // The engine that its last attempt failed on.
    pub(crate) next_admission_draw: Duration,
    pub(crate) admission_refused: bool, // A gate refused its last draw; it draws again in its own time.
    pub(crate) shed_draw: f64,          // Drawn once: the strain at which it is let in.
    pub(crate) counted_slow: bool,      // Its attempt has been counted as overdue.
    pub(crate) finished: bool,          // It has its final answer; only an attempt's outcome is awaited.
}

/// Whether a request waits for an attempt.
pub(crate) fn is_queued(request: &Request) -> bool {
    !request.finished && request.in_flight.is_none() && request.desired == DesiredState::Queued
}
