//! Nodes over a network that turns the order of each burst round: what may come in any order is heard all the same, and
//! what may not is dropped; what is followed costs little, and is known again after voters have lost their memory.

use lemonusher_fleet::*;
use lemonusher_leases::{Ballot, Incarnation, LeaseConfig, LeaseReply, LeaseRequest};
use lemonusher_registers::{self as registers, Entry, EntryVersion};
use lemonusher_zone_failover as zones;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(600);
const STEP: Duration = Duration::from_millis(5);
/// So long voters without a folder keep silent, and then some.
const SETTLED: Duration = Duration::from_secs(3);
const VOTERS: usize = 3;
/// Bytes of a long value.
const LONG: usize = 800;

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + place as u16))
}

fn terms(place: usize) -> FleetConfig {
    let leases =
        LeaseConfig { duration: LEASE, clock_drift_permille: 20, max_action_time: Duration::from_millis(10) };
    let ms = Duration::from_millis;
    let zone_terms = zones::FailoverConfig {
        report_interval: ms(100),
        confirmation_time: ms(400),
        probation: ms(800),
        ramp_interval: ms(1_000),
        recovery_backoff: ms(1_000),
        max_utilization: 0.8,
        admission_floor: 0.05,
        plan_timeout: ms(2_000),
    };
    let (_, seen) = async_channel::bounded(1);
    let votes = place < VOTERS;
    let maintenance = lemonusher_maintenance::MaintenanceConfig {
        poll_interval: ms(100),
        required_fronts: (0..=VOTERS).map(|front| format!("front {front}")).collect(),
        min_reserve: 0.9,
        demand_margin: 0.1,
        probation: ms(1_000),
    };
    FleetConfig {
        name: format!("front {place}"),
        listen: address(place),
        key: key(),
        leases,
        voters: (0..VOTERS).map(address).collect(),
        is_voter: votes,
        voter_index: votes.then_some(place),
        advertised_address: None,
        zone: 0,
        state_folder: None,
        tasks: Vec::new(),
        quota_slots: 0,
        wanted_slots: 0,
        first_slot: place as u32,
        zone_failover: Some(ZoneFailoverSettings {
            config: zone_terms,
            classes: Vec::new(),
            observations: seen,
        }),
        maintenance: Some(MaintenanceSettings { config: maintenance, notify: None }),
    }
}

fn key() -> FleetKey {
    FleetKey::new(b"a key of a test")
}

fn node(place: usize) -> Node {
    node_of(place, place as u64 + 1)
}

fn node_of(place: usize, life: u64) -> Node {
    let birth = StartParameters { address: address(place), incarnation: life, unix_time_ms: 1, seed: life };
    Node::new(terms(place), birth, None, Arc::new(TrafficCounters::default()))
}

/// Nodes whose bursts arrive turned round, one step of time after they were sent.
struct Reversed {
    nodes: Vec<Node>,
    under_way: Vec<(SocketAddr, Datagram)>,
    now: Duration,
    /// When each node's incarnation began.
    born: Vec<Duration>,
    /// Messages of each kind that each node has sent.
    sent: BTreeMap<(usize, MessageKind), usize>,
}

impl Reversed {
    fn new(nodes: usize) -> Reversed {
        let nodes: Vec<Node> = (0..nodes).map(node).collect();
        let born = vec![Duration::ZERO; nodes.len()];
        Reversed { nodes, under_way: Vec::new(), now: Duration::ZERO, born, sent: BTreeMap::new() }
    }

    /// Starts a voter anew, without memory.
    fn restart(&mut self, place: usize, life: u64) {
        self.nodes[place] = node_of(place, life);
        self.born[place] = self.now;
    }

    fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, datagram) in std::mem::take(&mut self.under_way).into_iter().rev() {
            let to = (0..self.nodes.len()).find(|place| address(*place) == datagram.to);
            if let Some(place) = to {
                self.nodes[place].handle_datagram(self.now - self.born[place], from, &datagram.bytes);
            }
        }
        for (place, node) in self.nodes.iter_mut().enumerate() {
            node.poll(self.now - self.born[place]);
            for Message { kind, datagram } in node.take_outgoing() {
                *self.sent.entry((place, kind)).or_default() += 1;
                self.under_way.push((address(place), datagram));
            }
        }
    }
}

#[test]
fn who_follows_many_registers_sends_one_datagram_a_voter_and_turn() {
    let mut fleet = Reversed::new(VOTERS + 1);
    fleet.run_for(SETTLED);
    fleet.sent.clear();
    fleet.run_for(LEASE * 10);
    let asked = fleet.sent.get(&(VOTERS, MessageKind::Registers)).copied().unwrap_or(0);
    // Each voter is asked once in a quarter of a lease, or up to a quarter sooner.
    let turns = 10 * 4 * 4 / 3;
    assert!(asked <= VOTERS * (turns + 1), "{asked} messages in {turns} turns at most");
    assert!(asked >= VOTERS * 30, "{asked} messages");
}

/// Two voters of three lose their memory; the third alone still has the value. Who joins then learns it.
#[test]
fn what_is_left_after_a_majority_has_forgotten_is_known_to_who_joins_then() {
    let mut fleet = Reversed::new(VOTERS);
    fleet.run_for(SETTLED);
    // Nobody but operators proposes wishes, so nobody reads them anew for purposes of its own.
    let entry = Entry {
        version: EntryVersion { epoch: u64::MAX - 1, counter: 1 },
        fencing_token: 1,
        value: vec![1; LONG],
    };
    let ballot = Ballot { round: 9, proposer: 5 };
    let bytes = said(
        1,
        Body::RegisterRequest(registers::RegisterRequest::Accept {
            name: OVERRIDES_REGISTER.to_owned(),
            ballot,
            entry,
        }),
    );
    (0..VOTERS).for_each(|place| fleet.nodes[place].handle_datagram(fleet.now, address(9), &bytes));
    fleet.restart(0, 100);
    fleet.restart(2, 102);
    fleet.run_for(SETTLED * 2);
    fleet.nodes.push(node(VOTERS));
    fleet.born.push(fleet.now);
    fleet.run_for(SETTLED);
    // All else that it holds is less.
    let known = fleet.nodes[VOTERS].stats(SETTLED).bytes;
    assert!(known > LONG, "{known} bytes known");
}

/// One that speaks to a voter under the fleet's key, with numbers of its choice.
fn said(seq: u64, body: Body) -> Vec<u8> {
    let from = Incarnation { name: "speaker".to_owned(), id: 5 };
    Frame { from, sequence: seq, config_fingerprint: config_fingerprint(&terms(0)), body }
        .seal(&key())
        .expect("too long for a datagram")
}

fn accept(round: u64) -> Body {
    let who = Incarnation { name: "speaker".to_owned(), id: 5 };
    let ballot = Ballot { round, proposer: 5 };
    Body::LeaseRequest(LeaseRequest::Accept {
        task: "account".to_owned(),
        ballot,
        client: who,
        fencing_token: round,
    })
}

fn release(round: u64) -> Body {
    let who = Incarnation { name: "speaker".to_owned(), id: 5 };
    Body::LeaseRequest(LeaseRequest::Release {
        task: "account".to_owned(),
        client: who,
        fencing_token: round,
    })
}

/// The replies of a voter that has got its say, to these messages in this order.
fn replies(messages: &[Vec<u8>]) -> Vec<LeaseReply> {
    let mut voter = node(0);
    let now = SETTLED;
    voter.poll(now);
    voter.take_outgoing();
    let speaker = address(9);
    messages.iter().for_each(|bytes| voter.handle_datagram(now, speaker, bytes));
    let sent = voter.take_outgoing().into_iter().filter(|message| message.datagram.to == speaker);
    let bodies = sent.filter_map(|message| Frame::open(&message.datagram.bytes, &key()).ok());
    let replies = bodies.filter_map(|frame| match frame.body {
        Body::LeaseReply(reply) => Some(reply),
        _ => None,
    });
    replies.collect()
}

#[test]
fn a_lease_asked_for_before_its_release_is_not_granted_after_it() {
    assert_eq!(replies(&[said(1, accept(1))]).len(), 1);
    assert_eq!(replies(&[said(2, release(1)), said(1, accept(1))]).len(), 0);
    assert_eq!(replies(&[said(2, release(1)), said(1, accept(1)), said(3, accept(2))]).len(), 1);
}

#[test]
fn an_ask_that_was_overtaken_is_answered_and_a_repeat_is_not() {
    let (first, second) = (said(1, accept(1)), said(2, accept(1)));
    assert_eq!(replies(&[second.clone(), first.clone(), first, second]).len(), 2);
}
