//! Drives `foca` as a state machine. Events are datagrams, [`FailureDetector::poll`] and the calls of this front; outputs
//! are [`FailureDetector::take_outgoing`] and [`FailureDetector::take_changes`].

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

/// Probe intervals between announcements to a seed address at which no member is known.
const SEED_ANNOUNCE_PERIODS: u32 = 4;
/// Seed addresses at most; further ones are announced to once only.
const MAX_SEEDS: usize = MAX_MEMBERS;
/// Timers of `foca` at most; further ones are dropped.
const MAX_TIMERS: usize = MAX_MEMBERS * 4;

type Swim = Foca<Member, PostcardCodec, StdRng, GossipRecords>;

/// Bytes for another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// Where to send them.
    pub to: SocketAddr,
    /// At most [`MAX_MESSAGE_BYTES`].
    pub bytes: Vec<u8>,
}

/// Orders timers by time, then by when they were set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Duration,
    sequence: u64,
}

/// The members as one front sees them.
pub struct FailureDetector {
    /// This front.
    local: Member,
    swim: Swim,
    records: GossipRecords,
    timers: BTreeMap<TimerKey, Timer<Member>>,
    /// The sequence of the latest timer.
    timer_sequence: u64,
    outgoing: Vec<Datagram>,
    changes: Vec<MembershipChange>,
    /// The other members, by incarnation.
    members: BTreeMap<u64, Member>,
    /// The sequence of the latest record that this front has published.
    record_sequence: u32,
    /// Set by [`FailureDetector::leave`]; nothing is sent any more.
    has_left: bool,
    probe_interval: Duration,
    /// Addresses at which members should be found, the next one to announce to first.
    seeds: VecDeque<SocketAddr>,
    next_announce: Duration,
}

impl FailureDetector {
    /// A detector that knows no other member. `seed` is that of its random choices.
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

    /// The other members, as far as is known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The latest record of the member with this incarnation.
    pub fn gossip_of(&self, incarnation: u64) -> Option<GossipRecord> {
        self.records.of(incarnation)
    }

    /// Announces this front to an address, now and whenever no member is known there, so that parts of a fleet that were
    /// partitioned find each other again.
    pub fn add_seed(&mut self, now: Duration, address: SocketAddr) {
        if address != self.local.address && self.seeds.len() < MAX_SEEDS && !self.seeds.contains(&address) {
            self.seeds.push_back(address);
        }
        self.announce(now, address);
    }

    /// Sends a record to all other members; it replaces the one before.
    pub fn publish(&mut self, record: GossipRecord) {
        self.record_sequence += 1;
        if let Some(bytes) = gossip::encode(self.local.incarnation, self.record_sequence, record) {
            let _ = self.swim.add_broadcast(&bytes);
        }
    }

    /// Takes in what another member has sent. Bytes that can't be read, or are for another incarnation, change nothing.
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

    /// When [`FailureDetector::poll`] has something to do next.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timer = self.timers.first_key_value().map(|(key, _)| key.due);
        timer.into_iter().chain((!self.seeds.is_empty()).then_some(self.next_announce)).min()
    }

    /// Reports to some members that this front leaves. Nothing is sent after that.
    pub fn leave(&mut self, now: Duration) {
        self.run(now, |swim, runtime| swim.leave_cluster(runtime));
        self.has_left = true;
        self.timers.clear();
    }

    /// What is to be sent since the last call, in order.
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

    /// Runs one step of `foca` and takes over its outputs.
    fn run(
        &mut self,
        now: Duration,
        step: impl FnOnce(&mut Swim, &mut AccumulatingRuntime<Member>) -> Result<(), foca::Error>,
    ) {
        if self.has_left {
            return;
        }
        let mut runtime = AccumulatingRuntime::new();
        // What can't be read, or is for an earlier incarnation, counts as lost.
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

    /// Bounds the number of members and the length of their names.
    fn is_admissible(&self, member: &Member) -> bool {
        let has_room = self.members.len() < MAX_MEMBERS || self.members.contains_key(&member.incarnation);
        member.name.len() <= MAX_NAME_BYTES && has_room
    }
}
