//! One simulated front: its fleet state machine, the traffic that it sent and received, and its processor time.

use super::setup::{self, Registers, Setup};
use super::traffic::Traffic;
use crate::process::thread_time;
use async_channel::Sender;
use lemonusher_fleet::{ClusterStats, Message, Node, StartParameters, TrafficCounters};
use lemonusher_routing::ZoneObservation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The longest time between two polls, as on a front's thread.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The least time between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The wall-clock time, in milliseconds since 1970, at the origin of the harness's clock; a date in 2026.
const ORIGIN_UNIX_MS: u64 = 1_796_000_000_000;

/// A simulated front, in one incarnation.
pub struct Hollow {
    node: Node,
    address: SocketAddr,
    /// Start of this incarnation, on the harness's clock.
    started_at: Duration,
    /// Distinguishes its polls from those of an earlier incarnation.
    pub incarnation: u64,
    location: u32,
    observations: Option<Sender<ZoneObservation>>,
    /// Messages and bytes that it has sent and received.
    pub traffic: Traffic,
    /// Processor time of all calls into the state machine.
    pub processor: Duration,
    counts: Arc<TrafficCounters>,
}

/// Parameters of an incarnation.
pub struct Start<'a> {
    pub setup: &'a Setup,
    pub front: usize,
    pub address: SocketAddr,
    pub voters: Vec<SocketAddr>,
    pub location: u32,
    pub now: Duration,
    pub incarnation: u64,
    pub seed: u64,
}

impl Hollow {
    /// Starts an incarnation.
    pub fn new(start: Start) -> Hollow {
        let (observations, receiver) = async_channel::bounded(1);
        let Start { setup, front, address, voters, location, now, incarnation, seed } = start;
        let config = setup.terms(front, address, voters, location, receiver);
        let date_ms = ORIGIN_UNIX_MS + now.as_millis() as u64;
        let counts = Arc::new(TrafficCounters::default());
        let from = thread_time();
        let node = Node::new(
            config,
            StartParameters { address, incarnation, unix_time_ms: date_ms, seed },
            None,
            counts.clone(),
        );
        Hollow {
            node,
            address,
            started_at: now,
            incarnation,
            location,
            observations: (setup.registers != Registers::None).then_some(observations),
            traffic: Traffic::default(),
            processor: thread_time().saturating_sub(from),
            counts,
        }
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The counters of its state machine.
    pub fn counts(&self) -> &TrafficCounters {
        &self.counts
    }

    /// Converts the harness's clock to this incarnation's own, which starts at zero.
    fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Handles a datagram and polls, as a front's thread does; returns the messages to send.
    pub fn handle_datagram(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> Vec<Message> {
        let (local, began) = (self.local_time(now), thread_time());
        self.node.handle_datagram(local, from, bytes);
        self.node.poll(local);
        self.take_messages(local, began)
    }

    /// Runs the timers that are due; returns the messages to send.
    pub fn poll(&mut self, now: Duration) -> Vec<Message> {
        let (local, began) = (self.local_time(now), thread_time());
        self.node.poll(local);
        self.take_messages(local, began)
    }

    /// Releases all leases and leaves the fleet, as a front does on a graceful stop; returns the messages to send.
    pub fn leave(&mut self, now: Duration) -> Vec<Message> {
        let (local, began) = (self.local_time(now), thread_time());
        self.node.leave(local);
        self.take_messages(local, began)
    }

    fn take_messages(&mut self, local: Duration, began: Duration) -> Vec<Message> {
        let sent = self.node.take_outgoing();
        drop((self.node.take_control_updates(), self.node.take_actions(local)));
        self.processor += thread_time().saturating_sub(began);
        for message in &sent {
            self.traffic.count_sent(message.kind, message.datagram.bytes.len());
        }
        sent
    }

    /// Passes the state machine the zone observation that a front's requests would have produced.
    pub fn observe_zones(&self) {
        if let Some(observations) = &self.observations {
            let _ = observations.force_send(setup::healthy_observation(self.location));
        }
    }

    /// The time of its next poll, on the harness's clock.
    pub fn next_timeout(&self, now: Duration) -> Duration {
        let next_timeout =
            self.node.next_timeout().unwrap_or(Duration::MAX).saturating_sub(self.local_time(now));
        now + next_timeout.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
    }

    /// Its statistics of the fleet.
    pub fn census(&self, now: Duration) -> ClusterStats {
        self.node.stats(self.local_time(now))
    }

    /// The number of leases that it holds.
    pub fn leases_held(&self, now: Duration) -> usize {
        self.node.leases_held(self.local_time(now))
    }

    /// The number of other fronts that it sees.
    pub fn members(&self) -> usize {
        self.node.member_count()
    }

    /// Returns whether it holds the task's lease and may act now.
    pub fn may_act(&self, now: Duration, task: &str) -> bool {
        self.node.fencing_token(self.local_time(now), task).is_some()
    }
}
