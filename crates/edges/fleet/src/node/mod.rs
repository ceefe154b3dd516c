//! A front's part in the fleet as a state machine: it hears datagrams and is woken, and what it wants sent is taken from
//! it. It opens no socket and reads no clock: time is a span since this incarnation began, chance comes from a seed. A thread
//! drives one with a socket ([`crate::start`]); hundreds can be driven in virtual time.

mod hear;
mod settle;
mod show;

use crate::Terms;
use crate::acts::{Acts, Refusal};
use crate::disk::Disk;
use crate::frame::{Body, Kind};
use crate::sites::{self, Sites};
use crate::wire::{Counts, Wire};
use crate::works::{self, Works};
use lemonusher_failure_detector as detector;
use lemonusher_leases::{
    Incarnation, LeaseChange, LeaseClient, MAX_TASKS, OutboundMessage, QuotaSlots, Voter, quota_share,
};
use lemonusher_maintenance::MAX_REQUESTS;
use lemonusher_registers::{self as registers, Acceptor, AcceptorState, Learner, Proposer};
use lemonusher_routing::ControlUpdate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const DETECTOR_PART: u32 = 6; // The failure detector's period is this part of a lease.
const FOLLOW_PART: u32 = 4; // Registers are asked about once in this part of a lease.

/// Bytes for an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

/// A sealed message for another front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    pub kind: Kind,
    pub datagram: Datagram,
}

/// What is drawn anew, or read from the machine, at each start.
#[derive(Debug, Clone, Copy)]
pub struct Birth {
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of this incarnation; never 0.
    pub life: u64,
    /// Milliseconds since 1970.
    pub date_ms: u64,
    pub seed: u64,
}

/// How much a front holds of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Census {
    /// Other fronts that the failure detector sees.
    pub members: usize,
    /// Fronts that it has told as gone so far, rightly or not.
    pub members_lost: u64,
    /// Lives whose datagrams it has heard.
    pub lives: usize,
    /// Leases that it holds and may act under.
    pub leases_held: usize,
    /// Leases that it has granted as a voter.
    pub leases_granted: usize,
    /// Registers that it knows settled or, as a voter, has accepted.
    pub registers: usize,
    /// Bytes of all these, as their encoded form has them.
    pub bytes: usize,
}

pub struct Node {
    terms: Terms,
    wire: Wire,
    chance: fastrand::Rng,
    disk: Option<Disk>,
    voter: Option<Voter>,
    asker: LeaseClient,
    seats: Option<QuotaSlots>,
    quota: f64,
    keeper: Option<Acceptor>,
    stood: Option<AcceptorState>,
    proposer: Proposer,
    /// The register that it proposes anew since nobody has in a new epoch.
    reproposed: Option<registers::Name>,
    follower: Learner,
    detector: detector::FailureDetector,
    acts: Acts,
    sites: Option<Sites>,
    works: Option<Works>,
    members_lost: u64,
    outgoing: Vec<Message>,
    acts_told: Vec<Datagram>,
    words: Vec<ControlUpdate>,
}

impl Node {
    pub fn new(terms: Terms, birth: Birth, disk: Option<Disk>, counts: Arc<Counts>) -> Node {
        // Guards against numbers that fall where no voter remembers them: they begin above what an earlier incarnation can
        // have reached, by the folder, or else by the date. Should the date go back, what is acted upon tells what it
        // has seen.
        let floor = disk.as_ref().map_or(birth.date_ms, Disk::number);
        let me = Incarnation { name: terms.name.clone(), id: birth.life };
        let voters = terms.voters.len();
        let period = detector::DetectorConfig { probe_interval: terms.leases.duration / DETECTOR_PART };
        let mut node = Node {
            wire: Wire::new(terms.key.clone(), me.clone(), crate::mark(&terms), counts),
            chance: fastrand::Rng::with_seed(birth.seed),
            voter: terms.votes.then(|| Voter::new(Duration::ZERO, &terms.leases, floor)),
            asker: LeaseClient::new(me.clone(), voters),
            seats: (terms.seats > 0).then(|| QuotaSlots::new(terms.seats, terms.wants, terms.number)),
            quota: 0.0,
            keeper: keeper_of(&terms, &birth, disk.as_ref()),
            stood: None,
            proposer: Proposer::new(me.clone(), voters),
            reproposed: None,
            follower: Learner::new(voters, terms.leases.duration / FOLLOW_PART),
            detector: detector::FailureDetector::new(member_of(&terms, &birth), period, birth.life),
            acts: Acts::new(&terms.tasks),
            sites: terms.sites.as_ref().map(|told| Sites::new(told, terms.location, me.id, terms.votes)),
            works: terms.works.as_ref().map(|told| Works::new(told, terms.votes)),
            disk,
            members_lost: 0,
            outgoing: Vec::new(),
            acts_told: Vec::new(),
            words: Vec::new(),
            terms,
        };
        node.begin();
        node
    }

    /// Asks for what the terms say that it is to hold and follow.
    fn begin(&mut self) {
        if self.seats.is_some() {
            self.say(ControlUpdate::Quota(0.0));
        }
        for task in &self.terms.tasks {
            self.asker.acquire(Duration::ZERO, &task.name, task.fenced);
        }
        if self.sites.is_some() {
            self.follower.watch(sites::NAME);
            self.follower.watch(sites::WISHES);
            // A register refuses what was written under an older number, so nothing need be waited out.
            if self.terms.votes {
                self.asker.acquire(Duration::ZERO, sites::NAME, true);
            }
        }
        if self.works.is_some() {
            (0..MAX_REQUESTS as u8).for_each(|work| self.follower.watch(&works::register(work)));
            if self.terms.votes {
                self.asker.acquire(Duration::ZERO, works::NAME, true);
            }
        }
        for voter in &self.terms.voters {
            self.detector.add_seed(Duration::ZERO, *voter);
        }
        self.send_detector();
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Duration) {
        let rng = &mut self.chance;
        let posts = self.asker.poll(now, &self.terms.leases, &mut || rng.f64());
        self.post(posts);
        self.turn_seats(now);
        self.turn_registers(now);
        self.turn_sites(now);
        self.turn_works(now);
        self.detector.poll(now);
        let told = self.acts.turn(now, &self.asker);
        self.acts_told.extend(told);
        self.tell_changes();
        self.send_detector();
    }

    /// When it wants to be woken next, at the latest. Acts, quota slots and what the front tells are looked at at each wake
    /// and are not counted here, so whoever drives it wakes it now and then besides.
    pub fn due(&self) -> Option<Duration> {
        let due = [
            self.asker.next_timeout(&self.terms.leases),
            self.proposer.next_timeout(&self.terms.leases),
            self.follower.next_timeout(),
            self.detector.next_timeout(),
            self.keeper.as_ref().and_then(Acceptor::next_timeout),
        ];
        due.into_iter().flatten().min()
    }

    /// What is to be sent, in order.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// What is to be told to whoever is acted upon.
    pub fn take_acts(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.acts_told)
    }

    /// What this front is to know, in order.
    pub fn take_words(&mut self) -> Vec<ControlUpdate> {
        std::mem::take(&mut self.words)
    }

    /// What was acted upon has seen a higher number, and refuses this front's: it asks for one above that.
    pub fn refused(&mut self, now: Duration, refusal: &Refusal) {
        let Refusal { task, seen } = refusal;
        self.asker.observe_token(task, *seen);
        if self.asker.active_lease(now, task).is_some_and(|lease| lease.fencing_token < *seen) {
            tracing::warn!(task, seen, "fleet: a higher number has been seen; asks anew");
            let posts = self.asker.release(now, &self.terms.leases, task, true);
            self.post(posts);
        }
    }

    /// Lets go of all that it holds, and says that it leaves.
    pub fn leave(&mut self, now: Duration) {
        let tasks: Vec<String> = self.asker.tasks().cloned().collect();
        for task in tasks {
            let posts = self.asker.release(now, &self.terms.leases, &task, false);
            self.post(posts);
        }
        self.detector.leave(now);
        self.send_detector();
        self.tell_changes();
    }

    /// Under which number it may act on a task now; none if it does not hold it.
    pub fn may_act(&self, now: Duration, task: &str) -> Option<u64> {
        self.asker.active_lease(now, task).map(|lease| lease.fencing_token)
    }

    /// How many leases it holds and may act under.
    pub fn leases_held(&self, now: Duration) -> usize {
        self.asker.tasks().filter(|task| self.asker.active_lease(now, task).is_some()).count()
    }

    /// How many other fronts its failure detector sees.
    pub fn members(&self) -> usize {
        self.detector.members().count()
    }

    fn turn_seats(&mut self, now: Duration) {
        let Some(mut seats) = self.seats.take() else { return };
        let posts = seats.poll(now, &self.terms.leases, &mut self.asker);
        let held = quota_share(seats.held(now, &self.asker).len(), self.terms.seats);
        self.seats = Some(seats);
        self.post(posts);
        if held != self.quota {
            self.quota = held;
            self.say(ControlUpdate::Quota(held));
        }
    }

    fn say(&mut self, word: ControlUpdate) {
        self.words.push(word);
    }

    fn send(&mut self, body: Body, to: SocketAddr) {
        let kind = body.kind();
        if let Some(bytes) = self.wire.seal(body) {
            self.outgoing.push(Message { kind, datagram: Datagram { to, bytes } });
        }
    }

    fn send_to_voters(&mut self, body: &Body) {
        for voter in self.terms.voters.clone() {
            self.send(body.clone(), voter);
        }
    }

    fn send_detector(&mut self) {
        let sends: Vec<(SocketAddr, Vec<u8>)> = self.detector.take_outgoing().collect();
        for (to, bytes) in sends {
            self.send(Body::FailureDetector(bytes), to);
        }
    }

    fn post(&mut self, posts: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request: ask } in posts {
            if let Some(address) = self.terms.voters.get(voter).copied() {
                self.send(Body::LeaseRequest(ask), address);
            }
        }
    }

    fn tell_changes(&mut self) {
        for change in self.asker.take_changes() {
            match change {
                LeaseChange::Acquired { task, fencing_token: number } => {
                    tracing::info!(task, number, "fleet: holds a task")
                }
                LeaseChange::Expired { task, fencing_token: number } => {
                    tracing::warn!(
                        task,
                        number,
                        "fleet: a lease ran out, as too few voters answered in time"
                    );
                }
                LeaseChange::Released { task, fencing_token: number } => {
                    tracing::info!(task, number, "fleet: let a task go")
                }
            }
        }
        for change in self.detector.take_changes() {
            match change {
                detector::MembershipChange::Joined(who) => {
                    tracing::info!(name = who.name, "fleet: a front is there")
                }
                detector::MembershipChange::Left(who) => {
                    self.members_lost += 1;
                    tracing::info!(name = who.name, "fleet: a front seems gone");
                }
                detector::MembershipChange::Refuted => {
                    tracing::info!("fleet: others held this front for gone")
                }
            }
        }
        debug_assert!(self.asker.tasks().count() <= MAX_TASKS);
    }
}

/// A voter's part in registers; none for who does not vote.
fn keeper_of(terms: &Terms, birth: &Birth, disk: Option<&Disk>) -> Option<Acceptor> {
    let place = terms.place.filter(|_| terms.votes)?;
    let voters = terms.voters.len();
    // A folder that has never held a vote belongs to a voter that has never voted, or has lost it.
    let kept = disk.and_then(Disk::registers);
    Some(match kept {
        Some(kept) => Acceptor::restored(voters, place, birth.life, kept),
        None => {
            Acceptor::without_memory(Duration::ZERO, &terms.leases, voters, place, birth.life, birth.date_ms)
        }
    })
}

/// How this front is known to the failure detector.
fn member_of(terms: &Terms, birth: &Birth) -> detector::Member {
    detector::Member {
        name: terms.name.clone(),
        address: terms.known_as.unwrap_or(birth.address),
        incarnation: birth.life,
        zone: terms.location,
        refutations: 0,
    }
}
