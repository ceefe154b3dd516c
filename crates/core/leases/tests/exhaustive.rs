//! Model check of a small fleet, on the production code: three voters and two lease clients. One test checks every
//! interleaving up to a number of clock ticks, attempts and losses of a voter's memory. The other breaks one rule at a
//! time and searches until two clients act at once. Accept requests and
//! their replies are lost, repeated and delayed without limit, and the clocks run at the limits of the drift.

use lemonusher_leases::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const VOTERS: usize = 3;
const CLIENTS: usize = 2;
const TASK: &str = "t";

/// A rule that is broken on purpose, to verify that the check detects it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Mutation {
    Nothing,
    /// Voters that have lost their memory vote at once, without the voter hold time.
    ForgetfulVoters,
    /// The voter hold time has no margin for clock drift.
    NoDriftMargin,
}

struct SmallFleet {
    mutation: Mutation,
    ticks: u32,
    memory_losses: u32,
    attempts: u32,
}

/// A message in flight, with the sender's and the receiver's index. It is never removed on delivery, because a
/// network may repeat a message and deliver it at any time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Request(usize, usize, LeaseRequest),
    Reply(usize, usize, LeaseReply),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    memory_losses: u32,
    attempts_begun: u32,
    voters: Vec<Voter>,
    clients: Vec<LeaseClient>,
    /// The fencing token under which each lease client may act now.
    acting_tokens: Vec<Option<u64>>,
    sent: BTreeSet<InFlight>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A lease client begins the attempt that is due, its first one or a renewal.
    Begin(usize),
    Deliver(InFlight),
    LoseMemory(usize),
}

impl SmallFleet {
    fn config(&self) -> LeaseConfig {
        // A drift of one third: the lease clients' clocks are slow and advance by one unit (200 ms) per tick, the
        // voters' clocks are fast and advance by two.
        let drift = if self.mutation == Mutation::NoDriftMargin { 0 } else { 333 };
        LeaseConfig {
            duration: Duration::from_millis(400),
            clock_drift_permille: drift,
            max_action_time: Duration::ZERO,
        }
    }

    fn client_now(&self, tick: u32) -> Duration {
        Duration::from_millis(200) * tick
    }

    fn voter_now(&self, tick: u32) -> Duration {
        Duration::from_millis(400) * tick
    }

    fn poll(&self, state: &mut State, client: usize) {
        let now = self.client_now(state.tick);
        let messages = state.clients[client].poll(now, &self.config(), &mut || 0.0);
        self.send(state, client, messages);
        self.update_acting_token(state, client);
    }

    fn send(&self, state: &mut State, client: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            state.sent.insert(InFlight::Request(client, voter, request));
        }
    }

    fn update_acting_token(&self, state: &mut State, client: usize) {
        let now = self.client_now(state.tick);
        state.clients[client].take_changes();
        state.acting_tokens[client] =
            state.clients[client].active_lease(now, TASK).map(|lease| lease.fencing_token);
    }

    /// Begins the attempt that is due; returns none if there is none.
    fn begin_attempt(&self, state: &mut State, client: usize) -> Option<()> {
        let before = state.sent.len();
        self.poll(state, client);
        if state.sent.len() == before {
            return None;
        }
        state.attempts_begun += 1;
        // Replies to an abandoned attempt change nothing at its lease client, and its prepares only block other
        // clients, so both count as lost. Its accept requests may still arrive at any time.
        let latest = state.sent.iter().filter_map(|sent| match sent {
            InFlight::Request(from, _, LeaseRequest::Prepare { ballot, .. }) if *from == client => {
                Some(*ballot)
            }
            _ => None,
        });
        let latest = latest.max();
        state.sent.retain(|sent| match sent {
            InFlight::Request(from, _, LeaseRequest::Prepare { ballot, .. }) => {
                *from != client || Some(*ballot) == latest
            }
            InFlight::Reply(_, to, reply) => *to != client || Some(reply.ballot()) == latest,
            _ => true,
        });
        Some(())
    }

    fn deliver_request(&self, state: &mut State, client: usize, voter: usize, request: LeaseRequest) {
        let now = self.voter_now(state.tick);
        if let Some(reply) = state.voters[voter].handle_request(now, &self.config(), request) {
            // A rejection only stops an attempt, as a lost message does, so rejections are not delivered. A delayed
            // promise has the same effect as delayed accept requests, so a promise arrives at once or never.
            match &reply {
                LeaseReply::Promise { .. } => {
                    let now = self.client_now(state.tick);
                    let messages =
                        state.clients[client].handle_reply(now, &self.config(), voter, reply, &mut || 0.0);
                    self.send(state, client, messages);
                }
                LeaseReply::Accepted { .. } => {
                    state.sent.insert(InFlight::Reply(voter, client, reply));
                }
                _ => {}
            }
        }
    }
}

impl Model for SmallFleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let config = self.config();
        let ready = LeaseConfig { duration: Duration::ZERO, ..config };
        let mut state = State {
            tick: 0,
            memory_losses: 0,
            attempts_begun: 0,
            // A hold time of zero: the voters have been running for long and vote at once.
            voters: (0..VOTERS).map(|_| Voter::new(Duration::ZERO, &ready, 0)).collect(),
            clients: (0..CLIENTS)
                .map(|n| LeaseClient::new(Incarnation { name: format!("{n}"), id: n as u64 + 1 }, VOTERS))
                .collect(),
            acting_tokens: vec![None; CLIENTS],
            sent: BTreeSet::new(),
        };
        for client in 0..CLIENTS {
            state.clients[client].acquire(Duration::ZERO, TASK, true);
        }
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        steps.extend(state.sent.iter().cloned().map(Step::Deliver));
        if state.tick < self.ticks {
            steps.push(Step::Tick);
        }
        if state.attempts_begun < self.attempts {
            steps.extend((0..CLIENTS).map(Step::Begin));
        }
        if state.memory_losses < self.memory_losses {
            steps.extend((0..VOTERS).map(Step::LoseMemory));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let (config, mut state) = (self.config(), last.clone());
        match step {
            Step::Tick => {
                state.tick += 1;
                (0..CLIENTS).for_each(|client| self.update_acting_token(&mut state, client));
            }
            Step::Begin(client) => self.begin_attempt(&mut state, client)?,
            Step::LoseMemory(voter) => {
                state.memory_losses += 1;
                let hold_config = if self.mutation == Mutation::ForgetfulVoters {
                    LeaseConfig { duration: Duration::ZERO, ..config }
                } else {
                    config
                };
                state.voters[voter] = Voter::new(self.voter_now(state.tick), &hold_config, 0);
            }
            Step::Deliver(InFlight::Request(client, voter, request)) => {
                self.deliver_request(&mut state, client, voter, request);
            }
            Step::Deliver(InFlight::Reply(voter, client, reply)) => {
                let now = self.client_now(state.tick);
                let messages = state.clients[client].handle_reply(now, &config, voter, reply, &mut || 0.0);
                self.send(&mut state, client, messages);
                self.update_acting_token(&mut state, client);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two act at once", |_, state: &State| {
                state.acting_tokens.iter().flatten().count() <= 1
            }),
            Property::sometimes("somebody acts", |_, state: &State| {
                state.acting_tokens.iter().flatten().count() == 1
            }),
        ]
    }
}

fn check(mutation: Mutation, ticks: u32, memory_losses: u32, attempts: u32) -> (usize, bool, bool) {
    let checker =
        SmallFleet { mutation, ticks, memory_losses, attempts }.checker().threads(4).spawn_dfs().join();
    let two_act = checker.discovery("no two act at once").is_some();
    (checker.unique_state_count(), two_act, checker.discovery("somebody acts").is_some())
}

#[test]
fn no_interleaving_lets_two_act_at_once() {
    let (states, two_act, one_acts) = check(Mutation::Nothing, 2, 1, 2);
    println!("proof: leases_exhaustive_states {states}");
    assert!(!two_act && one_acts);
}

#[test]
fn each_broken_rule_is_detected() {
    for (mutation, ticks, memory_losses) in
        [(Mutation::ForgetfulVoters, 0, 1), (Mutation::NoDriftMargin, 1, 0)]
    {
        let (states, two_act, _) = check(mutation, ticks, memory_losses, 2);
        println!("proof: leases_mutant_{mutation:?}_caught_within {states}");
        assert!(two_act, "{mutation:?} is not caught");
    }
}
