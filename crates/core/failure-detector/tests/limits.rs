//! The failure detector with 1,024 members or seed addresses, with the maximum number, and with one more.

use lemonusher_failure_detector::{DetectorConfig, FailureDetector, MAX_MEMBERS, Member};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);

fn detector(n: usize) -> FailureDetector {
    let local =
        Member { name: format!("n{n}"), address: at(n), incarnation: n as u64 + 1, zone: 0, refutations: 0 };
    FailureDetector::new(local, DetectorConfig { probe_interval: PROBE_INTERVAL }, n as u64)
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 1000))
}

#[test]
fn members_are_known_up_to_max_members() {
    let mut one = detector(0);
    let mut members_created = 0;
    for (count, expected) in [(1024, 1024), (MAX_MEMBERS, MAX_MEMBERS), (MAX_MEMBERS + 1, MAX_MEMBERS)] {
        while members_created < count {
            members_created += 1;
            let mut other = detector(members_created);
            other.add_seed(Duration::ZERO, at(0));
            other
                .take_outgoing()
                .iter()
                .for_each(|datagram| one.handle_datagram(Duration::ZERO, &datagram.bytes));
            let _ = one.take_outgoing();
        }
        assert_eq!(one.members().count(), expected, "of {count}");
    }
}

#[test]
fn each_seed_without_a_member_is_announced_to_again() {
    for (addresses, expected) in [(1024, 1024), (MAX_MEMBERS, MAX_MEMBERS), (MAX_MEMBERS + 1, MAX_MEMBERS)] {
        let mut one = detector(0);
        (1..=addresses).for_each(|n| one.add_seed(Duration::ZERO, at(n)));
        let _ = one.take_outgoing();
        let mut announced_to = BTreeSet::new();
        for poll in 1..=addresses as u32 {
            one.poll(PROBE_INTERVAL * 4 * poll);
            announced_to.extend(one.take_outgoing().into_iter().map(|datagram| datagram.to));
        }
        assert_eq!(announced_to.len(), expected, "of {addresses}");
    }
}
