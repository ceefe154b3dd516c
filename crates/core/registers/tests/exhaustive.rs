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
    keepers: Vec<Acceptor>,
    lives: Vec<u64>,
    proposers: Vec<Proposer>,
    begun: Vec<bool>,
    forgot: bool,
    past: bool,
    /// What proposers were told as settled.
    settled: BTreeMap<EntryVersion, BTreeSet<Vec<u8>>>,
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

fn terms() -> LeaseConfig {
    LeaseConfig { duration: Duration::from_secs(6), clock_drift_permille: 0, max_action_time: Duration::ZERO }
}

impl Small {
    fn now(&self, state: &State) -> Duration {
        if state.past { LATER } else { NOW }
    }

    fn post(&self, state: &mut State, from: usize, posts: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request: ask } in posts {
            state.sent.insert(Sent::RegisterRequest(from, voter, ask));
        }
    }

    fn copies(&self, state: &mut State, from: usize, posts: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request: ask } in posts {
            state.sent.insert(Sent::Copy(from, state.lives[from], voter, ask));
        }
    }

    fn note(&self, state: &mut State, who: usize) {
        for outcome in state.proposers[who].outcomes() {
            let entry = match outcome {
                ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => entry,
                ProposalOutcome::Unknown { .. } => continue,
            };
            if let Some(entry) = entry {
                state.settled.entry(entry.version).or_default().insert(entry.value);
            }
        }
    }
}

impl Model for Small {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let keeper = |place| Acceptor::restored(VOTERS, place, 1, PersistentState::default());
        vec![State {
            keepers: (0..VOTERS).map(keeper).collect(),
            lives: vec![1; VOTERS],
            proposers: (0..PROPOSERS)
                .map(|n| Proposer::new(Incarnation { name: format!("{n}"), id: n as u64 + 1 }, VOTERS))
                .collect(),
            begun: vec![false; PROPOSERS],
            forgot: false,
            past: false,
            settled: BTreeMap::new(),
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
                let known = last.settled.last_key_value().map(|(stamp, _)| *stamp);
                let change =
                    Operation::CompareAndSet { expected: known, fencing_token: 1, value: vec![who as u8] };
                let posts = state.proposers[who].propose(now, NAME, change);
                self.post(&mut state, who, posts);
            }
            Step::Forget => {
                state.forgot = true;
                state.lives[0] = 2;
                state.keepers[0] = match self.spoilt {
                    Spoilt::ForgetfulVoter => Acceptor::restored(VOTERS, 0, 2, PersistentState::default()),
                    _ => Acceptor::without_memory(NOW, &terms(), VOTERS, 0, 2, 9),
                };
            }
            Step::Pass => {
                state.past = true;
                let posts = state.keepers[0].poll(LATER, &terms());
                self.copies(&mut state, 0, posts);
            }
            Step::Deliver(sent) => {
                state.sent.remove(&sent);
                match sent {
                    Sent::RegisterRequest(who, voter, ask) => {
                        let reply = state.keepers[voter].handle_request(now, ask)?;
                        let posts =
                            state.proposers[who].handle_reply(now, &terms(), voter, reply, &mut || 0.0);
                        self.post(&mut state, who, posts);
                        self.note(&mut state, who);
                    }
                    Sent::Copy(from, life, to, ask) => {
                        let reply = state.keepers[to].handle_request(now, ask)?;
                        if state.lives[from] != life {
                            return None;
                        }
                        if self.spoilt == Spoilt::CopiesFromOne
                            && let RegisterReply::StateCopy { registers: rows, .. } = &reply
                        {
                            let kept = PersistentState { epoch: 0, registers: rows.clone() };
                            state.keepers[from] = Acceptor::restored(VOTERS, from, life, kept);
                        }
                        let posts = state.keepers[from].handle_copy(now, to, reply);
                        self.copies(&mut state, from, posts);
                    }
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a stamp has one value", |_, state: &State| {
                state.settled.values().all(|values| values.len() == 1)
            }),
            Property::sometimes("both changes settle, one after the other", |_, state: &State| {
                state.settled.len() == 2
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
