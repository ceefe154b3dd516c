//! Voters and lease clients on a simulated network with partitions, restarts and loss of memory.

use lemonusher_leases::*;
use std::time::Duration;

const CONFIG: LeaseConfig = LeaseConfig {
    duration: Duration::from_secs(3),
    clock_drift_permille: 100,
    max_action_time: Duration::from_millis(500),
};
const TASK: &str = "account";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Voters and lease clients that share one clock and whose links can be partitioned.
struct Fleet {
    now: Duration,
    voters: Vec<Voter>,
    clients: Vec<LeaseClient>,
    partitioned: Vec<(usize, usize)>, // Pairs of lease client and voter; no message passes in either direction.
    chance: fastrand::Rng,
    messages: usize,
}

impl Fleet {
    fn new(voters: usize, clients: usize) -> Fleet {
        let incarnation = |n: usize| Incarnation { name: format!("n{n}"), id: n as u64 + 1 };
        Fleet {
            now: ms(0),
            voters: (0..voters).map(|_| Voter::new(ms(0), &CONFIG, 0)).collect(),
            clients: (0..clients).map(|n| LeaseClient::new(incarnation(n), voters)).collect(),
            partitioned: Vec::new(),
            chance: fastrand::Rng::with_seed(7),
            messages: 0,
        }
    }

    fn send(&mut self, client: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            self.messages += 1;
            if self.partitioned.contains(&(client, voter)) {
                continue;
            }
            if let Some(reply) = self.voters[voter].handle_request(self.now, &CONFIG, request) {
                self.messages += 1;
                let chance = &mut self.chance;
                let more =
                    self.clients[client].handle_reply(self.now, &CONFIG, voter, reply, &mut || chance.f64());
                self.send(client, more);
            }
        }
    }

    /// Advances the clock in steps of 50 ms, and checks after each step that at most one client may act on `TASK`.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += ms(50);
            for client in 0..self.clients.len() {
                let chance = &mut self.chance;
                let messages = self.clients[client].poll(self.now, &CONFIG, &mut || chance.f64());
                self.send(client, messages);
            }
            assert!(self.holders(TASK).len() <= 1, "{:?}", self.holders(TASK));
        }
    }

    fn holders(&self, task: &str) -> Vec<(usize, u64)> {
        let acting = |(n, a): (usize, &LeaseClient)| Some((n, a.active_lease(self.now, task)?.fencing_token));
        self.clients.iter().enumerate().filter_map(acting).collect()
    }

    fn acquire(&mut self, client: usize, fenced: bool) {
        let now = self.now;
        self.clients[client].acquire(now, TASK, fenced);
    }
}

#[test]
fn one_of_many_clients_acquires_renews_and_releases() {
    let mut fleet = Fleet::new(3, 20);
    (0..20).for_each(|n| fleet.acquire(n, true));
    fleet.advance(CONFIG.voter_hold_time() - ms(50));
    assert!(fleet.holders(TASK).is_empty()); // All voters have just started.
    fleet.advance(CONFIG.duration);
    let first = fleet.holders(TASK)[0];
    fleet.advance(CONFIG.duration * 20);
    assert_eq!(fleet.holders(TASK), [first], "it is renewed, under one token");
    let now = fleet.now;
    let messages = fleet.clients[first.0].release(now, &CONFIG, TASK, true);
    fleet.send(first.0, messages);
    fleet.advance(CONFIG.duration * 3);
    let second = fleet.holders(TASK)[0];
    assert!(second.0 != first.0 && second.1 > first.1, "{first:?} {second:?}");
}

#[test]
fn a_partitioned_holder_expires_before_another_acquires() {
    let mut fleet = Fleet::new(3, 2);
    fleet.acquire(0, true);
    fleet.advance(CONFIG.duration * 3);
    fleet.acquire(1, true);
    fleet.partitioned = (0..3).map(|voter| (0, voter)).collect();
    let from = fleet.now;
    while fleet.holders(TASK) != [(1, 2)] {
        fleet.advance(ms(50));
        assert!(fleet.now < from + CONFIG.voter_hold_time() + CONFIG.duration * 3, "client 1 has no lease");
    }
    let (a, b) = (fleet.clients[0].take_changes(), fleet.clients[1].take_changes());
    assert_eq!(a[1], LeaseChange::Expired { task: TASK.into(), fencing_token: 1 });
    assert_eq!(b, [LeaseChange::Acquired { task: TASK.into(), fencing_token: 2 }]);
}

#[test]
fn a_majority_without_memory_grants_nothing_until_earlier_grants_have_expired() {
    let mut fleet = Fleet::new(3, 2);
    fleet.acquire(0, true);
    fleet.advance(CONFIG.duration * 3);
    fleet.partitioned = (0..3).map(|voter| (0, voter)).collect(); // The holder still counts its lease as held.
    let (now, restarted) = (fleet.now, fleet.now);
    (0..2).for_each(|voter| fleet.voters[voter] = Voter::new(now, &CONFIG, 0));
    fleet.acquire(1, true);
    while fleet.holders(TASK).iter().all(|(n, _)| *n == 0) {
        fleet.advance(ms(50));
    }
    assert!(fleet.now >= restarted + CONFIG.voter_hold_time());
    // The third voter still knows the token. A majority without that voter does not: only the resource, stored
    // state, or a client that has observed the token can report it.
    let token = fleet.holders(TASK)[0].1;
    assert!(token == 1 || token == 2);
    fleet.clients[1].observe_token(TASK, 7);
    let now = fleet.now;
    let messages = fleet.clients[1].release(now, &CONFIG, TASK, true);
    fleet.send(1, messages);
    fleet.advance(CONFIG.duration * 3);
    assert_eq!(fleet.holders(TASK), [(1, 8)]);
}

#[test]
fn fencing_tokens_grow_over_a_loss_of_all_memory_once_the_resource_reports_one() {
    let mut fleet = Fleet::new(3, 1);
    fleet.acquire(0, true);
    let now = fleet.now;
    fleet.voters.iter_mut().for_each(|voter| *voter = Voter::new(now, &CONFIG, 0));
    fleet.clients[0].observe_token(TASK, 41);
    fleet.advance(CONFIG.duration * 3);
    assert_eq!(fleet.holders(TASK), [(0, 42)]);
    let stored_token = fleet.voters.iter().map(Voter::highest_token).max().unwrap();
    let now = fleet.now;
    fleet.voters.iter_mut().for_each(|voter| *voter = Voter::new(now, &CONFIG, stored_token));
    fleet.clients[0] = LeaseClient::new(Incarnation { name: "n0".into(), id: 99 }, 3);
    fleet.acquire(0, true);
    fleet.advance(CONFIG.duration * 3);
    assert_eq!(fleet.holders(TASK), [(0, 43)]);
}

#[test]
fn an_unfenced_task_waits_for_the_max_action_time() {
    let mut fleet = Fleet::new(3, 1);
    fleet.acquire(0, false);
    let acquired_at = loop {
        fleet.advance(ms(50));
        if let Some(LeaseChange::Acquired { .. }) = fleet.clients[0].take_changes().first() {
            break fleet.now;
        }
    };
    assert!(fleet.holders(TASK).is_empty());
    fleet.advance(CONFIG.with_drift(CONFIG.max_action_time) - ms(50));
    assert!(fleet.holders(TASK).is_empty());
    fleet.advance(ms(100));
    assert!(
        fleet.holders(TASK) == [(0, 1)]
            && fleet.now <= acquired_at + CONFIG.with_drift(CONFIG.max_action_time) + ms(100)
    );
}

#[test]
fn delayed_and_repeated_requests_change_nothing() {
    let mut voter = Voter::new(ms(0), &CONFIG, 0);
    let (a, b) = (Incarnation { name: "a".into(), id: 1 }, Incarnation { name: "b".into(), id: 2 });
    let ballot = |round, proposer| Ballot { round, proposer };
    let accept = |incarnation: &Incarnation, round, fencing_token| LeaseRequest::Accept {
        task: TASK.into(),
        ballot: ballot(round, incarnation.id),
        client: incarnation.clone(),
        fencing_token,
    };
    let at = CONFIG.voter_hold_time();
    let prepare = LeaseRequest::Prepare { task: TASK.into(), ballot: ballot(2, 2), client: b.clone() };
    assert!(matches!(voter.handle_request(at, &CONFIG, prepare), Some(LeaseReply::Promise { .. })));
    assert!(matches!(
        voter.handle_request(at, &CONFIG, accept(&a, 1, 1)),
        Some(LeaseReply::StaleBallot { round: 2, .. })
    ));
    assert!(matches!(voter.handle_request(at, &CONFIG, accept(&b, 2, 1)), Some(LeaseReply::Accepted { .. })));
    // The same request arrives again much later. It extends the grant at the voter, which client b does not rely on;
    // other clients only wait longer.
    let late = at + CONFIG.voter_hold_time() * 2;
    assert!(matches!(
        voter.handle_request(late, &CONFIG, accept(&b, 2, 1)),
        Some(LeaseReply::Accepted { .. })
    ));
    let release = |incarnation: &Incarnation, fencing_token| LeaseRequest::Release {
        task: TASK.into(),
        client: incarnation.clone(),
        fencing_token,
    };
    assert_eq!(voter.handle_request(late, &CONFIG, release(&a, 9)), None);
    assert_eq!(voter.grants(late).count(), 1, "no client releases the lease of another");
    voter.handle_request(late, &CONFIG, release(&b, 1));
    assert_eq!(voter.grants(late).count(), 0);
}

/// A lease client that holds the task at time zero, granted by two of three voters.
fn holding_client() -> LeaseClient {
    let mut client = LeaseClient::new(Incarnation { name: "a".into(), id: 1 }, 3);
    client.acquire(ms(0), TASK, true);
    let prepared = client.poll(ms(0), &CONFIG, &mut || 0.0);
    let LeaseRequest::Prepare { ballot, .. } = prepared[0].request else { panic!("{prepared:?}") };
    for voter in 0..2 {
        let promise = LeaseReply::Promise { task: TASK.into(), ballot, fencing_token: 4 };
        client.handle_reply(ms(0), &CONFIG, voter, promise, &mut || 0.0);
    }
    for voter in 0..2 {
        client.handle_reply(
            ms(0),
            &CONFIG,
            voter,
            LeaseReply::Accepted { task: TASK.into(), ballot },
            &mut || 0.0,
        );
    }
    assert_eq!(
        client.active_lease(ms(0), TASK),
        Some(ActiveLease { fencing_token: 5, until: CONFIG.duration })
    );
    client
}

/// Has the client begin a renewal at `now`, with accept requests to all three voters; returns their ballot.
fn begin_renewal(client: &mut LeaseClient, now: Duration) -> Ballot {
    let messages = client.poll(now, &CONFIG, &mut || 0.0);
    assert_eq!(messages.len(), 3);
    let ballot = |send: &OutboundMessage| match send.request {
        LeaseRequest::Accept { ballot, fencing_token: 5, .. } => ballot,
        _ => panic!("{send:?}"),
    };
    ballot(&messages[2])
}

#[test]
fn a_lease_is_renewed_in_one_round() {
    let mut client = holding_client();
    let now = CONFIG.duration / 2;
    let ballot = begin_renewal(&mut client, now);
    for voter in 1..3 {
        client.handle_reply(
            now,
            &CONFIG,
            voter,
            LeaseReply::Accepted { task: TASK.into(), ballot },
            &mut || 0.0,
        );
    }
    assert_eq!(
        client.active_lease(now, TASK),
        Some(ActiveLease { fencing_token: 5, until: now + CONFIG.duration })
    );
}

#[test]
fn a_renewal_accepted_after_expiry_renews_nothing() {
    for polled in [false, true] {
        let mut client = holding_client();
        let ballot = begin_renewal(&mut client, CONFIG.duration - ms(1));
        let late = CONFIG.duration;
        if polled {
            client.poll(late, &CONFIG, &mut || 0.5);
        }
        for voter in 0..3 {
            client.handle_reply(
                late,
                &CONFIG,
                voter,
                LeaseReply::Accepted { task: TASK.into(), ballot },
                &mut || 0.0,
            );
        }
        assert_eq!(client.active_lease(late, TASK), None);
        client.poll(late, &CONFIG, &mut || 0.5);
        let again = client.poll(late + CONFIG.duration, &CONFIG, &mut || 0.0);
        assert!(matches!(again[0].request, LeaseRequest::Prepare { .. }), "{again:?}");
    }
}

#[test]
fn quota_slots_have_one_holder_each_and_their_shares_sum_to_at_most_one() {
    let mut fleet = Fleet::new(3, 40);
    // Two fronts have the same first slot.
    let mut slots: Vec<QuotaSlots> = (0..40).map(|n| QuotaSlots::new(30, 1, n / 2)).collect();
    let mut max_share: f64 = 0.0;
    let mut random = fastrand::Rng::with_seed(3);
    for step in 0..600 {
        if step % 60 == 30 {
            fleet.partitioned =
                (0..40).flat_map(|n| (0..3).map(move |v| (n, v))).filter(|_| random.bool()).collect();
        }
        if step % 150 == 149 {
            let (now, voter) = (fleet.now, random.usize(..3));
            fleet.voters[voter] = Voter::new(now, &CONFIG, 0);
        }
        for (n, slot) in slots.iter_mut().enumerate() {
            let messages = slot.poll(fleet.now, &CONFIG, &mut fleet.clients[n]);
            fleet.send(n, messages);
        }
        fleet.advance(ms(100));
        let mut held_slots: Vec<u32> =
            (0..40).flat_map(|n| slots[n].held(fleet.now, &fleet.clients[n])).collect();
        max_share = max_share.max(quota_share(held_slots.len(), 30));
        held_slots.sort();
        assert!(held_slots.windows(2).all(|pair| pair[0] != pair[1]), "{held_slots:?}");
    }
    assert!(max_share <= 1.0 && max_share > 0.9, "{max_share}");
}

#[test]
fn messages_per_front_do_not_grow_with_the_fleet_and_a_mass_restart_recovers() {
    for fronts in [4, 40, 300] {
        let mut fleet = Fleet::new(3, fronts);
        let mut slots: Vec<QuotaSlots> =
            (0..fronts).map(|n| QuotaSlots::new(fronts as u32, 1, n as u32 / 2)).collect();
        (0..fronts).for_each(|n| fleet.acquire(n, true));
        let run = |fleet: &mut Fleet, slots: &mut [QuotaSlots], duration: Duration| {
            let end = fleet.now + duration;
            while fleet.now < end {
                for (n, slot) in slots.iter_mut().enumerate() {
                    let messages = slot.poll(fleet.now, &CONFIG, &mut fleet.clients[n]);
                    fleet.send(n, messages);
                }
                fleet.advance(ms(50));
            }
        };
        let held_slots = |fleet: &Fleet, slots: &[QuotaSlots]| {
            slots
                .iter()
                .enumerate()
                .map(|(n, slot)| slot.held(fleet.now, &fleet.clients[n]).len())
                .sum::<usize>()
        };
        run(&mut fleet, &mut slots, CONFIG.duration * 20);
        let (before, from) = (fleet.messages, fleet.now);
        run(&mut fleet, &mut slots, CONFIG.duration * 10);
        let rate = (fleet.messages - before) as f64 / (fleet.now - from).as_secs_f64() / fronts as f64;
        println!("proof: leases_messages_a_second_a_front_of_{fronts} {rate:.1}");
        assert!(rate < 24.0, "{rate}");
        // All fronts and all voters restart at once, without memory.
        let now = fleet.now;
        fleet.voters.iter_mut().for_each(|voter| *voter = Voter::new(now, &CONFIG, 0));
        for n in 0..fronts {
            let incarnation = Incarnation { name: format!("n{n}"), id: (1000 + n) as u64 };
            fleet.clients[n] = LeaseClient::new(incarnation, 3);
            fleet.acquire(n, true);
        }
        while held_slots(&fleet, &slots) * 10 < fronts * 9 {
            run(&mut fleet, &mut slots, ms(200));
            assert!(
                fleet.now < now + CONFIG.duration * 40,
                "{} of {fronts} quota slots are held",
                held_slots(&fleet, &slots)
            );
        }
        let leases = (fleet.now - now).as_secs_f64() / CONFIG.duration.as_secs_f64();
        println!("proof: leases_until_nine_in_ten_of_{fronts}_seats_after_a_mass_restart {leases:.1}");
    }
}
