//! Confirmed commits (RFC 6241, 8.4): reverted unless they are confirmed in time.

use super::Store;
use super::commit::CommitPlan;
use crate::{Author, Cause, SessionId, StoreError, Version};
use lemonusher_model::diff;
use std::sync::Arc;
use std::time::Duration;

/// A commit that waits to be confirmed.
#[derive(Debug, Clone)]
pub struct PendingConfirmation {
    pub session: SessionId,
    pub persist: Option<String>,
    pub revert: Arc<Version>,
    pub deadline: Duration,
    /// Nobody is left who could confirm it.
    pub orphaned: bool,
}

impl Store {
    /// What may be gone back to must stay in the history.
    pub(super) fn check_follow_up_room(&self) -> Result<(), StoreError> {
        let first = self.pending.as_ref().map(|pending| pending.revert.number);
        let full = self.history.len() > self.bounds.history;
        if full && first.is_some_and(|first| first <= self.history[0].number) {
            return Err(StoreError::TooManyFollowUps);
        }
        Ok(())
    }

    /// Gives a commit that waits more time, from now on.
    pub fn extend(
        &mut self,
        session: SessionId,
        id: Option<&str>,
        span: Duration,
        now: Duration,
        at: u64,
    ) -> Result<CommitPlan, StoreError> {
        let author = self.author_of(session)?;
        let pending = self.pending_named(session, id)?;
        self.check_follow_up_room()?;
        let pending = PendingConfirmation { deadline: now + span, ..pending };
        let tree = self.running().tree.clone();
        Ok(self.reserve(author, Cause::Commit, tree, Vec::new(), Some(pending), at))
    }

    /// Plans to take back a commit that waits to be confirmed.
    pub fn cancel(
        &mut self,
        session: SessionId,
        id: Option<&str>,
        at: u64,
    ) -> Result<CommitPlan, StoreError> {
        let author = self.author_of(session)?;
        let pending = self.pending_named(session, id)?;
        let to = pending.revert.number;
        Ok(self.plan_revert(author, Cause::Cancelled { to }, &pending, at))
    }

    fn pending_named(&self, session: SessionId, id: Option<&str>) -> Result<PendingConfirmation, StoreError> {
        if self.committing.is_some() {
            return Err(StoreError::Busy);
        }
        let pending = self.pending.as_ref().ok_or(StoreError::NothingPending)?;
        let named = match &pending.persist {
            Some(held) => id == Some(held.as_str()),
            None => id.is_none() && pending.session == session,
        };
        if named && !pending.orphaned { Ok(pending.clone()) } else { Err(StoreError::NothingPending) }
    }

    fn plan_revert(
        &mut self,
        author: Author,
        cause: Cause,
        pending: &PendingConfirmation,
        at: u64,
    ) -> CommitPlan {
        let tree = pending.revert.tree.clone();
        let changes = diff(&self.running().tree, &tree);
        self.reserve(author, cause, tree, changes, None, at)
    }

    /// What has fallen due: a commit that nobody confirmed in time, or that nobody is left to confirm.
    pub fn poll_timeout(&mut self, now: Duration, at: u64) -> Option<CommitPlan> {
        let pending = self.pending.clone().filter(|pending| pending.orphaned || pending.deadline <= now)?;
        if self.committing.is_some() {
            return None;
        }
        let to = pending.revert.number;
        Some(self.plan_revert(Author::front(), Cause::Expired { to }, &pending, at))
    }

    /// When something falls due.
    pub fn next_timeout(&self) -> Option<Duration> {
        let pending = self.pending.as_ref().filter(|_| self.committing.is_none())?;
        Some(if pending.orphaned { Duration::ZERO } else { pending.deadline })
    }
}
