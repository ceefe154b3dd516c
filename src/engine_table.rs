//! Engines by id, each at a dense slot that stays the same until the list changes. Nothing here decides.

use crate::endpoint::EngineId;
use std::ops::Index;

/// A map from engine ids, in their order, whose entries are also found by slot.
pub(crate) struct EngineTable<T> {
    /// Sorted by id. What is kept of an engine is large, and stays where it is when others come.
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

    /// Every id; its place in this sequence is its slot.
    pub(crate) fn ids(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.entries.iter().map(|(id, _)| *id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|(_, engine)| &**engine)
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.entries.iter_mut().map(|(_, engine)| &mut **engine)
    }

    /// The engine at a slot, if there are so many.
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

    /// The engine of an id, which is put in if it is not known. Slots change.
    pub(crate) fn get_or_insert(&mut self, id: EngineId, fresh: T) -> &mut T {
        let slot = self.slot(id).unwrap_or_else(|slot| {
            self.entries.insert(slot, (id, Box::new(fresh)));
            slot
        });
        &mut self.entries[slot].1
    }

    /// Keeps only some engines. Slots change.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.entries.retain(|(_, engine)| keep(engine));
    }

    /// The slot of an id, or the one where it would be put in.
    fn slot(&self, id: EngineId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |(id, _)| *id)
    }
}

impl<T> Index<&EngineId> for EngineTable<T> {
    type Output = T;

    /// Panics if the engine is not known, like any map.
    fn index(&self, id: &EngineId) -> &T {
        self.get(id).expect("a known engine")
    }
}
