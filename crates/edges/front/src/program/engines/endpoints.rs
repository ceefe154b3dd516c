//! The pools follow the endpoint list.

use super::EnginePools;
use super::pool::EnginePool;
use lemonusher::{AttemptOutcome, EndpointUpdateKind, EngineId, EngineState};
use lemonusher_routing::{Endpoint, EngineCommand};
use std::rc::Rc;

impl EnginePools {
    /// One pool is made for each new engine, and that of a removed one opens nothing further. What waits for a connection
    /// to an engine that drains or was removed is not sent: it would start after that was known.
    pub(super) async fn handle_endpoints(
        self: &Rc<Self>,
        kind: EndpointUpdateKind,
        endpoints: Vec<Endpoint>,
    ) {
        let to_open = self.update_pools(kind, endpoints);
        for command in self.take_unsendable() {
            self.report_end(&command, AttemptOutcome::NotSent).await;
        }
        // Where there are more engines than descriptors, connections opened ahead would only be in the way of wanted ones.
        if self.update_descriptor_shortage() {
            return;
        }
        for engine in to_open {
            self.open_connection(engine, false);
        }
    }

    /// Updates the pools, and gives the engines to which a connection is to be opened ahead.
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
            // Where handshakes cost, hundreds of fronts that all open a connection to each engine at once are more than
            // engines that hold few can bear: each is opened when it is first wanted.
            let opens_ahead = self.shared.settings.costs.handshake == 0.0;
            if opens_ahead && endpoint.state == EngineState::Active && pool.all_retired() {
                to_open.push(endpoint.engine);
            }
        }
        pools.values().filter(|pool| pool.state == EngineState::Removed).for_each(EnginePool::retire);
        to_open
    }

    /// Takes out what waits for engines that take nothing new, and drops the pools that are over.
    fn take_unsendable(&self) -> Vec<EngineCommand> {
        let mut pools = self.pools.borrow_mut();
        let mut unsendable = Vec::new();
        for pool in pools.values_mut().filter(|pool| pool.state != EngineState::Active) {
            unsendable.extend(pool.take_queued());
        }
        pools.retain(|_, pool| pool.state != EngineState::Removed || pool.descriptors_held() > 0);
        unsendable
    }

    /// Whether there are more active engines than descriptors for connections to them; logs when that changes.
    fn update_descriptor_shortage(&self) -> bool {
        let active = self.pools.borrow().values().filter(|pool| pool.state == EngineState::Active).count();
        let room = self.shared.descriptor_limits.engines;
        let lacks_descriptors = active > room;
        if self.lacks_descriptors.replace(lacks_descriptors) != lacks_descriptors {
            if lacks_descriptors {
                log::warn!(
                    "{active} engines, and descriptors for {room} connections to them: none is opened ahead, the one \
                     idle longest ends for each that is wanted"
                );
            } else {
                log::info!(
                    "{active} engines, and descriptors for {room} connections to them: each can have one"
                );
            }
        }
        lacks_descriptors
    }
}
