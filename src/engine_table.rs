//! Engines by id, each at a dense index (slot) that stays the same until the endpoint list changes.

use crate::endpoint::EngineId;
use std::ops::Index;

/// A map from engine ids, sorted by id, whose entries are also found by slot.
pub(crate) struct EngineTable<T> {
    /// Sorted by id. The values are large; they are boxed so that an insertion does not move them.
    entries: Vec<(EngineId, Box<T>)>,
}

impl<T> Default for EngineTable<T> {
    fn default() -> Self {
        EngineTable { entries: Vec::new() }
    }
}

impl<T> EngineTable<T> {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// All ids, in the order of their slots.
    pub(crate) fn ids(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.entries.iter().map(|(id, _)| *id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|(_, engine)| &**engine)
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.entries.iter_mut().map(|(_, engine)| &mut **engine)
    }

    /// The engine at a slot; `None` past the last one.
    pub(crate) fn at(&self, slot: usize) -> Option<&T> {
        self.entries.get(slot).map(|(_, engine)| &**engine)
    }

    pub(crate) fn get(&self, id: &EngineId) -> Option<&T> {
        self.slot(*id).ok().and_then(|slot| self.at(slot))
    }

    pub(crate) fn get_mut(&mut self, id: &EngineId) -> Option<&mut T> {
        let slot = self.slot(*id).ok()?;
        self.entries.get_mut(slot).map(|(_, engine)| &mut **engine)
    }

    /// The engine of an id, which is inserted if the id is unknown. An insertion changes slots.
    pub(crate) fn get_or_insert(&mut self, id: EngineId, fresh: T) -> &mut T {
        let slot = self.slot(id).unwrap_or_else(|slot| {
            self.entries.insert(slot, (id, Box::new(fresh)));
            slot
        });
        &mut self.entries[slot].1
    }

    /// Removes the engines for which `keep` is false. This changes slots.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.entries.retain(|(_, engine)| keep(engine));
    }

    /// The slot of an id, or else the slot at which it has to be inserted.
    fn slot(&self, id: EngineId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |(id, _)| *id)
    }
}

impl<T> Index<&EngineId> for EngineTable<T> {
    type Output = T;

    /// Panics if the engine is unknown, like any map.
    fn index(&self, id: &EngineId) -> &T {
        self.get(id).expect("unknown engine id")
    }
}
