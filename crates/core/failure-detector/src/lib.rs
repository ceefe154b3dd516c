//! Failure detector: which fronts are there, by SWIM (the crate `foca`) over whatever carries bytes. Its word is a **hint**: a
//! member that is told as gone may act on, and one told as there may be dead. What must be safe rests on leases and
//! registers; what hints are good for is whom to count, whom to ask, and what to show an operator.
//!
//! Nothing here opens sockets or reads clocks: time is a span since any origin, chance comes from a seed.

mod gossip;

pub use gossip::{GossipRecord, MAX_EJECTED_ENGINES};

use foca::{AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PostcardCodec, Timer};
use gossip::Facts;
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
const INDIRECT: usize = 3; // Members that are asked to look after one who does not answer.
const ANSWERED_BY: u32 = 3; // A probe is answered within this part of the period, or others look after him.
const SUSPECTED: u32 = 6; // Periods for which one under suspicion may still speak up.
const FORGOTTEN: u32 = 60; // Periods after which one who is gone is forgotten.
const GREETED: u32 = 4; // Periods between greetings to one who should be there and is not.
const MOST_GREETED: usize = MAX_MEMBERS;
const MOST_TIMERS: usize = MAX_MEMBERS * 4;

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
    born: u64,
}

impl PartialEq for MemberAddress {
    /// A greeting to whoever listens there is meant for whoever hears it, by what address ever: relays hide addresses.
    fn eq(&self, other: &MemberAddress) -> bool {
        self.born == other.born || self.born == 0 || other.born == 0
    }
}

impl Identity for Member {
    type Addr = MemberAddress;

    fn renew(&self) -> Option<Self> {
        Some(Member { refutations: self.refutations.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> MemberAddress {
        MemberAddress { born: self.incarnation }
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
    me: Member,
    swim: Foca<Member, PostcardCodec, StdRng, Facts>,
    facts: Facts,
    timers: BTreeMap<(Duration, u64), Timer<Member>>,
    next: u64,
    take_outgoing: VecDeque<(SocketAddr, Vec<u8>)>,
    take_changes: Vec<MembershipChange>,
    alive: BTreeMap<u64, Member>,
    fact_number: u32,
    left: bool,
    period: Duration,
    /// Addresses at which members should be found, and when the next of them is greeted.
    greeted: VecDeque<SocketAddr>,
    greets: Duration,
}

impl FailureDetector {
    pub fn new(me: Member, terms: DetectorConfig, seed: u64) -> FailureDetector {
        let facts = Facts::default();
        let swim = Foca::with_custom_broadcast(
            me.clone(),
            settled(terms),
            StdRng::seed_from_u64(seed),
            PostcardCodec,
            facts.clone(),
        );
        FailureDetector {
            me,
            swim,
            facts,
            timers: BTreeMap::new(),
            next: 0,
            take_outgoing: VecDeque::new(),
            take_changes: Vec::new(),
            alive: BTreeMap::new(),
            fact_number: 0,
            left: false,
            period: terms.probe_interval,
            greeted: VecDeque::new(),
            greets: Duration::ZERO,
        }
    }

    /// The others that are there, as far as is known.
    pub fn there(&self) -> impl Iterator<Item = &Member> {
        self.alive.values()
    }

    /// The latest fact that a member has told of itself.
    pub fn gossip_of(&self, born: u64) -> Option<GossipRecord> {
        self.facts.of(born)
    }

    /// Makes itself known to whoever listens there, now and whenever nobody there is known: so parts of a fleet that
    /// lost sight of each other find together again.
    pub fn add_seed(&mut self, now: Duration, address: SocketAddr) {
        if address != self.me.address && self.greeted.len() < MOST_GREETED && !self.greeted.contains(&address)
        {
            self.greeted.push_back(address);
        }
        self.greet(now, address);
    }

    fn greet(&mut self, now: Duration, address: SocketAddr) {
        if address == self.me.address || self.left {
            return;
        }
        let unknown = Member { name: String::new(), address, incarnation: 0, zone: 0, refutations: 0 };
        self.with(now, |swim, out| swim.announce(unknown, out));
    }

    /// Tells the others a fact about this front; it takes the place of the one before.
    pub fn publish(&mut self, fact: GossipRecord) {
        self.fact_number += 1;
        if let Some(bytes) = gossip::sealed(self.me.incarnation, self.fact_number, fact) {
            let _ = self.swim.add_broadcast(&bytes);
        }
    }

    /// Takes in what another has sent; bytes that can't be read, or are not for this incarnation, change nothing.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) {
        if bytes.len() <= MAX_MESSAGE_BYTES {
            self.with(now, |swim, out| swim.handle_data(bytes, out));
        }
    }

    /// Does what is due.
    pub fn poll(&mut self, now: Duration) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            self.with(now, |swim, out| swim.handle_timer(timer, out));
        }
        if self.greets <= now {
            self.greets = now + self.period * GREETED;
            if let Some(next) = self.greeted.pop_front() {
                self.greeted.push_back(next);
                if !self.alive.values().any(|member| member.address == next) {
                    self.greet(now, next);
                }
            }
        }
    }

    pub fn next_timeout(&self) -> Option<Duration> {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        timer.into_iter().chain((!self.greeted.is_empty()).then_some(self.greets)).min()
    }

    /// Tells some that it goes, and says no more.
    pub fn leave(&mut self, now: Duration) {
        self.with(now, |swim, out| swim.leave_cluster(out));
        self.left = true;
        self.timers.clear();
    }

    /// What is to be sent, in order.
    pub fn sends(&mut self) -> impl Iterator<Item = (SocketAddr, Vec<u8>)> + '_ {
        self.take_outgoing.drain(..)
    }

    pub fn changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.take_changes)
    }

    /// Runs a part of the detector, and takes over what it wants.
    fn with(
        &mut self,
        now: Duration,
        part: impl FnOnce(
            &mut Foca<Member, PostcardCodec, StdRng, Facts>,
            &mut AccumulatingRuntime<Member>,
        ) -> Result<(), foca::Error>,
    ) {
        if self.left {
            return;
        }
        let mut out = AccumulatingRuntime::new();
        // What can't be read, or is meant for an earlier incarnation, is as if it had been lost.
        let _ = part(&mut self.swim, &mut out);
        while let Some((to, bytes)) = out.to_send() {
            self.take_outgoing.push_back((to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = out.to_schedule() {
            if self.timers.len() < MOST_TIMERS {
                self.next += 1;
                self.timers.insert((now + after, self.next), timer);
            }
        }
        while let Some(notice) = out.to_notify() {
            match notice {
                OwnedNotification::MemberUp(member) if self.fits(&member) => {
                    self.alive.insert(member.incarnation, member.clone());
                    self.take_changes.push(MembershipChange::Joined(member));
                }
                OwnedNotification::MemberDown(member) => {
                    self.facts.forget(member.incarnation);
                    if let Some(member) = self.alive.remove(&member.incarnation) {
                        self.take_changes.push(MembershipChange::Left(member));
                    }
                }
                OwnedNotification::Rename(_, after) => {
                    self.alive.insert(after.incarnation, after);
                }
                OwnedNotification::Rejoin(me) => {
                    self.me = me;
                    self.take_changes.push(MembershipChange::Refuted);
                }
                _ => {}
            }
        }
    }

    /// Guards the table against names without end.
    fn fits(&self, member: &Member) -> bool {
        let room = self.alive.len() < MAX_MEMBERS || self.alive.contains_key(&member.incarnation);
        member.name.len() <= MAX_NAME_BYTES && room
    }
}

fn settled(terms: DetectorConfig) -> Config {
    let period = terms.probe_interval.max(Duration::from_millis(20));
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: period,
        probe_rtt: period / ANSWERED_BY,
        num_indirect_probes: some(INDIRECT),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: period * SUSPECTED,
        remove_down_after: Some(period * FORGOTTEN),
        max_packet_size: some(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: Some(foca::PeriodicParams { frequency: period * 20, num_members: some(1) }),
        periodic_announce_to_down_members: Some(foca::PeriodicParams {
            frequency: period * 30,
            num_members: some(1),
        }),
        periodic_gossip: Some(foca::PeriodicParams { frequency: period / 3, num_members: some(2) }),
    }
}
