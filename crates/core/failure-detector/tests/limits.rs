//! 1,024 members, as many as are kept, and one more.

use lemonusher_failure_detector::{DetectorConfig, FailureDetector, MAX_MEMBERS, Member};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(500);

fn detector(n: usize) -> FailureDetector {
    let me =
        Member { name: format!("n{n}"), address: at(n), incarnation: n as u64 + 1, zone: 0, refutations: 0 };
    FailureDetector::new(me, DetectorConfig { probe_interval: PERIOD }, n as u64)
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 1000))
}

#[test]
fn as_many_members_are_kept_as_come_up_to_the_bound() {
    let mut one = detector(0);
    let mut came = 0;
    for (count, kept) in [(1024, 1024), (MAX_MEMBERS, MAX_MEMBERS), (MAX_MEMBERS + 1, MAX_MEMBERS)] {
        while came < count {
            came += 1;
            let mut other = detector(came);
            other.add_seed(Duration::ZERO, at(0));
            other.take_outgoing().for_each(|(_, bytes)| one.handle_datagram(Duration::ZERO, &bytes));
            let _ = one.take_outgoing().count();
        }
        assert_eq!(one.members().count(), kept, "of {count}");
    }
}

#[test]
fn each_address_that_should_answer_is_greeted_again() {
    for (addresses, greeted) in [(1024, 1024), (MAX_MEMBERS, MAX_MEMBERS), (MAX_MEMBERS + 1, MAX_MEMBERS)] {
        let mut one = detector(0);
        (1..=addresses).for_each(|n| one.add_seed(Duration::ZERO, at(n)));
        let _ = one.take_outgoing().count();
        let mut again = BTreeSet::new();
        for turn in 1..=addresses as u32 {
            one.poll(PERIOD * 4 * turn);
            again.extend(one.take_outgoing().map(|(to, _)| to));
        }
        assert_eq!(again.len(), greeted, "of {addresses}");
    }
}
