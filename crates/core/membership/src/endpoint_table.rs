use crate::{AdminState, DesiredState, EngineAdmission};
use lemonusher::{EndpointUpdateKind, EngineEntry, EngineId, EngineState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An engine as listed, and as it may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatus {
    /// The list's word, with what is barred.
    pub entry: EngineEntry,
    pub admin: AdminState,
}

impl EndpointStatus {
    /// Whether anything may be sent there, as far as the list and the managers go.
    pub fn is_open(&self) -> bool {
        self.entry.state == EngineState::Active && self.entry.blocked_classes != u64::MAX
    }
}

/// A zone that the fleet has closed in part: which of its engines are open, and what may not go to these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRestriction {
    pub zone: u32,
    /// In thousandths of its engines, the same ones at every front.
    pub open_permille: u16,
    pub blocked_classes: u64,
}

impl ZoneRestriction {
    /// What it bars from an engine there.
    fn blocked_for(&self, engine: EngineId) -> u64 {
        // Fibonacci hashing spreads ids, however they were given out.
        let place = ((u64::from(engine).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) * 1000) >> 32;
        if place < u64::from(self.open_permille) { self.blocked_classes } else { u64::MAX }
    }
}

/// What has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointChange {
    /// To be told to the gateway.
    pub entries: Vec<EngineEntry>,
    /// Engines that have just been disabled.
    pub recalled: Vec<EngineId>,
}

/// The list and the managers' wishes, merged.
#[derive(Debug, Default)]
pub struct EndpointTable {
    desired_state: Arc<DesiredState>,
    restrictions: Vec<ZoneRestriction>,
    /// Engines that are out for work; or all, while it is not known which.
    out_of_service: Arc<BTreeSet<EngineId>>,
    all_out_of_service: bool,
    endpoints: BTreeMap<EngineId, EndpointStatus>,
}

impl EndpointTable {
    pub fn new(wanted: Arc<DesiredState>) -> EndpointTable {
        EndpointTable { desired_state: wanted, ..EndpointTable::default() }
    }

    /// The list has told this. What is to be told on is of the same kind, and holds the same engines.
    pub fn apply_list(&mut self, kind: EndpointUpdateKind, mut entries: Vec<EngineEntry>) -> EndpointChange {
        let before = match kind {
            EndpointUpdateKind::Delta => None,
            EndpointUpdateKind::Full | EndpointUpdateKind::Restored => {
                Some(std::mem::take(&mut self.endpoints))
            }
        };
        let mut recalled = Vec::new();
        for entry in &mut entries {
            let wish = self.admission_of(entry);
            entry.blocked_classes = wish.blocked_classes;
            if entry.state == EngineState::Removed {
                self.endpoints.remove(&entry.engine);
                continue;
            }
            let old = before.as_ref().unwrap_or(&self.endpoints).get(&entry.engine).map(|seen| seen.admin);
            if wish.admin == AdminState::Disabled && old.is_some_and(|old| old != AdminState::Disabled) {
                recalled.push(entry.engine);
            }
            self.endpoints.insert(entry.engine, EndpointStatus { entry: entry.clone(), admin: wish.admin });
        }
        EndpointChange { entries, recalled }
    }

    /// Managers want this from now on. Yields the difference alone.
    pub fn apply_desired_state(&mut self, wanted: Arc<DesiredState>) -> EndpointChange {
        self.desired_state = wanted;
        self.recompute()
    }

    /// The fleet closes these zones from now on, and no others. Yields the difference alone.
    pub fn apply_restrictions(&mut self, closures: Vec<ZoneRestriction>) -> EndpointChange {
        self.restrictions = closures;
        self.recompute()
    }

    /// These engines are out for work from now on, and no others; or all are. Yields the difference alone.
    pub fn set_out_of_service(&mut self, out: Arc<BTreeSet<EngineId>>, all: bool) -> EndpointChange {
        (self.out_of_service, self.all_out_of_service) = (out, all);
        self.recompute()
    }

    fn admission_of(&self, entry: &EngineEntry) -> EngineAdmission {
        let mut wish = self.desired_state.admission_of(entry);
        if self.all_out_of_service || self.out_of_service.contains(&entry.engine) {
            wish.blocked_classes = u64::MAX;
        }
        let closed = self.restrictions.iter().filter(|closure| closure.zone == entry.zone);
        wish.blocked_classes |= closed.fold(0, |bits, closure| bits | closure.blocked_for(entry.engine));
        wish
    }

    fn recompute(&mut self) -> EndpointChange {
        let mut change = EndpointChange::default();
        let wishes: Vec<EngineAdmission> =
            self.endpoints.values().map(|seen| self.admission_of(&seen.entry)).collect();
        for (seen, wish) in self.endpoints.values_mut().zip(wishes) {
            if wish.admin == AdminState::Disabled && seen.admin != AdminState::Disabled {
                change.recalled.push(seen.entry.engine);
            }
            seen.admin = wish.admin;
            if seen.entry.blocked_classes != wish.blocked_classes {
                seen.entry.blocked_classes = wish.blocked_classes;
                change.entries.push(seen.entry.clone());
            }
        }
        change
    }

    pub fn wanted(&self) -> &Arc<DesiredState> {
        &self.desired_state
    }

    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    pub fn engines(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.endpoints.values()
    }

    pub fn get(&self, engine: EngineId) -> Option<&EndpointStatus> {
        self.endpoints.get(&engine)
    }
}
