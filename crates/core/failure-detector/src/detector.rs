//! The failure detector as a state machine on top of the crate `foca`. Events are datagrams,
//! [`FailureDetector::poll`] and the calls of this front; outputs are [`FailureDetector::take_outgoing`] and
//! [`FailureDetector::take_changes`].

use crate::gossip::{self, GossipRecords};
use crate::{
    DetectorConfig, GossipRecord, MAX_MEMBERS, MAX_MESSAGE_BYTES, MAX_NAME_BYTES, Member, MembershipChange,
};
use foca::{AccumulatingRuntime, Foca, OwnedNotification, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of configured probe intervals from one seed address to the next. Each seed address in turn is sent an
/// announcement if no member is known there.
const SEED_ANNOUNCE_PERIODS: u32 = 4;
/// Maximum number of seed addresses; an announcement to a further one is sent only once.
const MAX_SEEDS: usize = MAX_MEMBERS;
/// Maximum number of pending timers of `foca`; further ones are dropped.
const MAX_TIMERS: usize = MAX_MEMBERS * 4;

type Swim = Foca<Member, PostcardCodec, StdRng, GossipRecords>;

/// A datagram to another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The address of the receiver.
    pub to: SocketAddr,
    /// The payload, of at most [`MAX_MESSAGE_BYTES`] bytes.
    pub bytes: Vec<u8>,
}

/// Orders timers by due time, then by the order in which they were set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Duration,
    sequence: u64,
}

/// The membership of the fleet as one front sees it.
pub struct FailureDetector {
    /// The identity of this front.
    local: Member,
    swim: Swim,
    records: GossipRecords,
    timers: BTreeMap<TimerKey, Timer<Member>>,
    /// The sequence number of the timer set last.
    timer_sequence: u64,
    outgoing: Vec<Datagram>,
    changes: Vec<MembershipChange>,
    /// The other members, by incarnation.
    members: BTreeMap<u64, Member>,
    /// The sequence number of the record that this front published last.
    record_sequence: u32,
    /// Set by [`FailureDetector::leave`]. After that, events are ignored and no more datagrams are created.
    has_left: bool,
    probe_interval: Duration,
    /// Addresses at which members are expected, in the order of the next announcements.
    seeds: VecDeque<SocketAddr>,
    next_announce: Duration,
}

impl FailureDetector {
    /// Creates a detector that knows no other member. `seed` initializes its random number generator.
    pub fn new(local: Member, config: DetectorConfig, seed: u64) -> FailureDetector {
        let records = GossipRecords::default();
        let random = StdRng::seed_from_u64(seed);
        let foca_config = config.foca_config();
        let swim =
            Foca::with_custom_broadcast(local.clone(), foca_config, random, PostcardCodec, records.clone());
        FailureDetector {
            local,
            swim,
            records,
            timers: BTreeMap::new(),
            timer_sequence: 0,
            outgoing: Vec::new(),
            changes: Vec::new(),
            members: BTreeMap::new(),
            record_sequence: 0,
            has_left: false,
            probe_interval: config.probe_interval,
            seeds: VecDeque::new(),
            next_announce: Duration::ZERO,
        }
    }

    /// The other members that this front knows.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The latest gossip record of the member with this incarnation.
    pub fn gossip_of(&self, incarnation: u64) -> Option<GossipRecord> {
        self.records.get(incarnation)
    }

    /// Announces this front to an address, now and periodically while no member is known there, so that parts of
    /// a fleet find each other again after a partition.
    pub fn add_seed(&mut self, now: Duration, address: SocketAddr) {
        if address != self.local.address && self.seeds.len() < MAX_SEEDS && !self.seeds.contains(&address) {
            self.seeds.push_back(address);
        }
        self.announce(now, address);
    }

    /// Disseminates a gossip record to all other members. It replaces this front's previous record.
    pub fn publish(&mut self, record: GossipRecord) {
        self.record_sequence += 1;
        if let Some(bytes) = gossip::encode(self.local.incarnation, self.record_sequence, record) {
            let _ = self.swim.add_broadcast(&bytes);
        }
    }

    /// Handles a datagram from another member. One that is malformed or for another incarnation changes nothing.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        if bytes.len() <= MAX_MESSAGE_BYTES {
            self.run(now, |swim, runtime| swim.handle_data(bytes, runtime));
        }
    }

    /// Runs the timers that are due, and announces this front to the next seed address.
    pub fn poll(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().due <= now) {
            let timer = entry.remove();
            self.run(now, |swim, runtime| swim.handle_timer(timer, runtime));
        }
        if self.next_announce <= now {
            self.next_announce = now + self.probe_interval * SEED_ANNOUNCE_PERIODS;
            self.announce_to_next_seed(now);
        }
    }

    /// The next time at which [`FailureDetector::poll`] has something to do.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timer = self.timers.first_key_value().map(|(key, _)| key.due);
        timer.into_iter().chain((!self.seeds.is_empty()).then_some(self.next_announce)).min()
    }

    /// Notifies some members that this front leaves. After that, the detector ignores all events.
    pub fn leave(&mut self, now: Duration) {
        self.run(now, |swim, runtime| swim.leave_cluster(runtime));
        self.has_left = true;
        self.timers.clear();
    }

    /// The datagrams to send since the last call, in order.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// The changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    fn announce(&mut self, now: Duration, address: SocketAddr) {
        if address == self.local.address || self.has_left {
            return;
        }
        let unknown = Member { name: String::new(), address, incarnation: 0, zone: 0, refutations: 0 };
        self.run(now, |swim, runtime| swim.announce(unknown, runtime));
    }

    fn announce_to_next_seed(&mut self, now: Duration) {
        let Some(seed) = self.seeds.pop_front() else { return };
        self.seeds.push_back(seed);
        if !self.members.values().any(|member| member.address == seed) {
            self.announce(now, seed);
        }
    }

    /// Runs one step of `foca` and collects its outputs: datagrams, timers and notifications.
    fn run(
        &mut self,
        now: Duration,
        step: impl FnOnce(&mut Swim, &mut AccumulatingRuntime<Member>) -> Result<(), foca::Error>,
    ) {
        if self.has_left {
            return;
        }
        let mut runtime = AccumulatingRuntime::new();
        // A malformed datagram, or one for an earlier incarnation, counts as lost.
        let _ = step(&mut self.swim, &mut runtime);
        while let Some((to, bytes)) = runtime.to_send() {
            self.outgoing.push(Datagram { to: to.address, bytes: bytes.to_vec() });
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.set_timer(now + after, timer);
        }
        while let Some(notification) = runtime.to_notify() {
            self.handle_notification(notification);
        }
    }

    fn set_timer(&mut self, due: Duration, timer: Timer<Member>) {
        if self.timers.len() < MAX_TIMERS {
            self.timer_sequence += 1;
            self.timers.insert(TimerKey { due, sequence: self.timer_sequence }, timer);
        }
    }

    fn handle_notification(&mut self, notification: OwnedNotification<Member>) {
        match notification {
            OwnedNotification::MemberUp(member) if self.is_admissible(&member) => {
                self.members.insert(member.incarnation, member.clone());
                self.changes.push(MembershipChange::Joined(member));
            }
            OwnedNotification::MemberDown(member) => {
                self.records.forget(member.incarnation);
                if let Some(member) = self.members.remove(&member.incarnation) {
                    self.changes.push(MembershipChange::Left(member));
                }
            }
            OwnedNotification::Rename(_, after) => {
                self.members.insert(after.incarnation, after);
            }
            OwnedNotification::Rejoin(local) => {
                self.local = local;
                self.changes.push(MembershipChange::Refuted);
            }
            _ => {}
        }
    }

    /// Checks the limits on the number of members and the length of their names.
    fn is_admissible(&self, member: &Member) -> bool {
        let has_capacity = self.members.len() < MAX_MEMBERS || self.members.contains_key(&member.incarnation);
        member.name.len() <= MAX_NAME_BYTES && has_capacity
    }
}
