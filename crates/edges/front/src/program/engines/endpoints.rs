//! Applies endpoint updates to the engine pools.

use super::EnginePools;
use super::pool::EnginePool;
use lemonusher::{AttemptOutcome, EndpointUpdateKind, EngineId, EngineState};
use lemonusher_routing::{Endpoint, EngineCommand};
use std::rc::Rc;

impl EnginePools {
    /// Applies an endpoint update: creates a pool for each new engine, and retires the connections to engines that
    /// were removed, or whose address or start time changed. Commands queued for a draining or removed engine are
    /// reported as not sent, because an attempt must not start on an engine that is known to be draining or removed.
    pub(super) async fn handle_endpoints(
        self: &Rc<Self>,
        kind: EndpointUpdateKind,
        endpoints: Vec<Endpoint>,
    ) {
        let to_open = self.update_pools(kind, endpoints);
        for command in self.take_unsendable() {
            self.report_end(&command, AttemptOutcome::NotSent).await;
        }
        // With more engines than descriptors, connections opened ahead would take descriptors from those that are
        // needed.
        if self.update_descriptor_shortage() {
            return;
        }
        for engine in to_open {
            self.open_connection(engine, false);
        }
    }

    /// Updates the pools, and returns the engines to which a connection is to be opened ahead of use.
    fn update_pools(&self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) -> Vec<EngineId> {
        let mut pools = self.pools.borrow_mut();
        if kind != EndpointUpdateKind::Delta {
            pools.values_mut().for_each(|pool| pool.state = EngineState::Removed);
        }
        let mut to_open = Vec::new();
        for endpoint in endpoints {
            let pool = pools.entry(endpoint.engine).or_insert_with(|| EnginePool::new(&endpoint));
            if pool.address != endpoint.address || pool.started_at != endpoint.started_at {
                pool.retire();
            }
            (pool.address, pool.state, pool.started_at) =
                (endpoint.address, endpoint.state, endpoint.started_at);
            // Where handshakes have a cost, hundreds of fronts that open a connection to each engine at the same
            // time overload engines that can hold few. Each connection is then opened when it is first needed.
            let opens_ahead = self.shared.settings.costs.handshake == 0.0;
            if opens_ahead && endpoint.state == EngineState::Active && pool.all_retired() {
                to_open.push(endpoint.engine);
            }
        }
        pools.values().filter(|pool| pool.state == EngineState::Removed).for_each(EnginePool::retire);
        to_open
    }

    /// Removes and returns the commands queued for engines that are not active, and drops the pools of removed
    /// engines that hold no descriptor.
    fn take_unsendable(&self) -> Vec<EngineCommand> {
        let mut pools = self.pools.borrow_mut();
        let mut unsendable = Vec::new();
        for pool in pools.values_mut().filter(|pool| pool.state != EngineState::Active) {
            unsendable.extend(pool.take_queued());
        }
        pools.retain(|_, pool| pool.state != EngineState::Removed || pool.descriptors_held() > 0);
        unsendable
    }

    /// Whether there are more active engines than descriptors for connections to them. Logs each change of that.
    fn update_descriptor_shortage(&self) -> bool {
        let active = self.pools.borrow().values().filter(|pool| pool.state == EngineState::Active).count();
        let max_connections = self.shared.descriptor_limits.engines;
        let lacks_descriptors = active > max_connections;
        if self.lacks_descriptors.replace(lacks_descriptors) != lacks_descriptors {
            if lacks_descriptors {
                log::warn!(
                    "{active} engines, but descriptors for {max_connections} connections to them: connections are \
                     opened only on demand, and the longest idle one closes if no descriptor is free"
                );
            } else {
                log::info!(
                    "{active} engines, and descriptors for {max_connections} connections to them: enough for each \
                     engine"
                );
            }
        }
        lacks_descriptors
    }
}
