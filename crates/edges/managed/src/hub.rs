//! Where all doors meet: the store, its log, and the parts. One commit is on its way at a time, whatever door it
//! came by, and goes on to its end when whoever asked for it has gone.

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

/// A part that says nothing for so long is taken as lost.
const PART_TIMEOUT: Duration = Duration::from_secs(5);
/// Notices that a door may be behind before it loses some.
const MAX_QUEUED_NOTIFICATIONS: usize = 4096;

/// What subscribers to notifications hear of.
#[derive(Debug, Clone)]
pub enum ManagementEvent {
    Committed(Arc<Version>),
    Engine(EngineNotification),
}

struct Core {
    store: Store,
    disk: Option<Disk>,
    /// Updates that each session's subscriptions have lost.
    lost_updates: BTreeMap<SessionId, u64>,
}

pub struct Hub {
    schema: Arc<Schema>,
    names: Names,
    front: String,
    core: Mutex<Core>,
    commit_lock: tokio::sync::Mutex<()>,
    parts: Vec<Arc<dyn Part>>,
    requests: Sender<ManagementCall>,
    started_at: Instant,
    freshness: Duration,
    latest_snapshot: tokio::sync::Mutex<Option<(Instant, Arc<Snapshot>)>>,
    events: broadcast::Sender<ManagementEvent>,
    timeout_changed: Notify,
}

impl Hub {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        schema: Arc<Schema>,
        names: Names,
        front: String,
        store: Store,
        disk: Option<Disk>,
        parts: Vec<Arc<dyn Part>>,
        requests: Sender<ManagementCall>,
        freshness: Duration,
    ) -> Arc<Hub> {
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
            latest_snapshot: tokio::sync::Mutex::new(None),
            events: broadcast::Sender::new(MAX_QUEUED_NOTIFICATIONS),
            timeout_changed: Notify::new(),
        })
    }

    pub fn schema(&self) -> &Arc<Schema> {
        &self.schema
    }

    pub fn front(&self) -> &str {
        &self.front
    }

    /// Since the hub's start; the store's spans count from there.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn subscribe(&self) -> broadcast::Receiver<ManagementEvent> {
        self.events.subscribe()
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at or changes what no commit is needed for.
    pub fn with_store<T>(&self, act: impl FnOnce(&mut Store) -> T) -> T {
        act(&mut self.core().store)
    }

    /// A session has ended; what it alone could have confirmed falls due.
    pub fn close_session(&self, session: SessionId) {
        let mut core = self.core();
        core.store.close_session(session);
        core.lost_updates.remove(&session);
        drop(core);
        self.timeout_changed.notify_one();
    }

    pub fn record_lost_updates(&self, session: SessionId, updates: u64) {
        *self.core().lost_updates.entry(session).or_default() = updates;
    }

    /// Plans something and carries it out. The future may be dropped: what is planned goes on to its end.
    pub async fn commit(
        self: &Arc<Self>,
        plan: impl FnOnce(&mut Store, Duration, u64) -> Result<Option<CommitPlan>, StoreError> + Send + 'static,
    ) -> Result<Option<Arc<Version>>, StoreError> {
        let hub = self.clone();
        let carried = tokio::spawn(async move {
            let _lane = hub.commit_lock.lock().await;
            let now = hub.now();
            let planned = plan(&mut hub.core().store, now, unix_ms())?;
            match planned {
                Some(plan) => hub.execute(plan).await.map(Some),
                None => Ok(None),
            }
        });
        carried
            .await
            .unwrap_or_else(|_| Err(StoreError::Failed("the commit came to an end too early".into())))
    }

    /// Takes a plan through all parts and the log.
    async fn execute(self: &Arc<Self>, plan: CommitPlan) -> Result<Arc<Version>, StoreError> {
        let version = plan.version.clone();
        let (mut round, asks) = TwoPhaseCommit::start(self.parts.iter().map(|part| part.name()).collect());
        let mut asks = VecDeque::from(asks);
        let mut outcome = Err("it came to no end".to_owned());
        while let Some(ask) = asks.pop_front() {
            let told = match ask {
                CommitAction::Prepare(part) => {
                    Some(match self.call_part(part, |part| part.prepare(version.clone())).await {
                        Some(Ok(())) => CommitEvent::Prepared(part),
                        Some(Err(why)) => CommitEvent::Declined { part, reason: why },
                        None => CommitEvent::Lost(part),
                    })
                }
                CommitAction::Log => Some(match self.log(&plan) {
                    Ok(()) => CommitEvent::Logged,
                    Err(error) => CommitEvent::NotLogged(error.to_string()),
                }),
                CommitAction::Activate(part) => {
                    Some(match self.call_part(part, |part| part.activate(version.number)).await {
                        Some(Ok(())) => CommitEvent::Activated(part),
                        _ => CommitEvent::Lost(part),
                    })
                }
                CommitAction::Discard(part) => {
                    self.call_part(part, |part| part.discard(version.number)).await;
                    None
                }
                CommitAction::Done(lost) => {
                    for part in lost {
                        let part = self.parts[part].name();
                        tracing::error!(commit = version.number, part, "a part did not say that it switched");
                    }
                    outcome = Ok(());
                    None
                }
                CommitAction::Failed(why) => {
                    outcome = Err(why.to_string());
                    None
                }
            };
            asks.extend(told.map(|told| round.handle_event(told)).unwrap_or_default());
        }
        let mut core = self.core();
        match outcome {
            Ok(()) => {
                core.store.finish_commit(plan);
                shorten(&mut core);
            }
            Err(why) => {
                core.store.abandon_commit(&plan);
                tracing::warn!(commit = version.number, "commit failed: {why}");
                return Err(StoreError::Failed(why));
            }
        }
        drop(core);
        tracing::info!(
            commit = version.number,
            session = version.author.session,
            user = version.author.user,
            protocol = version.author.protocol.name(),
            changes = version.changes.len(),
            "{}",
            version.cause
        );
        let _ = self.events.send(ManagementEvent::Committed(version.clone()));
        self.timeout_changed.notify_one();
        Ok(version)
    }

    /// What a part says; none if it panicked or took too long.
    async fn call_part(
        &self,
        part: usize,
        ask: impl FnOnce(&dyn Part) -> crate::PartFuture,
    ) -> Option<Result<(), String>> {
        let part = self.parts[part].clone();
        let asked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| ask(&*part))).ok()?;
        let task = tokio::spawn(asked);
        match tokio::time::timeout(PART_TIMEOUT, task).await {
            Ok(Ok(said)) => Some(said),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    fn log(&self, plan: &CommitPlan) -> std::io::Result<()> {
        let mut core = self.core();
        let record = core.disk.is_some().then(|| Record::commit(&self.schema, plan));
        match (&mut core.disk, record) {
            (Some(disk), Some(record)) => disk.append(&record),
            _ => Ok(()),
        }
    }

    /// Keeps or drops the startup datastore.
    pub async fn copy_to_startup(
        &self,
        session: SessionId,
        from: Option<Datastore>,
    ) -> Result<(), StoreError> {
        let _lane = self.commit_lock.lock().await;
        let mut core = self.core();
        let plan = core.store.plan_startup(session, from)?;
        let record = Record::startup(&self.schema, plan.tree.as_ref());
        if let Some(disk) = &mut core.disk {
            disk.append(&record).map_err(|error| StoreError::Failed(error.to_string()))?;
        }
        core.store.finish_startup(plan);
        Ok(())
    }

    /// Takes back what nobody confirmed in time, for as long as the front runs.
    pub async fn revert_expired_commits(self: Arc<Self>) {
        loop {
            let due = self.core().store.next_timeout();
            let wait = due.map(|due| due.saturating_sub(self.now()));
            match wait {
                Some(Duration::ZERO) => {
                    let taken = self.commit(|store, now, at| Ok(store.poll_timeout(now, at))).await;
                    if taken.is_err() {
                        tokio::time::sleep(Duration::from_millis(200)).await;
                    }
                }
                Some(wait) => {
                    let _ = tokio::time::timeout(wait, self.timeout_changed.notified()).await;
                }
                None => self.timeout_changed.notified().await,
            }
        }
    }

    /// Passes the owner's notices on.
    pub async fn forward_notifications(
        self: Arc<Self>,
        notices: async_channel::Receiver<EngineNotification>,
    ) {
        while let Ok(noticed) = notices.recv().await {
            tracing::debug!(engine = format!("{:08x}", noticed.engine), "engine changed");
            let _ = self.events.send(ManagementEvent::Engine(noticed));
        }
    }

    /// The front as it stood a short while ago at most.
    async fn snapshot(&self) -> Option<Arc<Snapshot>> {
        let mut latest = self.latest_snapshot.lock().await;
        if let Some((at, snapshot)) = &*latest
            && at.elapsed() < self.freshness
        {
            return Some(snapshot.clone());
        }
        let (reply, answer) = async_channel::bounded(1);
        self.requests.send(ManagementCall::Read { reply }).await.ok()?;
        let snapshot = tokio::time::timeout(PART_TIMEOUT, answer.recv()).await.ok()?.ok()?;
        let snapshot = Arc::new(snapshot);
        *latest = Some((Instant::now(), snapshot.clone()));
        Some(snapshot)
    }

    /// What is in force and the state beside it.
    pub async fn view(&self, config: bool, needs: StateSelection) -> Tree {
        let snapshot = if needs.snapshot { self.snapshot().await } else { None };
        let core = self.core();
        let sources = Sources {
            schema: &self.schema,
            names: &self.names,
            front: &self.front,
            store: &core.store,
            lost: &core.lost_updates,
            snapshot: snapshot.as_deref(),
            up: self.now(),
            now: self.now(),
        };
        view(&sources, config, needs)
    }

    /// The version in force, and whether it was gone back to.
    pub fn is_rollback(version: &Version) -> Option<u64> {
        match version.cause {
            Cause::RolledBack { to } | Cause::Expired { to } | Cause::Cancelled { to } => Some(to),
            _ => None,
        }
    }
}

fn shorten(core: &mut Core) {
    let Some(disk) = core.disk.as_mut().filter(|disk| disk.needs_compaction()) else { return };
    if let Err(error) = disk.compact(&core.store) {
        tracing::warn!("the log could not be made shorter: {error}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
