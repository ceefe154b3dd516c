//! Randomized simulation of registers: messages are lost, repeated, delayed and reordered, voters lose their memory,
//! proposers compete, and clocks run at the limits of the drift. Each run is determined by its seed.

use lemonusher_leases::{Incarnation, LeaseConfig};
use lemonusher_registers::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const NAME: &str = "sites";

fn config() -> LeaseConfig {
    LeaseConfig { duration: ms(600), clock_drift_permille: 100, max_action_time: Duration::ZERO }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone)]
enum InFlight {
    Request { from: Node, to: usize, request: RegisterRequest },
    Reply { to: Node, from: usize, reply: RegisterReply },
}

#[derive(Clone, Copy, PartialEq)]
enum Node {
    Acceptor(usize, u64), // Index and incarnation.
    Front(usize),
}

struct Front {
    proposer: Proposer,
    learner: Learner,
    known: Option<EntryVersion>,
    watched: Option<EntryVersion>,
    begun: Duration,
}

struct World {
    now: Duration,
    acceptors: Vec<Option<(Acceptor, u64)>>,
    rates: Vec<f64>,
    fronts: Vec<Front>,
    in_flight: Vec<(Duration, InFlight)>,
    chance: fastrand::Rng,
    /// Whether voters that have lost their memory vote at once, which breaks the protocol.
    votes_without_memory: bool,
    last_number: u64,
    loss: f64,
    committed: BTreeMap<EntryVersion, Vec<u8>>,
    /// Committed versions, each with the time at which its proposer received the outcome.
    highest: Vec<(Duration, EntryVersion)>,
    violations: Vec<String>,
}

impl World {
    fn new(seed: u64, voters: usize, votes_without_memory: bool) -> World {
        let mut chance = fastrand::Rng::with_seed(seed);
        let front = |n: usize| Front {
            proposer: Proposer::new(Incarnation { name: format!("n{n}"), id: n as u64 + 1 }, voters),
            learner: Learner::new(voters, ms(80)),
            known: None,
            watched: None,
            begun: Duration::ZERO,
        };
        let mut fronts: Vec<Front> = (0..3).map(front).collect();
        fronts.iter_mut().for_each(|front| front.learner.watch(NAME));
        let rates = (0..voters).map(|_| [0.91, 1.0, 1.09][chance.usize(..3)]).collect();
        let mut world = World {
            now: Duration::ZERO,
            acceptors: vec![None; voters],
            rates,
            fronts,
            in_flight: Vec::new(),
            chance,
            votes_without_memory,
            last_number: 100,
            loss: 0.1,
            committed: BTreeMap::new(),
            highest: Vec::new(),
            violations: Vec::new(),
        };
        (0..voters).for_each(|index| world.start(index));
        world
    }

    fn clock(&self, index: usize) -> Duration {
        self.now.mul_f64(self.rates[index])
    }

    fn start(&mut self, index: usize) {
        self.last_number += 1;
        let (incarnation, voters, first_epoch) =
            (self.last_number, self.acceptors.len(), 1000 + self.last_number);
        let acceptor = if self.votes_without_memory {
            Acceptor::restored(voters, index, incarnation, PersistentState::default())
        } else {
            Acceptor::without_memory(self.clock(index), &config(), voters, index, incarnation, first_epoch)
        };
        self.acceptors[index] = Some((acceptor, incarnation));
    }

    fn send(&mut self, sent: InFlight) {
        for _ in 0..1 + usize::from(self.chance.f64() < 0.1) {
            if self.chance.f64() >= self.loss {
                let delay_ms = if self.chance.f64() < 0.05 { 2000 } else { 30 };
                self.in_flight.push((self.now + ms(self.chance.u64(1..delay_ms)), sent.clone()));
            }
        }
    }

    fn send_messages(&mut self, from: Node, messages: Vec<OutboundMessage>) {
        messages.into_iter().for_each(|OutboundMessage { voter, request }| {
            self.send(InFlight::Request { from, to: voter, request })
        });
    }

    fn step(&mut self) {
        self.now += ms(2);
        for index in 0..self.acceptors.len() {
            let clock = self.clock(index);
            if let Some((acceptor, incarnation)) = &mut self.acceptors[index] {
                let (messages, incarnation) = (acceptor.poll(clock, &config()), *incarnation);
                self.send_messages(Node::Acceptor(index, incarnation), messages);
            }
        }
        for n in 0..self.fronts.len() {
            let mut chance = self.chance.clone();
            let now = self.now;
            let front = &mut self.fronts[n];
            let mut messages = front.proposer.poll(now, &config(), &mut || chance.f64());
            messages.extend(front.learner.poll(now, &mut || chance.f64()));
            if !front.proposer.is_busy(NAME) && chance.f64() < 0.03 {
                self.last_number += 1;
                front.begun = now;
                let value = self.last_number.to_le_bytes().to_vec();
                let change = Operation::CompareAndSet { expected: front.known, fencing_token: 1, value };
                messages.extend(front.proposer.propose(now, NAME, change));
            }
            self.chance = chance;
            self.send_messages(Node::Front(n), messages);
            self.check_outcomes(n);
        }
        let now = self.now;
        let due: Vec<InFlight> =
            self.in_flight.extract_if(.., |(at, _)| *at <= now).map(|(_, sent)| sent).collect();
        for sent in due {
            self.deliver(sent);
        }
    }

    fn deliver(&mut self, sent: InFlight) {
        match sent {
            InFlight::Request { from, to, request } => {
                let clock = self.clock(to);
                let Some((acceptor, _)) = &mut self.acceptors[to] else { return };
                if let Some(reply) = acceptor.handle_request(clock, request) {
                    self.send(InFlight::Reply { to: from, from: to, reply });
                }
            }
            InFlight::Reply { to: Node::Acceptor(index, incarnation), from, reply } => {
                let clock = self.clock(index);
                let Some((acceptor, current)) = &mut self.acceptors[index] else { return };
                if *current == incarnation {
                    let messages = acceptor.handle_copy(clock, from, reply);
                    self.send_messages(Node::Acceptor(index, incarnation), messages);
                }
            }
            InFlight::Reply { to: Node::Front(n), from, reply } => {
                let mut chance = self.chance.clone();
                let front = &mut self.fronts[n];
                front.learner.handle_reply(self.now, from, reply.clone());
                let messages =
                    front.proposer.handle_reply(self.now, &config(), from, reply, &mut || chance.f64());
                self.chance = chance;
                self.send_messages(Node::Front(n), messages);
                self.check_outcomes(n);
            }
        }
    }

    fn check_outcomes(&mut self, n: usize) {
        let now = self.now;
        for outcome in self.fronts[n].proposer.take_outcomes() {
            let (entry, own) = match outcome {
                ProposalOutcome::Committed { entry, .. } => (entry, true),
                ProposalOutcome::Conflict { entry, .. } => (entry, false),
                ProposalOutcome::Unknown { .. } => continue,
            };
            let begun = self.fronts[n].begun;
            self.fronts[n].known = entry.as_ref().map(|entry| entry.version);
            let Some(entry) = entry else { continue };
            self.record_committed(&entry);
            // The outcome must not be older than a version whose commit was reported before this change began.
            let before = self.highest.iter().filter(|(at, _)| *at < begun).map(|(_, version)| *version).max();
            if Some(entry.version) < before || (own && Some(entry.version) == before) {
                self.violations.push(format!("{:?} after {before:?} at {now:?}", entry.version));
            }
            if own {
                self.highest.push((now, entry.version));
            }
        }
        let front = &mut self.fronts[n];
        if let Some(CommittedEntry { entry, .. }) = front.learner.committed(NAME) {
            let entry = entry.clone();
            if Some(entry.version) < front.watched {
                self.violations.push(format!("a learner went back to {:?}", entry.version));
            }
            front.watched = Some(entry.version);
            self.record_committed(&entry);
        }
    }

    fn record_committed(&mut self, entry: &Entry) {
        let value = self.committed.entry(entry.version).or_insert_with(|| entry.value.clone());
        if *value != entry.value {
            self.violations.push(format!("two values for {:?}", entry.version));
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    /// Restarts random voters without memory, but never so many that a majority is without memory at the same time.
    fn restart_minorities(&mut self) {
        let max_without_memory = self.acceptors.len() - majority(self.acceptors.len());
        for _ in 0..25 {
            let pause_ms = self.chance.u64(20..500);
            self.run(ms(pause_ms));
            let now = self.now;
            let without_memory = |index: usize, world: &World| {
                let clock = now.mul_f64(world.rates[index]);
                world.acceptors[index]
                    .as_ref()
                    .is_none_or(|(acceptor, _)| acceptor.state(clock) != AcceptorState::Voting)
            };
            let index = self.chance.usize(..self.acceptors.len());
            let others =
                (0..self.acceptors.len()).filter(|p| *p != index && without_memory(*p, self)).count();
            if others < max_without_memory {
                self.start(index);
            }
        }
    }
}

#[test]
fn committed_values_stay_while_fewer_than_a_majority_lose_their_memory() {
    let (mut committed, mut epochs) = (0, BTreeSet::new());
    for seed in 0..900 {
        let mut world = World::new(seed, [3, 5][seed as usize % 2], false);
        world.run(ms(3000)); // At the first start all voters are without memory and begin an epoch.
        world.restart_minorities();
        world.run(ms(500));
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        let later = world.highest.iter().filter(|(at, _)| *at > ms(3000));
        let all: BTreeSet<u64> = later.map(|(_, version)| version.epoch).collect();
        epochs.insert(all.len());
        committed += world.highest.len();
    }
    println!("settled {committed}, eras in a run {epochs:?}");
    assert!(committed > 900 * 20, "only {committed} changes were committed");
    assert_eq!(epochs, BTreeSet::from([1]), "an epoch began although no majority had lost its memory");
}

#[test]
fn a_new_epoch_begins_after_a_majority_has_lost_its_memory() {
    for seed in 0..900 {
        let voters = [3, 5][seed as usize % 2];
        let mut world = World::new(seed, voters, false);
        world.run(ms(3000));
        let before = world.highest.last().expect("nothing was committed").1;
        let index = world.chance.usize(..voters);
        let memory_losses = majority(voters) + usize::from(world.chance.bool());
        (0..memory_losses).for_each(|next| world.start((index + next) % voters));
        world.run(ms(4000));
        let after = world.highest.last().unwrap().1;
        assert!(after.epoch > before.epoch, "seed {seed}: {before:?} {after:?}");
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

#[test]
fn requests_of_an_earlier_epoch_are_not_accepted() {
    let stored = PersistentState { epoch: 7, registers: Vec::new() };
    let mut acceptor = Acceptor::restored(3, 0, 1, stored);
    let ballot = lemonusher_leases::Ballot { round: 1, proposer: 1 };
    let mut accept = |epoch: u64| {
        let entry = Entry { version: EntryVersion { epoch, counter: 1 }, fencing_token: 1, value: vec![1] };
        acceptor.handle_request(ms(1), RegisterRequest::Accept { name: NAME.to_owned(), ballot, entry })
    };
    assert!(matches!(accept(6), Some(RegisterReply::StaleBallot { .. })));
    assert!(matches!(accept(7), Some(RegisterReply::Accepted { .. })));
    assert!(matches!(accept(8), Some(RegisterReply::Accepted { .. })));
    assert!(matches!(accept(7), Some(RegisterReply::StaleBallot { .. })));
}

/// After a majority has lost its memory, the only value left is one that a single voter had accepted. Once it is
/// copied to the others, all voters report it as if a majority had accepted it, although another value may have
/// been committed under its version.
#[test]
fn values_carried_into_a_new_epoch_are_committed_only_once_proposed() {
    let mut acceptors: Vec<Acceptor> =
        (0..3).map(|p| Acceptor::restored(3, p, 1, PersistentState::default())).collect();
    let ballot = lemonusher_leases::Ballot { round: 1, proposer: 9 };
    let entry = Entry { version: EntryVersion { epoch: 1, counter: 1 }, fencing_token: 1, value: vec![1] };
    acceptors[0].handle_request(ms(1), RegisterRequest::Accept { name: NAME.to_owned(), ballot, entry });
    (1..3).for_each(|p| acceptors[p] = Acceptor::without_memory(Duration::ZERO, &config(), 3, p, 2, 5));
    let recovered = |acceptors: &[Acceptor]| {
        acceptors[1..].iter().all(|acceptor| acceptor.state(ms(2000)) == AcceptorState::Voting)
    };
    for step in 0..20 {
        let now = ms(2000) + ms(100) * step;
        for index in 1..3 {
            let mut messages = acceptors[index].poll(now, &config());
            while let Some(OutboundMessage { voter, request }) = messages.pop() {
                let reply = acceptors[voter].handle_request(now, request).unwrap();
                messages.extend(acceptors[index].handle_copy(now, voter, reply));
            }
        }
    }
    assert!(recovered(&acceptors), "a majority is without memory: the two begin an epoch");
    let now = ms(5000);
    assert_eq!(acceptors[1].unproposed_register(now), Some(&NAME.to_owned()));
    let mut learner = Learner::new(3, ms(80));
    learner.watch(NAME);
    let poll_learner = |learner: &mut Learner, acceptors: &mut [Acceptor], now: Duration| {
        for OutboundMessage { voter, request } in learner.poll(now, &mut || 0.5) {
            let reply = acceptors[voter].handle_request(now, request).unwrap();
            learner.handle_reply(now, voter, reply);
        }
        learner.committed(NAME).map(|committed| committed.entry.clone())
    };
    assert_eq!(poll_learner(&mut learner, &mut acceptors, now), None);
    assert!(!learner.is_known_empty(NAME));
    let mut proposer = Proposer::new(Incarnation { name: "n".into(), id: 7 }, 3);
    let mut messages = proposer.propose(now, NAME, Operation::Read);
    for step in 0..100 {
        let now = now + ms(5) * step;
        messages.extend(proposer.poll(now, &config(), &mut || 0.0));
        for OutboundMessage { voter, request } in std::mem::take(&mut messages) {
            let reply = acceptors[voter].handle_request(now, request).unwrap();
            messages.extend(proposer.handle_reply(now, &config(), voter, reply, &mut || 0.0));
        }
    }
    assert!(matches!(&proposer.take_outcomes()[..], [ProposalOutcome::Committed { entry: Some(_), .. }]));
    let committed = poll_learner(&mut learner, &mut acceptors, ms(9000)).expect("it was proposed");
    assert!(committed.version.epoch > 1 && committed.value == [1], "{committed:?}");
    assert!(acceptors.iter().all(|acceptor| acceptor.unproposed_register(ms(9000)).is_none()));
}

#[test]
fn a_majority_without_memory_stays_silent_without_the_last_voter() {
    let mut world = World::new(7, 3, false);
    world.run(ms(3000));
    world.start(0);
    world.start(1);
    world.acceptors[2] = None; // Only this voter may still know the committed values.
    let before = world.highest.len();
    world.run(ms(6000));
    assert_eq!(world.highest.len(), before, "values were committed without the last voter");
    world.acceptors[2] = None;
    world.start(2);
    world.run(ms(4000));
    assert!(world.highest.len() > before);
}

#[test]
fn trusting_voters_without_memory_is_detected() {
    let caught = (0..60).filter(|seed| {
        let mut world = World::new(*seed, 3, true);
        world.run(ms(1000));
        world.restart_minorities();
        !world.violations.is_empty()
    });
    let caught = caught.count();
    println!("caught in {caught} of 60 runs");
    assert!(caught > 10);
}

#[test]
fn an_older_fencing_token_changes_nothing() {
    let mut acceptors: Vec<Acceptor> =
        (0..3).map(|p| Acceptor::restored(3, p, 1, PersistentState::default())).collect();
    let mut propose = |front: u64, expected: Option<EntryVersion>, fencing_token: u64, value: &[u8]| {
        let mut proposer = Proposer::new(Incarnation { name: "n".into(), id: front }, 3);
        let change = Operation::CompareAndSet { expected, fencing_token, value: value.to_vec() };
        let mut now = ms(1);
        let mut messages = proposer.propose(now, NAME, change);
        for _ in 0..60 {
            now += ms(20);
            let mut next = proposer.poll(now, &config(), &mut || 0.0);
            for OutboundMessage { voter, request } in messages {
                let reply = acceptors[voter].handle_request(now, request).unwrap();
                next.extend(proposer.handle_reply(now, &config(), voter, reply, &mut || 0.0));
            }
            messages = next;
        }
        proposer.take_outcomes().remove(0)
    };
    let ProposalOutcome::Committed { entry: Some(first), .. } = propose(1, None, 5, b"a") else { panic!() };
    let fenced = propose(2, Some(first.version), 4, b"b");
    assert!(matches!(fenced, ProposalOutcome::Conflict { entry: Some(entry), .. } if entry == first));
    let stale = propose(3, None, 6, b"c");
    assert!(matches!(stale, ProposalOutcome::Conflict { .. }));
    let ProposalOutcome::Committed { entry: Some(second), .. } = propose(4, Some(first.version), 6, b"d")
    else {
        panic!()
    };
    assert_eq!((second.version.counter, second.value.as_slice()), (2, &b"d"[..]));
}

#[test]
fn limits_of_names_values_and_registers_hold() {
    let mut acceptor = Acceptor::restored(3, 0, 1, PersistentState::default());
    let ballot = lemonusher_leases::Ballot { round: 1, proposer: 1 };
    for n in 0..MAX_REGISTERS * 2 {
        let reply = acceptor
            .handle_request(ms(1), RegisterRequest::Prepare { name: format!("r{n}"), ballot })
            .unwrap();
        assert_eq!(matches!(reply, RegisterReply::Silent { .. }), n >= MAX_REGISTERS);
    }
    let name = "r0".to_owned();
    let entry =
        Entry { version: EntryVersion::default(), fencing_token: 0, value: vec![0; MAX_VALUE_BYTES + 1] };
    let reply = acceptor.handle_request(ms(1), RegisterRequest::Accept { name: name.clone(), ballot, entry });
    assert!(matches!(reply, Some(RegisterReply::Silent { .. })));
    let none = acceptor.handle_request(ms(1), RegisterRequest::Prepare { name: "x".repeat(100), ballot });
    assert!(matches!(none, Some(RegisterReply::Silent { .. })));
    let mut proposer = Proposer::new(Incarnation { name: "n".into(), id: 1 }, 3);
    let value = vec![0; MAX_VALUE_BYTES + 1];
    assert!(
        proposer
            .propose(ms(1), "r", Operation::CompareAndSet { expected: None, fencing_token: 0, value })
            .is_empty()
    );
    assert!(matches!(proposer.take_outcomes()[..], [ProposalOutcome::Conflict { .. }]));
}
