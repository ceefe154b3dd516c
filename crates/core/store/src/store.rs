//! The store: the datastores, the history, sessions and locks. Its operations stand in modules of their own.

mod candidate;
mod commit;
mod confirmed;
mod sessions;
mod startup;

pub use candidate::{Edit, ErrorOption};
pub use commit::{CommitOptions, CommitPlan};
pub use confirmed::PendingConfirmation;
pub use sessions::Session;
pub use startup::StartupPlan;

use crate::{Author, Cause, Datastore, SessionId, StoreError, Version};
use candidate::Candidate;
use lemonusher_model::{Schema, Tree};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a store may hold.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Versions that can be rolled back to, beside the one in force.
    pub history: usize,
    /// Sessions that may be open at once.
    pub sessions: usize,
}

/// The datastores, the history, the sessions and their locks.
#[derive(Debug)]
pub struct Store {
    schema: Arc<Schema>,
    bounds: Bounds,
    /// From the oldest version that can be rolled back to up to the one in force; never empty.
    history: VecDeque<Arc<Version>>,
    startup: Option<Tree>,
    /// None while it holds no change.
    shared_candidate: Option<Candidate>,
    sessions: BTreeMap<SessionId, Session>,
    next_session: SessionId,
    locks: BTreeMap<Datastore, SessionId>,
    pending: Option<PendingConfirmation>,
    /// The number of the version whose commit is in progress.
    committing: Option<u64>,
}

impl Store {
    /// An empty store, at version zero.
    pub fn new(schema: Arc<Schema>, bounds: Bounds) -> Store {
        let first = Version {
            number: 0,
            committed_at_ms: 0,
            author: Author::front(),
            cause: Cause::Start,
            tree: Tree::default(),
            changes: Vec::new(),
        };
        Store::with(schema, bounds, VecDeque::from([Arc::new(first)]), None, None)
    }

    /// With a history that ends with the version in force.
    pub(crate) fn with(
        schema: Arc<Schema>,
        bounds: Bounds,
        history: VecDeque<Arc<Version>>,
        startup: Option<Tree>,
        pending: Option<PendingConfirmation>,
    ) -> Store {
        let mut store = Store {
            schema,
            bounds,
            history,
            startup,
            shared_candidate: None,
            sessions: BTreeMap::new(),
            next_session: 1,
            locks: BTreeMap::new(),
            pending,
            committing: None,
        };
        store.trim();
        store
    }

    /// The model that all trees are of.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// The version in force.
    pub fn running(&self) -> &Arc<Version> {
        &self.history[self.history.len() - 1]
    }

    /// The versions that can be rolled back to and the one in force, the oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Arc<Version>> {
        self.history.iter()
    }

    /// The startup datastore, if there is one.
    pub fn startup(&self) -> Option<&Tree> {
        self.startup.as_ref()
    }

    /// The commit that waits to be confirmed, if there is one.
    pub fn pending(&self) -> Option<&PendingConfirmation> {
        self.pending.as_ref()
    }

    /// All open sessions.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The session that has locked a datastore.
    pub fn lock_holder(&self, datastore: Datastore) -> Option<SessionId> {
        self.locks.get(&datastore).copied()
    }

    /// What a session sees of a datastore; none if there is no startup datastore.
    pub fn tree(&self, session: SessionId, datastore: Datastore) -> Option<&Tree> {
        match datastore {
            Datastore::Running => Some(&self.running().tree),
            Datastore::Startup => self.startup.as_ref(),
            Datastore::Candidate => {
                let candidate = self.candidate(session);
                Some(candidate.map_or(&self.running().tree, |candidate| &candidate.tree))
            }
        }
    }

    /// Checks a tree against the model. Fails with all its faults.
    pub fn validate(&self, tree: &Tree) -> Result<(), StoreError> {
        self.schema.validate(tree).map_err(StoreError::Faults)
    }

    /// Drops versions beyond the bound, but none that a pending commit may revert to; of those no more are let in.
    fn trim(&mut self) {
        while self.history.len() > self.bounds.history + 1 {
            let needed = self.pending.as_ref().map(|pending| pending.revert_to.number);
            if needed.is_some_and(|needed| needed <= self.history[0].number) {
                return;
            }
            self.history.pop_front();
        }
    }
}
