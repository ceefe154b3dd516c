//! Candidate datastores: the shared one, and those of sessions with a private candidate.

use super::Store;
use crate::{Datastore, SessionId, StoreError, Version};
use lemonusher_model::{Fault, Node, Op, Place, Schema, Tree};
use std::sync::Arc;

/// One change within an edit.
#[derive(Debug, Clone)]
pub struct Edit {
    pub op: Op,
    pub place: Place,
    pub value: Option<Node>,
}

/// What becomes of the edits before one that fails. A failed edit of running changes nothing in any case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ErrorOption {
    Stop,
    Continue,
    #[default]
    Rollback,
}

#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) base: Arc<Version>,
    pub(super) tree: Tree,
}

impl Store {
    pub(super) fn candidate(&self, session: SessionId) -> Option<&Candidate> {
        match self.sessions.get(&session) {
            Some(held) if held.private => held.candidate.as_ref(),
            _ => self.shared_candidate.as_ref(),
        }
    }

    pub(super) fn candidate_mut(&mut self, session: SessionId) -> &mut Option<Candidate> {
        match self.sessions.get_mut(&session) {
            Some(held) if held.private => &mut held.candidate,
            _ => &mut self.shared_candidate,
        }
    }

    /// Edits the session's candidate.
    pub fn edit_candidate(
        &mut self,
        session: SessionId,
        edits: &[Edit],
        on_error: ErrorOption,
    ) -> Result<(), StoreError> {
        self.author_of(session)?;
        let private = self.sessions.get(&session).is_some_and(|held| held.private);
        if !private {
            self.check_lock(session, Datastore::Candidate)?;
        }
        let running = self.running().clone();
        let schema = self.schema.clone();
        let slot = self.candidate_mut(session);
        let held = slot.clone();
        let mut candidate = held.unwrap_or_else(|| Candidate { tree: running.tree.clone(), base: running });
        let faults = apply(&schema, &mut candidate.tree, edits, on_error);
        if faults.is_empty() || on_error != ErrorOption::Rollback {
            *slot = Some(candidate).filter(|candidate| candidate.tree != candidate.base.tree);
        }
        if faults.is_empty() { Ok(()) } else { Err(StoreError::Faults(faults)) }
    }

    /// Puts a whole tree in the session's candidate.
    pub fn replace_candidate(&mut self, session: SessionId, tree: Tree) -> Result<(), StoreError> {
        let value = Node::Container(tree.fields().clone());
        let edit = Edit { op: Op::Replace, place: Place::new(), value: Some(value) };
        self.edit_candidate(session, &[edit], ErrorOption::Rollback)
    }

    pub fn discard_candidate(&mut self, session: SessionId) -> Result<(), StoreError> {
        self.author_of(session)?;
        if !self.sessions.get(&session).is_some_and(|held| held.private) {
            self.check_lock(session, Datastore::Candidate)?;
        }
        *self.candidate_mut(session) = None;
        Ok(())
    }
}

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
