//! Engines as discovery lists them. Nothing here decides.

use std::time::Duration;

/// An engine's id, the same at every front.
pub type EngineId = u32;

/// Whether an engine may get new attempts, as discovery lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineState {
    /// It may get new attempts.
    #[default]
    Active,
    /// It gets nothing new; what is in flight goes to its end.
    Draining,
    /// It is not in the list any more.
    Removed,
}

/// An engine in the endpoint list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone, by the deployment's number.
    pub zone: u32,
    /// Its cell, by the deployment's number: engines that share what they remember of idempotency keys.
    pub cell: u32,
    /// Its kind of machine, as an index into [`Deployment::machine_kinds`](crate::Deployment::machine_kinds).
    pub machine_kind: u32,
    /// Whether it may get new attempts.
    pub state: EngineState,
    /// When it last started, since the clock's origin; zero for long ago.
    pub started_at: Duration,
    /// A bit for each request class that may not be sent there, whatever else holds. An engine that is blocked for all
    /// classes stays known: what it was sent while it warmed up still counts once it is open again.
    pub blocked_classes: u64,
}

impl EngineEntry {
    /// Whether a request class, by its index, may not be sent there.
    pub fn blocks(&self, request_class: usize) -> bool {
        self.blocked_classes.checked_shr(request_class as u32).is_some_and(|bits| bits & 1 == 1)
    }
}

/// How an update of the endpoint list is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// It holds only the engines that changed.
    Delta,
    /// It holds all engines: one that is missing was removed.
    Full,
    /// It holds all engines that were known when this front last ran, and may be stale.
    Restored,
}
