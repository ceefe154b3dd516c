//! The Subscribe call. The package `lemonusher-watch` decides which updates are due and counts the lost ones; this
//! module does the timing, encoding and sending. Each subscriber has its own queue, so one that doesn't read delays no
//! other.

use super::paths::{from_place, to_patterns};
use super::proto::gnmi::subscribe_request::Request as SubscribeCall;
use super::proto::gnmi::subscribe_response::Response as SubscribeReply;
use super::proto::gnmi::subscription_list::Mode as ListMode;
use super::proto::gnmi::*;
use super::status::store_status;
use super::values::{encoding, to_typed_value, unix_ns};
use crate::hub::{Hub, ManagementEvent};
use crate::state::StateSelection;
use crate::users::Grant;
use lemonusher_model::{Pattern, Schema, Tree};
use lemonusher_store::{Protocol, SessionId};
use lemonusher_watch::{self as watch, Watch};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Status, Streaming};

/// Maximum number of messages that are queued for a subscriber.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Queue slots that updates leave free for errors and the report of lost updates, unless the queue was empty.
const RESERVED_MESSAGES: usize = 4;
const MAX_SUBSCRIPTIONS_PER_CALL: usize = 64;
/// Maximum number of updates or deletes in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 1024;
/// The shortest sample or heartbeat interval.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// The sample interval of a subscription whose `sample_interval` is 0.
const DEFAULT_SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which ON_CHANGE subscriptions compare state that changes without an event. Also the longest wait of a
/// stream whose client has half-closed the call, which receives no events.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a subscriber is retried whose queue had no space for all updates or for the report of lost ones.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait of a stream that has no timeout pending.
const IDLE_INTERVAL: Duration = Duration::from_secs(3600);

/// The stream of responses to a Subscribe call.
pub(super) type ResponseStream = Pin<Box<dyn Stream<Item = Result<SubscribeResponse, Status>> + Send>>;

/// Counts the open subscriptions of all clients and limits their number.
pub(super) struct Subscriptions {
    hub: Arc<Hub>,
    max: usize,
    count: Arc<AtomicUsize>,
}

impl Subscriptions {
    pub(super) fn new(hub: Arc<Hub>, max: usize) -> Subscriptions {
        Subscriptions { hub, max, count: Arc::default() }
    }

    /// Reserves the subscriptions of one call and opens its session. Fails if that exceeds a limit.
    fn open(&self, grant: &Grant, count: usize) -> Result<SubscriptionGuard, Status> {
        if self.count.fetch_add(count, Ordering::SeqCst) + count > self.max {
            self.count.fetch_sub(count, Ordering::SeqCst);
            return Err(Status::resource_exhausted("there are as many subscriptions as there may be"));
        }
        let session = self.hub.with_store(|store| store.open_session(&grant.user, Protocol::Gnmi));
        let session = session.map_err(|error| {
            self.count.fetch_sub(count, Ordering::SeqCst);
            store_status(&error)
        })?;
        Ok(SubscriptionGuard { hub: self.hub.clone(), session, total_count: self.count.clone(), count })
    }
}

/// The subscriptions and the session of one call; dropping it releases both.
struct SubscriptionGuard {
    hub: Arc<Hub>,
    session: SessionId,
    total_count: Arc<AtomicUsize>,
    count: usize,
}

impl Drop for SubscriptionGuard {
    fn drop(&mut self) {
        self.total_count.fetch_sub(self.count, Ordering::SeqCst);
        self.hub.close_session(self.session);
    }
}

/// One Subscribe call.
struct Subscriber {
    hub: Arc<Hub>,
    schema: Arc<Schema>,
    watch: Watch,
    /// The parts of the state that the subscriptions can select.
    selection: StateSelection,
    /// Whether any subscription can select config.
    config: bool,
    encoding: Encoding,
    queue: mpsc::Sender<Result<SubscribeResponse, Status>>,
    guard: SubscriptionGuard,
    /// The number of lost updates that the subscriber has been notified of.
    reported_lost: u64,
}

pub(super) async fn subscribe(
    subscriptions: &Subscriptions,
    grant: Grant,
    mut requests: Streaming<SubscribeRequest>,
) -> Result<ResponseStream, Status> {
    let first = requests.message().await?.and_then(|request| request.request);
    let Some(SubscribeCall::Subscribe(list)) = first else {
        return Err(Status::invalid_argument("the first message is a subscription list"));
    };
    let hub = subscriptions.hub.clone();
    let schema = hub.schema().clone();
    let encoding = encoding(list.encoding)?;
    let mode =
        ListMode::try_from(list.mode).map_err(|_| Status::invalid_argument("the mode is not known"))?;
    let watched = watch_subscriptions(&schema, &list)?;
    let patterns: Vec<Pattern> = watched.iter().flat_map(|one| one.patterns.iter().cloned()).collect();
    let count = watched.len();
    let guard = subscriptions.open(&grant, count)?;
    tracing::info!(session = guard.session, user = grant.user, subscriptions = count, "opened subscriptions");
    let (queue, responses) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let is_config = |pattern: &Pattern| pattern.get(1).is_none_or(|step| schema.node(step.node).config);
    let subscriber = Subscriber {
        watch: Watch::new(watched, hub.now()),
        selection: StateSelection::for_patterns(&schema, &patterns),
        config: patterns.iter().any(is_config),
        hub,
        schema,
        encoding,
        queue,
        guard,
        reported_lost: 0,
    };
    tokio::spawn(async move {
        match mode {
            ListMode::Once => subscriber.once().await,
            ListMode::Poll => subscriber.poll(requests, list.updates_only).await,
            ListMode::Stream => subscriber.stream(requests, list.updates_only).await,
        }
    });
    Ok(Box::pin(ReceiverStream::new(responses)))
}

/// Converts a subscription list to the subscriptions of a [`Watch`].
fn watch_subscriptions(schema: &Schema, list: &SubscriptionList) -> Result<Vec<watch::Subscription>, Status> {
    if list.subscription.is_empty() || list.subscription.len() > MAX_SUBSCRIPTIONS_PER_CALL {
        return Err(Status::invalid_argument(format!(
            "1 to {MAX_SUBSCRIPTIONS_PER_CALL} subscriptions are taken"
        )));
    }
    let mut watched = Vec::new();
    for subscription in &list.subscription {
        let patterns = to_patterns(schema, list.prefix.as_ref(), subscription.path.as_ref())?;
        watched.push(watch_subscription(schema, subscription, patterns)?);
    }
    Ok(watched)
}

fn watch_subscription(
    schema: &Schema,
    subscription: &Subscription,
    patterns: Vec<Pattern>,
) -> Result<watch::Subscription, Status> {
    let sample_interval = match Duration::from_nanos(subscription.sample_interval) {
        Duration::ZERO => DEFAULT_SAMPLE_INTERVAL,
        short if short < MIN_INTERVAL => {
            return Err(Status::invalid_argument(format!(
                "the shortest sample interval is {MIN_INTERVAL:?}"
            )));
        }
        interval => interval,
    };
    let suppress_redundant = subscription.suppress_redundant;
    let sample = watch::SubscriptionMode::Sample { sample_interval, suppress_redundant };
    let mode = match SubscriptionMode::try_from(subscription.mode) {
        Ok(SubscriptionMode::OnChange) => watch::SubscriptionMode::OnChange,
        Ok(SubscriptionMode::Sample) => sample,
        // State that changes only with events is sent on change; other state is sampled.
        Ok(SubscriptionMode::TargetDefined) => {
            match StateSelection::for_patterns(schema, &patterns).changes_without_event() {
                true => sample,
                false => watch::SubscriptionMode::OnChange,
            }
        }
        Err(_) => return Err(Status::invalid_argument("the subscription's mode is not known")),
    };
    let heartbeat_interval = match Duration::from_nanos(subscription.heartbeat_interval) {
        Duration::ZERO => None,
        short if short < MIN_INTERVAL => {
            return Err(Status::invalid_argument(format!("the shortest heartbeat is {MIN_INTERVAL:?}")));
        }
        interval => Some(interval),
    };
    Ok(watch::Subscription { patterns, mode, heartbeat_interval })
}

/// Whether a stream is still open.
enum StreamState {
    Open,
    Closed,
}

impl Subscriber {
    async fn tree(&self) -> Tree {
        self.hub.view(self.config, self.selection).await
    }

    /// Splits a notification into messages of at most [`MAX_UPDATES_PER_MESSAGE`] changes, deletes first.
    fn messages(&self, notification: watch::Notification) -> Vec<SubscribeResponse> {
        let timestamp = unix_ns();
        let update = |watch::Update { place, value }: &watch::Update| Update {
            val: place.last().map(|last| to_typed_value(&self.schema, last.node, value, self.encoding)),
            path: Some(from_place(&self.schema, place)),
            duplicates: 0,
        };
        let message = |update: Vec<Update>, delete: Vec<Path>| SubscribeResponse {
            response: Some(SubscribeReply::Update(Notification {
                timestamp,
                update,
                delete,
                ..Notification::default()
            })),
            extension: Vec::new(),
        };
        let deletes = notification.deletes.chunks(MAX_UPDATES_PER_MESSAGE).map(|part| {
            message(Vec::new(), part.iter().map(|place| from_place(&self.schema, place)).collect())
        });
        let updates = notification
            .updates
            .chunks(MAX_UPDATES_PER_MESSAGE)
            .map(|part| message(part.iter().map(update).collect(), Vec::new()));
        deletes.chain(updates).collect()
    }

    /// Sends a notification, waiting for space in the queue; this delays only the subscriber itself. False if the
    /// client has closed the call.
    async fn send(&self, notification: watch::Notification) -> bool {
        for message in self.messages(notification) {
            if self.queue.send(Ok(message)).await.is_err() {
                return false;
            }
        }
        true
    }

    async fn send_sync_response(&self) -> bool {
        let response = Some(SubscribeReply::SyncResponse(true));
        self.queue.send(Ok(SubscribeResponse { response, extension: Vec::new() })).await.is_ok()
    }

    async fn once(mut self) {
        let tree = self.tree().await;
        let notification = self.watch.initial(&tree, false);
        if self.send(notification).await {
            self.send_sync_response().await;
        }
    }

    async fn poll(mut self, mut requests: Streaming<SubscribeRequest>, updates_only: bool) {
        let mut updates_only = updates_only;
        loop {
            let tree = self.tree().await;
            let notification = self.watch.initial(&tree, updates_only);
            updates_only = false;
            if !self.send(notification).await || !self.send_sync_response().await {
                return;
            }
            match requests.message().await {
                Ok(Some(SubscribeRequest { request: Some(SubscribeCall::Poll(_)), .. })) => {}
                Ok(Some(_)) => {
                    let refused = Status::invalid_argument("only polls are taken now");
                    let _ = self.queue.send(Err(refused)).await;
                    return;
                }
                Ok(None) | Err(_) => return,
            }
        }
    }

    async fn stream(mut self, mut requests: Streaming<SubscribeRequest>, updates_only: bool) {
        let mut events = self.hub.subscribe();
        let tree = self.tree().await;
        let notification = self.watch.initial(&tree, updates_only);
        if !self.send(notification).await || !self.send_sync_response().await {
            return;
        }
        loop {
            if let StreamState::Closed = self.wait(&mut events, &mut requests).await {
                return;
            }
            let tree = self.tree().await;
            if !self.send_due(&tree).await {
                return;
            }
        }
    }

    /// The longest time that a stream waits for an event.
    fn wait_time(&self) -> Duration {
        let now = self.hub.now();
        let mut due = self.watch.next_timeout();
        if self.watch.has_on_change() && self.selection.changes_without_event() {
            due = Some(due.unwrap_or(Duration::MAX).min(now + COMPARE_INTERVAL));
        }
        if self.watch.has_backlog() || self.watch.lost_updates() > self.reported_lost {
            due = Some(due.unwrap_or(Duration::MAX).min(now + RETRY_INTERVAL));
        }
        due.map_or(IDLE_INTERVAL, |due| due.saturating_sub(now))
    }

    /// Waits for a timeout or an event, after which updates may be due, or for the end of the call.
    async fn wait(
        &self,
        events: &mut broadcast::Receiver<ManagementEvent>,
        requests: &mut Streaming<SubscribeRequest>,
    ) -> StreamState {
        let wait = self.wait_time();
        tokio::select! {
            () = tokio::time::sleep(wait) => StreamState::Open,
            event = events.recv(), if self.watch.has_on_change() => match event {
                Ok(_) | Err(RecvError::Lagged(_)) => StreamState::Open,
                Err(RecvError::Closed) => StreamState::Closed,
            },
            request = requests.next() => match request {
                Some(Ok(_)) => {
                    let refused = Status::invalid_argument("a stream takes no further message");
                    let _ = self.queue.try_send(Err(refused));
                    StreamState::Closed
                }
                Some(Err(_)) => StreamState::Closed,
                None => self.wait_half_closed(wait).await,
            },
            () = self.queue.closed() => StreamState::Closed,
        }
    }

    /// Waits after the client has half-closed the call: it sends nothing more but may continue to read.
    async fn wait_half_closed(&self, wait: Duration) -> StreamState {
        if self.queue.is_closed() {
            return StreamState::Closed;
        }
        tokio::select! {
            () = self.queue.closed() => StreamState::Closed,
            () = tokio::time::sleep(wait.min(COMPARE_INTERVAL)) => StreamState::Open,
        }
    }

    /// Sends the updates that are due, as far as the subscriber's queue has space; reports the lost ones. False if the
    /// client has closed the call.
    async fn send_due(&mut self, tree: &Tree) -> bool {
        // With an empty queue more than it holds may be sent: waiting for space delays this subscriber only.
        let free_updates = match self.queue.capacity() {
            MAX_QUEUED_MESSAGES => usize::MAX,
            free => free.saturating_sub(RESERVED_MESSAGES) * MAX_UPDATES_PER_MESSAGE,
        };
        for notification in self.watch.poll(self.hub.now(), tree, free_updates) {
            if !self.send(notification).await {
                return false;
            }
        }
        let lost = self.watch.lost_updates();
        if lost > self.reported_lost {
            self.hub.record_lost_updates(self.guard.session, lost);
            if free_updates > 0 && self.report_lost(lost) {
                tracing::warn!(
                    session = self.guard.session,
                    lost,
                    "subscriber reads too slowly; updates were lost"
                );
                self.reported_lost = lost;
            }
        }
        true
    }

    /// Notifies the subscriber of how many updates it has lost. False if its queue was full.
    fn report_lost(&self, lost: u64) -> bool {
        let path = format!("/front/state/session[id={}]/lost-updates", self.guard.session);
        let place = lemonusher_model::parse_path(&path).and_then(|steps| self.schema.place(&steps));
        let Ok(place) = place else { return true };
        let value = watch::Value::Leaf(lost.to_string().into());
        let updates = vec![watch::Update { place, value }];
        let notification = watch::Notification { updates, deletes: Vec::new() };
        self.messages(notification).into_iter().all(|message| self.queue.try_send(Ok(message)).is_ok())
    }
}
