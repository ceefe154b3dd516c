//! What the gateway keeps of each request. Nothing here decides.

use crate::interface::{EngineId, RequestId};
use std::time::Duration;

/// What is to become of a request.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum Wanted {
    #[default]
    Held,
    Out(EngineId),
    PushedBack,
    Errored,
}

/// An attempt that is out.
pub(crate) struct Out {
    pub(crate) number: u32,
    pub(crate) engine: EngineId,
    pub(crate) at: Duration,
    pub(crate) cancelled: bool,
}

/// What is known of a request.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) row: usize,
    pub(crate) tables: u64,
    pub(crate) key: Option<u64>,
    pub(crate) asked: Duration, // When the client first asked, as far as its patience tells, and when this try came.
    pub(crate) taken: Duration,
    pub(crate) ended: Duration, // When its last attempt ended.
    pub(crate) limit: Duration,
    pub(crate) sent: u32,
    pub(crate) may_have_run: Option<(Duration, EngineId)>, // When and where an attempt first went that may have run.
    pub(crate) out: Option<Out>,
    pub(crate) wanted: Wanted,
    pub(crate) priority: u8,
    pub(crate) avoid: Option<EngineId>, // The engine that its last attempt failed on.
    pub(crate) next_draw: Duration,
    pub(crate) refused: bool, // A gate refused its last draw; it draws again in its own time.
    pub(crate) lot: f64,      // Drawn once: the strain at which it is let in.
    pub(crate) overdue: bool, // Its attempt has been counted as overdue.
    pub(crate) over: bool,    // It has its final answer; only an attempt's outcome is awaited.
}

/// Whether a request waits for an attempt.
pub(crate) fn held(request: &Request) -> bool {
    !request.over && request.out.is_none() && request.wanted == Wanted::Held
}
