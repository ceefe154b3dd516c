//! Voters with the quota slots of 1,024 fronts, with the maximum number of tasks, and with one task more.

use lemonusher_leases::*;
use std::time::Duration;

const CONFIG: LeaseConfig = LeaseConfig {
    duration: Duration::from_secs(3),
    clock_drift_permille: 100,
    max_action_time: Duration::from_millis(500),
};
/// Long after the end of the hold time in which a voter that has just started does not vote.
const NOW: Duration = Duration::from_secs(60);

#[test]
fn a_voter_grants_up_to_max_tasks_and_no_more() {
    for (slots, granted) in [(1024, 1024), (MAX_TASKS, MAX_TASKS), (MAX_TASKS + 1, MAX_TASKS)] {
        let mut voter = Voter::new(Duration::ZERO, &CONFIG, 0);
        let mut accepted = |slot: u32| {
            let incarnation = Incarnation { name: format!("n{slot}"), id: u64::from(slot) + 1 };
            let (task, ballot) = (QuotaSlots::task_name(slot), Ballot { round: 1, proposer: incarnation.id });
            let reply = voter.handle_request(
                NOW,
                &CONFIG,
                LeaseRequest::Accept { task, ballot, client: incarnation, fencing_token: 1 },
            );
            matches!(reply, Some(LeaseReply::Accepted { .. }))
        };
        assert_eq!((0..slots as u32).filter(|slot| accepted(*slot)).count(), granted);
        assert_eq!(voter.grants(NOW).count(), granted);
    }
}
