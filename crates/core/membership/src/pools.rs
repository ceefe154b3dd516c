use crate::Limit;
use lemonusher::{EngineEntry, EngineId, Idempotency};
use std::collections::{BTreeMap, BTreeSet};

/// A manager's word on engines; the greater is the stricter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub enum AdminState {
    #[default]
    Enabled,
    /// Takes nothing new; what is out goes to its end.
    Draining,
    /// Takes nothing new; what may run elsewhere is recalled.
    Disabled,
}

impl AdminState {
    /// Whether an attempt that is out there is called back when this begins to hold. Work that may have had
    /// its effect and must not have it twice is left to its end.
    pub fn recalls(self, effect: Idempotency) -> bool {
        self == AdminState::Disabled && effect == Idempotency::Idempotent
    }
}

/// Engines that a manager speaks of together, by where they stand, what they are, or their ids.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pool {
    pub name: String,
    pub admin: AdminState,
    pub zones: BTreeSet<u32>,
    pub machine_kinds: BTreeSet<u32>,
    pub cells: BTreeSet<u32>,
    pub engines: BTreeSet<EngineId>,
    /// The request classes that it serves; empty for all.
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

/// What holds for one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineAdmission {
    pub admin: AdminState,
    /// A bit for each request class that may not be sent there.
    pub blocked_classes: u64,
}

type Index = BTreeMap<u32, Vec<usize>>;

/// All that managers want, made ready for look-up: an engine's wish is found without a pass over all pools.
#[derive(Debug, Clone, Default)]
pub struct DesiredState {
    pools: Vec<Pool>,
    by_engine: Index,
    by_cell: Index,
    by_zone: Index,
    by_kind: Index,
    everywhere: Vec<usize>,
    limits: Vec<Option<Limit>>,
}

impl DesiredState {
    /// `limits` stand in the order of the request classes.
    pub fn new(pools: Vec<Pool>, limits: Vec<Option<Limit>>) -> DesiredState {
        let mut wanted = DesiredState { limits, ..DesiredState::default() };
        for (number, pool) in pools.iter().enumerate() {
            // Each pool stands under its narrowest criterion alone.
            let places = [
                (&pool.engines, &mut wanted.by_engine),
                (&pool.cells, &mut wanted.by_cell),
                (&pool.zones, &mut wanted.by_zone),
                (&pool.machine_kinds, &mut wanted.by_kind),
            ];
            match places.into_iter().find(|(criterion, _)| !criterion.is_empty()) {
                Some((criterion, index)) => {
                    criterion.iter().for_each(|value| index.entry(*value).or_default().push(number));
                }
                None => wanted.everywhere.push(number),
            }
        }
        wanted.pools = pools;
        wanted
    }

    pub fn limits(&self) -> &[Option<Limit>] {
        &self.limits
    }

    /// The pools that hold an engine.
    pub fn pools_of<'a>(&'a self, entry: &'a EngineEntry) -> impl Iterator<Item = &'a Pool> + 'a {
        let under = |index: &'a Index, value| index.get(&value).into_iter().flatten();
        under(&self.by_engine, entry.engine)
            .chain(under(&self.by_cell, entry.cell))
            .chain(under(&self.by_zone, entry.zone))
            .chain(under(&self.by_kind, entry.machine_kind))
            .chain(&self.everywhere)
            .map(|number| &self.pools[*number])
            .filter(|pool| pool.matches(entry))
    }

    /// Rules 2 and 3.
    pub fn admission_of(&self, entry: &EngineEntry) -> EngineAdmission {
        let (mut admin, mut served) = (AdminState::Enabled, None);
        for pool in self.pools_of(entry) {
            admin = admin.max(pool.admin);
            if !pool.request_classes.is_empty() {
                let bits =
                    pool.request_classes.iter().map(|group| 1u64.checked_shl(*group as u32).unwrap_or(0));
                served = Some(bits.fold(served.unwrap_or(0), |all, bit| all | bit));
            }
        }
        let barred = if admin == AdminState::Enabled { served.map_or(0, |served| !served) } else { u64::MAX };
        EngineAdmission { admin, blocked_classes: barred }
    }
}
