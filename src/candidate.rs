//! An engine as the requests of one class see it within one scan.

use crate::endpoint::EngineId;

/// What an engine is to the requests of one class. None of it changes within a scan until an attempt begins.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    /// Which engine.
    pub(crate) engine: EngineId,
    /// Whether placement, safety rules and the engine's health let such a request go there.
    pub(crate) usable: bool,
    /// Whether it has started so lately that it still warms up.
    pub(crate) warming_up: bool,
    /// Threads per core that it is estimated to run.
    pub(crate) load: f64,
}
