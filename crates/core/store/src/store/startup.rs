//! The startup datastore: what the front begins with.

use super::Store;
use super::commit::CommitPlan;
use crate::{Author, Cause, Datastore, SessionId, StoreError};
use lemonusher_model::{Tree, diff};

/// A startup datastore that is to be logged. It takes effect with [`Store::finish_startup`].
#[derive(Debug, Clone)]
pub struct StartupPlan {
    /// None if the startup datastore is to be deleted.
    pub tree: Option<Tree>,
}

impl Store {
    /// Plans to copy what a session sees of a datastore to startup, or with none to delete startup.
    pub fn plan_startup(
        &mut self,
        session: SessionId,
        from: Option<Datastore>,
    ) -> Result<StartupPlan, StoreError> {
        self.author_of(session)?;
        self.check_lock(session, Datastore::Startup)?;
        let Some(from) = from else {
            return if self.startup.is_some() {
                Ok(StartupPlan { tree: None })
            } else {
                Err(StoreError::NoStartup)
            };
        };
        let tree = self.tree(session, from).ok_or(StoreError::NoStartup)?.clone();
        self.validate(&tree)?;
        Ok(StartupPlan { tree: Some(tree) })
    }

    /// The startup datastore has been logged.
    pub fn finish_startup(&mut self, plan: StartupPlan) {
        self.startup = plan.tree;
    }

    /// Plans to put the startup datastore in force; none if there is none or nothing differs, or if a commit is in progress
    /// or pending. `unix_ms` is the date.
    pub fn plan_start_from_startup(&mut self, unix_ms: u64) -> Option<CommitPlan> {
        if self.committing.is_some() || self.pending.is_some() {
            return None;
        }
        let tree = self.startup.clone()?;
        let changes = diff(&self.running().tree, &tree);
        if changes.is_empty() {
            return None;
        }
        Some(self.reserve(Author::front(), Cause::Start, tree, changes, None, unix_ms))
    }
}
