//! One commit's way through all parts of the front: prepare, log, activate.
//!
//! The rule: nothing is logged before every part has prepared, and no part activates before the commit is logged. Until it
//! is logged any failure discards it and the old state stands as a whole; once it is logged it stands. Events that come too
//! late are ignored.

use std::fmt;

/// What has happened. Parts are numbered in the order of the names given to [`TwoPhaseCommit::start`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitEvent {
    /// A part holds the new state ready.
    Prepared(usize),
    /// A part can't follow the new state.
    Declined {
        /// The part's number.
        part: usize,
        /// Its message.
        reason: String,
    },
    /// A part panicked, has ended, or did not answer in time.
    Lost(usize),
    /// The commit is in the log.
    Logged,
    /// The commit could not be logged; the message.
    NotLogged(String),
    /// A part follows the new state.
    Activated(usize),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitAction {
    /// Have the part prepare the new state.
    Prepare(usize),
    /// Write the commit to the log.
    Log,
    /// Have the part follow what it prepared.
    Activate(usize),
    /// Have the part forget what it prepared.
    Discard(usize),
    /// The commit is in force. Parts named here did not confirm that they follow it: they do, or will when they come back,
    /// and never the old state.
    Done(Vec<usize>),
    /// The old state stands as a whole.
    Failed(CommitFailure),
}

/// Why a commit failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitFailure {
    /// A part declined it.
    Declined {
        /// The part's name.
        part: String,
        /// Its message.
        reason: String,
    },
    /// The part of this name did not answer.
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

/// The state of one commit.
#[derive(Debug)]
pub struct TwoPhaseCommit {
    names: Vec<String>,
    parts: Vec<PartState>,
    phase: Phase,
}

impl TwoPhaseCommit {
    /// Begins with the names of all parts. Without any part the commit is logged at once.
    pub fn start(names: Vec<String>) -> (TwoPhaseCommit, Vec<CommitAction>) {
        let parts = vec![PartState::Preparing; names.len()];
        let mut commit = TwoPhaseCommit { names, parts, phase: Phase::Preparing };
        let mut actions: Vec<CommitAction> = (0..commit.parts.len()).map(CommitAction::Prepare).collect();
        if commit.parts.is_empty() {
            actions.extend(commit.begin_logging());
        }
        (commit, actions)
    }

    /// Whether nothing more is to be done.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Takes an event, and returns what is to be done next.
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
            // The commit may be in the log already, so it goes on without this part.
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

    /// Ends the commit once no part is left that has yet to activate.
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
