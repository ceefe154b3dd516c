//! Follows the command channel: the list of the start, then its changes, over a connection that is made
//! anew whenever it fails.

use super::shared::Shared;
use crate::protocol::discovery::{self, EndpointRecord, EndpointState, EndpointUpdate, MAX_FRAME_BYTES};
use crate::transport::{self, MemoryBudget, ReadLimits, with_timeout};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};
use lemonusher::{EndpointUpdateKind, EngineState};
use lemonusher_routing::{Endpoint, RouterEvent};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

// A frame comes each second, if only an empty one. What the channel would have told counts as told four
// seconds after it fell silent, and two after it broke off: by then it has been asked again, more than once.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Engines left out that are told in the log, each once; further ones are left out untold.
const MAX_LOGGED_ENGINES: usize = 4096;

struct DiscoveryClient {
    shared: Rc<Shared>,
    last_event: u64,
    skipped_engines: BTreeSet<u32>,
}

/// Follows the channel at the latest of these addresses, on from the last event that it has told.
pub async fn run(shared: Rc<Shared>, addresses: Receiver<SocketAddr>, initial: (u64, Vec<EndpointUpdate>)) {
    let mut client = DiscoveryClient { shared, last_event: initial.0, skipped_engines: BTreeSet::new() };
    for update in initial.1 {
        client.publish(update, EndpointUpdateKind::Restored).await;
    }
    let (mut address, mut reconnect_delay) = (None, MIN_RECONNECT_DELAY);
    loop {
        // What stands here may be dropped at any point where it waits.
        let follow_current = async {
            let Some(address) = address else { return std::future::pending().await };
            let error = client.follow(address, &mut reconnect_delay).await;
            // Once a loss; while it lasts, each try only at debug.
            let level =
                if reconnect_delay == MIN_RECONNECT_DELAY { log::Level::Warn } else { log::Level::Debug };
            log::log!(level, "command channel: {error}; asking again from event {} on", client.last_event);
            Timer::after(reconnect_delay.mul_f64(0.5 + fastrand::f64())).await;
            reconnect_delay = (reconnect_delay * 2).min(MAX_RECONNECT_DELAY);
            Some(address)
        };
        let address_changed = async {
            match addresses.recv().await {
                Ok(address) => Some(address),
                Err(_) => std::future::pending().await, // The front ends.
            }
        };
        let next = address_changed.or(follow_current).await;
        if next != address {
            (address, reconnect_delay) = (next, MIN_RECONNECT_DELAY);
        }
    }
}

impl DiscoveryClient {
    /// Follows one connection until it fails, and says why.
    async fn follow(&mut self, address: SocketAddr, reconnect_delay: &mut Duration) -> String {
        let limit = self.shared.connect_timeout * 2;
        let socket = match transport::connect(address, limit).await {
            Ok(socket) => socket,
            Err(error) => return error.to_string(),
        };
        let encode_resume = discovery::encode_resume(self.last_event);
        match with_timeout(limit, (&*socket).write_all(&encode_resume)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return error.to_string(),
            None => return "takes nothing".to_owned(),
        }
        let bounds = ReadLimits {
            bytes: MAX_FRAME_BYTES,
            time: SILENCE_TIMEOUT,
            memory: MemoryBudget::new(MAX_FRAME_BYTES * 2),
        };
        let mut frames = transport::read_messages(socket, bounds, discovery::parse_frame);
        loop {
            let Some(next) = with_timeout(SILENCE_TIMEOUT, frames.next()).await else {
                return "fell silent".to_owned();
            };
            let Some(frame) = next else { return "closed".to_owned() };
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return error.to_string(),
            };
            *reconnect_delay = MIN_RECONNECT_DELAY;
            let whole = matches!(frame.update, EndpointUpdate::Full(_));
            if frame.update == EndpointUpdate::Empty || frame.number <= self.last_event {
                continue;
            }
            if frame.number > self.last_event + 1 && !whole {
                return format!("event {} came after {}", frame.number, self.last_event);
            }
            self.publish(frame.update, EndpointUpdateKind::Full).await;
            self.last_event = frame.number; // Only now: this may be dropped while it waits.
        }
    }

    async fn publish(&mut self, update: EndpointUpdate, whole: EndpointUpdateKind) {
        let (kind, records) = match update {
            EndpointUpdate::Empty => return,
            EndpointUpdate::Full(records) => (whole, records),
            EndpointUpdate::Delta(records) => (EndpointUpdateKind::Delta, records),
        };
        let endpoint_of = records.into_iter().filter_map(|record| self.endpoint_of(record)).collect();
        let _ = self.shared.events.send(RouterEvent::Endpoints(kind, endpoint_of)).await;
    }

    /// An engine whose place or kind the deployment does not state is left out.
    fn endpoint_of(&mut self, record: EndpointRecord) -> Option<Endpoint> {
        let settings = &self.shared.settings;
        let place = |number: Option<u32>, names: &[String]| number.filter(|n| (*n as usize) < names.len());
        let places = place(record.zone, &settings.zones).zip(place(record.kind, &settings.machine_kinds));
        let Some((location, kind)) = places else {
            if self.skipped_engines.len() < MAX_LOGGED_ENGINES && self.skipped_engines.insert(record.id) {
                log::warn!("engine {:08x} is left out: unknown location or kind", record.id);
            }
            return None;
        };
        Some(Endpoint {
            engine: record.id,
            address: record.address,
            zone: location,
            machine_kind: kind,
            cell: record.cell,
            state: match record.state {
                EndpointState::Active => EngineState::Active,
                EndpointState::Draining => EngineState::Draining,
                EndpointState::Removed => EngineState::Removed,
            },
            // Option's order is the right one: no date is long ago.
            started_at: (record.started_ms > 0)
                .then(|| Duration::from_millis(record.started_ms))
                .max(self.shared.slow_start_since),
        })
    }
}
