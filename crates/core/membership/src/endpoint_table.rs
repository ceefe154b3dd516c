//! The endpoint table: the endpoint list merged with the desired state, the zone restrictions and the engines
//! out of service, by the rules in the documentation of this package.

use crate::{AdminState, DesiredState, EngineAdmission};
use lemonusher::{EndpointUpdateKind, EngineEntry, EngineId, EngineState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An engine in the endpoint list, with its administrative state and blocked request classes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatus {
    /// The entry in the endpoint list, with the request classes that this front blocks.
    pub entry: EngineEntry,
    /// The strictest administrative state of the engine's pools.
    pub admin: AdminState,
}

impl EndpointStatus {
    /// Whether requests of at least one class may be sent to the engine, by the endpoint list and all
    /// restrictions in the table.
    pub fn is_open(&self) -> bool {
        self.entry.state == EngineState::Active && self.entry.blocked_classes != u64::MAX
    }
}

/// Restricts a zone to a share of its engines, and these engines to some request classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRestriction {
    /// The zone's number.
    pub zone: u32,
    /// The share of the zone's engines that is open, in thousandths; the same engines at every front.
    pub open_permille: u16,
    /// Bit mask of the request classes that may not be sent to the open engines.
    pub blocked_classes: u64,
}

impl ZoneRestriction {
    /// Bit mask of the request classes that may not be sent to an engine of the zone.
    fn blocked_for(&self, engine: EngineId) -> u64 {
        // Fibonacci hashing distributes ids evenly, however they were assigned.
        let hash = u64::from(engine).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let permille = (hash * 1000) >> 32;
        if permille < u64::from(self.open_permille) { self.blocked_classes } else { u64::MAX }
    }
}

/// The changes caused by one event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointChange {
    /// Entries that the gateway must be notified of.
    pub entries: Vec<EngineEntry>,
    /// Engines that this event has disabled; their idempotent attempts in flight must be recalled.
    pub recalled: Vec<EngineId>,
}

/// The endpoint list merged with all restrictions on its engines.
#[derive(Debug, Default)]
pub struct EndpointTable {
    desired_state: Arc<DesiredState>,
    restrictions: Vec<ZoneRestriction>,
    /// Engines out of service for maintenance.
    out_of_service: Arc<BTreeSet<EngineId>>,
    /// Whether all engines are blocked because the engines out of service are unknown.
    all_out_of_service: bool,
    endpoints: BTreeMap<EngineId, EndpointStatus>,
}

impl EndpointTable {
    /// Creates an empty table with this desired state.
    pub fn new(desired_state: Arc<DesiredState>) -> EndpointTable {
        EndpointTable { desired_state, ..EndpointTable::default() }
    }

    /// Applies an update of the endpoint list. The entries of the returned change are those of the update, in the
    /// same order and with their blocked request classes; they form an update of the same kind.
    pub fn apply_list(&mut self, kind: EndpointUpdateKind, mut entries: Vec<EngineEntry>) -> EndpointChange {
        let replaced = match kind {
            EndpointUpdateKind::Delta => None,
            EndpointUpdateKind::Full | EndpointUpdateKind::Restored => {
                Some(std::mem::take(&mut self.endpoints))
            }
        };
        let mut recalled = Vec::new();
        for entry in &mut entries {
            let admission = self.admission_of(entry);
            entry.blocked_classes = admission.blocked_classes;
            if entry.state == EngineState::Removed {
                self.endpoints.remove(&entry.engine);
                continue;
            }
            let endpoints_before = replaced.as_ref().unwrap_or(&self.endpoints);
            let admin_before = endpoints_before.get(&entry.engine).map(|endpoint| endpoint.admin);
            if admission.admin == AdminState::Disabled
                && admin_before.is_some_and(|before| before != AdminState::Disabled)
            {
                recalled.push(entry.engine);
            }
            let endpoint = EndpointStatus { entry: entry.clone(), admin: admission.admin };
            self.endpoints.insert(entry.engine, endpoint);
        }
        EndpointChange { entries, recalled }
    }

    /// Replaces the desired state. Returns only the engines that are affected.
    pub fn apply_desired_state(&mut self, desired_state: Arc<DesiredState>) -> EndpointChange {
        self.desired_state = desired_state;
        self.recompute()
    }

    /// Replaces the zone restrictions. Returns only the engines that are affected.
    pub fn apply_restrictions(&mut self, restrictions: Vec<ZoneRestriction>) -> EndpointChange {
        self.restrictions = restrictions;
        self.recompute()
    }

    /// Replaces the set of engines out of service, or with `all` blocks every engine. Returns only the engines
    /// that are affected.
    pub fn set_out_of_service(&mut self, engines: Arc<BTreeSet<EngineId>>, all: bool) -> EndpointChange {
        self.out_of_service = engines;
        self.all_out_of_service = all;
        self.recompute()
    }

    fn admission_of(&self, entry: &EngineEntry) -> EngineAdmission {
        let mut admission = self.desired_state.admission_of(entry);
        if self.all_out_of_service || self.out_of_service.contains(&entry.engine) {
            admission.blocked_classes = u64::MAX;
        }
        for restriction in self.restrictions.iter().filter(|restriction| restriction.zone == entry.zone) {
            admission.blocked_classes |= restriction.blocked_for(entry.engine);
        }
        admission
    }

    fn recompute(&mut self) -> EndpointChange {
        let mut change = EndpointChange::default();
        let admissions: Vec<EngineAdmission> =
            self.endpoints.values().map(|endpoint| self.admission_of(&endpoint.entry)).collect();
        for (endpoint, admission) in self.endpoints.values_mut().zip(admissions) {
            if admission.admin == AdminState::Disabled && endpoint.admin != AdminState::Disabled {
                change.recalled.push(endpoint.entry.engine);
            }
            endpoint.admin = admission.admin;
            if endpoint.entry.blocked_classes != admission.blocked_classes {
                endpoint.entry.blocked_classes = admission.blocked_classes;
                change.entries.push(endpoint.entry.clone());
            }
        }
        change
    }

    /// The current desired state.
    pub fn desired_state(&self) -> &Arc<DesiredState> {
        &self.desired_state
    }

    /// Number of engines in the table.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether the table holds no engine.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// All engines, ordered by id.
    pub fn engines(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.endpoints.values()
    }

    /// One engine; none if it is not in the table.
    pub fn get(&self, engine: EngineId) -> Option<&EndpointStatus> {
        self.endpoints.get(&engine)
    }
}
