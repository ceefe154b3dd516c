//! An engine as the requests of one request class see it within one scan.

use crate::interface::EngineId;

/// What an engine is to the requests of one request class. None of it changes within a scan until an attempt.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    /// Which engine.
    pub(crate) engine: EngineId,
    /// Whether the rules and the engine's health let such a request go there.
    pub(crate) usable: bool,
    /// Whether it has started so lately that it is not warm yet.
    pub(crate) warming_up: bool,
    /// Threads per core that it is believed to run.
    pub(crate) load: f64,
}
