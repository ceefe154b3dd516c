//! Preference order: each table group ranks the engines by rendezvous hashing. The order is the same at
//! every front. Recently used orders are cached.

use crate::endpoint::EngineId;
use crate::random::mix;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of cached orders. Each takes four bytes per engine.
pub(crate) const MAX_TABLE_GROUPS: usize = 4_096;

/// Slots of engines, in the order of a table group's preference.
type Slots = Arc<[u32]>;

/// A cache of orders; the least recently used is evicted first.
#[derive(Default)]
pub(crate) struct PreferenceOrders {
    cached: BTreeMap<u64, CachedOrder>,
    /// The table group by the number of its last use; the first entry is the least recently used one.
    last_uses: BTreeMap<u64, u64>,
    uses: u64,
}

struct CachedOrder {
    order: Slots,
    last_use: u64,
}

impl PreferenceOrders {
    /// Empties the cache. Required whenever the slots of engines change.
    pub(crate) fn clear(&mut self) {
        (self.cached, self.last_uses) = (BTreeMap::new(), BTreeMap::new());
    }

    /// The order of a table group. `ids` are the ids of all engines in the order of their slots.
    pub(crate) fn of(&mut self, table_group: u64, ids: impl Iterator<Item = EngineId>) -> Slots {
        self.uses += 1;
        let last_use = self.uses;
        let cached = self
            .cached
            .entry(table_group)
            .or_insert_with(|| CachedOrder { order: rendezvous_order(table_group, ids), last_use });
        self.last_uses.remove(&cached.last_use);
        cached.last_use = last_use;
        self.last_uses.insert(last_use, table_group);
        let order = Arc::clone(&cached.order);
        if self.cached.len() > MAX_TABLE_GROUPS
            && let Some((_, oldest)) = self.last_uses.pop_first()
        {
            self.cached.remove(&oldest);
        }
        order
    }
}

/// Slots in the descending order of a hash of table group and engine id.
fn rendezvous_order(table_group: u64, ids: impl Iterator<Item = EngineId>) -> Slots {
    let mut order: Vec<(u64, u32)> =
        ids.zip(0..).map(|(id, slot)| (mix(table_group ^ mix(u64::from(id) + 1)), slot)).collect();
    // Engines with equal hashes are ordered by id.
    order.sort_unstable_by_key(|(hash, slot)| (Reverse(*hash), *slot));
    order.into_iter().map(|(_, slot)| slot).collect()
}

/// A preference order as used by one request: reversed if required, and then with a prefix rotated.
pub(crate) struct PreferenceOrder {
    order: Slots,
    reversed: bool,
    prefix: usize,
    rotated_by: usize,
}

impl PreferenceOrder {
    /// The whole order, or its reverse.
    pub(crate) fn new(order: Slots, reversed: bool) -> Self {
        PreferenceOrder { order, reversed, prefix: 0, rotated_by: 0 }
    }

    /// Rotates the first `length` places to the left by `places`, modulo the length.
    pub(crate) fn rotate_prefix(mut self, length: usize, places: usize) -> Self {
        self.prefix = length.min(self.order.len());
        self.rotated_by = places % self.prefix.max(1);
        self
    }

    /// The slots, in this order.
    pub(crate) fn slots(&self) -> impl Iterator<Item = usize> + '_ {
        let rotated = (self.rotated_by..self.prefix).chain(0..self.rotated_by);
        let places = rotated.chain(self.prefix..self.order.len());
        places
            .map(|place| if self.reversed { self.order.len() - 1 - place } else { place })
            .map(|place| self.order[place] as usize)
    }
}
