//! Confirmed commits (RFC 6241, 8.4), which are reverted unless they are confirmed before a deadline.
//!
//! A pending commit without a `persist` id is confirmed, followed up, extended or cancelled only by its own
//! session; one with a `persist` id, by any session that gives this id. It is reverted at its deadline, or at
//! the next poll after its session has closed if it has no `persist` id. A confirmed commit that follows it up
//! moves the deadline; a revert undoes the first commit and all follow-ups, and restores the version before the first.

use super::Store;
use super::commit::{CommitOptions, CommitPlan};
use crate::{Author, Cause, SessionId, StoreError, Version};
use lemonusher_model::diff;
use std::sync::Arc;
use std::time::Duration;

/// A confirmed commit that has yet to be confirmed.
#[derive(Debug, Clone)]
pub struct PendingConfirmation {
    /// The session that committed it.
    pub session: SessionId,
    /// The `persist` id. With it the commit outlives its session, but not a restart of the front.
    pub persist: Option<String>,
    /// The version that is restored if it is not confirmed.
    pub revert_to: Arc<Version>,
    /// The time at which it is reverted, since the caller's origin.
    pub deadline: Duration,
    /// True if no client remains that could confirm it; it is then reverted at the next poll.
    pub orphaned: bool,
}

impl PendingConfirmation {
    /// Returns true if a call of this session with this `persist` id refers to the pending commit and may act
    /// on it. Nothing may act on an orphaned commit.
    pub(super) fn is_referenced_by(&self, session: SessionId, id: Option<&str>) -> bool {
        let named = match &self.persist {
            Some(persist) => id == Some(persist.as_str()),
            None => id.is_none() && self.session == session,
        };
        named && !self.orphaned
    }
}

impl Store {
    /// The pending confirmation of a new confirmed commit. If another confirmed commit is still pending, the
    /// version to revert to stays that of the pending commit, and so does its `persist` id unless the options
    /// give another.
    pub(super) fn new_confirmation(
        &self,
        author: &Author,
        options: &CommitOptions,
        deadline: Duration,
    ) -> Result<PendingConfirmation, StoreError> {
        self.check_follow_up_room()?;
        let first = self.pending.as_ref();
        let persist = options.persist.clone().or_else(|| first.and_then(|first| first.persist.clone()));
        let revert_to = first.map_or_else(|| self.running().clone(), |first| first.revert_to.clone());
        Ok(PendingConfirmation { session: author.session, persist, revert_to, deadline, orphaned: false })
    }

    /// Fails if the history is full and its oldest version is the one that the pending commit would revert to.
    fn check_follow_up_room(&self) -> Result<(), StoreError> {
        let first = self.pending.as_ref().map(|pending| pending.revert_to.number);
        let full = self.history.len() > self.bounds.history;
        if full && first.is_some_and(|first| first <= self.history[0].number) {
            return Err(StoreError::TooManyFollowUps);
        }
        Ok(())
    }

    /// Plans to move the deadline of a pending commit to `timeout` from now.
    pub fn extend(
        &mut self,
        session: SessionId,
        id: Option<&str>,
        timeout: Duration,
        now: Duration,
        unix_ms: u64,
    ) -> Result<CommitPlan, StoreError> {
        let author = self.author_of(session)?;
        let pending = self.pending_for(session, id)?;
        self.check_follow_up_room()?;
        let pending = PendingConfirmation { deadline: now + timeout, ..pending };
        let tree = self.running().tree.clone();
        Ok(self.reserve(author, Cause::Commit, tree, Vec::new(), Some(pending), unix_ms))
    }

    /// Plans to revert a pending commit.
    pub fn cancel(
        &mut self,
        session: SessionId,
        id: Option<&str>,
        unix_ms: u64,
    ) -> Result<CommitPlan, StoreError> {
        let author = self.author_of(session)?;
        let pending = self.pending_for(session, id)?;
        let cause = Cause::Cancelled { to: pending.revert_to.number };
        Ok(self.plan_revert(author, cause, &pending, unix_ms))
    }

    /// The pending commit, if a call of this session with this `persist` id may act on it now.
    fn pending_for(&self, session: SessionId, id: Option<&str>) -> Result<PendingConfirmation, StoreError> {
        if self.committing.is_some() {
            return Err(StoreError::Busy);
        }
        let pending = self.pending.as_ref().filter(|pending| pending.is_referenced_by(session, id));
        pending.cloned().ok_or(StoreError::NothingPending)
    }

    fn plan_revert(
        &mut self,
        author: Author,
        cause: Cause,
        pending: &PendingConfirmation,
        unix_ms: u64,
    ) -> CommitPlan {
        let tree = pending.revert_to.tree.clone();
        let changes = diff(&self.running().tree, &tree);
        self.reserve(author, cause, tree, changes, None, unix_ms)
    }

    /// Marks the pending commit as orphaned if its session closed while the commit was in progress and it has
    /// no `persist` id.
    pub(super) fn mark_orphaned(&mut self) {
        if let Some(pending) = &mut self.pending
            && pending.persist.is_none()
            && pending.session != Author::front().session
            && !self.sessions.contains_key(&pending.session)
        {
            pending.orphaned = true;
        }
    }

    /// Plans to revert the pending commit if its deadline has passed or it is orphaned.
    pub fn poll_timeout(&mut self, now: Duration, unix_ms: u64) -> Option<CommitPlan> {
        let pending = self.pending.clone().filter(|pending| pending.orphaned || pending.deadline <= now)?;
        if self.committing.is_some() {
            return None;
        }
        let cause = Cause::Expired { to: pending.revert_to.number };
        Some(self.plan_revert(Author::front(), cause, &pending, unix_ms))
    }

    /// The time at which [`Store::poll_timeout`] has to be called next, since the caller's origin; `None` if
    /// no commit is pending, and while a commit is in progress.
    pub fn next_timeout(&self) -> Option<Duration> {
        let pending = self.pending.as_ref().filter(|_| self.committing.is_none())?;
        Some(if pending.orphaned { Duration::ZERO } else { pending.deadline })
    }
}
