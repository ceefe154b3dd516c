//! Commits: planned, held in the one total order, and finished or abandoned.

use super::Store;
use super::candidate::{Edit, ErrorOption, apply};
use super::confirmed::PendingConfirmation;
use crate::merge::merge;
use crate::{Author, Cause, Datastore, SessionId, StoreError, Version};
use lemonusher_model::{Change, Tree, diff};
use std::sync::Arc;
use std::time::Duration;

/// How a commit is meant.
#[derive(Debug, Clone, Default)]
pub struct CommitOptions {
    /// It is rolled back after this span unless it is confirmed.
    pub confirm_timeout: Option<Duration>,
    /// It outlives its session under this id.
    pub persist: Option<String>,
    /// The id of the commit that this confirms or follows.
    pub persist_id: Option<String>,
    /// The version that the writer has seen; another in force refuses the commit.
    pub expected_version: Option<u64>,
}

/// A commit on its way. It holds its place in the order until it is finished or abandoned.
#[derive(Debug, Clone)]
pub struct CommitPlan {
    pub version: Arc<Version>,
    /// What waits to be confirmed once it is in force.
    pub pending: Option<PendingConfirmation>,
    /// Whose candidate it takes up.
    candidate_of: Option<SessionId>,
}

impl Store {
    /// Plans to put the session's candidate in force. Nothing is planned where there is nothing to change and
    /// nothing to confirm.
    pub fn commit(
        &mut self,
        session: SessionId,
        terms: &CommitOptions,
        now: Duration,
        at: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        let author = self.author_of(session)?;
        let private = self.sessions.get(&session).is_some_and(|held| held.private);
        if !private {
            self.check_lock(session, Datastore::Candidate)?;
        }
        let running = self.running().clone();
        let tree = match self.candidate(session) {
            None => running.tree.clone(),
            Some(held) => merge(&self.schema, &held.base.tree, &held.tree, &running.tree)
                .map_err(StoreError::Conflict)?,
        };
        let plan = self.plan(author, tree, terms, now, at)?;
        Ok(plan.map(|plan| CommitPlan { candidate_of: Some(session), ..plan }))
    }

    /// Plans to edit what is in force, as one transaction.
    pub fn edit_running(
        &mut self,
        session: SessionId,
        edits: &[Edit],
        terms: &CommitOptions,
        now: Duration,
        at: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        let author = self.author_of(session)?;
        let mut tree = self.running().tree.clone();
        let faults = apply(&self.schema, &mut tree, edits, ErrorOption::Rollback);
        if !faults.is_empty() {
            return Err(StoreError::Faults(faults));
        }
        self.plan(author, tree, terms, now, at)
    }

    /// Plans to put a version of the history in force again.
    pub fn roll_back(
        &mut self,
        session: SessionId,
        to: u64,
        terms: &CommitOptions,
        now: Duration,
        at: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        let author = self.author_of(session)?;
        let old = self.history.iter().find(|version| version.number == to);
        let tree = old.ok_or(StoreError::NoVersion(to))?.tree.clone();
        let plan = self.plan(author, tree, terms, now, at)?;
        Ok(plan.map(|plan| recaused(plan, Cause::RolledBack { to })))
    }

    fn plan(
        &mut self,
        author: Author,
        tree: Tree,
        terms: &CommitOptions,
        now: Duration,
        at: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        if self.committing.is_some() {
            return Err(StoreError::Busy);
        }
        self.check_lock(author.session, Datastore::Running)?;
        let running = self.running().clone();
        if let Some(seen) = terms.expected_version.filter(|seen| *seen != running.number) {
            return Err(StoreError::Stale { expected: seen, running: running.number });
        }
        match &self.pending {
            // A commit that is meant for one that waits must name it rightly; another may not pass it.
            Some(pending) => {
                let named = match &pending.persist {
                    Some(id) => terms.persist_id.as_ref() == Some(id),
                    None => pending.session == author.session && terms.persist_id.is_none(),
                };
                if !named || pending.orphaned {
                    return Err(StoreError::Pending(pending.session));
                }
            }
            None if terms.persist_id.is_some() => return Err(StoreError::NothingPending),
            None => {}
        }
        self.schema.validate(&tree).map_err(StoreError::Faults)?;
        let changes = diff(&running.tree, &tree);
        if changes.is_empty() && self.pending.is_none() && terms.confirm_timeout.is_none() {
            return Ok(None);
        }
        let pending = match terms.confirm_timeout {
            None => None,
            Some(span) => {
                self.check_follow_up_room()?;
                let first = self.pending.as_ref().map(|pending| pending.revert.clone());
                let named = self.pending.as_ref().and_then(|pending| pending.persist.clone());
                Some(PendingConfirmation {
                    session: author.session,
                    persist: terms.persist.clone().or(named),
                    revert: first.unwrap_or_else(|| running.clone()),
                    deadline: now + span,
                    orphaned: false,
                })
            }
        };
        let confirms = self.pending.is_some() && pending.is_none();
        let cause = if confirms { Cause::Confirmed } else { Cause::Commit };
        Ok(Some(self.reserve(author, cause, tree, changes, pending, at)))
    }

    pub(super) fn reserve(
        &mut self,
        author: Author,
        cause: Cause,
        tree: Tree,
        changes: Vec<Change>,
        pending: Option<PendingConfirmation>,
        at: u64,
    ) -> CommitPlan {
        let number = self.running().number + 1;
        self.committing = Some(number);
        let version = Version { number, committed_at_ms: at, author, cause, tree, changes };
        CommitPlan { version: Arc::new(version), pending, candidate_of: None }
    }

    /// The commit is in force.
    pub fn finish_commit(&mut self, plan: CommitPlan) {
        if self.committing != Some(plan.version.number) {
            return; // It was abandoned.
        }
        self.committing = None;
        if let Some(session) = plan.candidate_of {
            *self.candidate_mut(session) = None;
        }
        self.pending = plan.pending;
        if let Some(pending) = &mut self.pending
            && pending.persist.is_none()
            && pending.session != 0
            && !self.sessions.contains_key(&pending.session)
        {
            pending.orphaned = true; // Its session ended while it was on its way.
        }
        self.history.push_back(plan.version);
        self.trim();
    }

    /// The commit came to nothing; the old state stands.
    pub fn abandon_commit(&mut self, plan: &CommitPlan) {
        if self.committing == Some(plan.version.number) {
            self.committing = None;
        }
    }
}

fn recaused(mut plan: CommitPlan, cause: Cause) -> CommitPlan {
    Arc::make_mut(&mut plan.version).cause = cause;
    plan
}
