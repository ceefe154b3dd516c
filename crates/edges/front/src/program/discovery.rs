//! The discovery client: publishes the endpoints of the start, then follows the channel's changes, over a connection that
//! is made anew whenever it fails.
//!
//! A frame comes each second, if only an empty one. A channel without a frame for `SILENCE_TIMEOUT` counts as lost. Events
//! are asked for again from the last one that was published; an event is counted only after it was published, as every
//! wait here may be dropped.

use super::shared::Shared;
use crate::protocol::discovery::{
    self, DiscoveryError, EndpointRecord, EndpointState, EndpointUpdate, InitialEvents, MAX_FRAME_BYTES,
};
use crate::transport::{self, MemoryBudget, ReadError, ReadLimits, with_timeout};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};
use lemonusher::{EndpointUpdateKind, EngineId, EngineState};
use lemonusher_routing::{Endpoint, RouterEvent};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};

/// Time without a frame after which the channel counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Mean delay before the first reconnect; doubles with each further one.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest mean delay before a reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Skipped engines that are logged, each once; further ones are skipped without a line.
const MAX_LOGGED_ENGINES: usize = 4096;

struct DiscoveryClient {
    shared: Rc<Shared>,
    /// Number of the last event that was published.
    last_event: u64,
    /// Engines that were skipped and logged.
    skipped_engines: BTreeSet<EngineId>,
}

/// Why a connection to the channel was given up.
enum ChannelLoss {
    Io(io::Error),
    /// The request for events could not be written in time.
    WriteTimeout,
    Silent,
    Closed,
    Read(ReadError<DiscoveryError>),
    MissingEvents {
        number: u64,
        last_event: u64,
    },
}

impl fmt::Display for ChannelLoss {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChannelLoss::Io(error) => write!(f, "{error}"),
            ChannelLoss::WriteTimeout => write!(f, "takes nothing"),
            ChannelLoss::Silent => write!(f, "fell silent"),
            ChannelLoss::Closed => write!(f, "closed"),
            ChannelLoss::Read(error) => write!(f, "{error}"),
            ChannelLoss::MissingEvents { number, last_event } => {
                write!(f, "event {number} came after {last_event}")
            }
        }
    }
}

/// Follows the channel at the latest of these addresses, on from the initial events.
pub async fn run(shared: Rc<Shared>, addresses: Receiver<SocketAddr>, initial: InitialEvents) {
    let mut client =
        DiscoveryClient { shared, last_event: initial.last_event, skipped_engines: BTreeSet::new() };
    for update in initial.updates {
        client.publish(update, EndpointUpdateKind::Restored).await;
    }
    let (mut address, mut reconnect_delay) = (None, MIN_RECONNECT_DELAY);
    loop {
        // This may be dropped at any point where it waits.
        let follow_current = async {
            let Some(address) = address else { return std::future::pending().await };
            let loss = client.follow(address, &mut reconnect_delay).await;
            // A warning for each loss; while it lasts, each try only at debug.
            let level =
                if reconnect_delay == MIN_RECONNECT_DELAY { log::Level::Warn } else { log::Level::Debug };
            log::log!(level, "command channel: {loss}; asking again from event {} on", client.last_event);
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
        let limits = ReadLimits {
            bytes: MAX_FRAME_BYTES,
            time: SILENCE_TIMEOUT,
            memory: MemoryBudget::new(MAX_FRAME_BYTES * 2),
        };
        let mut frames = transport::read_messages(socket, limits, discovery::parse_frame);
        loop {
            let frame = match with_timeout(SILENCE_TIMEOUT, frames.next()).await {
                Some(Some(Ok(frame))) => frame,
                Some(Some(Err(error))) => return ChannelLoss::Read(error),
                Some(None) => return ChannelLoss::Closed,
                None => return ChannelLoss::Silent,
            };
            *reconnect_delay = MIN_RECONNECT_DELAY;
            let is_full = matches!(frame.update, EndpointUpdate::Full(_));
            if frame.update == EndpointUpdate::Empty || frame.number <= self.last_event {
                continue;
            }
            if frame.number > self.last_event + 1 && !is_full {
                return ChannelLoss::MissingEvents { number: frame.number, last_event: self.last_event };
            }
            self.publish(frame.update, EndpointUpdateKind::Full).await;
            self.last_event = frame.number; // Only now: this may be dropped while it waits.
        }
    }

    /// Hands an update to the router; a whole list as one of kind `full_kind`.
    async fn publish(&mut self, update: EndpointUpdate, full_kind: EndpointUpdateKind) {
        let (kind, records) = match update {
            EndpointUpdate::Empty => return,
            EndpointUpdate::Full(records) => (full_kind, records),
            EndpointUpdate::Delta(records) => (EndpointUpdateKind::Delta, records),
        };
        let endpoints = records.into_iter().filter_map(|record| self.endpoint_of(record)).collect();
        let _ = self.shared.events.send(RouterEvent::Endpoints(kind, endpoints)).await;
    }

    /// The endpoint of a record. An engine whose zone or machine kind the deployment does not state is skipped.
    fn endpoint_of(&mut self, record: EndpointRecord) -> Option<Endpoint> {
        let settings = &self.shared.settings;
        let stated = |number: Option<u32>, names: &[String]| number.filter(|n| (*n as usize) < names.len());
        let zone = stated(record.zone, &settings.zones);
        let machine_kind = stated(record.machine_kind, &settings.machine_kinds);
        let (Some(zone), Some(machine_kind)) = (zone, machine_kind) else {
            if self.skipped_engines.len() < MAX_LOGGED_ENGINES && self.skipped_engines.insert(record.engine) {
                log::warn!("engine {:08x} is left out: unknown location or kind", record.engine);
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
            // The later of both, as `None` stands for long ago.
            started_at: (record.started_ms > 0)
                .then(|| Duration::from_millis(record.started_ms))
                .max(self.shared.slow_start_since),
        })
    }
}
