//! Candidate datastores: one shared candidate, and one for each session with a private candidate.
//!
//! A candidate is stored only while it differs from its base version. A session without a stored candidate reads the
//! running version. The lock of the candidate datastore guards only the shared candidate.

use super::Store;
use crate::{Datastore, SessionId, StoreError, Version};
use lemonusher_model::{Fault, Node, Op, Place, Schema, Tree};
use std::sync::Arc;

/// One operation of an edit request, which may have several.
#[derive(Debug, Clone)]
pub struct Edit {
    /// The operation.
    pub op: Op,
    /// The node that it applies to.
    pub place: Place,
    /// The value; required by merge, replace and create.
    pub value: Option<Node>,
}

/// The handling of a failed operation in an edit of the candidate (`error-option` of RFC 6241, 7.2). An edit
/// of running is always all or nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ErrorOption {
    /// `stop-on-error`: keeps the operations before the first failed one and skips those after it.
    Stop,
    /// `continue-on-error`: keeps all operations that do not fail.
    Continue,
    /// `rollback-on-error`: changes nothing.
    #[default]
    Rollback,
}

/// A candidate that differs from its base version.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    /// The running version at the time of the candidate's first change.
    pub(super) base: Arc<Version>,
    pub(super) tree: Tree,
}

/// Identifies a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CandidateId {
    Shared,
    /// The private candidate of this session.
    Private(SessionId),
}

/// A candidate's content at the time when its commit was planned.
#[derive(Debug, Clone)]
pub(super) struct CommittedCandidate {
    pub(super) id: CandidateId,
    pub(super) tree: Tree,
}

impl Store {
    /// The candidate that a session edits; `None` if it holds no change.
    pub(super) fn candidate(&self, session: SessionId) -> Option<&Candidate> {
        match self.sessions.get(&session) {
            Some(session) if session.has_private_candidate => session.candidate.as_ref(),
            _ => self.shared_candidate.as_ref(),
        }
    }

    /// The id of the candidate that a session edits.
    pub(super) fn candidate_id(&self, session: SessionId) -> CandidateId {
        match self.sessions.get(&session) {
            Some(known) if known.has_private_candidate => CandidateId::Private(session),
            _ => CandidateId::Shared,
        }
    }

    /// Clears a candidate that has been committed, unless its content has changed since the commit was planned.
    /// Such changes are kept: they may be another session's, made after the committing session closed.
    pub(super) fn clear_candidate(&mut self, committed: &CommittedCandidate) {
        let candidate = match committed.id {
            CandidateId::Shared => &mut self.shared_candidate,
            CandidateId::Private(session) => match self.sessions.get_mut(&session) {
                Some(session) => &mut session.candidate,
                None => return,
            },
        };
        candidate.take_if(|candidate| candidate.tree == committed.tree);
    }

    pub(super) fn candidate_mut(&mut self, session: SessionId) -> &mut Option<Candidate> {
        match self.sessions.get_mut(&session) {
            Some(session) if session.has_private_candidate => &mut session.candidate,
            _ => &mut self.shared_candidate,
        }
    }

    /// Fails if another session holds the lock of the candidate that this session edits.
    pub(super) fn check_candidate_access(&self, session: SessionId) -> Result<(), StoreError> {
        match self.sessions.get(&session) {
            Some(session) if session.has_private_candidate => Ok(()),
            _ => self.check_lock(session, Datastore::Candidate),
        }
    }

    /// Edits the session's candidate. Fails with the faults of all operations that failed.
    pub fn edit_candidate(
        &mut self,
        session: SessionId,
        edits: &[Edit],
        on_error: ErrorOption,
    ) -> Result<(), StoreError> {
        self.author_of(session)?;
        self.check_candidate_access(session)?;
        let running = self.running().clone();
        let schema = self.schema.clone();
        let slot = self.candidate_mut(session);
        let mut candidate =
            slot.clone().unwrap_or_else(|| Candidate { tree: running.tree.clone(), base: running });
        let faults = apply(&schema, &mut candidate.tree, edits, on_error);
        if faults.is_empty() || on_error != ErrorOption::Rollback {
            *slot = Some(candidate).filter(|candidate| candidate.tree != candidate.base.tree);
        }
        if faults.is_empty() { Ok(()) } else { Err(StoreError::Faults(faults)) }
    }

    /// Replaces the whole content of the session's candidate.
    pub fn replace_candidate(&mut self, session: SessionId, tree: Tree) -> Result<(), StoreError> {
        let value = Node::Container(tree.fields().clone());
        let edit = Edit { op: Op::Replace, place: Place::new(), value: Some(value) };
        self.edit_candidate(session, &[edit], ErrorOption::Rollback)
    }

    /// Discards the changes in the session's candidate.
    pub fn discard_candidate(&mut self, session: SessionId) -> Result<(), StoreError> {
        self.author_of(session)?;
        self.check_candidate_access(session)?;
        *self.candidate_mut(session) = None;
        Ok(())
    }
}

/// Applies edits to a tree and returns the faults of those that failed.
pub(super) fn apply(schema: &Schema, tree: &mut Tree, edits: &[Edit], on_error: ErrorOption) -> Vec<Fault> {
    let before = tree.clone();
    let mut faults = Vec::new();
    for edit in edits {
        if let Err(fault) = tree.apply(schema, edit.op, &edit.place, edit.value.as_ref()) {
            faults.push(fault);
            match on_error {
                ErrorOption::Continue => {}
                ErrorOption::Stop => return faults,
                ErrorOption::Rollback => {
                    *tree = before;
                    return faults;
                }
            }
        }
    }
    faults
}
