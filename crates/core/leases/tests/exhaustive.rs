//! Every interleaving of a small fleet, on the code that runs: three voters, two lease clients, messages lost, repeated and
//! delayed without bound, voters and lease clients that lose all memory, clocks at the ends of the stated drift.

use lemonusher_leases::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const VOTERS: usize = 3;
const CLIENTS: usize = 2;
const TASK: &str = "t";

/// What is spoilt on purpose, to see that the check would catch it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Spoilt {
    Nothing,
    /// Voters that have lost their memory are believed at once.
    ForgetfulVoters,
    /// Clocks are taken to run alike.
    NoDriftMargin,
}

struct Small {
    spoilt: Spoilt,
    ticks: u32,
    lost: u32,
    attempts: u32,
}

/// A message on its way; it stays there for good, as a network may repeat it and deliver it at any time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sent {
    LeaseRequest(usize, usize, LeaseRequest),
    LeaseReply(usize, usize, LeaseReply),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    lost: u32,
    begun: u32,
    voters: Vec<Voter>,
    clients: Vec<LeaseClient>,
    /// The number under which each lease client may act now.
    acts: Vec<Option<u64>>,
    sent: BTreeSet<Sent>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A lease client begins what is due, its first attempt or a renewal.
    Begin(usize),
    Deliver(Sent),
    Forget(usize),
}

impl Small {
    fn config(&self) -> LeaseConfig {
        // Drift of a third: the lease clients' clocks are slow, one unit a tick; the voters' fast, two.
        let drift = if self.spoilt == Spoilt::NoDriftMargin { 0 } else { 333 };
        LeaseConfig {
            duration: Duration::from_millis(400),
            clock_drift_permille: drift,
            max_action_time: Duration::ZERO,
        }
    }

    fn asker_now(&self, tick: u32) -> Duration {
        Duration::from_millis(200) * tick
    }

    fn voter_now(&self, tick: u32) -> Duration {
        Duration::from_millis(400) * tick
    }

    fn poll(&self, state: &mut State, client: usize) {
        let now = self.asker_now(state.tick);
        let messages = state.clients[client].poll(now, &self.config(), &mut || 0.0);
        self.send(state, client, messages);
        self.note(state, client);
    }

    fn send(&self, state: &mut State, client: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            state.sent.insert(Sent::LeaseRequest(client, voter, request));
        }
    }

    fn note(&self, state: &mut State, client: usize) {
        let now = self.asker_now(state.tick);
        state.clients[client].take_changes();
        state.acts[client] = state.clients[client].active_lease(now, TASK).map(|lease| lease.fencing_token);
    }
}

impl Model for Small {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let config = self.config();
        let ready = LeaseConfig { duration: Duration::ZERO, ..config };
        let mut state = State {
            tick: 0,
            lost: 0,
            begun: 0,
            // They have been up for long.
            voters: (0..VOTERS).map(|_| Voter::new(Duration::ZERO, &ready, 0)).collect(),
            clients: (0..CLIENTS)
                .map(|n| LeaseClient::new(Incarnation { name: format!("{n}"), id: n as u64 + 1 }, VOTERS))
                .collect(),
            acts: vec![None; CLIENTS],
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
        if state.begun < self.attempts {
            steps.extend((0..CLIENTS).map(Step::Begin));
        }
        if state.lost < self.lost {
            steps.extend((0..VOTERS).map(Step::Forget));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let (config, mut state) = (self.config(), last.clone());
        match step {
            Step::Tick => {
                state.tick += 1;
                (0..CLIENTS).for_each(|client| self.note(&mut state, client));
            }
            Step::Begin(client) => {
                let before = state.sent.len();
                self.poll(&mut state, client);
                if state.sent.len() == before {
                    return None;
                }
                state.begun += 1;
                // What belongs to an attempt that was given up changes nothing at its lease client, and a prepare of one only
                // bars others: both count as lost. Its accepts may still come, at any time.
                let latest = state.sent.iter().filter_map(|sent| match sent {
                    Sent::LeaseRequest(from, _, LeaseRequest::Prepare { ballot, .. }) if *from == client => {
                        Some(*ballot)
                    }
                    _ => None,
                });
                let latest = latest.max();
                state.sent.retain(|sent| match sent {
                    Sent::LeaseRequest(from, _, LeaseRequest::Prepare { ballot, .. }) => {
                        *from != client || Some(*ballot) == latest
                    }
                    Sent::LeaseReply(_, to, reply) => *to != client || Some(reply.ballot()) == latest,
                    _ => true,
                });
            }
            Step::Forget(voter) => {
                state.lost += 1;
                let counted = if self.spoilt == Spoilt::ForgetfulVoters {
                    LeaseConfig { duration: Duration::ZERO, ..config }
                } else {
                    config
                };
                state.voters[voter] = Voter::new(self.voter_now(state.tick), &counted, 0);
            }
            Step::Deliver(Sent::LeaseRequest(client, voter, request)) => {
                let now = self.voter_now(state.tick);
                if let Some(reply) = state.voters[voter].handle_request(now, &config, request) {
                    // A refusal only keeps a lease client from going on, which losing it does as well.
                    // A promise that is late is as good as accepts that are late, so it comes at once or never.
                    match &reply {
                        LeaseReply::Promise { .. } => {
                            let now = self.asker_now(state.tick);
                            let messages =
                                state.clients[client].handle_reply(now, &config, voter, reply, &mut || 0.0);
                            self.send(&mut state, client, messages);
                        }
                        LeaseReply::Accepted { .. } => {
                            state.sent.insert(Sent::LeaseReply(voter, client, reply));
                        }
                        _ => {}
                    }
                }
            }
            Step::Deliver(Sent::LeaseReply(voter, client, reply)) => {
                let now = self.asker_now(state.tick);
                let messages = state.clients[client].handle_reply(now, &config, voter, reply, &mut || 0.0);
                self.send(&mut state, client, messages);
                self.note(&mut state, client);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two act at once", |_, state: &State| {
                state.acts.iter().flatten().count() <= 1
            }),
            Property::sometimes("somebody acts", |_, state: &State| state.acts.iter().flatten().count() == 1),
        ]
    }
}

fn check(spoilt: Spoilt, ticks: u32, lost: u32, attempts: u32) -> (usize, bool, bool) {
    let checker = Small { spoilt, ticks, lost, attempts }.checker().threads(4).spawn_dfs().join();
    let two = checker.discovery("no two act at once").is_some();
    (checker.unique_state_count(), two, checker.discovery("somebody acts").is_some())
}

#[test]
fn no_interleaving_lets_two_act_at_once() {
    let (states, two, one) = check(Spoilt::Nothing, 2, 1, 2);
    println!("proof: leases_exhaustive_states {states}");
    assert!(!two && one);
}

#[test]
fn each_spoilt_rule_is_caught() {
    for (spoilt, ticks, lost) in [(Spoilt::ForgetfulVoters, 0, 1), (Spoilt::NoDriftMargin, 1, 0)] {
        let (states, two, _) = check(spoilt, ticks, lost, 2);
        println!("proof: leases_mutant_{spoilt:?}_caught_within {states}");
        assert!(two, "{spoilt:?} is not caught");
    }
}
