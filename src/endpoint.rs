//! Engines as listed by discovery. This module holds data only.

use std::time::Duration;

/// An engine's id, the same at every front.
pub type EngineId = u32;

/// Whether an engine may receive new attempts, as listed by discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineState {
    /// It may receive new attempts.
    #[default]
    Active,
    /// It receives no new attempts. Those in flight run to their end.
    Draining,
    /// It is no longer in the endpoint list.
    Removed,
}

/// An engine in the endpoint list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineEntry {
    /// The engine's id.
    pub engine: EngineId,
    /// The number of its zone in the deployment.
    pub zone: u32,
    /// The number of its cell in the deployment. The engines of a cell share their record of idempotency
    /// keys.
    pub cell: u32,
    /// Its kind of machine, as an index into [`Deployment::machine_kinds`](crate::Deployment::machine_kinds).
    pub machine_kind: u32,
    /// Whether it may receive new attempts.
    pub state: EngineState,
    /// Time of its last start, since the clock's origin; zero if it started long ago.
    pub started_at: Duration,
    /// One bit for each request class, by its index: if set, the class may not be sent there. An engine that
    /// is blocked for all classes is still known, so that the work sent to it while it warmed up still
    /// counts after it is unblocked.
    pub blocked_classes: u64,
}

impl EngineEntry {
    /// Whether a request class, by its index, may not be sent there.
    pub fn blocks(&self, request_class: usize) -> bool {
        self.blocked_classes.checked_shr(request_class as u32).is_some_and(|bits| bits & 1 == 1)
    }
}

/// The kind of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// It holds only the engines that have changed.
    Delta,
    /// It holds all engines. An engine that is missing was removed.
    Full,
    /// It holds all engines that were known when this front last ran. It may be stale.
    Restored,
}
