//! A learner that polls voters for changes: pages of changes, restarted voters, and voters of an earlier software
//! version.

use lemonusher_leases::Ballot;
use lemonusher_registers::*;
use std::collections::BTreeMap;
use std::time::Duration;

const VOTERS: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn name(n: usize) -> String {
    format!("r{n:03}")
}

fn entry(version: u64, value_bytes: usize) -> Entry {
    Entry {
        version: EntryVersion { epoch: 1, counter: version },
        fencing_token: 1,
        value: vec![version as u8; value_bytes],
    }
}

/// Three voters with memory and one learner.
struct World {
    acceptors: Vec<Acceptor>,
    learner: Learner,
    now: Duration,
    /// Requests that the voters have handled since the last poll.
    requests: Vec<RegisterRequest>,
    /// Voters of an earlier software version, which do not support requests for changes.
    earlier_version: Vec<usize>,
    round: u64,
    incarnations: u64,
}

impl World {
    fn new(registers: usize) -> World {
        let acceptor =
            |index: usize| Acceptor::restored(VOTERS, index, index as u64 + 1, PersistentState::default());
        let mut learner = Learner::new(VOTERS, POLL_INTERVAL);
        (0..registers).for_each(|n| learner.watch(&name(n)));
        World {
            acceptors: (0..VOTERS).map(acceptor).collect(),
            learner,
            now: Duration::ZERO,
            requests: Vec::new(),
            earlier_version: Vec::new(),
            round: 0,
            incarnations: 100,
        }
    }

    /// Has these voters accept an entry in a new ballot.
    fn accept(&mut self, voters: &[usize], name: &str, entry: &Entry) {
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: 9 };
        for voter in voters {
            let request = RegisterRequest::Accept { name: name.to_owned(), ballot, entry: entry.clone() };
            let reply = self.acceptors[*voter].handle_request(self.now, request);
            assert!(matches!(reply, Some(RegisterReply::Accepted { .. })), "{reply:?}");
        }
    }

    /// Restarts a voter as a new incarnation that has kept its state.
    fn restart(&mut self, voter: usize) {
        self.incarnations += 1;
        let stored = self.acceptors[voter].persistent_state();
        self.acceptors[voter] = Acceptor::restored(VOTERS, voter, self.incarnations, stored);
    }

    fn handle_message(&mut self, message: OutboundMessage) -> Option<RegisterReply> {
        if self.earlier_version.contains(&message.voter)
            && matches!(message.request, RegisterRequest::ChangesSince { .. })
        {
            return None;
        }
        self.requests.push(message.request.clone());
        self.acceptors[message.voter].handle_request(self.now, message.request)
    }

    /// Runs one poll of the learner, delivers all replies, and returns the requests that the voters handled.
    fn poll(&mut self) -> Vec<RegisterRequest> {
        self.now += POLL_INTERVAL * 2;
        let mut messages = self.learner.poll(self.now, &mut || 0.5);
        while let Some(message) = messages.pop() {
            let voter = message.voter;
            if let Some(reply) = self.handle_message(message) {
                messages.extend(self.learner.handle_reply(self.now, voter, reply));
            }
        }
        std::mem::take(&mut self.requests)
    }

    fn committed(&self, n: usize) -> Option<Entry> {
        self.learner.committed(&name(n)).map(|committed| committed.entry.clone())
    }
}

#[test]
fn unchanged_registers_cost_one_request_per_voter() {
    let mut world = World::new(64);
    for n in 0..64 {
        world.accept(&[0, 1, 2], &name(n), &entry(1, 20));
    }
    world.poll();
    assert!((0..64).all(|n| world.committed(n) == Some(entry(1, 20))));
    for _ in 0..20 {
        let requests = world.poll();
        assert_eq!(requests.len(), VOTERS, "{requests:?}");
        assert!(requests.iter().all(|request| matches!(request, RegisterRequest::ChangesSince { .. })));
    }
    let confirmed_at = world.learner.committed(&name(0)).unwrap().confirmed_at;
    assert_eq!(confirmed_at, world.now, "the unchanged value was not confirmed");
}

#[test]
fn long_values_are_paged_within_one_poll() {
    let mut world = World::new(64);
    for n in 0..64 {
        world.accept(&[0, 1, 2], &name(n), &entry(1, MAX_VALUE_BYTES));
    }
    world.poll();
    assert!((0..64).all(|n| world.committed(n).is_some()));
    world.accept(&[1, 2], &name(7), &entry(2, 5));
    assert_eq!(world.poll().len(), VOTERS);
    assert_eq!(world.committed(7), Some(entry(2, 5)));
}

#[test]
fn one_voter_alone_commits_nothing_and_a_value_survives_the_loss_of_a_voter() {
    let mut world = World::new(2);
    world.accept(&[0, 1, 2], &name(0), &entry(1, 5));
    world.poll();
    world.accept(&[0], &name(0), &entry(2, 5));
    (0..10).for_each(|_| drop(world.poll()));
    assert_eq!(world.committed(0), Some(entry(1, 5)));
    assert!(!world.learner.is_known_empty(&name(0)) && world.learner.is_known_empty(&name(1)));
}

#[test]
fn a_restarted_voter_is_asked_for_everything() {
    let mut world = World::new(3);
    world.accept(&[0, 1, 2], &name(0), &entry(1, 5));
    world.poll();
    (0..VOTERS).for_each(|voter| world.restart(voter));
    world.accept(&[0, 1], &name(1), &entry(1, 5));
    world.poll();
    world.poll();
    assert_eq!((world.committed(0), world.committed(1)), (Some(entry(1, 5)), Some(entry(1, 5))));
    assert_eq!(world.poll().len(), VOTERS);
}

#[test]
fn a_register_watched_later_is_asked_for() {
    let mut world = World::new(1);
    world.accept(&[0, 1, 2], &name(5), &entry(1, 5));
    world.poll();
    world.learner.watch(&name(5));
    world.poll();
    assert_eq!(world.committed(5), Some(entry(1, 5)));
}

#[test]
fn voters_of_an_earlier_version_are_sent_reads_once_they_have_replied_to_one() {
    let mut world = World::new(64);
    world.earlier_version = vec![0, 1, 2];
    for n in 0..64 {
        world.accept(&[0, 1, 2], &name(n), &entry(1, 20));
    }
    assert_eq!(world.poll().len(), VOTERS, "one read per voter, to find out if reads are supported");
    assert_eq!(world.poll().len(), VOTERS * 64);
    assert!((0..64).all(|n| world.committed(n) == Some(entry(1, 20))));
    world.earlier_version.clear();
    world.poll();
    world.poll();
    assert_eq!(world.poll().len(), VOTERS, "once voters reply with changes, no register is read");
}

/// Compares the learner with the entries that a majority accepted, while voters restart and replies are lost,
/// delayed and repeated. The learner must never report a version above the last accepted one of the register, and
/// must know the last entry of each register once replies arrive again.
#[test]
fn all_committed_values_are_known_once_replies_arrive_again() {
    for seed in 0..200 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (mut world, mut accepted) = (World::new(20), BTreeMap::new());
        let mut delayed: Vec<(usize, RegisterReply)> = Vec::new();
        for version in 1..150 {
            let register = chance.usize(..20);
            let left_out = chance.usize(..VOTERS * 2);
            let voters: Vec<usize> = (0..VOTERS).filter(|voter| *voter != left_out).collect();
            let value = entry(version, chance.usize(..MAX_VALUE_BYTES));
            world.accept(&voters, &name(register), &value);
            accepted.insert(register, value);
            if chance.u8(..) < 20 {
                world.restart(chance.usize(..VOTERS));
            }
            world.now += POLL_INTERVAL;
            let now = world.now;
            let mut messages = world.learner.poll(now, &mut || chance.f64());
            while let Some(message) = messages.pop() {
                let voter = message.voter;
                let Some(reply) = world.handle_message(message) else { continue };
                if chance.u8(..) < 100 {
                    delayed.push((voter, reply.clone()));
                }
                if chance.u8(..) < 180 {
                    messages.extend(world.learner.handle_reply(now, voter, reply));
                }
                if chance.bool() && !delayed.is_empty() {
                    let (voter, reply) = delayed.swap_remove(chance.usize(..delayed.len()));
                    messages.extend(world.learner.handle_reply(now, voter, reply));
                }
            }
            for (register, committed) in (0..20).filter_map(|n| Some((n, world.committed(n)?))) {
                assert!(committed.version <= accepted[&register].version, "seed {seed}: not accepted yet");
            }
        }
        (0..4).for_each(|_| drop(world.poll()));
        for (register, value) in &accepted {
            assert_eq!(world.committed(*register).as_ref(), Some(value), "seed {seed}, register {register}");
        }
        assert_eq!(world.poll().len(), VOTERS, "seed {seed}");
    }
}
