//! The desired state: all pools and admission limits, and their effect on an engine (rules 2 and 3 in the
//! documentation of this package).

use crate::{AdminState, Limit, Pool};
use lemonusher::EngineEntry;
use std::collections::{BTreeMap, BTreeSet};

/// The effect of the desired state on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineAdmission {
    /// The strictest administrative state among the engine's pools.
    pub admin: AdminState,
    /// Bit mask of the request classes that may not be sent to the engine.
    pub blocked_classes: u64,
}

/// Indexes of pools in the list of pools, by the value of a criterion.
type PoolIndex = BTreeMap<u32, Vec<usize>>;

/// All pools and admission limits that management clients have set. An engine's pools are looked up in
/// indexes, without a scan of all pools.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    pools: Vec<Pool>,
    /// Indexes of pools by criterion. A pool with criteria is in one index only, that of its first criterion in the
    /// order of these fields.
    by_engine: PoolIndex,
    by_cell: PoolIndex,
    by_zone: PoolIndex,
    by_machine_kind: PoolIndex,
    /// Pools without a criterion.
    unrestricted: Vec<usize>,
    /// Admission limits, by request class.
    limits: Vec<Option<Limit>>,
}

impl DesiredState {
    /// Creates a desired state from pools and from limits in the order of the request classes.
    pub fn new(pools: Vec<Pool>, limits: Vec<Option<Limit>>) -> DesiredState {
        let mut desired = DesiredState { limits, ..DesiredState::default() };
        for (position, pool) in pools.iter().enumerate() {
            let criteria = [
                (&pool.engines, &mut desired.by_engine),
                (&pool.cells, &mut desired.by_cell),
                (&pool.zones, &mut desired.by_zone),
                (&pool.machine_kinds, &mut desired.by_machine_kind),
            ];
            match criteria.into_iter().find(|(criterion, _)| !criterion.is_empty()) {
                Some((criterion, index)) => {
                    criterion.iter().for_each(|value| index.entry(*value).or_default().push(position));
                }
                None => desired.unrestricted.push(position),
            }
        }
        desired.pools = pools;
        desired
    }

    /// The admission limits, in the order of the request classes; none for a class without one.
    pub fn limits(&self) -> &[Option<Limit>] {
        &self.limits
    }

    /// The pools that an engine belongs to.
    pub fn pools_of<'a>(&'a self, entry: &'a EngineEntry) -> impl Iterator<Item = &'a Pool> + 'a {
        let indexed = |index: &'a PoolIndex, value| index.get(&value).into_iter().flatten();
        indexed(&self.by_engine, entry.engine)
            .chain(indexed(&self.by_cell, entry.cell))
            .chain(indexed(&self.by_zone, entry.zone))
            .chain(indexed(&self.by_machine_kind, entry.machine_kind))
            .chain(&self.unrestricted)
            .map(|position| &self.pools[*position])
            .filter(|pool| pool.matches(entry))
    }

    /// The effect on an engine: the strictest state of its pools, and the request classes that may not be sent
    /// to it.
    pub fn admission_of(&self, entry: &EngineEntry) -> EngineAdmission {
        let mut admin = AdminState::Enabled;
        let mut served_classes: Option<u64> = None;
        for pool in self.pools_of(entry) {
            admin = admin.max(pool.admin);
            if !pool.request_classes.is_empty() {
                served_classes = Some(served_classes.unwrap_or(0) | class_bits(&pool.request_classes));
            }
        }
        let blocked_classes = match admin {
            AdminState::Enabled => served_classes.map_or(0, |served| !served),
            AdminState::Draining | AdminState::Disabled => u64::MAX,
        };
        EngineAdmission { admin, blocked_classes }
    }
}

/// Bit mask of the request classes; classes beyond the width of the mask are left out.
fn class_bits(request_classes: &BTreeSet<usize>) -> u64 {
    request_classes
        .iter()
        .map(|class| 1u64.checked_shl(*class as u32).unwrap_or(0))
        .fold(0, |all, bit| all | bit)
}
