//! The state that the NETCONF and gNMI servers share: the store, its log, and the parts of the front. Commits of
//! both protocols are serialized. A commit that was started runs to completion, even if its caller is cancelled.

use crate::disk::Disk;
use crate::parts::Part;
use crate::state::{Sources, StateSelection, view};
use async_channel::Sender;
use lemonusher_desired_state::Names;
use lemonusher_model::{Schema, Tree};
use lemonusher_routing::{EngineNotification, ManagementCall, Snapshot};
use lemonusher_store::{
    Cause, CommitAction, CommitEvent, CommitPlan, Datastore, Record, SessionId, Store, StoreError,
    TwoPhaseCommit, Version,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, broadcast};

/// Timeout for a reply of a part or of the request router; a part that exceeds it counts as lost.
const PART_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a failed revert is retried.
const REVERT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of events that are queued for a subscriber; a slower one misses the oldest events.
const MAX_QUEUED_NOTIFICATIONS: usize = 4096;

/// An event that is broadcast to subscribers.
#[derive(Debug, Clone)]
pub enum ManagementEvent {
    /// A version was committed and is now the running configuration.
    Committed(Arc<Version>),
    /// An engine's state in the endpoint list, its administrative state or its blocked request classes changed.
    Engine(EngineNotification),
}

/// The state that [`Hub`]'s mutex protects.
struct Core {
    store: Store,
    /// None if the store is kept in memory only.
    disk: Option<Disk>,
    /// The number of updates that each session's subscriptions have lost.
    lost_updates: BTreeMap<SessionId, u64>,
}

/// The arguments of [`Hub::new`].
pub(crate) struct HubSetup {
    pub schema: Arc<Schema>,
    pub names: Names,
    pub front: String,
    pub store: Store,
    pub disk: Option<Disk>,
    pub parts: Vec<Arc<dyn Part>>,
    /// Calls to the request router.
    pub requests: Sender<ManagementCall>,
    /// Maximum age of the cached router snapshot that management clients read.
    pub freshness: Duration,
}

/// The store, its log and the parts of the front that a commit involves, shared by all sessions.
pub struct Hub {
    schema: Arc<Schema>,
    names: Names,
    front: String,
    core: Mutex<Core>,
    /// Held during a commit or a write to the startup datastore.
    commit_lock: tokio::sync::Mutex<()>,
    parts: Vec<Arc<dyn Part>>,
    requests: Sender<ManagementCall>,
    started_at: Instant,
    freshness: Duration,
    cached_snapshot: tokio::sync::Mutex<Option<CachedSnapshot>>,
    events: broadcast::Sender<ManagementEvent>,
    /// Notified when the deadline of a confirmed commit may have changed.
    timeout_changed: Notify,
}

/// A snapshot of the request router's state, and when it was taken.
struct CachedSnapshot {
    taken_at: Instant,
    snapshot: Arc<Snapshot>,
}

impl Hub {
    pub(crate) fn new(setup: HubSetup) -> Arc<Hub> {
        let HubSetup { schema, names, front, store, disk, parts, requests, freshness } = setup;
        Arc::new(Hub {
            schema,
            names,
            front,
            core: Mutex::new(Core { store, disk, lost_updates: BTreeMap::new() }),
            commit_lock: tokio::sync::Mutex::new(()),
            parts,
            requests,
            started_at: Instant::now(),
            freshness,
            cached_snapshot: tokio::sync::Mutex::new(None),
            events: broadcast::Sender::new(MAX_QUEUED_NOTIFICATIONS),
            timeout_changed: Notify::new(),
        })
    }

    /// The schema of all trees: configuration, state and notifications.
    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    /// The front's name.
    pub fn front(&self) -> &str {
        &self.front
    }

    /// The time since the hub was created. The store's deadlines are on this clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Subscribes to all events that are sent from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<ManagementEvent> {
        self.events.subscribe()
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a function on the locked store: a read, or a change that needs no commit.
    pub fn with_store<T>(&self, act: impl FnOnce(&mut Store) -> T) -> T {
        act(&mut self.core().store)
    }

    /// Removes a closed session. A pending confirmed commit that only this session could confirm is then reverted.
    pub fn close_session(&self, session: SessionId) {
        let mut core = self.core();
        core.store.close_session(session);
        core.lost_updates.remove(&session);
        drop(core);
        self.timeout_changed.notify_one();
    }

    /// Sets the number of updates that a session's subscriptions have lost.
    pub fn record_lost_updates(&self, session: SessionId, updates: u64) {
        *self.core().lost_updates.entry(session).or_default() = updates;
    }

    /// Plans a commit and executes it on a task of its own: dropping the future doesn't cancel the commit.
    pub async fn commit(
        self: &Arc<Self>,
        plan: impl FnOnce(&mut Store, Duration, u64) -> Result<Option<CommitPlan>, StoreError> + Send + 'static,
    ) -> Result<Option<Arc<Version>>, StoreError> {
        let hub = self.clone();
        let committing = tokio::spawn(async move {
            let _in_progress = hub.commit_lock.lock().await;
            let now = hub.now();
            let planned = plan(&mut hub.core().store, now, unix_ms())?;
            match planned {
                Some(plan) => hub.execute(plan).await.map(Some),
                None => Ok(None),
            }
        });
        let failed = || StoreError::Failed("the commit came to an end too early".into());
        committing.await.unwrap_or_else(|_| Err(failed()))
    }

    /// Runs the two-phase commit for a plan, then applies the plan to the store or abandons it.
    async fn execute(self: &Arc<Self>, plan: CommitPlan) -> Result<Arc<Version>, StoreError> {
        let version = plan.version.clone();
        let outcome = self.run_parts(&plan).await;
        let mut core = self.core();
        if let Err(why) = outcome {
            core.store.abandon_commit(&plan);
            tracing::warn!(commit = version.number, "commit failed: {why}");
            return Err(StoreError::Failed(why));
        }
        core.store.finish_commit(plan);
        compact_if_needed(&mut core);
        drop(core);
        tracing::info!(
            commit = version.number,
            session = version.author.session,
            user = version.author.user,
            protocol = version.author.protocol.name(),
            changes = version.changes.len(),
            "committed, cause: {}",
            version.cause
        );
        let _ = self.events.send(ManagementEvent::Committed(version.clone()));
        self.timeout_changed.notify_one();
        Ok(version)
    }

    /// Performs the actions of the two-phase commit until it has succeeded or failed.
    async fn run_parts(&self, plan: &CommitPlan) -> Result<(), String> {
        let (mut commit, actions) =
            TwoPhaseCommit::start(self.parts.iter().map(|part| part.name()).collect());
        let mut actions = VecDeque::from(actions);
        // The text stays because clients receive it: the commit ended without a result.
        let mut outcome = Err("it came to no end".to_owned());
        while let Some(action) = actions.pop_front() {
            match action {
                CommitAction::Done(lost) => {
                    self.log_lost_parts(&plan.version, lost);
                    outcome = Ok(());
                }
                CommitAction::Failed(failure) => outcome = Err(failure.to_string()),
                action => {
                    if let Some(event) = self.perform_action(action, plan).await {
                        actions.extend(commit.handle_event(event));
                    }
                }
            }
        }
        outcome
    }

    /// Performs one action of a commit and returns the event that results, if any.
    async fn perform_action(&self, action: CommitAction, plan: &CommitPlan) -> Option<CommitEvent> {
        let version = &plan.version;
        match action {
            CommitAction::Prepare(part) => {
                let prepared = self.call_part(part, |part| part.prepare(version.clone())).await;
                Some(match prepared {
                    Some(Ok(())) => CommitEvent::Prepared(part),
                    Some(Err(reason)) => CommitEvent::Declined { part, reason },
                    None => CommitEvent::Lost(part),
                })
            }
            CommitAction::Log => Some(match self.log(plan) {
                Ok(()) => CommitEvent::Logged,
                Err(error) => CommitEvent::NotLogged(error.to_string()),
            }),
            CommitAction::Activate(part) => {
                let activated = self.call_part(part, |part| part.activate(version.number)).await;
                Some(match activated {
                    Some(Ok(())) => CommitEvent::Activated(part),
                    Some(Err(_)) | None => CommitEvent::Lost(part),
                })
            }
            CommitAction::Discard(part) => {
                self.call_part(part, |part| part.discard(version.number)).await;
                None
            }
            CommitAction::Done(_) | CommitAction::Failed(_) => None,
        }
    }

    fn log_lost_parts(&self, version: &Version, lost: Vec<usize>) {
        for part in lost {
            let part = self.parts[part].name();
            tracing::error!(commit = version.number, part, "a part did not confirm activation");
        }
    }

    /// Calls a part and returns its reply; None if it panicked or exceeded [`PART_TIMEOUT`].
    async fn call_part(
        &self,
        part: usize,
        call: impl FnOnce(&dyn Part) -> crate::PartFuture,
    ) -> Option<Result<(), String>> {
        let part = self.parts[part].clone();
        let future = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| call(&*part))).ok()?;
        let task = tokio::spawn(future);
        match tokio::time::timeout(PART_TIMEOUT, task).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    fn log(&self, plan: &CommitPlan) -> std::io::Result<()> {
        let mut core = self.core();
        let Core { store, disk, .. } = &mut *core;
        match disk {
            Some(disk) => disk.append(store, &Record::commit(&self.schema, plan)),
            None => Ok(()),
        }
    }

    /// Copies a datastore to the startup datastore, or deletes startup if `from` is None.
    pub async fn copy_to_startup(
        &self,
        session: SessionId,
        from: Option<Datastore>,
    ) -> Result<(), StoreError> {
        let _in_progress = self.commit_lock.lock().await;
        let mut core = self.core();
        let plan = core.store.plan_startup(session, from)?;
        let record = Record::startup(&self.schema, plan.tree.as_ref());
        let Core { store, disk, .. } = &mut *core;
        if let Some(disk) = disk {
            disk.append(store, &record).map_err(|error| StoreError::Failed(error.to_string()))?;
        }
        store.finish_startup(plan);
        Ok(())
    }

    /// Reverts pending confirmed commits whose timeout has expired or that nobody can confirm any more; never returns.
    pub async fn revert_expired_commits(self: Arc<Self>) {
        loop {
            let due = self.core().store.next_timeout();
            let wait = due.map(|due| due.saturating_sub(self.now()));
            match wait {
                Some(Duration::ZERO) => {
                    let reverted =
                        self.commit(|store, now, unix_ms| Ok(store.poll_timeout(now, unix_ms))).await;
                    if reverted.is_err() {
                        tokio::time::sleep(REVERT_RETRY_INTERVAL).await;
                    }
                }
                Some(wait) => {
                    let _ = tokio::time::timeout(wait, self.timeout_changed.notified()).await;
                }
                None => self.timeout_changed.notified().await,
            }
        }
    }

    /// Forwards the router's notifications to all subscribers.
    pub async fn forward_notifications(
        self: Arc<Self>,
        notifications: async_channel::Receiver<EngineNotification>,
    ) {
        while let Ok(notification) = notifications.recv().await {
            tracing::debug!(
                engine = format!("{:08x}", notification.engine),
                "state, administrative state or blocked request classes of an engine changed"
            );
            let _ = self.events.send(ManagementEvent::Engine(notification));
        }
    }

    /// The request router's state, no older than `freshness`. None if the router has ended, or if there is none within
    /// [`PART_TIMEOUT`], whether its queue is full, it doesn't reply, or an earlier reader still waits for it.
    async fn snapshot(&self) -> Option<Arc<Snapshot>> {
        tokio::time::timeout(PART_TIMEOUT, self.read_snapshot()).await.ok()?
    }

    async fn read_snapshot(&self) -> Option<Arc<Snapshot>> {
        let mut cached = self.cached_snapshot.lock().await;
        if let Some(CachedSnapshot { taken_at, snapshot }) = &*cached
            && taken_at.elapsed() < self.freshness
        {
            return Some(snapshot.clone());
        }
        let (reply, answer) = async_channel::bounded(1);
        self.requests.send(ManagementCall::Read { reply }).await.ok()?;
        let snapshot = Arc::new(answer.recv().await.ok()?);
        *cached = Some(CachedSnapshot { taken_at: Instant::now(), snapshot: snapshot.clone() });
        Some(snapshot)
    }

    /// A tree of the selected operational state and, if `config` is set, the running configuration.
    pub async fn view(&self, config: bool, selection: StateSelection) -> Tree {
        let snapshot = if selection.snapshot { self.snapshot().await } else { None };
        let core = self.core();
        let sources = Sources {
            schema: &self.schema,
            names: &self.names,
            front: &self.front,
            store: &core.store,
            lost_updates: &core.lost_updates,
            snapshot: snapshot.as_deref(),
            uptime: self.now(),
            now: self.now(),
        };
        view(&sources, config, selection)
    }

    /// The number of the earlier version that `version` restored. None if `version` was not committed by a rollback,
    /// or by the expiry or cancellation of a confirmed commit.
    pub fn rollback_target(version: &Version) -> Option<u64> {
        match version.cause {
            Cause::RolledBack { to } | Cause::Expired { to } | Cause::Cancelled { to } => Some(to),
            _ => None,
        }
    }
}

/// Compacts the log if it has grown enough. After an error the log says itself whether it may still be appended to.
fn compact_if_needed(core: &mut Core) {
    let Some(disk) = core.disk.as_mut().filter(|disk| disk.needs_compaction()) else { return };
    if let Err(error) = disk.compact(&core.store) {
        tracing::warn!("compaction of the log failed: {error}");
    }
}

/// The current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

#[cfg(test)]
#[path = "../tests/unit/hub.rs"]
mod tests;
