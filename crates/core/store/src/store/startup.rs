//! The startup datastore: what the front begins with.

use super::Store;
use super::commit::CommitPlan;
use crate::{Author, Cause, Datastore, SessionId, StoreError};
use lemonusher_model::{Tree, diff};

/// A startup datastore on its way.
#[derive(Debug, Clone)]
pub struct StartupPlan {
    pub tree: Option<Tree>,
}

impl Store {
    /// Plans to keep what a session sees of a datastore as what a start begins with, or with none to drop it.
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

    pub fn finish_startup(&mut self, plan: StartupPlan) {
        self.startup = plan.tree;
    }

    /// Plans to begin with the startup datastore, where there is one and it is not in force.
    pub fn plan_start_from_startup(&mut self, at: u64) -> Option<CommitPlan> {
        if self.committing.is_some() || self.pending.is_some() {
            return None;
        }
        let tree = self.startup.clone()?;
        let changes = diff(&self.running().tree, &tree);
        if changes.is_empty() {
            return None;
        }
        Some(self.reserve(Author::front(), Cause::Start, tree, changes, None, at))
    }
}
