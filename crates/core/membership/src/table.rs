use crate::{Admin, Wanted, Wish};
use lemonusher::{EndpointUpdateKind, EngineEntry, EngineId, EngineState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An engine as listed, and as it may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The list's word, with what is barred.
    pub entry: EngineEntry,
    pub admin: Admin,
}

impl Seen {
    /// Whether anything may be sent there, as far as the list and the managers go.
    pub fn open(&self) -> bool {
        self.entry.state == EngineState::Active && self.entry.blocked_classes != u64::MAX
    }
}

/// A zone that the fleet has closed in part: which of its engines are open, and what may not go to these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closure {
    pub location: u32,
    /// In thousandths of its engines, the same ones at every front.
    pub open: u16,
    pub barred: u64,
}

impl Closure {
    /// What it bars from an engine there.
    fn bars(&self, engine: EngineId) -> u64 {
        // Fibonacci hashing spreads ids, however they were given out.
        let place = ((u64::from(engine).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) * 1000) >> 32;
        if place < u64::from(self.open) { self.barred } else { u64::MAX }
    }
}

/// What has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// To be told to the gateway.
    pub entries: Vec<EngineEntry>,
    /// Engines that have just been disabled.
    pub recalled: Vec<EngineId>,
}

/// The list and the managers' wishes, merged.
#[derive(Debug, Default)]
pub struct Table {
    wanted: Arc<Wanted>,
    closures: Vec<Closure>,
    /// Engines that are out for work; or all, while it is not known which.
    out: Arc<BTreeSet<EngineId>>,
    all_out: bool,
    seen: BTreeMap<EngineId, Seen>,
}

impl Table {
    pub fn new(wanted: Arc<Wanted>) -> Table {
        Table { wanted, ..Table::default() }
    }

    /// The list has told this. What is to be told on is of the same kind, and holds the same engines.
    pub fn list(&mut self, kind: EndpointUpdateKind, mut entries: Vec<EngineEntry>) -> Change {
        let before = match kind {
            EndpointUpdateKind::Delta => None,
            EndpointUpdateKind::Full | EndpointUpdateKind::Restored => Some(std::mem::take(&mut self.seen)),
        };
        let mut recalled = Vec::new();
        for entry in &mut entries {
            let wish = self.wish(entry);
            entry.blocked_classes = wish.barred;
            if entry.state == EngineState::Removed {
                self.seen.remove(&entry.engine);
                continue;
            }
            let old = before.as_ref().unwrap_or(&self.seen).get(&entry.engine).map(|seen| seen.admin);
            if wish.admin == Admin::Disabled && old.is_some_and(|old| old != Admin::Disabled) {
                recalled.push(entry.engine);
            }
            self.seen.insert(entry.engine, Seen { entry: entry.clone(), admin: wish.admin });
        }
        Change { entries, recalled }
    }

    /// Managers want this from now on. Yields the difference alone.
    pub fn manage(&mut self, wanted: Arc<Wanted>) -> Change {
        self.wanted = wanted;
        self.renew()
    }

    /// The fleet closes these zones from now on, and no others. Yields the difference alone.
    pub fn close(&mut self, closures: Vec<Closure>) -> Change {
        self.closures = closures;
        self.renew()
    }

    /// These engines are out for work from now on, and no others; or all are. Yields the difference alone.
    pub fn take_out(&mut self, out: Arc<BTreeSet<EngineId>>, all: bool) -> Change {
        (self.out, self.all_out) = (out, all);
        self.renew()
    }

    fn wish(&self, entry: &EngineEntry) -> Wish {
        let mut wish = self.wanted.of(entry);
        if self.all_out || self.out.contains(&entry.engine) {
            wish.barred = u64::MAX;
        }
        let closed = self.closures.iter().filter(|closure| closure.location == entry.zone);
        wish.barred |= closed.fold(0, |bits, closure| bits | closure.bars(entry.engine));
        wish
    }

    fn renew(&mut self) -> Change {
        let mut change = Change::default();
        let wishes: Vec<Wish> = self.seen.values().map(|seen| self.wish(&seen.entry)).collect();
        for (seen, wish) in self.seen.values_mut().zip(wishes) {
            if wish.admin == Admin::Disabled && seen.admin != Admin::Disabled {
                change.recalled.push(seen.entry.engine);
            }
            seen.admin = wish.admin;
            if seen.entry.blocked_classes != wish.barred {
                seen.entry.blocked_classes = wish.barred;
                change.entries.push(seen.entry.clone());
            }
        }
        change
    }

    pub fn wanted(&self) -> &Arc<Wanted> {
        &self.wanted
    }

    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    pub fn engines(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }

    pub fn get(&self, engine: EngineId) -> Option<&Seen> {
        self.seen.get(&engine)
    }
}
