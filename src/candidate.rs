//! An engine as the requests of one class see it within one scan.

use crate::endpoint::EngineId;

/// What an engine is to the requests of one class. None of it changes within a scan until an attempt begins.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    /// Which engine.
    pub(crate) engine: EngineId,
    /// Whether such a request may go there (`eligibility`).
    pub(crate) eligible: bool,
    /// Whether it has started so lately that it still warms up.
    pub(crate) warming_up: bool,
    /// Threads per core that it is estimated to run.
    pub(crate) load: f64,
}
