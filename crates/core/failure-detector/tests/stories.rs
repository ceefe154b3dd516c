//! The failure detector in virtual time: losses, crashes, restarts, leaving, and how many are told as gone that are not.

use lemonusher_failure_detector::{
    DetectorConfig, FailureDetector, GossipRecord, MAX_MESSAGE_BYTES, Member, MembershipChange,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(500);

struct World {
    now: Duration,
    detectors: BTreeMap<SocketAddr, FailureDetector>,
    way: Vec<(Duration, SocketAddr, Vec<u8>)>,
    chance: fastrand::Rng,
    lost: f64,
    sent: usize,
    bytes: usize,
    went: Vec<(SocketAddr, Member)>,
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

impl World {
    fn new(seed: u64, fronts: usize, lost: f64) -> World {
        let mut world = World {
            now: Duration::ZERO,
            detectors: BTreeMap::new(),
            way: Vec::new(),
            chance: fastrand::Rng::with_seed(seed),
            lost,
            sent: 0,
            bytes: 0,
            went: Vec::new(),
        };
        (0..fronts).for_each(|n| world.start(n));
        world
    }

    fn start(&mut self, n: usize) {
        let born = self.chance.u64(1..);
        let me = Member {
            name: format!("n{n}"),
            address: at(n),
            incarnation: born,
            zone: n as u32 % 3,
            refutations: 0,
        };
        let mut detector = FailureDetector::new(me, DetectorConfig { probe_interval: PERIOD }, born);
        (0..3).for_each(|known| detector.add_seed(self.now, at(known)));
        self.detectors.insert(at(n), detector);
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += Duration::from_millis(10);
            let now = self.now;
            let due: Vec<_> = self.way.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, to, bytes) in due {
                if let Some(detector) = self.detectors.get_mut(&to) {
                    detector.handle_datagram(now, &bytes);
                }
            }
            for (me, detector) in &mut self.detectors {
                detector.poll(now);
                for (to, bytes) in detector.take_outgoing() {
                    assert!(bytes.len() <= MAX_MESSAGE_BYTES);
                    self.sent += 1;
                    self.bytes += bytes.len();
                    if self.chance.f64() >= self.lost {
                        let late = Duration::from_millis(self.chance.u64(1..30));
                        self.way.push((now + late, to, bytes));
                    }
                }
                for change in detector.take_changes() {
                    if let MembershipChange::Left(member) = change {
                        self.went.push((*me, member));
                    }
                }
            }
        }
    }

    /// How many each knows.
    fn known(&self) -> Vec<usize> {
        self.detectors.values().map(|detector| detector.members().count()).collect()
    }
}

#[test]
fn all_meet_one_that_dies_is_missed_and_its_next_life_is_another() {
    let mut world = World::new(1, 12, 0.05);
    world.run(PERIOD * 20);
    assert_eq!(world.known(), [11; 12]);
    world.detectors.remove(&at(7));
    world.run(PERIOD * 30);
    assert_eq!(world.known(), [10; 11]);
    world.start(7);
    world.run(PERIOD * 30);
    assert_eq!(world.known(), [11; 12]);
    let one = |detector: &FailureDetector| detector.members().filter(|member| member.name == "n7").count();
    assert!(world.detectors.iter().filter(|(me, _)| **me != at(7)).all(|(_, detector)| one(detector) == 1));
}

#[test]
fn who_leaves_is_missed_at_once_and_a_restart_in_between_is_noticed() {
    let mut world = World::new(2, 9, 0.0);
    world.run(PERIOD * 20);
    let now = world.now;
    world.detectors.get_mut(&at(4)).unwrap().leave(now);
    world.run(PERIOD * 4);
    world.detectors.remove(&at(4));
    assert_eq!(world.known(), [7; 8]);
    let before = world.went.len();
    world.start(5); // A new incarnation before anybody has missed the old one.
    world.run(PERIOD * 40);
    assert_eq!(world.known(), [7; 8]);
    assert!(
        world.went[before..].iter().any(|(_, member)| member.name == "n5"),
        "the old life was not missed"
    );
}

#[test]
fn facts_reach_all_and_the_latest_stands() {
    let mut world = World::new(3, 20, 0.2);
    world.run(PERIOD * 20);
    for taken in [5, 9] {
        let fact = GossipRecord {
            requests_per_second: taken,
            ejected_engines: (0..20).collect(),
            desired_state_version: 3,
        };
        world.detectors.get_mut(&at(2)).unwrap().publish(fact);
        world.run(PERIOD * 12);
    }
    let born = world.detectors[&at(3)].members().find(|member| member.name == "n2").unwrap().incarnation;
    let told =
        world.detectors.iter().filter(|(me, _)| **me != at(2)).map(|(_, detector)| detector.gossip_of(born));
    let told: Vec<Option<GossipRecord>> = told.collect();
    let fresh = told
        .iter()
        .flatten()
        .filter(|fact| fact.requests_per_second == 9 && fact.ejected_engines.len() == 8)
        .count();
    assert!(fresh >= 18, "{fresh} of 19: {told:?}");
}

#[test]
fn a_cut_of_some_periods_heals_by_itself() {
    let mut world = World::new(4, 10, 0.0);
    world.run(PERIOD * 20);
    world.lost = 1.0;
    world.run(PERIOD * 30);
    assert!(world.known().iter().all(|known| *known < 9));
    world.lost = 0.0;
    world.run(PERIOD * 200);
    assert_eq!(world.known(), [9; 10]);
}

/// How often one is told as gone that is not, under losses; and what it costs. Prints, and bounds it widely.
#[test]
fn false_alarms_and_cost_are_bounded() {
    for (fronts, lost) in [(40, 0.0), (40, 0.2), (120, 0.2)] {
        let mut world = World::new(5, fronts, lost);
        world.run(PERIOD * 40);
        let (sent, bytes, went) = (world.sent, world.bytes, world.went.len());
        let span = PERIOD * 120;
        world.run(span);
        let each = fronts as f64 * span.as_secs_f64();
        let alarms =
            (world.went.len() - went) as f64 / (fronts * fronts) as f64 / span.as_secs_f64() * 3600.0;
        let messages = (world.sent - sent) as f64 / each;
        let kept = world.known().iter().sum::<usize>() as f64 / (fronts * (fronts - 1)) as f64;
        println!(
            "proof: failure_detector_{fronts}_lost_{lost} {messages:.1} messages and {:.0} bytes a second a front, \
             {alarms:.2} false alarms an hour a pair, {kept:.3} known at the end",
            (world.bytes - bytes) as f64 / each
        );
        assert!(messages < 40.0 && kept > 0.9);
        assert!(lost > 0.0 || world.went.len() == went);
    }
}

#[test]
fn spoilt_bytes_change_nothing() {
    let mut world = World::new(6, 3, 0.0);
    world.run(PERIOD * 10);
    let mut chance = fastrand::Rng::with_seed(6);
    let now = world.now;
    let detector = world.detectors.get_mut(&at(0)).unwrap();
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..chance.usize(..MAX_MESSAGE_BYTES + 40)).map(|_| chance.u8(..)).collect();
        detector.handle_datagram(now, &bytes);
    }
    assert!(detector.members().count() >= 2);
}
