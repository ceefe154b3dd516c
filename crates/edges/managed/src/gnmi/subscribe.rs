//! Subscriptions. What is due, and what is lost, the watch says; here it is timed, encoded and handed over. A
//! subscriber that does not read fills its own line and no other.

use super::paths::from_place;
use super::proto::gnmi::subscribe_request::Request as Asked;
use super::proto::gnmi::subscribe_response::Response as Said;
use super::proto::gnmi::subscription_list::Mode as ListMode;
use super::proto::gnmi::*;
use super::service::{Service, encoding, status, unix_ns};
use super::values::typed;
use crate::hub::Hub;
use crate::state::Needs;
use crate::users::Grant;
use lemonusher_model::{Pattern, Schema};
use lemonusher_store::{Protocol, SessionId};
use lemonusher_watch::{self as watch, Watch};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Status, Streaming};

/// Messages that a subscriber may be behind.
const LINE: usize = 64;
const MOST_SUBSCRIPTIONS: usize = 64;
/// Updates in one message.
const CHUNK: usize = 1024;
const SHORTEST: Duration = Duration::from_millis(20);
const USUAL: Duration = Duration::from_secs(1);
/// How often state that changes without notice is compared for those who want changes.
const COMPARE: Duration = Duration::from_millis(250);
/// How soon a subscriber that had no room is tried again.
const AGAIN: Duration = Duration::from_millis(50);

type Line = Pin<Box<dyn Stream<Item = Result<SubscribeResponse, Status>> + Send>>;

/// One of all the subscriptions that there may be, given back when it ends.
struct Seat {
    hub: Arc<Hub>,
    session: SessionId,
    all: Arc<AtomicUsize>,
    count: usize,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.all.fetch_sub(self.count, Ordering::SeqCst);
        self.hub.close(self.session);
    }
}

struct Subscriber {
    hub: Arc<Hub>,
    schema: Arc<Schema>,
    watch: Watch,
    needs: Needs,
    config: bool,
    encoding: Encoding,
    line: mpsc::Sender<Result<SubscribeResponse, Status>>,
    seat: Seat,
    told_lost: u64,
}

pub(super) async fn open(
    service: &Service,
    grant: Grant,
    mut requests: Streaming<SubscribeRequest>,
) -> Result<Line, Status> {
    let first = requests.message().await?.and_then(|request| request.request);
    let Some(Asked::Subscribe(list)) = first else {
        return Err(Status::invalid_argument("the first message is a subscription list"));
    };
    let hub = service.hub.clone();
    let schema = hub.schema().clone();
    let encoding = encoding(list.encoding)?;
    let mode =
        ListMode::try_from(list.mode).map_err(|_| Status::invalid_argument("the mode is not known"))?;
    if list.subscription.is_empty() || list.subscription.len() > MOST_SUBSCRIPTIONS {
        return Err(Status::invalid_argument(format!("1 to {MOST_SUBSCRIPTIONS} subscriptions are taken")));
    }
    let (mut terms, mut all) = (Vec::new(), Vec::new());
    for subscription in &list.subscription {
        let patterns = service.patterns(list.prefix.as_ref(), subscription.path.as_ref())?;
        all.extend(patterns.iter().cloned());
        terms.push(terms_of(&schema, subscription, patterns)?);
    }
    let count = terms.len();
    if service.subscribed.fetch_add(count, Ordering::SeqCst) + count > service.subscriptions {
        service.subscribed.fetch_sub(count, Ordering::SeqCst);
        return Err(Status::resource_exhausted("there are as many subscriptions as there may be"));
    }
    let session =
        hub.with_store(|store| store.open_session(&grant.user, Protocol::Gnmi)).map_err(|refused| {
            service.subscribed.fetch_sub(count, Ordering::SeqCst);
            status(&refused)
        })?;
    let seat = Seat { hub: hub.clone(), session, all: service.subscribed.clone(), count };
    tracing::info!(session, user = grant.user, subscriptions = count, "subscribed");
    let (line, answers) = mpsc::channel(LINE);
    let config = all.iter().any(|pattern| pattern.get(1).is_none_or(|step| schema.node(step.node).config));
    let subscriber = Subscriber {
        watch: Watch::new(terms, hub.now()),
        needs: Needs::of(&schema, &all),
        hub,
        schema,
        config,
        encoding,
        line,
        seat,
        told_lost: 0,
    };
    tokio::spawn(async move {
        match mode {
            ListMode::Once => subscriber.once().await,
            ListMode::Poll => subscriber.poll(requests, list.updates_only).await,
            ListMode::Stream => subscriber.stream(requests, list.updates_only).await,
        }
    });
    Ok(Box::pin(ReceiverStream::new(answers)))
}

fn terms_of(
    schema: &Schema,
    asked: &Subscription,
    patterns: Vec<Pattern>,
) -> Result<watch::Subscription, Status> {
    let span = |ns: u64| Duration::from_nanos(ns);
    let every = match span(asked.sample_interval) {
        Duration::ZERO => USUAL,
        short if short < SHORTEST => {
            return Err(Status::invalid_argument(format!("the shortest sample interval is {SHORTEST:?}")));
        }
        every => every,
    };
    let sample = watch::SubscriptionMode::Sample {
        sample_interval: every,
        suppress_redundant: asked.suppress_redundant,
    };
    let mode = match SubscriptionMode::try_from(asked.mode) {
        Ok(SubscriptionMode::OnChange) => watch::SubscriptionMode::OnChange,
        Ok(SubscriptionMode::Sample) => sample,
        // What changes by commits or notices is told as it changes, what drifts by samples.
        Ok(SubscriptionMode::TargetDefined) => match Needs::of(schema, &patterns).drifts() {
            true => sample,
            false => watch::SubscriptionMode::OnChange,
        },
        Err(_) => return Err(Status::invalid_argument("the subscription's mode is not known")),
    };
    let heartbeat = match span(asked.heartbeat_interval) {
        Duration::ZERO => None,
        short if short < SHORTEST => {
            return Err(Status::invalid_argument(format!("the shortest heartbeat is {SHORTEST:?}")));
        }
        span => Some(span),
    };
    Ok(watch::Subscription { patterns, mode, heartbeat_interval: heartbeat })
}

impl Subscriber {
    async fn tree(&self) -> lemonusher_model::Tree {
        self.hub.view(self.config, self.needs).await
    }

    fn messages(&self, notification: watch::Notification) -> Vec<SubscribeResponse> {
        let timestamp = unix_ns();
        let update = |watch::Update { place, value }: &watch::Update| Update {
            val: place.last().map(|last| typed(&self.schema, last.node, value, self.encoding)),
            path: Some(from_place(&self.schema, place)),
            duplicates: 0,
        };
        let notify = |update: Vec<Update>, delete: Vec<Path>| SubscribeResponse {
            response: Some(Said::Update(Notification {
                timestamp,
                update,
                delete,
                ..Notification::default()
            })),
            extension: Vec::new(),
        };
        let deletes = notification.deletes.chunks(CHUNK).map(|part| {
            notify(Vec::new(), part.iter().map(|place| from_place(&self.schema, place)).collect())
        });
        let updates = notification
            .updates
            .chunks(CHUNK)
            .map(|part| notify(part.iter().map(update).collect(), Vec::new()));
        deletes.chain(updates).collect()
    }

    /// Hands messages over, waiting for room: only for what the subscriber itself waits for.
    async fn give(&self, notification: watch::Notification) -> bool {
        for message in self.messages(notification) {
            if self.line.send(Ok(message)).await.is_err() {
                return false;
            }
        }
        true
    }

    async fn synced(&self) -> bool {
        let said = SubscribeResponse { response: Some(Said::SyncResponse(true)), extension: Vec::new() };
        self.line.send(Ok(said)).await.is_ok()
    }

    async fn once(mut self) {
        let tree = self.tree().await;
        let notification = self.watch.initial(&tree, false);
        if self.give(notification).await {
            self.synced().await;
        }
    }

    async fn poll(mut self, mut requests: Streaming<SubscribeRequest>, updates_only: bool) {
        let mut only = updates_only;
        loop {
            let tree = self.tree().await;
            let notification = self.watch.initial(&tree, only);
            only = false;
            if !self.give(notification).await || !self.synced().await {
                return;
            }
            match requests.message().await {
                Ok(Some(SubscribeRequest { request: Some(Asked::Poll(_)), .. })) => {}
                Ok(Some(_)) => {
                    let _ = self.line.send(Err(Status::invalid_argument("only polls are taken now"))).await;
                    return;
                }
                Ok(None) | Err(_) => return,
            }
        }
    }

    async fn stream(mut self, mut requests: Streaming<SubscribeRequest>, updates_only: bool) {
        let mut happened = self.hub.happenings();
        let tree = self.tree().await;
        let notification = self.watch.initial(&tree, updates_only);
        if !self.give(notification).await || !self.synced().await {
            return;
        }
        let drifts = self.watch.has_on_change() && self.needs.drifts();
        loop {
            let now = self.hub.now();
            let mut due = self.watch.next_timeout();
            if drifts {
                due = Some(due.unwrap_or(Duration::MAX).min(now + COMPARE));
            }
            if self.watch.has_backlog() || self.watch.lost_updates() > self.told_lost {
                due = Some(due.unwrap_or(Duration::MAX).min(now + AGAIN));
            }
            let wait = due.map_or(Duration::from_secs(3600), |due| due.saturating_sub(now));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                heard = happened.recv(), if self.watch.has_on_change() => match heard {
                    Ok(_) | Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                },
                request = requests.next() => match request {
                    Some(Ok(_)) => {
                        let refused = Status::invalid_argument("a stream takes no further message");
                        let _ = self.line.try_send(Err(refused));
                        return;
                    }
                    // A client may close its side and go on reading.
                    None => {
                        if self.line.is_closed() {
                            return;
                        }
                        tokio::select! {
                            () = self.line.closed() => return,
                            () = tokio::time::sleep(wait.min(COMPARE)) => {}
                        }
                    }
                    Some(Err(_)) => return,
                },
                () = self.line.closed() => return,
            }
            let tree = self.tree().await;
            if !self.turn(&tree).await {
                return;
            }
        }
    }

    /// Tells what is due to a subscriber that has room, and counts what is due to one that has none. False once
    /// it has gone.
    async fn turn(&mut self, tree: &lemonusher_model::Tree) -> bool {
        // One that has read all may be given more than its line holds: it waits for itself alone.
        let room = match self.line.capacity() {
            LINE => usize::MAX,
            free => free.saturating_sub(4) * CHUNK,
        };
        for notification in self.watch.poll(self.hub.now(), tree, room) {
            if !self.give(notification).await {
                return false;
            }
        }
        let lost = self.watch.lost_updates();
        if lost > self.told_lost {
            self.hub.lost(self.seat.session, lost);
            if room > 0 && self.tell_lost(lost) {
                tracing::warn!(session = self.seat.session, lost, "a subscriber did not read in time");
                self.told_lost = lost;
            }
        }
        true
    }

    /// Tells the subscriber itself how many updates it has lost.
    fn tell_lost(&self, lost: u64) -> bool {
        let path = format!("/front/state/session[id={}]/lost-updates", self.seat.session);
        let place = lemonusher_model::parse_path(&path).and_then(|steps| self.schema.place(&steps));
        let Ok(place) = place else { return true };
        let value = watch::Value::Leaf(lost.to_string().into());
        let notification =
            watch::Notification { updates: vec![watch::Update { place, value }], deletes: Vec::new() };
        self.messages(notification).into_iter().all(|message| self.line.try_send(Ok(message)).is_ok())
    }
}
