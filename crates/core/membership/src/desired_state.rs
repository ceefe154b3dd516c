//! The desired state: all pools and admission limits, and what they mean for an engine (rules 2 and 3 at the top of this
//! package).

use crate::{AdminState, Limit, Pool};
use lemonusher::EngineEntry;
use std::collections::{BTreeMap, BTreeSet};

/// What the desired state means for one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineAdmission {
    /// The strictest state of its pools.
    pub admin: AdminState,
    /// A bit for each request class that may not be sent there.
    pub blocked_classes: u64,
}

/// The positions of pools by a criterion's value.
type PoolIndex = BTreeMap<u32, Vec<usize>>;

/// All that managers want. An engine's pools are found without a pass over all pools.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    pools: Vec<Pool>,
    /// Each pool stands in one index only: under its narrowest criterion.
    by_engine: PoolIndex,
    by_cell: PoolIndex,
    by_zone: PoolIndex,
    by_machine_kind: PoolIndex,
    /// Pools without a criterion.
    unrestricted: Vec<usize>,
    limits: Vec<Option<Limit>>,
}

impl DesiredState {
    /// The desired state of these pools and of the limits, which stand in the order of the request classes.
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

    /// What holds for an engine: the strictest state of its pools, and the request classes that may not be sent there.
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

/// A bit for each request class; classes beyond the width of the mask have none.
fn class_bits(request_classes: &BTreeSet<usize>) -> u64 {
    request_classes
        .iter()
        .map(|class| 1u64.checked_shl(*class as u32).unwrap_or(0))
        .fold(0, |all, bit| all | bit)
}
