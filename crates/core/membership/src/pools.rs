//! Pools of engines, as defined by management clients.

use lemonusher::{EngineEntry, EngineId, Idempotency};
use std::collections::BTreeSet;

/// Administrative state of engines, set by management clients. A greater value is stricter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub enum AdminState {
    /// The engine is used as the endpoint list allows.
    #[default]
    Enabled,
    /// The engine gets no new attempts; attempts in flight run to their end.
    Draining,
    /// The engine gets no new attempts; idempotent attempts in flight are recalled.
    Disabled,
}

impl AdminState {
    /// Whether an attempt in flight is recalled when its engine enters this state. Only idempotent requests
    /// are: any other may already have taken effect and must not run twice, so its attempt runs to its end.
    pub fn recalls(self, idempotency: Idempotency) -> bool {
        self == AdminState::Disabled && idempotency == Idempotency::Idempotent
    }
}

/// A group of engines that management clients configure together. An engine belongs to the pool if it meets all
/// criteria; every engine meets an empty criterion.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pool {
    /// The pool's name, chosen by the management client.
    pub name: String,
    /// Desired administrative state of the pool's engines.
    pub admin: AdminState,
    /// Criterion: the engine's zone.
    pub zones: BTreeSet<u32>,
    /// Criterion: the engine's kind of machine.
    pub machine_kinds: BTreeSet<u32>,
    /// Criterion: the engine's cell.
    pub cells: BTreeSet<u32>,
    /// Criterion: the engine's id.
    pub engines: BTreeSet<EngineId>,
    /// The request classes that the pool's engines serve, by number; empty for all.
    pub request_classes: BTreeSet<usize>,
}

impl Pool {
    /// Whether an engine meets all criteria.
    pub fn matches(&self, entry: &EngineEntry) -> bool {
        let met = |criterion: &BTreeSet<u32>, value| criterion.is_empty() || criterion.contains(&value);
        met(&self.engines, entry.engine)
            && met(&self.cells, entry.cell)
            && met(&self.zones, entry.zone)
            && met(&self.machine_kinds, entry.machine_kind)
    }
}
