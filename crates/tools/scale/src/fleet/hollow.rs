//! One hollow front: its state machine, what it has sent and heard, and the processor time that it took.

use super::setup::{self, Registers, Setup};
use super::traffic::Traffic;
use crate::process::thread_time;
use async_channel::Sender;
use lemonusher_fleet::{ClusterStats, Message, Node, StartParameters, TrafficCounters};
use lemonusher_routing::ZoneObservation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A front's thread looks round this often at least.
const NAP: Duration = Duration::from_millis(20);
/// A thread that has nothing to wait for waits so long all the same.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
/// A date in 2026, in milliseconds since 1970, at the origin of the rig's time.
const DATE_MS: u64 = 1_796_000_000_000;

pub struct Hollow {
    node: Node,
    address: SocketAddr,
    /// When this life began, on the rig's clock.
    born: Duration,
    /// The number of this life, which parts its wake-ups from those of an earlier one.
    pub life: u64,
    location: u32,
    sees: Option<Sender<ZoneObservation>>,
    pub traffic: Traffic,
    /// What all calls into the state machine took.
    pub processor: Duration,
    counts: Arc<TrafficCounters>,
}

/// Where and when a life begins.
pub struct Start<'a> {
    pub setup: &'a Setup,
    pub front: usize,
    pub address: SocketAddr,
    pub voters: Vec<SocketAddr>,
    pub location: u32,
    pub now: Duration,
    pub life: u64,
    pub seed: u64,
}

impl Hollow {
    pub fn new(start: Start) -> Hollow {
        let (told, seen) = async_channel::bounded(1);
        let Start { setup, front, address, voters, location, now, life, seed } = start;
        let terms = setup.terms(front, address, voters, location, seen);
        let date_ms = DATE_MS + now.as_millis() as u64;
        let counts = Arc::new(TrafficCounters::default());
        let from = thread_time();
        let node = Node::new(
            terms,
            StartParameters { address, incarnation: life, unix_time_ms: date_ms, seed },
            None,
            counts.clone(),
        );
        Hollow {
            node,
            address,
            born: now,
            life,
            location,
            sees: (setup.registers != Registers::None).then_some(told),
            traffic: Traffic::default(),
            processor: thread_time().saturating_sub(from),
            counts,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn counts(&self) -> &TrafficCounters {
        &self.counts
    }

    /// This life's own clock.
    fn local(&self, now: Duration) -> Duration {
        now.saturating_sub(self.born)
    }

    /// Hears a datagram, and does what is due then, as a front's thread does.
    pub fn hear(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> Vec<Message> {
        let (local, began) = (self.local(now), thread_time());
        self.node.handle_datagram(local, from, bytes);
        self.node.poll(local);
        self.sent(began)
    }

    pub fn wake(&mut self, now: Duration) -> Vec<Message> {
        let (local, began) = (self.local(now), thread_time());
        self.node.poll(local);
        self.sent(began)
    }

    /// Lets go of all that it holds and says that it leaves, as a front does that is stopped in order.
    pub fn leave(&mut self, now: Duration) -> Vec<Message> {
        let (local, began) = (self.local(now), thread_time());
        self.node.leave(local);
        self.sent(began)
    }

    fn sent(&mut self, began: Duration) -> Vec<Message> {
        let sent = self.node.take_outgoing();
        drop((self.node.take_control_updates(), self.node.take_actions()));
        self.processor += thread_time().saturating_sub(began);
        for message in &sent {
            self.traffic.count_sent(message.kind, message.datagram.bytes.len());
        }
        sent
    }

    /// Tells it what a front's requests would have shown of the zones.
    pub fn see(&self) {
        if let Some(sees) = &self.sees {
            let _ = sees.force_send(setup::seen(self.location));
        }
    }

    /// When it wants to be woken, on the rig's clock.
    pub fn due(&self, now: Duration) -> Duration {
        let due = self.node.next_timeout().unwrap_or(Duration::MAX).saturating_sub(self.local(now));
        now + due.clamp(SHORTEST_WAIT, NAP)
    }

    pub fn census(&self, now: Duration) -> ClusterStats {
        self.node.stats(self.local(now))
    }

    pub fn leases_held(&self, now: Duration) -> usize {
        self.node.leases_held(self.local(now))
    }

    pub fn members(&self) -> usize {
        self.node.member_count()
    }

    pub fn may_act(&self, now: Duration, task: &str) -> bool {
        self.node.fencing_token(self.local(now), task).is_some()
    }
}
