//! The failure detector in virtual time: lost messages, crashes, restarts, leaving members, and false positives.

use lemonusher_failure_detector::{
    Datagram, DetectorConfig, FailureDetector, GossipRecord, MAX_MESSAGE_BYTES, Member, MembershipChange,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);

struct World {
    now: Duration,
    detectors: BTreeMap<SocketAddr, FailureDetector>,
    in_flight: Vec<(Duration, SocketAddr, Vec<u8>)>,
    chance: fastrand::Rng,
    loss: f64,
    sent: usize,
    bytes: usize,
    left: Vec<(SocketAddr, Member)>,
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

impl World {
    fn new(seed: u64, fronts: usize, loss: f64) -> World {
        let mut world = World {
            now: Duration::ZERO,
            detectors: BTreeMap::new(),
            in_flight: Vec::new(),
            chance: fastrand::Rng::with_seed(seed),
            loss,
            sent: 0,
            bytes: 0,
            left: Vec::new(),
        };
        (0..fronts).for_each(|n| world.start(n));
        world
    }

    fn start(&mut self, n: usize) {
        let incarnation = self.chance.u64(1..);
        let local =
            Member { name: format!("n{n}"), address: at(n), incarnation, zone: n as u32 % 3, refutations: 0 };
        let mut detector =
            FailureDetector::new(local, DetectorConfig { probe_interval: PROBE_INTERVAL }, incarnation);
        (0..3).for_each(|known| detector.add_seed(self.now, at(known)));
        self.detectors.insert(at(n), detector);
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += Duration::from_millis(10);
            let now = self.now;
            let due: Vec<_> = self.in_flight.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, to, bytes) in due {
                if let Some(detector) = self.detectors.get_mut(&to) {
                    detector.handle_datagram(now, &bytes);
                }
            }
            for (local, detector) in &mut self.detectors {
                detector.poll(now);
                for Datagram { to, bytes } in detector.take_outgoing() {
                    assert!(bytes.len() <= MAX_MESSAGE_BYTES);
                    self.sent += 1;
                    self.bytes += bytes.len();
                    if self.chance.f64() >= self.loss {
                        let delay = Duration::from_millis(self.chance.u64(1..30));
                        self.in_flight.push((now + delay, to, bytes));
                    }
                }
                for change in detector.take_changes() {
                    if let MembershipChange::Left(member) = change {
                        self.left.push((*local, member));
                    }
                }
            }
        }
    }

    /// The number of other members that each detector knows.
    fn known(&self) -> Vec<usize> {
        self.detectors.values().map(|detector| detector.members().count()).collect()
    }
}

#[test]
fn members_are_discovered_a_crash_is_detected_and_a_restart_is_a_new_incarnation() {
    let mut world = World::new(1, 12, 0.05);
    world.run(PROBE_INTERVAL * 20);
    assert_eq!(world.known(), [11; 12]);
    world.detectors.remove(&at(7));
    world.run(PROBE_INTERVAL * 30);
    assert_eq!(world.known(), [10; 11]);
    world.start(7);
    world.run(PROBE_INTERVAL * 30);
    assert_eq!(world.known(), [11; 12]);
    let one = |detector: &FailureDetector| detector.members().filter(|member| member.name == "n7").count();
    assert!(
        world.detectors.iter().filter(|(local, _)| **local != at(7)).all(|(_, detector)| one(detector) == 1)
    );
}

#[test]
fn a_leave_is_known_at_once_and_a_quick_restart_is_noticed() {
    let mut world = World::new(2, 9, 0.0);
    world.run(PROBE_INTERVAL * 20);
    let now = world.now;
    world.detectors.get_mut(&at(4)).unwrap().leave(now);
    world.run(PROBE_INTERVAL * 4);
    world.detectors.remove(&at(4));
    assert_eq!(world.known(), [7; 8]);
    let before = world.left.len();
    world.start(5); // A new incarnation starts before any member has suspected the old one.
    world.run(PROBE_INTERVAL * 40);
    assert_eq!(world.known(), [7; 8]);
    assert!(
        world.left[before..].iter().any(|(_, member)| member.name == "n5"),
        "the old incarnation was not reported as left"
    );
}

#[test]
fn gossip_records_reach_all_members_and_the_latest_counts() {
    let mut world = World::new(3, 20, 0.2);
    world.run(PROBE_INTERVAL * 20);
    for requests_per_second in [5, 9] {
        let record = GossipRecord {
            requests_per_second,
            ejected_engines: (0..20).collect(),
            desired_state_version: 3,
        };
        world.detectors.get_mut(&at(2)).unwrap().publish(record);
        world.run(PROBE_INTERVAL * 12);
    }
    let incarnation =
        world.detectors[&at(3)].members().find(|member| member.name == "n2").unwrap().incarnation;
    let records = world
        .detectors
        .iter()
        .filter(|(local, _)| **local != at(2))
        .map(|(_, detector)| detector.gossip_of(incarnation));
    let records: Vec<Option<GossipRecord>> = records.collect();
    let fresh = records
        .iter()
        .flatten()
        .filter(|record| record.requests_per_second == 9 && record.ejected_engines.len() == 8)
        .count();
    assert!(fresh >= 18, "{fresh} of 19: {records:?}");
}

#[test]
fn a_partition_of_some_periods_heals_by_itself() {
    let mut world = World::new(4, 10, 0.0);
    world.run(PROBE_INTERVAL * 20);
    world.loss = 1.0;
    world.run(PROBE_INTERVAL * 30);
    assert!(world.known().iter().all(|known| *known < 9));
    world.loss = 0.0;
    world.run(PROBE_INTERVAL * 200);
    assert_eq!(world.known(), [9; 10]);
}

/// Measures false positives with lost messages, and the messages and bytes that the protocol sends. Prints them, and
/// checks that each front sends fewer than 40 messages per second, that members know over 0.9 of the others on average
/// at the end and, without lost messages, that there is no false positive.
#[test]
fn false_positives_and_cost_are_bounded() {
    for (fronts, loss) in [(40, 0.0), (40, 0.2), (120, 0.2)] {
        let mut world = World::new(5, fronts, loss);
        world.run(PROBE_INTERVAL * 40);
        let (sent, bytes, left) = (world.sent, world.bytes, world.left.len());
        let duration = PROBE_INTERVAL * 120;
        world.run(duration);
        let each = fronts as f64 * duration.as_secs_f64();
        let false_positives =
            (world.left.len() - left) as f64 / (fronts * fronts) as f64 / duration.as_secs_f64() * 3600.0;
        let messages = (world.sent - sent) as f64 / each;
        let known_share = world.known().iter().sum::<usize>() as f64 / (fronts * (fronts - 1)) as f64;
        println!(
            "proof: failure_detector_{fronts}_lost_{loss} {messages:.1} messages and {:.0} bytes a second a front, \
             {false_positives:.2} false alarms an hour a pair, {known_share:.3} known at the end",
            (world.bytes - bytes) as f64 / each
        );
        assert!(messages < 40.0 && known_share > 0.9);
        assert!(loss > 0.0 || world.left.len() == left);
    }
}

#[test]
fn corrupt_datagrams_change_nothing() {
    let mut world = World::new(6, 3, 0.0);
    world.run(PROBE_INTERVAL * 10);
    let mut chance = fastrand::Rng::with_seed(6);
    let now = world.now;
    let detector = world.detectors.get_mut(&at(0)).unwrap();
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..chance.usize(..MAX_MESSAGE_BYTES + 40)).map(|_| chance.u8(..)).collect();
        detector.handle_datagram(now, &bytes);
    }
    assert!(detector.members().count() >= 2);
}
