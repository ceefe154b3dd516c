//! Tests of nodes that receive messages in reverse order. Messages that may arrive in any order are accepted, and
//! repeated and superseded ones are dropped. Watching registers takes few datagrams. A value that one voter still
//! has after a majority lost its memory becomes known to a new member.

use lemonusher_fleet::*;
use lemonusher_leases::{Ballot, Incarnation, LeaseConfig, LeaseReply, LeaseRequest};
use lemonusher_maintenance::{MaintenanceRequest, Phase};
use lemonusher_registers::{self as registers, Entry, EntryVersion, PersistentState};
use lemonusher_zone_failover as zones;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(600);
const STEP: Duration = Duration::from_millis(5);
/// Longer than the time for which voters without a state folder are silent after their start.
const SILENT_TIME: Duration = Duration::from_secs(3);
const VOTERS: usize = 3;
/// Index of the address that is notified of released machines. No node has it.
const NOTIFIED: usize = 99;
/// A machine under maintenance.
const MACHINE: u32 = 0x1a;
/// Length in bytes of a long value.
const VALUE_BYTES: usize = 800;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16))
}

fn config(index: usize) -> FleetConfig {
    let leases =
        LeaseConfig { duration: LEASE, clock_drift_permille: 20, max_action_time: Duration::from_millis(10) };
    let ms = Duration::from_millis;
    let failover_config = zones::FailoverConfig {
        report_interval: ms(100),
        confirmation_time: ms(400),
        probation: ms(800),
        ramp_interval: ms(1_000),
        recovery_backoff: ms(1_000),
        max_utilization: 0.8,
        admission_floor: 0.05,
        plan_timeout: ms(2_000),
    };
    let (_, observations) = async_channel::bounded(1);
    let is_voter = index < VOTERS;
    let maintenance = lemonusher_maintenance::MaintenanceConfig {
        poll_interval: ms(100),
        required_fronts: (0..=VOTERS).map(|front| format!("front {front}")).collect(),
        min_reserve: 0.9,
        demand_margin: 0.1,
        probation: ms(1_000),
    };
    FleetConfig {
        name: format!("front {index}"),
        listen: address(index),
        key: key(),
        leases,
        voters: (0..VOTERS).map(address).collect(),
        is_voter,
        voter_index: is_voter.then_some(index),
        advertised_address: None,
        zone: 0,
        state_folder: None,
        tasks: Vec::new(),
        quota_slots: 0,
        wanted_slots: 0,
        first_slot: index as u32,
        zone_failover: Some(ZoneFailoverSettings {
            config: failover_config,
            classes: Vec::new(),
            observations,
        }),
        maintenance: Some(MaintenanceSettings { config: maintenance, notify: Some(address(NOTIFIED)) }),
    }
}

fn key() -> FleetKey {
    FleetKey::new(b"a key of a test")
}

fn node(index: usize) -> Node {
    node_of(index, index as u64 + 1)
}

fn node_of(index: usize, incarnation: u64) -> Node {
    let start_parameters =
        StartParameters { address: address(index), incarnation, unix_time_ms: 1, seed: incarnation };
    Node::new(config(index), start_parameters, None, Arc::new(TrafficCounters::default()))
}

/// Simulates nodes in virtual time. The messages of each time step arrive in reverse order in the next step.
struct ReversedNetwork {
    nodes: Vec<Node>,
    in_flight: Vec<(SocketAddr, Datagram)>,
    now: Duration,
    /// Start time of each node's incarnation.
    started_at: Vec<Duration>,
    /// Number of messages sent, by node and kind.
    sent: BTreeMap<(usize, MessageKind), usize>,
    /// Nodes that stand still.
    stopped: BTreeSet<usize>,
    /// Notifications sent since they were last taken, with the node that sent each.
    notifications: Vec<(usize, Datagram)>,
}

impl ReversedNetwork {
    fn new(nodes: usize) -> ReversedNetwork {
        let nodes: Vec<Node> = (0..nodes).map(node).collect();
        let started_at = vec![Duration::ZERO; nodes.len()];
        ReversedNetwork {
            nodes,
            in_flight: Vec::new(),
            now: Duration::ZERO,
            started_at,
            sent: BTreeMap::new(),
            stopped: BTreeSet::new(),
            notifications: Vec::new(),
        }
    }

    /// Restarts a voter as a new incarnation without memory.
    fn restart(&mut self, index: usize, incarnation: u64) {
        self.nodes[index] = node_of(index, incarnation);
        self.started_at[index] = self.now;
    }

    fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, datagram) in std::mem::take(&mut self.in_flight).into_iter().rev() {
            let to = (0..self.nodes.len()).find(|index| address(*index) == datagram.to);
            if let Some(index) = to.filter(|index| !self.stopped.contains(index)) {
                self.nodes[index].handle_datagram(self.now - self.started_at[index], from, &datagram.bytes);
            }
        }
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if self.stopped.contains(&index) {
                continue;
            }
            let now = self.now - self.started_at[index];
            node.poll(now);
            let notifications = node.take_actions(now);
            self.notifications.extend(notifications.into_iter().map(|datagram| (index, datagram)));
            for Message { kind, datagram } in node.take_outgoing() {
                *self.sent.entry((index, kind)).or_default() += 1;
                self.in_flight.push((address(index), datagram));
            }
        }
    }
}

impl ReversedNetwork {
    /// Commits a maintenance request of one machine at all voters.
    fn commit_request(&mut self, counter: u64, phase: Phase) {
        let mut request = MaintenanceRequest::new("ann", 1, 1, 3600, &[MACHINE]);
        request.machines[0].phase = phase;
        let entry = Entry {
            version: EntryVersion { epoch: u64::MAX - 1, counter },
            fencing_token: 1,
            value: request.to_bytes(),
        };
        let name = "works.0".to_owned();
        // Above the ballots of the reads of all coordinators so far.
        let ballot = Ballot { round: counter << 40, proposer: 5 };
        let accept = registers::RegisterRequest::Accept { name, ballot, entry };
        let bytes = sealed(counter, Body::RegisterRequest(accept));
        for index in 0..VOTERS {
            self.nodes[index].handle_datagram(self.now - self.started_at[index], address(9), &bytes);
        }
    }

    /// The nodes that have sent notifications since they were last taken.
    fn take_notifying(&mut self) -> BTreeSet<usize> {
        self.notifications.drain(..).map(|(index, _)| index).collect()
    }
}

/// Guards against a coordinator of maintenance that stood still past its lease and, when it goes on, first notifies of a
/// machine that has been drained again since.
#[test]
fn coordinator_that_wakes_past_its_lease_notifies_of_no_earlier_release() {
    let mut fleet = ReversedNetwork::new(VOTERS);
    fleet.run_for(SILENT_TIME);
    fleet.commit_request(1, Phase::Released { fencing_token: 1 });
    fleet.run_for(SILENT_TIME);
    let notifying = fleet.take_notifying();
    assert_eq!(notifying.len(), 1, "one coordinator notifies of the released machine: {notifying:?}");
    // It stands still; another one takes the lease over.
    fleet.stopped = notifying.clone();
    fleet.run_for(LEASE * 4);
    let successor = fleet.take_notifying();
    assert_eq!(successor.len(), 1, "{successor:?}");
    assert!(successor.is_disjoint(&notifying));
    // The machine has come back and drains again, as the successor knows. The first one goes on.
    fleet.commit_request(2, Phase::Draining);
    fleet.run_for(LEASE);
    fleet.take_notifying();
    fleet.stopped.clear();
    fleet.run_for(SILENT_TIME);
    assert_eq!(fleet.take_notifying(), BTreeSet::new());
}

/// Guards against notifications that were queued under a lease and are sent after a stand-still, when it has ended.
#[test]
fn notification_is_not_sent_once_its_lease_has_ended() {
    let mut fleet = ReversedNetwork::new(VOTERS);
    fleet.run_for(SILENT_TIME);
    fleet.commit_request(1, Phase::Released { fencing_token: 1 });
    fleet.run_for(SILENT_TIME);
    let coordinator = fleet.take_notifying().pop_first().expect("a coordinator");
    let mut queued = 0;
    for _ in 0..100 {
        fleet.now += STEP;
        fleet.nodes[coordinator].poll(fleet.now);
        queued += fleet.nodes[coordinator].take_actions(fleet.now).len();
        if queued > 0 {
            break;
        }
    }
    assert_eq!(queued, 1, "it notifies while it holds the lease");
    // The same, but the node stands still between its poll and the sending.
    fleet.now += Duration::from_millis(100);
    fleet.nodes[coordinator].poll(fleet.now);
    assert_eq!(fleet.nodes[coordinator].take_actions(fleet.now + LEASE * 3), []);
}

#[test]
fn watching_many_registers_costs_one_datagram_per_voter_and_poll() {
    let mut fleet = ReversedNetwork::new(VOTERS + 1);
    fleet.run_for(SILENT_TIME);
    fleet.sent.clear();
    fleet.run_for(LEASE * 10);
    let messages = fleet.sent.get(&(VOTERS, MessageKind::Registers)).copied().unwrap_or(0);
    // Each voter is polled once per quarter of a lease duration, or up to a quarter of that interval earlier or later,
    // rounded up to a time step. That gives about 31 to 53 polls.
    let polls = 10 * 4 * 4 / 3;
    assert!(messages <= VOTERS * (polls + 1), "{messages} messages in {polls} polls at most");
    assert!(messages >= VOTERS * 30, "{messages} messages");
}

/// Two of three voters lose their memory, so only the third still has the value. A member that joins later
/// learns it.
#[test]
fn values_left_after_a_majority_lost_its_memory_are_known_to_a_new_member() {
    let mut fleet = ReversedNetwork::new(VOTERS);
    fleet.run_for(SILENT_TIME);
    // Uses the overrides' register: only operators propose overrides, so no coordinator's read commits the
    // value again.
    let entry = Entry {
        version: EntryVersion { epoch: u64::MAX - 1, counter: 1 },
        fencing_token: 1,
        value: vec![1; VALUE_BYTES],
    };
    let ballot = Ballot { round: 9, proposer: 5 };
    let bytes = sealed(
        1,
        Body::RegisterRequest(registers::RegisterRequest::Accept {
            name: OVERRIDES_REGISTER.to_owned(),
            ballot,
            entry,
        }),
    );
    (0..VOTERS).for_each(|index| fleet.nodes[index].handle_datagram(fleet.now, address(9), &bytes));
    fleet.restart(0, 100);
    fleet.restart(2, 102);
    fleet.run_for(SILENT_TIME * 2);
    fleet.nodes.push(node(VOTERS));
    fleet.started_at.push(fleet.now);
    fleet.run_for(SILENT_TIME);
    // All other state of this node together is smaller than the value.
    let known = fleet.nodes[VOTERS].stats(SILENT_TIME).bytes;
    assert!(known > VALUE_BYTES, "{known} bytes known");
}

/// A datagram from a client with the fleet's key, with the given sequence number.
fn sealed(sequence: u64, body: Body) -> Vec<u8> {
    let from = Incarnation { name: "speaker".to_owned(), id: 5 };
    Frame { from, sequence, config_fingerprint: config_fingerprint(&config(0)), body }
        .seal(&key())
        .expect("too long for a datagram")
}

fn accept(round: u64) -> Body {
    let client = Incarnation { name: "speaker".to_owned(), id: 5 };
    let ballot = Ballot { round, proposer: 5 };
    Body::LeaseRequest(LeaseRequest::Accept {
        task: "account".to_owned(),
        ballot,
        client,
        fencing_token: round,
    })
}

fn release(round: u64) -> Body {
    let client = Incarnation { name: "speaker".to_owned(), id: 5 };
    Body::LeaseRequest(LeaseRequest::Release { task: "account".to_owned(), client, fencing_token: round })
}

/// The replies of a voter that is no longer silent to these messages, delivered in this order.
fn replies(messages: &[Vec<u8>]) -> Vec<LeaseReply> {
    replies_of(&mut node(0), messages)
}

fn replies_of(voter: &mut Node, messages: &[Vec<u8>]) -> Vec<LeaseReply> {
    let replies = bodies_of(voter, messages).into_iter().filter_map(|body| match body {
        Body::LeaseReply(reply) => Some(reply),
        _ => None,
    });
    replies.collect()
}

fn bodies_of(voter: &mut Node, messages: &[Vec<u8>]) -> Vec<Body> {
    let now = SILENT_TIME;
    voter.poll(now);
    voter.take_outgoing();
    let client_address = address(9);
    messages.iter().for_each(|bytes| voter.handle_datagram(now, client_address, bytes));
    let sent = voter.take_outgoing().into_iter().filter(|message| message.datagram.to == client_address);
    sent.filter_map(|message| Frame::open(&message.datagram.bytes, &key()).ok())
        .map(|frame| frame.body)
        .collect()
}

/// A voter with a state folder that is no longer silent, and the folder.
fn voter_with_state_folder() -> (Node, PathBuf) {
    let folder = lemonusher_fakes::temp_path("state");
    let mut state_folder = StateFolder::open(&folder).unwrap();
    // With stored registers it votes from its start on.
    state_folder.store_registers(PersistentState { epoch: 1, registers: Vec::new() }).unwrap();
    let start_parameters = StartParameters { address: address(0), incarnation: 1, unix_time_ms: 1, seed: 1 };
    let counters = Arc::new(TrafficCounters::default());
    (Node::new(config(0), start_parameters, Some(state_folder), counters), folder)
}

fn accept_task(task: &str, round: u64, fencing_token: u64) -> Body {
    let client = Incarnation { name: "speaker".to_owned(), id: 5 };
    let ballot = Ballot { round, proposer: 5 };
    Body::LeaseRequest(LeaseRequest::Accept { task: task.to_owned(), ballot, client, fencing_token })
}

/// Guards against a voter that answers nothing any more, because it keeps a grant whose token it could not store: it
/// goes on to renew what it has granted, and grants again once it can store.
#[test]
fn voter_whose_write_failed_still_renews_leases_and_forgets_the_failed_grant() {
    const UNSTORED_TOKEN: u64 = 1_000_000;
    let (mut voter, folder) = voter_with_state_folder();
    assert_eq!(replies_of(&mut voter, &[sealed(1, accept_task("account", 1, 5))]).len(), 1);
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(replies_of(&mut voter, &[sealed(2, accept_task("sites", 2, UNSTORED_TOKEN))]), []);
    let renewed = replies_of(&mut voter, &[sealed(3, accept_task("account", 3, 5))]);
    assert!(matches!(renewed[..], [LeaseReply::Accepted { .. }]), "{renewed:?}");
    // Another front asks for the task of the failed grant, under a token that needs no write.
    let other = Incarnation { name: "other".to_owned(), id: 6 };
    let ballot = Ballot { round: 4, proposer: 6 };
    let prepare = LeaseRequest::Prepare { task: "sites".to_owned(), ballot, client: other };
    let promise = replies_of(&mut voter, &[sealed(4, Body::LeaseRequest(prepare))]);
    assert!(matches!(promise[..], [LeaseReply::Promise { .. }]), "{promise:?}");
    std::fs::create_dir_all(&folder).unwrap();
    let stored = replies_of(&mut voter, &[sealed(5, accept_task("works", 5, UNSTORED_TOKEN))]);
    assert!(matches!(stored[..], [LeaseReply::Accepted { .. }]), "{stored:?}");
    assert!(StateFolder::open(&folder).unwrap().token_floor() >= Some(UNSTORED_TOKEN));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The same for registers: reads of what has been stored are still answered, and show nothing that was not.
#[test]
fn voter_whose_write_failed_still_answers_reads_of_stored_registers() {
    const REGISTER: &str = "works.0";
    let (mut voter, folder) = voter_with_state_folder();
    let accept = |counter: u64| {
        let version = EntryVersion { epoch: u64::MAX - 1, counter };
        let entry = Entry { version, fencing_token: 1, value: vec![counter as u8] };
        let ballot = Ballot { round: counter << 40, proposer: 5 };
        let request = registers::RegisterRequest::Accept { name: REGISTER.to_owned(), ballot, entry };
        sealed(counter, Body::RegisterRequest(request))
    };
    let accepted = bodies_of(&mut voter, &[accept(1)]);
    assert!(matches!(accepted[..], [Body::RegisterReply(registers::RegisterReply::Accepted { .. })]));
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(bodies_of(&mut voter, &[accept(2)]).len(), 0);
    let read = registers::RegisterRequest::Read { name: REGISTER.to_owned(), known: None };
    let shown = bodies_of(&mut voter, &[sealed(3, Body::RegisterRequest(read))]);
    let [Body::RegisterReply(registers::RegisterReply::Value { entry, .. })] = &shown[..] else {
        panic!("{} replies", shown.len());
    };
    assert_eq!(entry.as_ref().map(|entry| entry.value.clone()), Some(vec![1]));
}

#[test]
fn a_lease_requested_before_its_release_is_not_granted_after_it() {
    assert_eq!(replies(&[sealed(1, accept(1))]).len(), 1);
    assert_eq!(replies(&[sealed(2, release(1)), sealed(1, accept(1))]).len(), 0);
    assert_eq!(replies(&[sealed(2, release(1)), sealed(1, accept(1)), sealed(3, accept(2))]).len(), 1);
}

#[test]
fn a_reordered_request_is_answered_and_a_repeated_one_is_not() {
    let (first, second) = (sealed(1, accept(1)), sealed(2, accept(1)));
    assert_eq!(replies(&[second.clone(), first.clone(), first, second]).len(), 2);
}

/// The fencing token that a voter promises after it has started at this Unix time, in milliseconds. It then grants the
/// next one.
fn promised_token(folder: &std::path::Path, unix_time_ms: u64) -> u64 {
    let parameters = StartParameters { address: address(0), incarnation: 1, unix_time_ms, seed: 1 };
    let state_folder = StateFolder::open(folder).unwrap();
    let mut voter =
        Node::new(config(0), parameters, Some(state_folder), Arc::new(TrafficCounters::default()));
    let client = Incarnation { name: "speaker".to_owned(), id: 5 };
    let ballot = Ballot { round: 1, proposer: 5 };
    let prepare = LeaseRequest::Prepare { task: "account".to_owned(), ballot, client: client.clone() };
    let promises = replies_of(&mut voter, &[sealed(1, Body::LeaseRequest(prepare))]);
    let [LeaseReply::Promise { fencing_token: promised, .. }] = promises[..] else { panic!("{promises:?}") };
    let accept =
        LeaseRequest::Accept { task: "account".to_owned(), ballot, client, fencing_token: promised + 1 };
    assert_eq!(replies_of(&mut voter, &[sealed(2, Body::LeaseRequest(accept))]).len(), 1);
    promised
}

/// Guards against tokens that begin anew below those that resources have seen, after the loss of a state folder.
#[test]
fn fencing_tokens_increase_over_restarts_and_the_loss_of_the_state_folder() {
    let folder = std::env::temp_dir().join(format!("lemonusher-tokens-{}", std::process::id()));
    let first = promised_token(&folder, 1_000_000);
    let after_restart = promised_token(&folder, 1_000_001);
    assert!(after_restart > first, "{after_restart}, {first}");
    std::fs::remove_dir_all(&folder).unwrap();
    let after_loss = promised_token(&folder, 2_000_000);
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(after_loss > after_restart, "{after_loss}, {after_restart}");
}

/// The share of the quota has an end, which each renewal of its leases moves on.
#[test]
fn share_of_the_quota_ends_with_its_leases() {
    let quota_config = |index| FleetConfig { quota_slots: 2, wanted_slots: 1, ..config(index) };
    let mut fleet = ReversedNetwork::new(VOTERS);
    for index in 0..VOTERS {
        let start_parameters =
            StartParameters { address: address(index), incarnation: 9, unix_time_ms: 1, seed: index as u64 };
        let counters = Arc::new(TrafficCounters::default());
        fleet.nodes[index] = Node::new(quota_config(index), start_parameters, None, counters);
        assert_eq!(fleet.nodes[index].take_quota(), Some(LeasedShare::default()));
    }
    fleet.run_for(SILENT_TIME);
    let shares: Vec<Option<LeasedShare>> = fleet.nodes.iter_mut().map(Node::take_quota).collect();
    let holder = shares.iter().position(|quota| quota.is_some_and(|quota| quota.share == 0.5)).unwrap();
    let first = shares[holder].unwrap().valid_until.unwrap();
    assert!(first > fleet.now && first <= fleet.now + LEASE, "{first:?} at {:?}", fleet.now);
    fleet.run_for(LEASE);
    let renewed = fleet.nodes[holder].take_quota().unwrap();
    assert!(renewed.share == 0.5 && renewed.valid_until.unwrap() > first, "{renewed:?}");
    // Alone, it loses the slot at the stated time.
    let valid_until = renewed.valid_until.unwrap();
    fleet.stopped = (0..VOTERS).filter(|index| *index != holder).collect();
    while fleet.now < valid_until {
        fleet.step();
    }
    assert_eq!(fleet.nodes[holder].take_quota(), Some(LeasedShare::default()));
}
