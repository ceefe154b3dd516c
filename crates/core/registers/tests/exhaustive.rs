//! Model check of every interleaving of a small fleet, on the production code: three voters, one of which may
//! lose its memory, and two proposers that each propose one change. Requests are lost, delayed without limit and
//! reordered; a reply arrives at once or never. With a rule broken on purpose, the search ends once a version has two
//! values.

use lemonusher_leases::{Incarnation, LeaseConfig};
use lemonusher_registers::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const VOTERS: usize = 3;
const PROPOSERS: usize = 2;
const NAME: &str = "r";

/// A rule that is broken on purpose, to verify that the check detects it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Mutation {
    Nothing,
    /// A voter that has lost its memory votes at once.
    ForgetfulVoter,
    /// A voter that has lost its memory copies from one other voter instead of from a majority.
    CopiesFromOne,
}

struct SmallFleet {
    mutation: Mutation,
}

/// A message in flight, for any time. A message that is never delivered counts as lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Request(usize, usize, RegisterRequest),
    /// Between voters: index and incarnation of the sender, index of the receiver.
    Copy(usize, u64, usize, RegisterRequest),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    acceptors: Vec<Acceptor>,
    incarnations: Vec<u64>,
    proposers: Vec<Proposer>,
    begun: Vec<bool>,
    has_lost_memory: bool,
    silence_ended: bool,
    /// The values that proposers reported as committed, by version.
    committed: BTreeMap<EntryVersion, BTreeSet<Vec<u8>>>,
    sent: BTreeSet<InFlight>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Begin(usize),
    Deliver(InFlight),
    LoseMemory,
    /// The voter hold time ends, in which a voter without memory does not vote. Earlier attempts have ended by then.
    EndSilence,
}

const NOW: Duration = Duration::from_millis(10);
const LATER: Duration = Duration::from_secs(100);

fn config() -> LeaseConfig {
    LeaseConfig { duration: Duration::from_secs(6), clock_drift_permille: 0, max_action_time: Duration::ZERO }
}

impl SmallFleet {
    fn now(&self, state: &State) -> Duration {
        if state.silence_ended { LATER } else { NOW }
    }

    fn send_messages(&self, state: &mut State, from: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            state.sent.insert(InFlight::Request(from, voter, request));
        }
    }

    fn send_copy_requests(&self, state: &mut State, from: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            state.sent.insert(InFlight::Copy(from, state.incarnations[from], voter, request));
        }
    }

    fn check_outcomes(&self, state: &mut State, front: usize) {
        for outcome in state.proposers[front].take_outcomes() {
            let entry = match outcome {
                ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => entry,
                ProposalOutcome::Unknown { .. } => continue,
            };
            if let Some(entry) = entry {
                state.committed.entry(entry.version).or_default().insert(entry.value);
            }
        }
    }

    fn deliver(&self, state: &mut State, now: Duration, sent: InFlight) -> Option<()> {
        match sent {
            InFlight::Request(front, voter, request) => {
                let reply = state.acceptors[voter].handle_request(now, request)?;
                let messages = state.proposers[front].handle_reply(now, &config(), voter, reply, &mut || 0.0);
                self.send_messages(state, front, messages);
                self.check_outcomes(state, front);
            }
            InFlight::Copy(from, incarnation, to, request) => {
                let reply = state.acceptors[to].handle_request(now, request)?;
                if state.incarnations[from] != incarnation {
                    return None;
                }
                if self.mutation == Mutation::CopiesFromOne
                    && let RegisterReply::StateCopy { registers, .. } = &reply
                {
                    let stored = PersistentState { epoch: 0, registers: registers.clone() };
                    state.acceptors[from] = Acceptor::restored(VOTERS, from, incarnation, stored);
                }
                let messages = state.acceptors[from].handle_copy(now, to, reply);
                self.send_copy_requests(state, from, messages);
            }
        }
        Some(())
    }
}

impl Model for SmallFleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let acceptor = |index| Acceptor::restored(VOTERS, index, 1, PersistentState::default());
        vec![State {
            acceptors: (0..VOTERS).map(acceptor).collect(),
            incarnations: vec![1; VOTERS],
            proposers: (0..PROPOSERS)
                .map(|n| Proposer::new(Incarnation { name: format!("{n}"), id: n as u64 + 1 }, VOTERS))
                .collect(),
            begun: vec![false; PROPOSERS],
            has_lost_memory: false,
            silence_ended: false,
            committed: BTreeMap::new(),
            sent: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        steps.extend(state.sent.iter().cloned().map(Step::Deliver));
        steps.extend((0..PROPOSERS).filter(|front| !state.begun[*front]).map(Step::Begin));
        if !state.has_lost_memory {
            steps.push(Step::LoseMemory);
        } else if !state.silence_ended {
            steps.push(Step::EndSilence);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = self.now(last);
        match step {
            Step::Begin(front) => {
                state.begun[front] = true;
                let known = last.committed.last_key_value().map(|(version, _)| *version);
                let change =
                    Operation::CompareAndSet { expected: known, fencing_token: 1, value: vec![front as u8] };
                let messages = state.proposers[front].propose(now, NAME, change);
                self.send_messages(&mut state, front, messages);
            }
            Step::LoseMemory => {
                state.has_lost_memory = true;
                state.incarnations[0] = 2;
                state.acceptors[0] = match self.mutation {
                    Mutation::ForgetfulVoter => Acceptor::restored(VOTERS, 0, 2, PersistentState::default()),
                    _ => Acceptor::without_memory(NOW, &config(), VOTERS, 0, 2, 9),
                };
            }
            Step::EndSilence => {
                state.silence_ended = true;
                let messages = state.acceptors[0].poll(LATER, &config());
                self.send_copy_requests(&mut state, 0, messages);
            }
            Step::Deliver(sent) => {
                state.sent.remove(&sent);
                self.deliver(&mut state, now, sent)?;
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a version has one value", |_, state: &State| {
                state.committed.values().all(|values| values.len() == 1)
            }),
            Property::sometimes("both changes are committed, one after the other", |_, state: &State| {
                state.committed.len() == 2
            }),
        ]
    }
}

fn check(mutation: Mutation) -> (usize, bool, bool) {
    let checker = SmallFleet { mutation }.checker().threads(4).spawn_dfs().join();
    let found = checker.discovery("a version has one value").is_some();
    let both = checker.discovery("both changes are committed, one after the other").is_some();
    (checker.unique_state_count(), found, both)
}

#[test]
fn no_version_has_two_values_and_each_broken_rule_is_detected() {
    let (states, broken, both) = check(Mutation::Nothing);
    println!("proof: registers_states {states}");
    assert!(!broken && both);
    for mutation in [Mutation::ForgetfulVoter, Mutation::CopiesFromOne] {
        let (states, broken, _) = check(mutation);
        println!("proof: registers_mutant_{mutation:?}_caught {broken} after {states} states");
        assert!(broken, "{mutation:?}");
    }
}
