//! Every interleaving of a small fleet, on the code that runs: three voters, of which one may lose its memory, and two
//! proposers that each want one change; what is
//! asked is lost, delayed without bound, and overtaken; an answer comes at once or never.

use lemonusher_leases::{Incarnation, LeaseConfig};
use lemonusher_registers::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const VOTERS: usize = 3;
const PROPOSERS: usize = 2;
const NAME: &str = "r";

#[derive(Clone, Copy, PartialEq, Debug)]
enum Spoilt {
    Nothing,
    /// A voter that has lost its memory votes at once.
    ForgetfulVoter,
    /// It copies from one other voter, not from a majority.
    CopiesFromOne,
}

struct Small {
    spoilt: Spoilt,
}

/// A message on its way, for as long as it likes; what is never delivered is lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sent {
    RegisterRequest(usize, usize, RegisterRequest),
    /// Between voters: from, in which incarnation, to.
    Copy(usize, u64, usize, RegisterRequest),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    acceptors: Vec<Acceptor>,
    lives: Vec<u64>,
    proposers: Vec<Proposer>,
    begun: Vec<bool>,
    forgot: bool,
    past: bool,
    /// What proposers were told as settled.
    committed: BTreeMap<EntryVersion, BTreeSet<Vec<u8>>>,
    sent: BTreeSet<Sent>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Begin(usize),
    Deliver(Sent),
    Forget,
    /// The span passes in which a voter without memory is mute; what was attempted before it is over.
    Pass,
}

const NOW: Duration = Duration::from_millis(10);
const LATER: Duration = Duration::from_secs(100);

fn config() -> LeaseConfig {
    LeaseConfig { duration: Duration::from_secs(6), clock_drift_permille: 0, max_action_time: Duration::ZERO }
}

impl Small {
    fn now(&self, state: &State) -> Duration {
        if state.past { LATER } else { NOW }
    }

    fn post(&self, state: &mut State, from: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            state.sent.insert(Sent::RegisterRequest(from, voter, request));
        }
    }

    fn copies(&self, state: &mut State, from: usize, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            state.sent.insert(Sent::Copy(from, state.lives[from], voter, request));
        }
    }

    fn note(&self, state: &mut State, who: usize) {
        for outcome in state.proposers[who].take_outcomes() {
            let entry = match outcome {
                ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => entry,
                ProposalOutcome::Unknown { .. } => continue,
            };
            if let Some(entry) = entry {
                state.committed.entry(entry.version).or_default().insert(entry.value);
            }
        }
    }
}

impl Model for Small {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let acceptor = |index| Acceptor::restored(VOTERS, index, 1, PersistentState::default());
        vec![State {
            acceptors: (0..VOTERS).map(acceptor).collect(),
            lives: vec![1; VOTERS],
            proposers: (0..PROPOSERS)
                .map(|n| Proposer::new(Incarnation { name: format!("{n}"), id: n as u64 + 1 }, VOTERS))
                .collect(),
            begun: vec![false; PROPOSERS],
            forgot: false,
            past: false,
            committed: BTreeMap::new(),
            sent: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        steps.extend(state.sent.iter().cloned().map(Step::Deliver));
        steps.extend((0..PROPOSERS).filter(|who| !state.begun[*who]).map(Step::Begin));
        if !state.forgot {
            steps.push(Step::Forget);
        } else if !state.past {
            steps.push(Step::Pass);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = self.now(last);
        match step {
            Step::Begin(who) => {
                state.begun[who] = true;
                let known = last.committed.last_key_value().map(|(version, _)| *version);
                let change =
                    Operation::CompareAndSet { expected: known, fencing_token: 1, value: vec![who as u8] };
                let messages = state.proposers[who].propose(now, NAME, change);
                self.post(&mut state, who, messages);
            }
            Step::Forget => {
                state.forgot = true;
                state.lives[0] = 2;
                state.acceptors[0] = match self.spoilt {
                    Spoilt::ForgetfulVoter => Acceptor::restored(VOTERS, 0, 2, PersistentState::default()),
                    _ => Acceptor::without_memory(NOW, &config(), VOTERS, 0, 2, 9),
                };
            }
            Step::Pass => {
                state.past = true;
                let messages = state.acceptors[0].poll(LATER, &config());
                self.copies(&mut state, 0, messages);
            }
            Step::Deliver(sent) => {
                state.sent.remove(&sent);
                match sent {
                    Sent::RegisterRequest(who, voter, request) => {
                        let reply = state.acceptors[voter].handle_request(now, request)?;
                        let messages =
                            state.proposers[who].handle_reply(now, &config(), voter, reply, &mut || 0.0);
                        self.post(&mut state, who, messages);
                        self.note(&mut state, who);
                    }
                    Sent::Copy(from, incarnation, to, request) => {
                        let reply = state.acceptors[to].handle_request(now, request)?;
                        if state.lives[from] != incarnation {
                            return None;
                        }
                        if self.spoilt == Spoilt::CopiesFromOne
                            && let RegisterReply::StateCopy { registers: rows, .. } = &reply
                        {
                            let stored = PersistentState { epoch: 0, registers: rows.clone() };
                            state.acceptors[from] = Acceptor::restored(VOTERS, from, incarnation, stored);
                        }
                        let messages = state.acceptors[from].handle_copy(now, to, reply);
                        self.copies(&mut state, from, messages);
                    }
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a stamp has one value", |_, state: &State| {
                state.committed.values().all(|values| values.len() == 1)
            }),
            Property::sometimes("both changes settle, one after the other", |_, state: &State| {
                state.committed.len() == 2
            }),
        ]
    }
}

fn check(spoilt: Spoilt) -> (usize, bool, bool) {
    let checker = Small { spoilt }.checker().threads(4).spawn_dfs().join();
    let found = checker.discovery("a stamp has one value").is_some();
    let both = checker.discovery("both changes settle, one after the other").is_some();
    (checker.unique_state_count(), found, both)
}

#[test]
fn no_stamp_ever_has_two_values_and_each_spoilt_rule_is_caught() {
    let (states, broken, both) = check(Spoilt::Nothing);
    println!("proof: registers_states {states}");
    assert!(!broken && both);
    for spoilt in [Spoilt::ForgetfulVoter, Spoilt::CopiesFromOne] {
        let (states, broken, _) = check(spoilt);
        println!("proof: registers_mutant_{spoilt:?}_caught {broken} after {states} states");
        assert!(broken, "{spoilt:?}");
    }
}
