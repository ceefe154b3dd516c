//! The endpoint table: the list of engines merged with the desired state, the zone restrictions and the engines out of
//! service, by the rule at the top of this package.

use crate::{AdminState, DesiredState, EngineAdmission};
use lemonusher::{EndpointUpdateKind, EngineEntry, EngineId, EngineState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An engine as listed, and as it may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatus {
    /// The list's entry, with the request classes that are blocked here.
    pub entry: EngineEntry,
    /// The strictest administrative state of the engine's pools.
    pub admin: AdminState,
}

impl EndpointStatus {
    /// Whether any request may be sent there, as far as the list and the managers go.
    pub fn is_open(&self) -> bool {
        self.entry.state == EngineState::Active && self.entry.blocked_classes != u64::MAX
    }
}

/// The part of a zone's engines that may be used, and the request classes that may not be sent to these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneRestriction {
    /// The zone's number.
    pub zone: u32,
    /// In thousandths of the zone's engines, the same engines at every front.
    pub open_permille: u16,
    /// A bit for each request class that may not be sent to the open engines.
    pub blocked_classes: u64,
}

impl ZoneRestriction {
    /// The request classes that may not be sent to an engine of the zone, a bit each.
    fn blocked_for(&self, engine: EngineId) -> u64 {
        // Fibonacci hashing spreads ids, however they were given out.
        let hash = u64::from(engine).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let permille = (hash * 1000) >> 32;
        if permille < u64::from(self.open_permille) { self.blocked_classes } else { u64::MAX }
    }
}

/// What an event has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointChange {
    /// Entries that the gateway must be notified of.
    pub entries: Vec<EngineEntry>,
    /// Engines that have just been disabled: their idempotent attempts are to be recalled.
    pub recalled: Vec<EngineId>,
}

/// The list of engines and all that restricts their use, merged.
#[derive(Debug, Default)]
pub struct EndpointTable {
    desired_state: Arc<DesiredState>,
    restrictions: Vec<ZoneRestriction>,
    /// Engines out of service for maintenance.
    out_of_service: Arc<BTreeSet<EngineId>>,
    /// Set while it is not known which engines are out of service: all of them are blocked.
    all_out_of_service: bool,
    endpoints: BTreeMap<EngineId, EndpointStatus>,
}

impl EndpointTable {
    /// An empty list under this desired state.
    pub fn new(desired_state: Arc<DesiredState>) -> EndpointTable {
        EndpointTable { desired_state, ..EndpointTable::default() }
    }

    /// Applies an update of the list. The change is of the same kind and holds the same engines, in the same order.
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

    /// Puts another desired state in force. Returns only what differs.
    pub fn apply_desired_state(&mut self, desired_state: Arc<DesiredState>) -> EndpointChange {
        self.desired_state = desired_state;
        self.recompute()
    }

    /// Restricts these zones from now on, and no others. Returns only what differs.
    pub fn apply_restrictions(&mut self, restrictions: Vec<ZoneRestriction>) -> EndpointChange {
        self.restrictions = restrictions;
        self.recompute()
    }

    /// Takes these engines out of service from now on, and no others; or all of them. Returns only what differs.
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

    /// The desired state in force.
    pub fn desired_state(&self) -> &Arc<DesiredState> {
        &self.desired_state
    }

    /// Engines in the table.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether the table holds no engine.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// All engines, by id.
    pub fn engines(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.endpoints.values()
    }

    /// One engine; none if it is not in the table.
    pub fn get(&self, engine: EngineId) -> Option<&EndpointStatus> {
        self.endpoints.get(&engine)
    }
}
