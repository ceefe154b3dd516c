//! The order in which each table group walks the engines: hashed, the same at every front, and kept for the
//! groups that were asked of last. Nothing here decides.

use crate::interface::EngineId;
use crate::statistics::mix;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Orders of more table groups than this are not kept; each takes four bytes an engine.
pub(crate) const MAX_TABLE_GROUPS: usize = 4_096;

/// Slots of engines, in some order.
type Slots = Arc<[u32]>;

/// A cache of orders; the least recently used goes first.
#[derive(Default)]
pub(crate) struct PreferenceOrders {
    cached: BTreeMap<u64, CachedOrder>,
    /// The table group of each use that is the last of its group.
    last_uses: BTreeMap<u64, u64>,
    uses: u64,
}

struct CachedOrder {
    order: Slots,
    last_use: u64,
}

impl PreferenceOrders {
    /// Forgets all, as must be done whenever the list of engines changes.
    pub(crate) fn clear(&mut self) {
        (self.cached, self.last_uses) = (BTreeMap::new(), BTreeMap::new());
    }

    /// The order of a table group; `ids` are those of the slots, from the first on.
    pub(crate) fn of(&mut self, table_group: u64, ids: impl Iterator<Item = EngineId>) -> Slots {
        self.uses += 1;
        let last_use = self.uses;
        let kept = self
            .cached
            .entry(table_group)
            .or_insert_with(|| CachedOrder { order: rendezvous_order(table_group, ids), last_use });
        self.last_uses.remove(&kept.last_use);
        kept.last_use = last_use;
        self.last_uses.insert(last_use, table_group);
        let order = Arc::clone(&kept.order);
        if self.cached.len() > MAX_TABLE_GROUPS
            && let Some((_, oldest)) = self.last_uses.pop_first()
        {
            self.cached.remove(&oldest);
        }
        order
    }
}

fn rendezvous_order(table_group: u64, ids: impl Iterator<Item = EngineId>) -> Slots {
    let mut order: Vec<(u64, u32)> =
        ids.zip(0..).map(|(id, slot)| (mix(table_group ^ mix(u64::from(id) + 1)), slot)).collect();
    // What hashes alike stays in the order of ids.
    order.sort_unstable_by_key(|(hash, slot)| (Reverse(*hash), *slot));
    order.into_iter().map(|(_, slot)| slot).collect()
}

/// A walk through all of an order: from its end if it is reversed, and with the first part of what results turned,
/// so that it begins further on.
pub(crate) struct PreferenceOrder {
    order: Slots,
    reversed: bool,
    prefix: usize,
    rotated_by: usize,
}

impl PreferenceOrder {
    pub(crate) fn new(order: Slots, reversed: bool) -> Self {
        PreferenceOrder { order, reversed, prefix: 0, rotated_by: 0 }
    }

    /// Turns the first `part` places to the left by `places`, or as much of that as is less than all of them.
    pub(crate) fn rotate_prefix(mut self, part: usize, places: usize) -> Self {
        self.prefix = part.min(self.order.len());
        self.rotated_by = places % self.prefix.max(1);
        self
    }

    /// The slots, in this order.
    pub(crate) fn slots(&self) -> impl Iterator<Item = usize> + '_ {
        let turned = (self.rotated_by..self.prefix).chain(0..self.rotated_by);
        let places = turned.chain(self.prefix..self.order.len());
        places
            .map(|place| if self.reversed { self.order.len() - 1 - place } else { place })
            .map(|place| self.order[place] as usize)
    }
}
