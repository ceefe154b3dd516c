//! Failure detector: which fronts are there, by SWIM (the crate `foca`) over whatever carries bytes. Its word is a **hint**: a
//! member that is told as gone may act on, and one told as there may be dead. What must be safe rests on leases and
//! registers; what hints are good for is whom to count, whom to ask, and what to show an operator.
//!
//! Nothing here opens sockets or reads clocks: time is a span since any origin, chance comes from a seed.

mod gossip;

pub use gossip::{GossipRecord, MAX_EJECTED_ENGINES};

use foca::{AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PostcardCodec, Timer};
use gossip::GossipRecords;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members that are kept at most; who comes beyond is not let in.
pub const MAX_MEMBERS: usize = 4096;
/// What is sent is no longer than this, in bytes, so that it fits a datagram with what goes round it.
pub const MAX_MESSAGE_BYTES: usize = 900;
/// Bytes of a member's name at most.
pub const MAX_NAME_BYTES: usize = 64;
const INDIRECT_PROBES: usize = 3; // Members that are asked to look after one who does not answer.
const PROBE_TIMEOUT_DIVISOR: u32 = 3; // A probe is answered within this part of the period, or others look after him.
const SUSPICION_PERIODS: u32 = 6; // Periods for which one under suspicion may still speak up.
const FORGET_PERIODS: u32 = 60; // Periods after which one who is gone is forgotten.
const SEED_ANNOUNCE_PERIODS: u32 = 4; // Periods between greetings to one who should be there and is not.
const MAX_SEEDS: usize = MAX_MEMBERS;
const MAX_TIMERS: usize = MAX_MEMBERS * 4;

/// One incarnation of one front. A front that has restarted, also under the same name and address, is another member: the old
/// incarnation is found gone by itself, whatever its clock said.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    /// Drawn anew at each start; never 0.
    pub incarnation: u64,
    /// Where it stands.
    pub zone: u32,
    /// Counts up when it hears that others hold it for gone.
    pub refutations: u16,
}

/// By what a member is reached: an incarnation, or, where that is not known, whoever listens there.
#[derive(Debug, Clone, Copy)]
pub struct MemberAddress {
    incarnation: u64,
}

impl PartialEq for MemberAddress {
    /// A greeting to whoever listens there is meant for whoever hears it, by what address ever: relays hide addresses.
    fn eq(&self, other: &MemberAddress) -> bool {
        self.incarnation == other.incarnation || self.incarnation == 0 || other.incarnation == 0
    }
}

impl Identity for Member {
    type Addr = MemberAddress;

    fn renew(&self) -> Option<Self> {
        Some(Member { refutations: self.refutations.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> MemberAddress {
        MemberAddress { incarnation: self.incarnation }
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.refutations > other.refutations
    }
}

/// What has changed among the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    Joined(Member),
    /// It has not answered for long, or said that it leaves.
    Left(Member),
    /// Others held this front for gone; it has said that it is not.
    Refuted,
}

/// What a fleet states alike of its members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Each looks after one other in this span.
    pub probe_interval: Duration,
}

/// The members as one front sees them.
pub struct FailureDetector {
    local: Member,
    foca: Foca<Member, PostcardCodec, StdRng, GossipRecords>,
    records: GossipRecords,
    timers: BTreeMap<(Duration, u64), Timer<Member>>,
    next_timer: u64,
    outgoing: VecDeque<(SocketAddr, Vec<u8>)>,
    changes: Vec<MembershipChange>,
    alive: BTreeMap<u64, Member>,
    record_sequence: u32,
    left: bool,
    probe_interval: Duration,
    /// Addresses at which members should be found, and when the next of them is greeted.
    seeds: VecDeque<SocketAddr>,
    next_announce: Duration,
}

impl FailureDetector {
    pub fn new(local: Member, config: DetectorConfig, seed: u64) -> FailureDetector {
        let records = GossipRecords::default();
        let foca = Foca::with_custom_broadcast(
            local.clone(),
            foca_config(config),
            StdRng::seed_from_u64(seed),
            PostcardCodec,
            records.clone(),
        );
        FailureDetector {
            local,
            foca,
            records,
            timers: BTreeMap::new(),
            next_timer: 0,
            outgoing: VecDeque::new(),
            changes: Vec::new(),
            alive: BTreeMap::new(),
            record_sequence: 0,
            left: false,
            probe_interval: config.probe_interval,
            seeds: VecDeque::new(),
            next_announce: Duration::ZERO,
        }
    }

    /// The others that are there, as far as is known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.alive.values()
    }

    /// The latest fact that a member has told of itself.
    pub fn gossip_of(&self, incarnation: u64) -> Option<GossipRecord> {
        self.records.of(incarnation)
    }

    /// Makes itself known to whoever listens there, now and whenever nobody there is known: so parts of a fleet that
    /// lost sight of each other find together again.
    pub fn add_seed(&mut self, now: Duration, address: SocketAddr) {
        if address != self.local.address && self.seeds.len() < MAX_SEEDS && !self.seeds.contains(&address) {
            self.seeds.push_back(address);
        }
        self.announce(now, address);
    }

    fn announce(&mut self, now: Duration, address: SocketAddr) {
        if address == self.local.address || self.left {
            return;
        }
        let unknown = Member { name: String::new(), address, incarnation: 0, zone: 0, refutations: 0 };
        self.run(now, |foca, runtime| foca.announce(unknown, runtime));
    }

    /// Tells the others a fact about this front; it takes the place of the one before.
    pub fn publish(&mut self, record: GossipRecord) {
        self.record_sequence += 1;
        if let Some(bytes) = gossip::encode(self.local.incarnation, self.record_sequence, record) {
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Takes in what another has sent; bytes that can't be read, or are not for this incarnation, change nothing.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        if bytes.len() <= MAX_MESSAGE_BYTES {
            self.run(now, |foca, runtime| foca.handle_data(bytes, runtime));
        }
    }

    /// Does what is due.
    pub fn poll(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            self.run(now, |foca, runtime| foca.handle_timer(timer, runtime));
        }
        if self.next_announce <= now {
            self.next_announce = now + self.probe_interval * SEED_ANNOUNCE_PERIODS;
            if let Some(next_timer) = self.seeds.pop_front() {
                self.seeds.push_back(next_timer);
                if !self.alive.values().any(|member| member.address == next_timer) {
                    self.announce(now, next_timer);
                }
            }
        }
    }

    pub fn next_timeout(&self) -> Option<Duration> {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        timer.into_iter().chain((!self.seeds.is_empty()).then_some(self.next_announce)).min()
    }

    /// Tells some that it goes, and says no more.
    pub fn leave(&mut self, now: Duration) {
        self.run(now, |foca, runtime| foca.leave_cluster(runtime));
        self.left = true;
        self.timers.clear();
    }

    /// What is to be sent, in order.
    pub fn take_outgoing(&mut self) -> impl Iterator<Item = (SocketAddr, Vec<u8>)> + '_ {
        self.outgoing.drain(..)
    }

    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Runs a part of the detector, and takes over what it wants.
    fn run(
        &mut self,
        now: Duration,
        step: impl FnOnce(
            &mut Foca<Member, PostcardCodec, StdRng, GossipRecords>,
            &mut AccumulatingRuntime<Member>,
        ) -> Result<(), foca::Error>,
    ) {
        if self.left {
            return;
        }
        let mut runtime = AccumulatingRuntime::new();
        // What can't be read, or is meant for an earlier incarnation, is as if it had been lost.
        let _ = step(&mut self.foca, &mut runtime);
        while let Some((to, bytes)) = runtime.to_send() {
            self.outgoing.push_back((to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            if self.timers.len() < MAX_TIMERS {
                self.next_timer += 1;
                self.timers.insert((now + after, self.next_timer), timer);
            }
        }
        while let Some(notification) = runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) if self.is_admissible(&member) => {
                    self.alive.insert(member.incarnation, member.clone());
                    self.changes.push(MembershipChange::Joined(member));
                }
                OwnedNotification::MemberDown(member) => {
                    self.records.forget(member.incarnation);
                    if let Some(member) = self.alive.remove(&member.incarnation) {
                        self.changes.push(MembershipChange::Left(member));
                    }
                }
                OwnedNotification::Rename(_, after) => {
                    self.alive.insert(after.incarnation, after);
                }
                OwnedNotification::Rejoin(local) => {
                    self.local = local;
                    self.changes.push(MembershipChange::Refuted);
                }
                _ => {}
            }
        }
    }

    /// Guards the table against names without end.
    fn is_admissible(&self, member: &Member) -> bool {
        let room = self.alive.len() < MAX_MEMBERS || self.alive.contains_key(&member.incarnation);
        member.name.len() <= MAX_NAME_BYTES && room
    }
}

fn foca_config(config: DetectorConfig) -> Config {
    let probe_interval = config.probe_interval.max(Duration::from_millis(20));
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: probe_interval,
        probe_rtt: probe_interval / PROBE_TIMEOUT_DIVISOR,
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: probe_interval * SUSPICION_PERIODS,
        remove_down_after: Some(probe_interval * FORGET_PERIODS),
        max_packet_size: non_zero(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: Some(foca::PeriodicParams {
            frequency: probe_interval * 20,
            num_members: non_zero(1),
        }),
        periodic_announce_to_down_members: Some(foca::PeriodicParams {
            frequency: probe_interval * 30,
            num_members: non_zero(1),
        }),
        periodic_gossip: Some(foca::PeriodicParams {
            frequency: probe_interval / 3,
            num_members: non_zero(2),
        }),
    }
}
