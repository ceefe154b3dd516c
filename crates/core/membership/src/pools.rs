//! Pools of engines, as managers address them.

use lemonusher::{EngineEntry, EngineId, Idempotency};
use std::collections::BTreeSet;

/// What managers want of engines; the greater is the stricter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub enum AdminState {
    /// Used as the list allows.
    #[default]
    Enabled,
    /// Takes no new attempt; attempts in flight run to their end.
    Draining,
    /// Takes no new attempt; idempotent attempts in flight are recalled.
    Disabled,
}

impl AdminState {
    /// Whether an attempt in flight is recalled when this state begins to hold. A request that may have had its effect
    /// and must not have it twice runs to its end.
    pub fn recalls(self, idempotency: Idempotency) -> bool {
        self == AdminState::Disabled && idempotency == Idempotency::Idempotent
    }
}

/// Engines that managers address together. An engine belongs to the pool if it meets all criteria; an empty criterion
/// is met by every engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pool {
    /// The manager's name for it.
    pub name: String,
    /// What is desired of its engines.
    pub admin: AdminState,
    /// Criterion: the engine's zone.
    pub zones: BTreeSet<u32>,
    /// Criterion: the engine's kind of machine.
    pub machine_kinds: BTreeSet<u32>,
    /// Criterion: the engine's cell.
    pub cells: BTreeSet<u32>,
    /// Criterion: the engine's id.
    pub engines: BTreeSet<EngineId>,
    /// The request classes that its engines serve, by number; empty for all.
    pub request_classes: BTreeSet<usize>,
}

impl Pool {
    /// Whether the engine meets all criteria.
    pub fn matches(&self, entry: &EngineEntry) -> bool {
        let met = |criterion: &BTreeSet<u32>, value| criterion.is_empty() || criterion.contains(&value);
        met(&self.engines, entry.engine)
            && met(&self.cells, entry.cell)
            && met(&self.zones, entry.zone)
            && met(&self.machine_kinds, entry.machine_kind)
    }
}
