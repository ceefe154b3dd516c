//! The discovery client: publishes the initial endpoint list, then follows the discovery channel and reconnects
//! whenever the connection fails.
//!
//! The channel sends a frame each second, an empty one if nothing has changed. A channel without a frame for
//! some time counts as lost. After a reconnect, the events after the last published one are requested.
//! An event counts as published only after it was sent to the router, because the future may be dropped at every
//! await.

mod input;

use super::shared::Shared;
use crate::protocol::discovery::{self, EndpointRecord, EndpointState, EndpointUpdate, InitialEvents};
use crate::transport::{self, with_timeout};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};
use input::ChannelLoss;
use lemonusher::{EndpointUpdateKind, EngineId, EngineState};
use lemonusher_routing::{Endpoint, RouterEvent};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use input::DiscoveryInput;

/// Mean delay before the first reconnect. The delay doubles with each further one until a frame arrives.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest mean delay before a reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Limit of the skipped engines that are logged, each once. Further ones are skipped without a log line.
const MAX_LOGGED_ENGINES: usize = 4096;

struct DiscoveryClient {
    shared: Rc<Shared>,
    /// Number of the last published event.
    last_event: u64,
    /// Engines that were skipped and logged, up to [`MAX_LOGGED_ENGINES`].
    skipped_engines: BTreeSet<EngineId>,
}

/// Publishes the initial events, then follows the channel at the latest address received.
pub async fn run(shared: Rc<Shared>, addresses: Receiver<SocketAddr>, initial: InitialEvents) {
    let mut client =
        DiscoveryClient { shared, last_event: initial.last_event, skipped_engines: BTreeSet::new() };
    for update in initial.updates {
        client.shared.discovery.apply(&update);
        client.publish(update, EndpointUpdateKind::Restored).await;
    }
    let (mut address, mut reconnect_delay) = (None, MIN_RECONNECT_DELAY);
    loop {
        // A change of the address drops this future at any await.
        let follow_current = async {
            let Some(address) = address else { return std::future::pending().await };
            let loss = client.follow(address, &mut reconnect_delay).await;
            // A loss after a frame, and the first failure at an address, are logged as warnings. Failures after
            // them are logged at debug level until the next frame.
            let level =
                if reconnect_delay == MIN_RECONNECT_DELAY { log::Level::Warn } else { log::Level::Debug };
            log::log!(
                level,
                "discovery channel lost: {loss}; reconnecting to resume after event {}",
                client.last_event
            );
            Timer::after(reconnect_delay.mul_f64(0.5 + fastrand::f64())).await;
            reconnect_delay = (reconnect_delay * 2).min(MAX_RECONNECT_DELAY);
            Some(address)
        };
        let address_changed = async {
            match addresses.recv().await {
                Ok(address) => Some(address),
                Err(_) => std::future::pending().await, // The front is shutting down.
            }
        };
        let next = address_changed.or(follow_current).await;
        if next != address {
            (address, reconnect_delay) = (next, MIN_RECONNECT_DELAY);
        }
    }
}

impl DiscoveryClient {
    /// Follows one connection until it fails, and returns the reason.
    async fn follow(&mut self, address: SocketAddr, reconnect_delay: &mut Duration) -> ChannelLoss {
        let timeout = self.shared.connect_timeout * 2;
        let socket = match transport::connect(address, timeout).await {
            Ok(socket) => socket,
            Err(error) => return ChannelLoss::Io(error),
        };
        let resume = discovery::encode_resume(self.last_event);
        match with_timeout(timeout, (&*socket).write_all(&resume)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return ChannelLoss::Io(error),
            None => return ChannelLoss::WriteTimeout,
        }
        let shared = self.shared.clone();
        let reader = shared.discovery.attach(socket, self.last_event);
        loop {
            let next = reader.next_update().await;
            if reader.has_received_frame() {
                *reconnect_delay = MIN_RECONNECT_DELAY;
            }
            match next {
                Ok(frame) => {
                    self.publish(frame.update, EndpointUpdateKind::Full).await;
                    self.last_event = frame.number; // After the publish, which may be dropped before it completes.
                }
                Err(loss) => return loss,
            }
        }
    }

    /// Sends an update to the router. A full list is sent as an update of kind `full_kind`.
    async fn publish(&mut self, update: EndpointUpdate, full_kind: EndpointUpdateKind) {
        let (kind, records) = match update {
            EndpointUpdate::Empty => return,
            EndpointUpdate::Full(records) => (full_kind, records),
            EndpointUpdate::Delta(records) => (EndpointUpdateKind::Delta, records),
        };
        let endpoints = records.into_iter().filter_map(|record| self.endpoint_of(record)).collect();
        let _ = self.shared.events.send(RouterEvent::Endpoints(kind, endpoints)).await;
    }

    /// Converts a record to an endpoint. Returns `None` if the deployment does not state the engine's zone or
    /// machine kind.
    fn endpoint_of(&mut self, record: EndpointRecord) -> Option<Endpoint> {
        let settings = &self.shared.settings;
        let stated = |number: Option<u32>, names: &[String]| number.filter(|n| (*n as usize) < names.len());
        let zone = stated(record.zone, &settings.zones);
        let machine_kind = stated(record.machine_kind, &settings.machine_kinds);
        let (Some(zone), Some(machine_kind)) = (zone, machine_kind) else {
            if self.skipped_engines.len() < MAX_LOGGED_ENGINES && self.skipped_engines.insert(record.engine) {
                log::warn!("engine {:08x} is left out: unknown zone or machine kind", record.engine);
            }
            return None;
        };
        Some(Endpoint {
            engine: record.engine,
            address: record.address,
            zone,
            machine_kind,
            cell: record.cell,
            state: match record.state {
                EndpointState::Active => EngineState::Active,
                EndpointState::Draining => EngineState::Draining,
                EndpointState::Removed => EngineState::Removed,
            },
            // The later of both times; `None`, for an engine that started long ago, is the earliest.
            started_at: (record.started_ms > 0)
                .then(|| Duration::from_millis(record.started_ms))
                .max(self.shared.slow_start_since),
        })
    }
}
