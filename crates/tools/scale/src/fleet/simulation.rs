//! A fleet of simulated fronts in virtual time: one event queue, and one seed for all random numbers, so that a run is
//! reproducible.

use super::hollow::{Hollow, Start};
use super::network::{Network, Place};
use super::setup::{Registers, Setup, zone_failover_config};
use super::traffic::Traffic;
use fastrand::Rng;
use lemonusher_fleet::{ClusterStats, Message, MessageKind};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Fronts other than voters start at a random time within this window.
const START_SPREAD: Duration = Duration::from_secs(2);
/// The port of every front, whose encoding is as long as that of most ephemeral ports.
const PORT: u16 = 47_000;

enum EventKind {
    Poll {
        incarnation: u64,
    },
    /// Passes to the front the zone observation that requests, which are not simulated, would have produced in
    /// the last period.
    Observe {
        incarnation: u64,
    },
    Deliver {
        from: SocketAddr,
        kind: MessageKind,
        bytes: Vec<u8>,
    },
    Start,
}

struct Event {
    at: Duration,
    /// Orders events of the same time by their creation.
    sequence: u64,
    front: usize,
    event_kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A front of the fleet in its current incarnation; none while it is stopped.
#[derive(Default)]
struct Slot {
    front: Option<Hollow>,
    /// The time of its next scheduled poll.
    next_poll: Duration,
}

/// A simulated fleet.
pub struct Simulation {
    setup: Setup,
    /// The network between the fronts.
    pub network: Network,
    now: Duration,
    queue: BinaryHeap<Reverse<Event>>,
    sequence: u64,
    slots: Vec<Slot>,
    fronts_by_address: HashMap<SocketAddr, usize>,
    rng: Rng,
}

fn address(front: usize) -> SocketAddr {
    let [high, low] = (front as u16).to_be_bytes();
    SocketAddr::from(([10, Place::of(front).zone as u8, high, low], PORT))
}

impl Simulation {
    /// A fleet whose voters start at once and whose other fronts start at random within two seconds.
    pub fn new(setup: Setup) -> Simulation {
        let mut simulation = Simulation {
            network: Network { delays: setup.delays, loss: setup.loss, partitioned: false },
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            slots: (0..setup.fronts).map(|_| Slot::default()).collect(),
            fronts_by_address: (0..setup.fronts).map(|front| (address(front), front)).collect(),
            rng: Rng::with_seed(setup.seed),
            setup,
        };
        for front in 0..simulation.setup.fronts {
            let votes = front < simulation.setup.voters;
            let start_time = if votes { Duration::ZERO } else { START_SPREAD.mul_f64(simulation.rng.f64()) };
            simulation.start_at(front, start_time);
        }
        simulation
    }

    /// Virtual time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The number of fronts of the fleet.
    pub fn fronts(&self) -> usize {
        self.slots.len()
    }

    /// Schedules a new incarnation of a front, which replaces the running one.
    pub fn start_at(&mut self, front: usize, at: Duration) {
        self.push(at, front, EventKind::Start);
    }

    /// Ends a front without notifying the others.
    pub fn kill(&mut self, front: usize) {
        self.slots[front].front = None;
    }

    /// Stops a front gracefully.
    pub fn stop(&mut self, front: usize) {
        let Some(mut hollow) = self.slots[front].front.take() else { return };
        let sent = hollow.leave(self.now);
        self.send(front, sent);
    }

    /// A front; none if it is not running.
    pub fn front(&self, front: usize) -> Option<&Hollow> {
        self.slots[front].front.as_ref()
    }

    /// Messages and bytes that a front's current incarnation has sent and received.
    pub fn traffic(&self, front: usize) -> Traffic {
        self.front(front).map(|hollow| hollow.traffic.clone()).unwrap_or_default()
    }

    /// A front's statistics of the fleet.
    pub fn census(&self, front: usize) -> ClusterStats {
        self.front(front).map(|hollow| hollow.census(self.now)).unwrap_or_default()
    }

    /// The fronts that may act on a task now.
    pub fn holders(&self, task: &str) -> Vec<usize> {
        let holds = |front: &usize| self.front(*front).is_some_and(|hollow| hollow.may_act(self.now, task));
        (0..self.slots.len()).filter(holds).collect()
    }

    /// The number of leases that these fronts hold together.
    pub fn leases_held(&self, fronts: impl Iterator<Item = usize>) -> usize {
        fronts.filter_map(|front| self.front(front)).map(|hollow| hollow.leases_held(self.now)).sum()
    }

    /// The smallest number of other fronts that any running front sees.
    pub fn fewest_members(&self) -> usize {
        (0..self.slots.len()).filter_map(|front| self.front(front)).map(Hollow::members).min().unwrap_or(0)
    }

    /// Runs all events up to and including this time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(event)) = self.queue.peek() {
            if event.at > until {
                break;
            }
            let Some(Reverse(event)) = self.queue.pop() else { break };
            self.now = event.at;
            self.run_event(event);
        }
        self.now = until;
    }

    /// Runs all events of the next `span`.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Runs in steps until the condition holds; returns the time that took, none if it took longer than `max`.
    pub fn run_until_holds(
        &mut self,
        step: Duration,
        max: Duration,
        mut holds: impl FnMut(&Simulation) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while !holds(self) {
            if self.now >= began + max {
                return None;
            }
            self.run_for(step);
        }
        Some(self.now - began)
    }

    fn push(&mut self, at: Duration, front: usize, event_kind: EventKind) {
        self.sequence += 1;
        self.queue.push(Reverse(Event { at, sequence: self.sequence, front, event_kind }));
    }

    fn run_event(&mut self, event: Event) {
        let Event { at, front, event_kind, .. } = event;
        match event_kind {
            EventKind::Start => self.start_front(front),
            EventKind::Poll { incarnation } => self.poll(front, incarnation, at),
            EventKind::Observe { incarnation } => self.observe_zones(front, incarnation),
            EventKind::Deliver { from, kind, bytes } => self.deliver(front, from, kind, &bytes),
        }
    }

    fn start_front(&mut self, front: usize) {
        let start = Start {
            setup: &self.setup,
            front,
            address: address(front),
            voters: (0..self.setup.voters).map(address).collect(),
            location: Place::of(front).zone,
            now: self.now,
            incarnation: self.rng.u64(1..),
            seed: self.rng.u64(..),
        };
        let mut hollow = Hollow::new(start);
        let (incarnation, now) = (hollow.incarnation, self.now);
        let sent = hollow.poll(now);
        self.slots[front].front = Some(hollow);
        self.slots[front].next_poll = Duration::MAX;
        self.send(front, sent);
        self.schedule(front);
        if self.setup.registers != Registers::None {
            let first = zone_failover_config().report_interval.mul_f64(self.rng.f64());
            self.push(now + first, front, EventKind::Observe { incarnation });
        }
    }

    fn poll(&mut self, front: usize, incarnation: u64, at: Duration) {
        let slot = &mut self.slots[front];
        let Some(hollow) = slot.front.as_mut().filter(|hollow| hollow.incarnation == incarnation) else {
            return;
        };
        // A poll scheduled for an earlier time has replaced this one.
        if slot.next_poll != at {
            return;
        }
        slot.next_poll = Duration::MAX;
        let sent = hollow.poll(self.now);
        self.send(front, sent);
        self.schedule(front);
    }

    fn observe_zones(&mut self, front: usize, incarnation: u64) {
        let Some(hollow) =
            self.slots[front].front.as_ref().filter(|hollow| hollow.incarnation == incarnation)
        else {
            return;
        };
        hollow.observe_zones();
        self.push(
            self.now + zone_failover_config().report_interval,
            front,
            EventKind::Observe { incarnation },
        );
    }

    fn deliver(&mut self, front: usize, from: SocketAddr, kind: MessageKind, bytes: &[u8]) {
        let Some(hollow) = &mut self.slots[front].front else { return };
        hollow.traffic.count_received(kind, bytes.len());
        let sent = hollow.handle_datagram(self.now, from, bytes);
        self.send(front, sent);
        self.schedule(front);
    }

    /// Schedules the next poll, if it is earlier than the one already scheduled.
    fn schedule(&mut self, front: usize) {
        let Some(hollow) = &self.slots[front].front else { return };
        let (next_timeout, incarnation) = (hollow.next_timeout(self.now), hollow.incarnation);
        if next_timeout < self.slots[front].next_poll {
            self.slots[front].next_poll = next_timeout;
            self.push(next_timeout, front, EventKind::Poll { incarnation });
        }
    }

    fn send(&mut self, sender: usize, sent: Vec<Message>) {
        let from = address(sender);
        for Message { kind, datagram } in sent {
            let Some(front) = self.fronts_by_address.get(&datagram.to).copied() else { continue };
            let delay = self.network.delay(Place::of(sender), Place::of(front), &mut self.rng);
            if let Some(delay) = delay {
                self.push(self.now + delay, front, EventKind::Deliver { from, kind, bytes: datagram.bytes });
            }
        }
    }
}
