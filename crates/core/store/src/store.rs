//! The store: datastores, history, sessions and locks. The submodules hold its operations.

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

/// Limits of a store.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Versions kept for rollback, in addition to the running one.
    pub history: usize,
    /// Sessions that may be open at once.
    pub sessions: usize,
}

/// The datastores, the history, the sessions and their locks.
#[derive(Debug)]
pub struct Store {
    schema: Arc<Schema>,
    bounds: Bounds,
    /// The versions that can be rolled back to, oldest first, and the running version last. Never empty.
    history: VecDeque<Arc<Version>>,
    startup: Option<Tree>,
    /// The candidate of all sessions without a private one; `None` while it holds no change.
    shared_candidate: Option<Candidate>,
    sessions: BTreeMap<SessionId, Session>,
    next_session: SessionId,
    locks: BTreeMap<Datastore, SessionId>,
    pending: Option<PendingConfirmation>,
    /// The number of the version whose commit is in progress.
    committing: Option<u64>,
}

impl Store {
    /// An empty store, at version 0.
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

    /// A store with a history, which ends with the running version and must not be empty.
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

    /// The YANG model to which all trees conform.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// The running version.
    pub fn running(&self) -> &Arc<Version> {
        &self.history[self.history.len() - 1]
    }

    /// The versions that can be rolled back to, oldest first, and the running version last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Arc<Version>> {
        self.history.iter()
    }

    /// The startup datastore, if there is one.
    pub fn startup(&self) -> Option<&Tree> {
        self.startup.as_ref()
    }

    /// The confirmed commit that has yet to be confirmed, if there is one.
    pub fn pending(&self) -> Option<&PendingConfirmation> {
        self.pending.as_ref()
    }

    /// All open sessions.
    pub fn sessions(&self) -> &BTreeMap<SessionId, Session> {
        &self.sessions
    }

    /// The session that holds the lock of a datastore.
    pub fn lock_holder(&self, datastore: Datastore) -> Option<SessionId> {
        self.locks.get(&datastore).copied()
    }

    /// The content of a datastore as seen by a session; `None` if there is no startup datastore. An unchanged
    /// candidate has the content of running.
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

    /// Validates a tree against the YANG model.
    pub fn validate(&self, tree: &Tree) -> Result<(), StoreError> {
        self.schema.validate(tree).map_err(StoreError::Faults)
    }

    /// Drops the oldest versions beyond the limit, but never the one that the pending commit reverts to. The
    /// history stays limited nevertheless: `check_follow_up_room` refuses further follow-ups to the pending
    /// commit.
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
