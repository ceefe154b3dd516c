//! Commits: planning, version numbers, and finishing or abandoning.
//!
//! At most one commit is in progress, from its plan until it is finished or abandoned; this gives all
//! versions one total order. While a confirmed commit is pending, only commits that confirm it or follow it
//! up are accepted. A commit that changes nothing gets no plan, unless it is a confirmed commit or confirms
//! one.
//!
//! In all calls `now` is the time since the caller's origin, and `unix_ms` is the version's date as Unix time
//! in milliseconds.

use super::Store;
use super::candidate::{CommittedCandidate, Edit, ErrorOption, apply};
use super::confirmed::PendingConfirmation;
use crate::merge::merge;
use crate::{Author, Cause, Datastore, SessionId, StoreError, Version};
use lemonusher_model::{Change, Tree, diff};
use std::sync::Arc;
use std::time::Duration;

/// Options of a commit. Those of confirmed commits are from RFC 6241, 8.4; `expected_version` is not.
#[derive(Debug, Clone, Default)]
pub struct CommitOptions {
    /// Present for a confirmed commit: the timeout after which it is reverted unless it has been confirmed.
    pub confirm_timeout: Option<Duration>,
    /// The `persist` id. With it a confirmed commit outlives its session, but not a restart of the front.
    pub persist: Option<String>,
    /// The `persist` id of the pending commit that this commit confirms or follows up.
    pub persist_id: Option<String>,
    /// The version number that the client expects to be running; the commit is refused if another one is.
    pub expected_version: Option<u64>,
}

/// A commit in progress. Its version number is reserved until the commit is finished or abandoned.
#[derive(Debug, Clone)]
pub struct CommitPlan {
    /// The new running version.
    pub version: Arc<Version>,
    /// The confirmation that is pending once the commit is finished; `None` for a commit that needs no
    /// confirmation.
    pub pending: Option<PendingConfirmation>,
    /// The candidate that is committed; `None` if the commit does not come from a candidate, or from one
    /// without changes.
    candidate: Option<CommittedCandidate>,
}

impl Store {
    /// Plans to commit the session's candidate, merged with the commits made since its base version.
    pub fn commit(
        &mut self,
        session: SessionId,
        options: &CommitOptions,
        now: Duration,
        unix_ms: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        let author = self.author_of(session)?;
        self.check_candidate_access(session)?;
        let running = self.running().clone();
        let tree = match self.candidate(session) {
            None => running.tree.clone(),
            Some(candidate) => merge(&self.schema, &candidate.base.tree, &candidate.tree, &running.tree)
                .map_err(StoreError::Conflict)?,
        };
        let plan = self.plan(author, tree, options, now, unix_ms)?;
        let candidate = self.candidate(session).map(|candidate| CommittedCandidate {
            id: self.candidate_id(session),
            tree: candidate.tree.clone(),
        });
        Ok(plan.map(|plan| CommitPlan { candidate, ..plan }))
    }

    /// Plans to edit the running datastore, as one transaction.
    pub fn edit_running(
        &mut self,
        session: SessionId,
        edits: &[Edit],
        options: &CommitOptions,
        now: Duration,
        unix_ms: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        let author = self.author_of(session)?;
        let mut tree = self.running().tree.clone();
        let faults = apply(&self.schema, &mut tree, edits, ErrorOption::Rollback);
        if !faults.is_empty() {
            return Err(StoreError::Faults(faults));
        }
        self.plan(author, tree, options, now, unix_ms)
    }

    /// Plans to restore a version of the history, identified by its number.
    pub fn roll_back(
        &mut self,
        session: SessionId,
        to: u64,
        options: &CommitOptions,
        now: Duration,
        unix_ms: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        let author = self.author_of(session)?;
        let version = self.history.iter().find(|version| version.number == to);
        let tree = version.ok_or(StoreError::NoVersion(to))?.tree.clone();
        let plan = self.plan(author, tree, options, now, unix_ms)?;
        Ok(plan.map(|plan| plan.with_cause(Cause::RolledBack { to })))
    }

    fn plan(
        &mut self,
        author: Author,
        tree: Tree,
        options: &CommitOptions,
        now: Duration,
        unix_ms: u64,
    ) -> Result<Option<CommitPlan>, StoreError> {
        self.check_may_commit(&author, options)?;
        self.schema.validate(&tree).map_err(StoreError::Faults)?;
        let changes = diff(&self.running().tree, &tree);
        if changes.is_empty() && self.pending.is_none() && options.confirm_timeout.is_none() {
            return Ok(None);
        }
        let pending = match options.confirm_timeout {
            None => None,
            Some(timeout) => Some(self.new_confirmation(&author, options, now + timeout)?),
        };
        let confirms = self.pending.is_some() && pending.is_none();
        let cause = if confirms { Cause::Confirmed } else { Cause::Commit };
        Ok(Some(self.reserve(author, cause, tree, changes, pending, unix_ms)))
    }

    /// Fails if no commit with these options may be planned now, whatever its content: another commit is in
    /// progress, another session holds the lock of running, the expected version is not running, a confirmed
    /// commit is pending that this commit does not refer to, or none is pending though a `persist` id is given.
    fn check_may_commit(&self, author: &Author, options: &CommitOptions) -> Result<(), StoreError> {
        if self.committing.is_some() {
            return Err(StoreError::Busy);
        }
        self.check_lock(author.session, Datastore::Running)?;
        let running = self.running().number;
        if let Some(expected) = options.expected_version.filter(|expected| *expected != running) {
            return Err(StoreError::Stale { expected, running });
        }
        match &self.pending {
            Some(pending) if !pending.is_referenced_by(author.session, options.persist_id.as_deref()) => {
                Err(StoreError::Pending(pending.session))
            }
            None if options.persist_id.is_some() => Err(StoreError::NothingPending),
            _ => Ok(()),
        }
    }

    /// Reserves the next version number. The caller has checked that no commit is in progress.
    pub(super) fn reserve(
        &mut self,
        author: Author,
        cause: Cause,
        tree: Tree,
        changes: Vec<Change>,
        pending: Option<PendingConfirmation>,
        unix_ms: u64,
    ) -> CommitPlan {
        let number = self.running().number + 1;
        self.committing = Some(number);
        let version = Version { number, committed_at_ms: unix_ms, author, cause, tree, changes };
        CommitPlan { version: Arc::new(version), pending, candidate: None }
    }

    /// Makes a logged commit the running version. Does nothing if the commit was abandoned.
    pub fn finish_commit(&mut self, plan: CommitPlan) {
        if self.committing != Some(plan.version.number) {
            return;
        }
        self.committing = None;
        if let Some(committed) = plan.candidate {
            self.clear_candidate(&committed);
        }
        self.pending = plan.pending;
        self.mark_orphaned();
        self.history.push_back(plan.version);
        self.trim();
    }

    /// Drops a failed commit and frees its version number. The running version is unchanged.
    pub fn abandon_commit(&mut self, plan: &CommitPlan) {
        if self.committing == Some(plan.version.number) {
            self.committing = None;
        }
    }
}

impl CommitPlan {
    fn with_cause(mut self, cause: Cause) -> CommitPlan {
        Arc::make_mut(&mut self.version).cause = cause;
        self
    }
}
