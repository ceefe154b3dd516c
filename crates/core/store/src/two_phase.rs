//! Two-phase commit across the parts of the front, which are the participants: prepare, log, activate.
//!
//! The commit is logged only after every part has prepared, and parts activate only after the commit is
//! logged. If a part fails to prepare, or the write to the log fails, the commit is discarded and every part
//! keeps the old state. A part that is lost during the write does not stop the commit. Once it is logged, the
//! commit is not undone. Events that arrive too late for their phase are ignored.

use std::fmt;

/// An event of a commit. Parts are numbered from 0 in the order of the names given to
/// [`TwoPhaseCommit::start`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitEvent {
    /// A part has prepared the new state and can activate it.
    Prepared(usize),
    /// A part refuses the new state.
    Declined {
        /// The part's number.
        part: usize,
        /// The part's message.
        reason: String,
    },
    /// A part panicked, terminated, did not answer before its timeout, or failed to activate.
    Lost(usize),
    /// The commit was written to the log.
    Logged,
    /// The commit could not be written to the log; the message.
    NotLogged(String),
    /// A part has activated the new state.
    Activated(usize),
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitAction {
    /// Tell the part to prepare the new state.
    Prepare(usize),
    /// Write the commit to the log.
    Log,
    /// Tell the part to activate the state that it prepared.
    Activate(usize),
    /// Tell the part to discard the state that it prepared.
    Discard(usize),
    /// The commit succeeded. Parts with these numbers did not confirm their activation: they use the new
    /// state already, or will once they have recovered, and never return to the old state.
    Done(Vec<usize>),
    /// The commit failed, and every part keeps the old state.
    Failed(CommitFailure),
}

/// The reason for which a commit failed. The text is sent to the client, so it stays, older words included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitFailure {
    /// A part declined the new state.
    Declined {
        /// The part's name.
        part: String,
        /// The part's message.
        reason: String,
    },
    /// The part with this name did not answer.
    Lost(String),
    /// The log could not be written; the message.
    NotLogged(String),
}

impl fmt::Display for CommitFailure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CommitFailure::Declined { part, reason } => write!(f, "{part} declined: {reason}"),
            CommitFailure::Lost(part) => write!(f, "{part} gave no answer"),
            CommitFailure::NotLogged(reason) => write!(f, "the commit could not be kept: {reason}"),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartState {
    Preparing,
    Prepared,
    Activating,
    Finished,
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Preparing,
    Logging,
    Activating,
    Finished,
}

/// The state machine of one commit.
#[derive(Debug)]
pub struct TwoPhaseCommit {
    names: Vec<String>,
    parts: Vec<PartState>,
    phase: Phase,
}

impl TwoPhaseCommit {
    /// Starts a commit with the names of all parts, and returns the first actions. Without parts the commit
    /// is logged immediately.
    pub fn start(names: Vec<String>) -> (TwoPhaseCommit, Vec<CommitAction>) {
        let parts = vec![PartState::Preparing; names.len()];
        let mut commit = TwoPhaseCommit { names, parts, phase: Phase::Preparing };
        let mut actions: Vec<CommitAction> = (0..commit.parts.len()).map(CommitAction::Prepare).collect();
        if commit.parts.is_empty() {
            actions.extend(commit.begin_logging());
        }
        (commit, actions)
    }

    /// Returns true once the commit has succeeded or failed.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Handles an event and returns the next actions.
    pub fn handle_event(&mut self, event: CommitEvent) -> Vec<CommitAction> {
        match self.phase {
            Phase::Preparing => self.handle_while_preparing(event),
            Phase::Logging => self.handle_while_logging(event),
            Phase::Activating => self.handle_while_activating(event),
            Phase::Finished => Vec::new(),
        }
    }

    fn handle_while_preparing(&mut self, event: CommitEvent) -> Vec<CommitAction> {
        match event {
            CommitEvent::Prepared(part) if self.parts[part] == PartState::Preparing => {
                self.parts[part] = PartState::Prepared;
                let all_prepared = self.parts.iter().all(|part| *part == PartState::Prepared);
                if all_prepared { self.begin_logging() } else { Vec::new() }
            }
            CommitEvent::Declined { part, reason } => {
                self.parts[part] = PartState::Finished;
                let part = self.names[part].clone();
                self.fail(CommitFailure::Declined { part, reason })
            }
            CommitEvent::Lost(part) => {
                self.parts[part] = PartState::Lost;
                let name = self.names[part].clone();
                self.fail(CommitFailure::Lost(name))
            }
            _ => Vec::new(),
        }
    }

    fn handle_while_logging(&mut self, event: CommitEvent) -> Vec<CommitAction> {
        match event {
            // The commit may be in the log already, so it continues without this part.
            CommitEvent::Lost(part) => {
                self.parts[part] = PartState::Lost;
                Vec::new()
            }
            CommitEvent::NotLogged(reason) => self.fail(CommitFailure::NotLogged(reason)),
            CommitEvent::Logged => self.begin_activating(),
            _ => Vec::new(),
        }
    }

    fn handle_while_activating(&mut self, event: CommitEvent) -> Vec<CommitAction> {
        match event {
            CommitEvent::Activated(part) => self.parts[part] = PartState::Finished,
            CommitEvent::Lost(part) | CommitEvent::Declined { part, .. } => {
                self.parts[part] = PartState::Lost;
            }
            _ => return Vec::new(),
        }
        self.finish_if_activated().into_iter().collect()
    }

    fn begin_logging(&mut self) -> Vec<CommitAction> {
        self.phase = Phase::Logging;
        vec![CommitAction::Log]
    }

    fn begin_activating(&mut self) -> Vec<CommitAction> {
        self.phase = Phase::Activating;
        let mut actions = Vec::new();
        for (number, part) in self.parts.iter_mut().enumerate() {
            if *part == PartState::Prepared {
                *part = PartState::Activating;
                actions.push(CommitAction::Activate(number));
            }
        }
        actions.extend(self.finish_if_activated());
        actions
    }

    /// Finishes the commit once no part has yet to activate.
    fn finish_if_activated(&mut self) -> Option<CommitAction> {
        if self.parts.iter().any(|part| matches!(part, PartState::Activating | PartState::Prepared)) {
            return None;
        }
        self.phase = Phase::Finished;
        let lost = self.parts.iter().enumerate().filter(|(_, part)| **part == PartState::Lost);
        Some(CommitAction::Done(lost.map(|(number, _)| number).collect()))
    }

    fn fail(&mut self, failure: CommitFailure) -> Vec<CommitAction> {
        self.phase = Phase::Finished;
        let may_hold_state = |part: &PartState| matches!(part, PartState::Preparing | PartState::Prepared);
        let parts = self.parts.iter().enumerate().filter(|(_, part)| may_hold_state(part));
        let mut actions: Vec<CommitAction> = parts.map(|(number, _)| CommitAction::Discard(number)).collect();
        actions.push(CommitAction::Failed(failure));
        actions
    }
}
