//! Updates of the endpoint list: engines are added, removed, restarted or blocked.
//!
//! An engine that has restarted is treated as a new one: its health and reports are discarded. The work that
//! this front has sent since the restart counts for slow start, including work sent before the update
//! arrived. An engine that drains or was removed is kept while an attempt is in flight there.

use crate::admission::initial_concurrency_limit;
use crate::endpoint::{EndpointUpdateKind, EngineEntry, EngineId, EngineState};
use crate::engine::Engine;
use crate::gateway::Gateway;
use std::time::Duration;

impl Gateway {
    /// Applies an update of the endpoint list.
    pub(crate) fn handle_endpoints(&mut self, kind: EndpointUpdateKind, entries: Vec<EngineEntry>) {
        let before: Vec<EngineId> = self.engines.ids().collect();
        if kind != EndpointUpdateKind::Delta {
            for engine in self.engines.values_mut() {
                engine.entry.state = EngineState::Removed;
            }
        }
        for entry in entries {
            let fresh = self.fresh_engine(&entry);
            self.engines.get_or_insert(entry.engine, fresh).update_entry(entry);
        }
        self.engines.retain(|engine| engine.entry.state == EngineState::Active || engine.in_flight > 0);
        self.subsets.invalidate();
        if !self.engines.ids().eq(before) {
            self.preference_orders.clear();
        }
        let cores = self.engines.values().map(|engine| self.deployment.cores(&engine.entry)).sum::<f64>();
        self.estimates.mean_cores = (cores / self.engines.len().max(1) as f64).max(1.0);
    }

    fn fresh_engine(&self, entry: &EngineEntry) -> Engine {
        Engine {
            concurrency_limit: initial_concurrency_limit(self.deployment.cores(entry), self.fronts()),
            attempts_by_class: vec![0; self.classes.len()],
            fastest_probe: Duration::MAX,
            ..Engine::default()
        }
    }
}

impl Engine {
    fn update_entry(&mut self, entry: EngineEntry) {
        if entry.started_at > self.entry.started_at {
            self.consecutive_failures = 0;
            self.ejected_until = Duration::ZERO;
            self.report = None;
            self.congestion = None;
            self.other_fronts_bulk_loads.clear();
            self.slow_start_work.retain(|sent| sent.at >= entry.started_at);
        }
        self.entry = entry;
    }
}
