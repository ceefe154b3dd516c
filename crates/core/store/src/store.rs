use crate::merge::merge;
use lemonusher_model::{Change, Fault, Node, Op, Place, Schema, Tree, diff};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A manager's session, of whatever protocol. Zero is the front itself.
pub type SessionId = u32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Datastore {
    Running,
    Candidate,
    Startup,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    Netconf,
    Gnmi,
    /// The front itself.
    Local,
}

impl Protocol {
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Netconf => "netconf",
            Protocol::Gnmi => "gnmi",
            Protocol::Local => "local",
        }
    }
}

/// Who commits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    pub user: String,
    pub protocol: Protocol,
    pub session: SessionId,
}

impl Author {
    pub fn front() -> Author {
        Author { user: "front".to_owned(), protocol: Protocol::Local, session: 0 }
    }
}

/// Why there is a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The first one, or the one that a start began with.
    Start,
    Commit,
    /// A confirmed commit was confirmed.
    Confirmed,
    RolledBack {
        to: u64,
    },
    /// A confirmed commit's time ran out, or who might have confirmed it has gone.
    Expired {
        to: u64,
    },
    Cancelled {
        to: u64,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Start => f.write_str("start"),
            Cause::Commit => f.write_str("commit"),
            Cause::Confirmed => f.write_str("confirmed"),
            Cause::RolledBack { to } => write!(f, "rolled back to {to}"),
            Cause::Expired { to } => write!(f, "not confirmed, back to {to}"),
            Cause::Cancelled { to } => write!(f, "cancelled, back to {to}"),
        }
    }
}

/// One state that was in force, and how it came to be.
#[derive(Debug, Clone)]
pub struct Version {
    pub number: u64,
    /// Unix time in milliseconds.
    pub committed_at_ms: u64,
    pub author: Author,
    pub cause: Cause,
    pub tree: Tree,
    /// From the version before.
    pub changes: Vec<Change>,
}

/// One change within an edit.
#[derive(Debug, Clone)]
pub struct Edit {
    pub op: Op,
    pub place: Place,
    pub value: Option<Node>,
}

/// What becomes of the edits before one that fails. A failed edit of running changes nothing in any case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ErrorOption {
    Stop,
    Continue,
    #[default]
    Rollback,
}

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

/// A commit on its way. It holds its place in the order until it is finished or abandoned.
#[derive(Debug, Clone)]
pub struct CommitPlan {
    pub version: Arc<Version>,
    /// What waits to be confirmed once it is in force.
    pub pending: Option<PendingConfirmation>,
    /// Whose candidate it takes up.
    candidate_of: Option<SessionId>,
}

/// A startup datastore on its way.
#[derive(Debug, Clone)]
pub struct StartupPlan {
    pub tree: Option<Tree>,
}

/// Why something is not done. Nothing has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    UnknownSession,
    TooManySessions,
    /// A lock of this session's stands against it.
    Locked(SessionId),
    NotLocked,
    /// The candidate holds changes that are not committed.
    Modified,
    /// A confirmed commit of this session's, or of an id, waits.
    Pending(SessionId),
    NothingPending,
    /// More follow-ups to a confirmed commit than there is history.
    TooManyFollowUps,
    Stale {
        expected: u64,
        running: u64,
    },
    /// Both sides changed these.
    Conflict(Vec<String>),
    /// Another commit is on its way.
    Busy,
    Faults(Vec<Fault>),
    NoVersion(u64),
    NoStartup,
    /// A part declined, or the log failed.
    Failed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::UnknownSession => f.write_str("there is no such session"),
            StoreError::TooManySessions => f.write_str("there are as many sessions as there may be"),
            StoreError::Locked(by) => write!(f, "locked by session {by}"),
            StoreError::NotLocked => f.write_str("the session holds no such lock"),
            StoreError::Modified => f.write_str("the candidate holds changes that are not committed"),
            StoreError::Pending(by) => write!(f, "a confirmed commit of session {by} waits to be confirmed"),
            StoreError::NothingPending => f.write_str("no such commit waits to be confirmed"),
            StoreError::TooManyFollowUps => f.write_str("confirm or cancel first: no more may follow"),
            StoreError::Stale { expected: seen, running: now } => {
                write!(f, "version {now} is in force, not {seen}")
            }
            StoreError::Conflict(places) => write!(f, "changed meanwhile: {}", places.join(", ")),
            StoreError::Busy => f.write_str("another commit is on its way"),
            StoreError::Faults(faults) => {
                let all: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
                f.write_str(&all.join("; "))
            }
            StoreError::NoVersion(number) => write!(f, "there is no version {number} to go back to"),
            StoreError::NoStartup => f.write_str("there is no startup datastore"),
            StoreError::Failed(why) => f.write_str(why),
        }
    }
}

impl From<Fault> for StoreError {
    fn from(fault: Fault) -> Self {
        StoreError::Faults(vec![fault])
    }
}

/// What the store may hold.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Versions that can be gone back to, beside the one in force.
    pub history: usize,
    pub sessions: usize,
}

#[derive(Debug, Clone)]
struct Candidate {
    base: Arc<Version>,
    tree: Tree,
}

#[derive(Debug, Clone)]
pub struct Session {
    pub user: String,
    pub protocol: Protocol,
    /// It edits a candidate of its own.
    pub private: bool,
    candidate: Option<Candidate>,
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

    fn candidate(&self, session: SessionId) -> Option<&Candidate> {
        match self.sessions.get(&session) {
            Some(held) if held.private => held.candidate.as_ref(),
            _ => self.shared_candidate.as_ref(),
        }
    }

    fn candidate_mut(&mut self, session: SessionId) -> &mut Option<Candidate> {
        match self.sessions.get_mut(&session) {
            Some(held) if held.private => &mut held.candidate,
            _ => &mut self.shared_candidate,
        }
    }

    // Sessions and locks.

    pub fn open_session(&mut self, user: &str, protocol: Protocol) -> Result<SessionId, StoreError> {
        if self.sessions.len() >= self.bounds.sessions {
            return Err(StoreError::TooManySessions);
        }
        let id = self.next_session;
        self.next_session = self.next_session.checked_add(1).ok_or(StoreError::TooManySessions)?;
        let session = Session { user: user.to_owned(), protocol, private: false, candidate: None };
        self.sessions.insert(id, session);
        Ok(id)
    }

    /// The session edits a candidate of its own from now on.
    pub fn use_private_candidate(&mut self, session: SessionId) -> Result<(), StoreError> {
        let held = self.sessions.get_mut(&session).ok_or(StoreError::UnknownSession)?;
        held.private = true;
        Ok(())
    }

    /// A session has ended, however it did: its locks go, and with the lock of the candidate what was changed
    /// there; what it alone could have confirmed falls due.
    pub fn close_session(&mut self, session: SessionId) {
        self.sessions.remove(&session);
        if self.locks.get(&Datastore::Candidate) == Some(&session) {
            self.shared_candidate = None;
        }
        self.locks.retain(|_, holder| *holder != session);
        if let Some(pending) = &mut self.pending
            && pending.session == session
            && pending.persist.is_none()
        {
            pending.orphaned = true;
        }
    }

    pub fn lock(&mut self, session: SessionId, datastore: Datastore) -> Result<(), StoreError> {
        self.author_of(session)?;
        if let Some(holder) = self.locks.get(&datastore) {
            return Err(StoreError::Locked(*holder));
        }
        match (datastore, &self.pending) {
            (Datastore::Candidate, _) if self.shared_candidate.is_some() => return Err(StoreError::Modified),
            (Datastore::Running, Some(pending)) if pending.session != session => {
                return Err(StoreError::Pending(pending.session));
            }
            _ => {}
        }
        self.locks.insert(datastore, session);
        Ok(())
    }

    pub fn unlock(&mut self, session: SessionId, datastore: Datastore) -> Result<(), StoreError> {
        match self.locks.get(&datastore) {
            Some(holder) if *holder == session => {
                self.locks.remove(&datastore);
                if datastore == Datastore::Candidate {
                    self.shared_candidate = None;
                }
                Ok(())
            }
            Some(holder) => Err(StoreError::Locked(*holder)),
            None => Err(StoreError::NotLocked),
        }
    }

    fn author_of(&self, session: SessionId) -> Result<Author, StoreError> {
        let held = self.sessions.get(&session).ok_or(StoreError::UnknownSession)?;
        Ok(Author { user: held.user.clone(), protocol: held.protocol, session })
    }

    fn check_lock(&self, session: SessionId, datastore: Datastore) -> Result<(), StoreError> {
        match self.locks.get(&datastore) {
            Some(holder) if *holder != session => Err(StoreError::Locked(*holder)),
            _ => Ok(()),
        }
    }

    // Edits.

    /// Edits the session's candidate.
    pub fn edit_candidate(
        &mut self,
        session: SessionId,
        edits: &[Edit],
        on_error: ErrorOption,
    ) -> Result<(), StoreError> {
        self.author_of(session)?;
        let private = self.sessions.get(&session).is_some_and(|held| held.private);
        if !private {
            self.check_lock(session, Datastore::Candidate)?;
        }
        let running = self.running().clone();
        let schema = self.schema.clone();
        let slot = self.candidate_mut(session);
        let held = slot.clone();
        let mut candidate = held.unwrap_or_else(|| Candidate { tree: running.tree.clone(), base: running });
        let faults = apply(&schema, &mut candidate.tree, edits, on_error);
        if faults.is_empty() || on_error != ErrorOption::Rollback {
            *slot = Some(candidate).filter(|candidate| candidate.tree != candidate.base.tree);
        }
        if faults.is_empty() { Ok(()) } else { Err(StoreError::Faults(faults)) }
    }

    /// Puts a whole tree in the session's candidate.
    pub fn replace_candidate(&mut self, session: SessionId, tree: Tree) -> Result<(), StoreError> {
        let value = Node::Container(tree.fields().clone());
        let edit = Edit { op: Op::Replace, place: Place::new(), value: Some(value) };
        self.edit_candidate(session, &[edit], ErrorOption::Rollback)
    }

    pub fn discard_candidate(&mut self, session: SessionId) -> Result<(), StoreError> {
        self.author_of(session)?;
        if !self.sessions.get(&session).is_some_and(|held| held.private) {
            self.check_lock(session, Datastore::Candidate)?;
        }
        *self.candidate_mut(session) = None;
        Ok(())
    }

    pub fn validate(&self, tree: &Tree) -> Result<(), StoreError> {
        self.schema.validate(tree).map_err(StoreError::Faults)
    }

    // Commits.

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

    /// What may be gone back to must stay in the history.
    fn check_follow_up_room(&self) -> Result<(), StoreError> {
        let first = self.pending.as_ref().map(|pending| pending.revert.number);
        let full = self.history.len() > self.bounds.history;
        if full && first.is_some_and(|first| first <= self.history[0].number) {
            return Err(StoreError::TooManyFollowUps);
        }
        Ok(())
    }

    fn reserve(
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

    fn trim(&mut self) {
        while self.history.len() > self.bounds.history + 1 {
            let kept = self.pending.as_ref().map(|pending| pending.revert.number);
            if kept.is_some_and(|kept| kept <= self.history[0].number) {
                return; // One that may be gone back to stays, and `plan` lets no more follow.
            }
            self.history.pop_front();
        }
    }

    // The startup datastore.

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

fn recaused(mut plan: CommitPlan, cause: Cause) -> CommitPlan {
    Arc::make_mut(&mut plan.version).cause = cause;
    plan
}

fn apply(schema: &Schema, tree: &mut Tree, edits: &[Edit], on_error: ErrorOption) -> Vec<Fault> {
    let before = tree.clone();
    let mut faults = Vec::new();
    for edit in edits {
        if let Err(fault) = tree.apply(schema, edit.op, &edit.place, edit.value.as_ref()) {
            faults.push(fault);
            match on_error {
                ErrorOption::Continue => {}
                ErrorOption::Stop => return faults,
                ErrorOption::Rollback => {
                    *tree = before;
                    return faults;
                }
            }
        }
    }
    faults
}
