//! An engine as seen by the requests of one class within one scan.

use crate::endpoint::EngineId;

/// An engine as seen by the requests of one class. The fields stay valid within a scan until an attempt
/// begins.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    /// The engine's id.
    pub(crate) engine: EngineId,
    /// Whether a request of the class may be sent to the engine (`eligibility`).
    pub(crate) eligible: bool,
    /// Whether the engine is within its slow-start window.
    pub(crate) warming_up: bool,
    /// Estimated threads per core.
    pub(crate) load: f64,
}
