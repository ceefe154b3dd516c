//! Following registers by their changes: what is told once, page by page, after restarts, and by earlier versions.

use lemonusher_leases::Ballot;
use lemonusher_registers::*;
use std::collections::BTreeMap;
use std::time::Duration;

const VOTERS: usize = 3;
const EVERY: Duration = Duration::from_millis(100);

fn name(n: usize) -> String {
    format!("r{n:03}")
}

fn entry(version: u64, long: usize) -> Entry {
    Entry {
        version: EntryVersion { epoch: 1, counter: version },
        fencing_token: 1,
        value: vec![version as u8; long],
    }
}

/// Three voters that remember, and one that follows them.
struct World {
    keepers: Vec<Acceptor>,
    follower: Learner,
    now: Duration,
    /// Asks that were answered since the last look.
    asked: Vec<RegisterRequest>,
    /// Voters of an earlier version, which read no ask for changes.
    earlier: Vec<usize>,
    round: u64,
    lives: u64,
}

impl World {
    fn new(registers: usize) -> World {
        let keeper =
            |place: usize| Acceptor::restored(VOTERS, place, place as u64 + 1, PersistentState::default());
        let mut follower = Learner::new(VOTERS, EVERY);
        (0..registers).for_each(|n| follower.watch(&name(n)));
        World {
            keepers: (0..VOTERS).map(keeper).collect(),
            follower,
            now: Duration::ZERO,
            asked: Vec::new(),
            earlier: Vec::new(),
            round: 0,
            lives: 100,
        }
    }

    /// Has these voters accept a value.
    fn accept(&mut self, voters: &[usize], name: &str, entry: &Entry) {
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: 9 };
        for voter in voters {
            let ask = RegisterRequest::Accept { name: name.to_owned(), ballot, entry: entry.clone() };
            let reply = self.keepers[*voter].handle_request(self.now, ask);
            assert!(matches!(reply, Some(RegisterReply::Accepted { .. })), "{reply:?}");
        }
    }

    /// Begins a new incarnation of a voter, which has kept what it accepted.
    fn restart(&mut self, voter: usize) {
        self.lives += 1;
        let kept = self.keepers[voter].persistent_state();
        self.keepers[voter] = Acceptor::restored(VOTERS, voter, self.lives, kept);
    }

    fn answer(&mut self, post: OutboundMessage) -> Option<RegisterReply> {
        if self.earlier.contains(&post.voter) && matches!(post.request, RegisterRequest::ChangesSince { .. })
        {
            return None;
        }
        self.asked.push(post.request.clone());
        self.keepers[post.voter].handle_request(self.now, post.request)
    }

    /// A turn of the follower, and all that follows from it; the asks in it.
    fn turn(&mut self) -> Vec<RegisterRequest> {
        self.now += EVERY * 2;
        let mut posts = self.follower.poll(self.now, &mut || 0.5);
        while let Some(post) = posts.pop() {
            let voter = post.voter;
            if let Some(reply) = self.answer(post) {
                posts.extend(self.follower.handle_reply(self.now, voter, reply));
            }
        }
        std::mem::take(&mut self.asked)
    }

    fn settled(&self, n: usize) -> Option<Entry> {
        self.follower.committed(&name(n)).map(|(entry, _)| entry.clone())
    }
}

#[test]
fn what_does_not_change_costs_one_ask_a_voter() {
    let mut world = World::new(64);
    for n in 0..64 {
        world.accept(&[0, 1, 2], &name(n), &entry(1, 20));
    }
    world.turn();
    assert!((0..64).all(|n| world.settled(n) == Some(entry(1, 20))));
    for _ in 0..20 {
        let asked = world.turn();
        assert_eq!(asked.len(), VOTERS, "{asked:?}");
        assert!(asked.iter().all(|ask| matches!(ask, RegisterRequest::ChangesSince { .. })));
    }
    let sure = world.follower.committed(&name(0)).unwrap().1;
    assert_eq!(sure, world.now, "an unchanged value was made sure of");
}

#[test]
fn long_values_come_page_by_page_within_a_turn() {
    let mut world = World::new(64);
    for n in 0..64 {
        world.accept(&[0, 1, 2], &name(n), &entry(1, MAX_VALUE_BYTES));
    }
    world.turn();
    assert!((0..64).all(|n| world.settled(n).is_some()));
    world.accept(&[1, 2], &name(7), &entry(2, 5));
    assert_eq!(world.turn().len(), VOTERS);
    assert_eq!(world.settled(7), Some(entry(2, 5)));
}

#[test]
fn one_voter_alone_settles_nothing_and_a_value_without_a_voter_stays() {
    let mut world = World::new(2);
    world.accept(&[0, 1, 2], &name(0), &entry(1, 5));
    world.turn();
    world.accept(&[0], &name(0), &entry(2, 5));
    (0..10).for_each(|_| drop(world.turn()));
    assert_eq!(world.settled(0), Some(entry(1, 5)));
    assert!(!world.follower.is_known_empty(&name(0)) && world.follower.is_known_empty(&name(1)));
}

#[test]
fn a_voter_that_starts_anew_is_asked_for_everything() {
    let mut world = World::new(3);
    world.accept(&[0, 1, 2], &name(0), &entry(1, 5));
    world.turn();
    (0..VOTERS).for_each(|voter| world.restart(voter));
    world.accept(&[0, 1], &name(1), &entry(1, 5));
    world.turn();
    world.turn();
    assert_eq!((world.settled(0), world.settled(1)), (Some(entry(1, 5)), Some(entry(1, 5))));
    assert_eq!(world.turn().len(), VOTERS);
}

#[test]
fn what_is_followed_later_is_asked_for() {
    let mut world = World::new(1);
    world.accept(&[0, 1, 2], &name(5), &entry(1, 5));
    world.turn();
    world.follower.watch(&name(5));
    world.turn();
    assert_eq!(world.settled(5), Some(entry(1, 5)));
}

#[test]
fn voters_of_an_earlier_version_are_asked_by_name_once_one_reply_shows_that_they_read_it() {
    let mut world = World::new(64);
    world.earlier = vec![0, 1, 2];
    for n in 0..64 {
        world.accept(&[0, 1, 2], &name(n), &entry(1, 20));
    }
    assert_eq!(world.turn().len(), VOTERS, "one register each, to see whether names are read");
    assert_eq!(world.turn().len(), VOTERS * 64);
    assert!((0..64).all(|n| world.settled(n) == Some(entry(1, 20))));
    world.earlier.clear();
    world.turn();
    world.turn();
    assert_eq!(world.turn().len(), VOTERS, "once changes are told, no name is asked for");
}

/// Against all that was accepted by a majority: changes, restarts, and replies that are lost, late and repeated.
#[test]
fn all_that_a_majority_accepted_is_known_once_replies_come_again() {
    for seed in 0..200 {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (mut world, mut truth) = (World::new(20), BTreeMap::new());
        let mut late: Vec<(usize, RegisterReply)> = Vec::new();
        for version in 1..150 {
            let register = chance.usize(..20);
            let left_out = chance.usize(..VOTERS * 2);
            let voters: Vec<usize> = (0..VOTERS).filter(|voter| *voter != left_out).collect();
            let value = entry(version, chance.usize(..MAX_VALUE_BYTES));
            world.accept(&voters, &name(register), &value);
            truth.insert(register, value);
            if chance.u8(..) < 20 {
                world.restart(chance.usize(..VOTERS));
            }
            world.now += EVERY;
            let now = world.now;
            let mut posts = world.follower.poll(now, &mut || chance.f64());
            while let Some(post) = posts.pop() {
                let voter = post.voter;
                let Some(reply) = world.answer(post) else { continue };
                if chance.u8(..) < 100 {
                    late.push((voter, reply.clone()));
                }
                if chance.u8(..) < 180 {
                    posts.extend(world.follower.handle_reply(now, voter, reply));
                }
                if chance.bool() && !late.is_empty() {
                    let (voter, reply) = late.swap_remove(chance.usize(..late.len()));
                    posts.extend(world.follower.handle_reply(now, voter, reply));
                }
            }
            for (register, settled) in (0..20).filter_map(|n| Some((n, world.settled(n)?))) {
                assert!(settled.version <= truth[&register].version, "seed {seed}: not settled yet");
            }
        }
        (0..4).for_each(|_| drop(world.turn()));
        for (register, value) in &truth {
            assert_eq!(world.settled(*register).as_ref(), Some(value), "seed {seed}, register {register}");
        }
        assert_eq!(world.turn().len(), VOTERS, "seed {seed}");
    }
}
