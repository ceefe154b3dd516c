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

/// What the store may hold.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Versions that can be gone back to, beside the one in force.
    pub history: usize,
    pub sessions: usize,
}

/// All that operators want, and its history.
#[derive(Debug)]
pub struct Store {
    schema: Arc<Schema>,
    bounds: Bounds,
    /// From the oldest that can be gone back to up to the one in force; never empty.
    history: VecDeque<Arc<Version>>,
    startup: Option<Tree>,
    shared_candidate: Option<Candidate>,
    sessions: BTreeMap<SessionId, Session>,
    next_session: SessionId,
    locks: BTreeMap<Datastore, SessionId>,
    pending: Option<PendingConfirmation>,
    committing: Option<u64>,
}

impl Store {
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

    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// The version in force.
    pub fn running(&self) -> &Arc<Version> {
        &self.history[self.history.len() - 1]
    }

    /// The versions that there are, the oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Arc<Version>> {
        self.history.iter()
    }

    pub fn startup(&self) -> Option<&Tree> {
        self.startup.as_ref()
    }

    pub fn pending(&self) -> Option<&PendingConfirmation> {
        self.pending.as_ref()
    }

    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    pub fn lock_holder(&self, datastore: Datastore) -> Option<SessionId> {
        self.locks.get(&datastore).copied()
    }

    /// What a session sees of a datastore.
    pub fn tree(&self, session: SessionId, datastore: Datastore) -> Option<&Tree> {
        match datastore {
            Datastore::Running => Some(&self.running().tree),
            Datastore::Startup => self.startup.as_ref(),
            Datastore::Candidate => {
                let held = self.candidate(session);
                Some(held.map_or(&self.running().tree, |candidate| &candidate.tree))
            }
        }
    }

    pub fn validate(&self, tree: &Tree) -> Result<(), StoreError> {
        self.schema.validate(tree).map_err(StoreError::Faults)
    }

    fn trim(&mut self) {
        while self.history.len() > self.bounds.history + 1 {
            let kept = self.pending.as_ref().map(|pending| pending.revert.number);
            if kept.is_some_and(|kept| kept <= self.history[0].number) {
                return; // One that may be gone back to stays, and `plan` lets no more follow.
            }
            self.history.pop_front();
        }
    }
}
