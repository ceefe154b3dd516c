//! The startup datastore: the configuration that is loaded into running at the start of a front that is set
//! to do so.

use super::Store;
use super::commit::CommitPlan;
use crate::{Author, Cause, Datastore, SessionId, StoreError};
use lemonusher_model::{Tree, diff};

/// A change of the startup datastore that has yet to be logged. [`Store::finish_startup`] applies it.
#[derive(Debug, Clone)]
pub struct StartupPlan {
    /// The new content; `None` deletes the startup datastore.
    pub tree: Option<Tree>,
}

impl Store {
    /// Plans to copy a datastore, as this session sees it, to startup. Without a source it plans to delete
    /// startup.
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

    /// Applies a change of the startup datastore that has been logged.
    pub fn finish_startup(&mut self, plan: StartupPlan) {
        self.startup = plan.tree;
    }

    /// Plans to load the startup datastore into running. Returns `None` if there is no startup datastore, if
    /// running already has its content, or if a commit is in progress or pending. `unix_ms` is the version's
    /// date as Unix time in milliseconds.
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
