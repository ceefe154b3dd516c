//! One NETCONF session: hello, then operations one after the other, and notifications between them.

use super::Door;
use crate::hub::{Happened, Hub};
use crate::state::{Needs, admin, listed};
use crate::users::Grant;
use lemonusher_model::{Node, Op, Pattern, Place, Schema, Tree, parse_path};
use lemonusher_netconf::{BASE, MONITORING};
use lemonusher_netconf::{
    CommitTerms, Element, Framer, Framing, Notified, Operation, RpcError, TestOption, edits, escape, filter,
    frame, hello, notification, parse, push_fields, read, reply, tree_of,
};
use lemonusher_store::{CommitOptions, Datastore, Edit, Protocol, SessionId, StoreError};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;

const LONGEST_MESSAGE: usize = 16 * 1024 * 1024;
/// Bytes of messages in part that all sessions may hold.
const MOST_HELD: usize = 64 * 1024 * 1024;
const READ: usize = 16 * 1024;
const HELLO_BY: Duration = Duration::from_secs(30);
/// A manager that takes nothing for so long has gone.
const STALL: Duration = Duration::from_secs(60);
/// The capability by which a manager asks for a candidate of its own.
const PRIVATE: &str = "urn:ietf:params:netconf:capability:private-candidate:1.0";

struct Session {
    id: SessionId,
    door: Arc<Door>,
    hub: Arc<Hub>,
    schema: Arc<Schema>,
    grant: Grant,
    framing: Framing,
    subscription: Option<Subscription>,
    /// What it holds of `Door::held`.
    held: usize,
    lost: u64,
}

struct Subscription {
    happened: Receiver<Happened>,
    filter: Option<Element>,
}

/// What goes with the session, however it ends.
impl Drop for Session {
    fn drop(&mut self) {
        self.door.held.fetch_sub(self.held, Ordering::SeqCst);
        if self.subscription.is_some() {
            self.door.subscribed.fetch_sub(1, Ordering::SeqCst);
        }
        self.door.kills().remove(&self.id);
        self.hub.close(self.id);
        tracing::info!(session = self.id, "NETCONF session ends");
    }
}

fn capabilities(schema: &Schema) -> Vec<String> {
    let base = ["urn:ietf:params:netconf:base:1.0", "urn:ietf:params:netconf:base:1.1"];
    let known = [
        "writable-running:1.0",
        "candidate:1.0",
        "confirmed-commit:1.1",
        "rollback-on-error:1.0",
        "validate:1.1",
        "startup:1.0",
        "notification:1.0",
        "interleave:1.0",
    ];
    let mut all: Vec<String> = base.iter().map(|name| name.to_string()).collect();
    all.extend(known.iter().map(|name| format!("urn:ietf:params:netconf:capability:{name}")));
    all.push(PRIVATE.to_owned());
    all.push(format!("{MONITORING}?module=ietf-netconf-monitoring&revision=2010-10-04"));
    let revision = schema.revision.as_deref().unwrap_or_default();
    all.push(format!("{}?module={}&revision={revision}", schema.namespace, schema.module));
    all
}

pub(super) async fn run(stream: impl AsyncRead + AsyncWrite + Unpin, door: Arc<Door>, grant: Grant) {
    let hub = door.hub.clone();
    let id = match hub.with_store(|store| store.open_session(&grant.user, Protocol::Netconf)) {
        Ok(id) => id,
        Err(refused) => return tracing::warn!("no NETCONF session for {}: {refused}", grant.user),
    };
    let killed = Arc::new(Notify::new());
    door.kills().insert(id, killed.clone());
    tracing::info!(session = id, user = grant.user, "NETCONF session begins");
    let schema = hub.schema().clone();
    let framing = Framing::Mark;
    let mut session = Session { id, door, hub, schema, grant, framing, subscription: None, held: 0, lost: 0 };
    tokio::select! {
        ended = session.serve(stream) => {
            if let Err(why) = ended {
                tracing::info!(session = id, "NETCONF session: {why}");
            }
        }
        () = killed.notified() => tracing::info!(session = id, "NETCONF session was killed"),
    }
}

/// Who asks may end the session with an operation.
enum Next {
    Goes,
    Ends,
}

impl Session {
    async fn serve(&mut self, stream: impl AsyncRead + AsyncWrite + Unpin) -> Result<(), String> {
        let (mut reader, mut writer) = tokio::io::split(stream);
        write(&mut writer, Framing::Mark, &hello(&capabilities(&self.schema), self.id)).await?;
        let mut framer = Framer::new(LONGEST_MESSAGE);
        let greeted = tokio::time::timeout(HELLO_BY, self.message(&mut reader, &mut framer)).await;
        let greeting = greeted.map_err(|_| "no hello came in time".to_owned())??;
        let Some(greeting) = greeting else { return Ok(()) };
        self.greet(&greeting)?;
        framer.set(self.framing);
        loop {
            let incoming = self.message(&mut reader, &mut framer);
            let Some(message) = incoming.await? else { return Ok(()) };
            match message {
                Incoming::Message(text) => {
                    let (answer, next) = self.answer(&text).await;
                    write(&mut writer, self.framing, &answer).await?;
                    if let Next::Ends = next {
                        return Ok(());
                    }
                }
                Incoming::Happened(happened) => {
                    if let Some(text) = self.notify(&happened) {
                        write(&mut writer, self.framing, &text).await?;
                    }
                }
                Incoming::Lost(count) => {
                    self.lost += count;
                    self.hub.lost(self.id, self.lost);
                    let leaves = vec![("count", self.lost.to_string())];
                    let text = self.notified(&Notified { name: "updates-lost", leaves });
                    write(&mut writer, self.framing, &text).await?;
                }
            }
        }
    }

    /// The next message, or what has happened meanwhile for one that wants to hear of it.
    async fn message(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        framer: &mut Framer,
    ) -> Result<Option<Incoming>, String> {
        let mut bytes = vec![0; READ];
        loop {
            if let Some(message) = framer.cut().map_err(|broken| broken.to_string())? {
                self.hold(framer.held())?;
                let text = String::from_utf8(message).map_err(|_| "a message is no UTF-8".to_owned())?;
                return Ok(Some(Incoming::Message(text)));
            }
            self.hold(framer.held())?;
            let happened = async {
                match &mut self.subscription {
                    Some(subscription) => subscription.happened.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                read = reader.read(&mut bytes) => match read {
                    Ok(0) => return Ok(None),
                    Ok(count) => framer.push(&bytes[..count]),
                    Err(error) => return Err(error.to_string()),
                },
                happened = happened => match happened {
                    Ok(happened) => return Ok(Some(Incoming::Happened(happened))),
                    Err(RecvError::Lagged(count)) => return Ok(Some(Incoming::Lost(count))),
                    Err(RecvError::Closed) => return Ok(None),
                },
            }
        }
    }

    /// Counts what this session holds towards what all may.
    fn hold(&mut self, bytes: usize) -> Result<(), String> {
        let others = self.door.held.fetch_sub(self.held, Ordering::SeqCst) - self.held;
        self.held = 0;
        if others + bytes > MOST_HELD && bytes > READ {
            return Err("there is no room for a message as long as this one".to_owned());
        }
        self.door.held.fetch_add(bytes, Ordering::SeqCst);
        self.held = bytes;
        Ok(())
    }

    fn greet(&mut self, greeting: &Incoming) -> Result<(), String> {
        let Incoming::Message(text) = greeting else { return Err("no hello came".to_owned()) };
        let hello = parse(text).map_err(|wrong| format!("the hello can't be read: {wrong}"))?;
        if hello.name != "hello" || hello.ns != BASE || hello.child("session-id").is_some() {
            return Err("the first message is no hello of a manager's".to_owned());
        }
        let capabilities = hello.child("capabilities");
        let has =
            |name: &str| capabilities.is_some_and(|all| all.children.iter().any(|one| one.value() == name));
        if has("urn:ietf:params:netconf:base:1.1") {
            self.framing = Framing::Chunks;
        } else if !has("urn:ietf:params:netconf:base:1.0") {
            return Err("the manager knows neither version 1.0 nor 1.1".to_owned());
        }
        if has(PRIVATE) {
            let _ = self.hub.with_store(|store| store.use_private_candidate(self.id));
        }
        Ok(())
    }

    async fn answer(&mut self, text: &str) -> (String, Next) {
        let rpc = match read(text) {
            Ok(rpc) => rpc,
            Err((attributes, error)) => return (reply(&attributes, &Err(vec![error])), Next::Goes),
        };
        let next = if rpc.operation == Operation::CloseSession { Next::Ends } else { Next::Goes };
        let answer = self.operate(rpc.operation).await;
        (reply(&rpc.attributes, &answer), next)
    }

    async fn operate(&mut self, operation: Operation) -> Result<String, Vec<RpcError>> {
        let writes = !matches!(
            operation,
            Operation::Get { .. }
                | Operation::GetConfig { .. }
                | Operation::Validate(_)
                | Operation::CloseSession
                | Operation::GetSchema { .. }
                | Operation::CreateSubscription { .. }
        );
        if writes && !self.grant.may_write {
            let what = format!("user {} may only read", self.grant.user);
            return Err(vec![RpcError::protocol("access-denied", what)]);
        }
        let locking = matches!(operation, Operation::Lock(_));
        let schema = self.schema.clone();
        let refused = |refused: StoreError| RpcError::of_refused(&schema, &refused, locking);
        let id = self.id;
        match operation {
            Operation::Get { filter } => {
                let needs = self.needs(filter.as_ref());
                let tree = self.hub.view(true, needs).await;
                Ok(self.data(&tree, filter.as_ref()))
            }
            Operation::GetConfig { source, filter } => {
                let tree = self.hub.with_store(|store| store.tree(id, source).cloned());
                let tree = tree.ok_or_else(|| refused(StoreError::NoStartup))?;
                Ok(self.data(&tree, filter.as_ref()))
            }
            Operation::EditConfig { target, default, test, on_error, config } => {
                let wanted = move |tree: &Tree, schema: &Schema| -> Result<Vec<Edit>, StoreError> {
                    Ok(edits(schema, tree, &config, default)?)
                };
                match target {
                    Datastore::Candidate => self.hub.with_store(|store| {
                        let tree = store.tree(id, Datastore::Candidate).cloned().unwrap_or_default();
                        let edits = wanted(&tree, &schema)?;
                        if test != TestOption::Set {
                            let mut tried = tree;
                            for edit in &edits {
                                tried.apply(&schema, edit.op, &edit.place, edit.value.as_ref())?;
                            }
                            store.validate(&tried)?;
                        }
                        match test {
                            TestOption::TestOnly => Ok(()),
                            _ => store.edit_candidate(id, &edits, on_error),
                        }
                    }),
                    Datastore::Running => {
                        let done = self.hub.commit(move |store, now, at| {
                            let schema = store.schema().clone();
                            let edits = wanted(&store.running().tree, &schema)?;
                            let plan = store.edit_running(id, &edits, &CommitOptions::default(), now, at)?;
                            match (test, plan) {
                                (TestOption::TestOnly, Some(plan)) => {
                                    store.abandon_commit(&plan);
                                    Ok(None)
                                }
                                (_, plan) => Ok(plan),
                            }
                        });
                        done.await.map(drop)
                    }
                    Datastore::Startup => return Err(vec![not_supported("startup can only be copied to")]),
                }
                .map_err(refused)?;
                Ok(String::new())
            }
            Operation::CopyConfig { target, source } => {
                self.copy(target, source).await?;
                Ok(String::new())
            }
            Operation::DeleteConfig { target: Datastore::Startup } => {
                self.hub.keep_startup(id, None).await.map_err(refused)?;
                Ok(String::new())
            }
            Operation::DeleteConfig { .. } => Err(vec![not_supported("only startup can be deleted")]),
            Operation::Lock(datastore) => {
                self.hub.with_store(|store| store.lock(id, datastore)).map_err(refused)?;
                tracing::info!(session = id, "locks {datastore:?}");
                Ok(String::new())
            }
            Operation::Unlock(datastore) => {
                self.hub.with_store(|store| store.unlock(id, datastore)).map_err(refused)?;
                Ok(String::new())
            }
            Operation::Validate(source) => {
                let tree = self.source(source)?;
                self.hub.with_store(|store| store.validate(&tree)).map_err(refused)?;
                Ok(String::new())
            }
            Operation::Commit(CommitTerms { confirmed, persist, persist_id, expect }) => {
                let terms = CommitOptions {
                    confirm_timeout: confirmed,
                    persist,
                    persist_id,
                    expected_version: expect,
                };
                let done = self.hub.commit(move |store, now, at| store.commit(id, &terms, now, at));
                done.await.map_err(refused)?;
                Ok(String::new())
            }
            Operation::CancelCommit { persist_id } => {
                let done = self
                    .hub
                    .commit(move |store, _, at| store.cancel(id, persist_id.as_deref(), at).map(Some));
                done.await.map_err(refused)?;
                Ok(String::new())
            }
            Operation::DiscardChanges => {
                self.hub.with_store(|store| store.discard_candidate(id)).map_err(refused)?;
                Ok(String::new())
            }
            Operation::CloseSession => Ok(String::new()),
            Operation::KillSession(other) if other == id => {
                let what = "a session can't kill itself; it may close";
                Err(vec![RpcError::element("invalid-value", "session-id", what)])
            }
            Operation::KillSession(other) => {
                let kill = self.door.kills().get(&other).cloned();
                let Some(kill) = kill else {
                    let what = format!("there is no NETCONF session {other}");
                    return Err(vec![RpcError::element("invalid-value", "session-id", what)]);
                };
                kill.notify_one();
                Ok(String::new())
            }
            Operation::GetSchema { identifier, version, format } => {
                let known = identifier == schema.module
                    && version.is_none_or(|version| Some(version) == schema.revision);
                if !known {
                    let what = format!("there is no such schema; {} is", schema.module);
                    return Err(vec![RpcError::application("invalid-value", what)]);
                }
                if format.is_some_and(|format| format != "yang" && !format.ends_with(":yang")) {
                    return Err(vec![RpcError::application("invalid-value", "the only format is yang")]);
                }
                Ok(format!("<data xmlns=\"{MONITORING}\">{}</data>", escape(&schema.text)))
            }
            Operation::CreateSubscription { stream, filter } => {
                if stream.is_some_and(|stream| stream != "NETCONF") {
                    let what = "the only stream is NETCONF";
                    return Err(vec![RpcError::element("invalid-value", "stream", what)]);
                }
                if self.subscription.is_some() {
                    return Err(vec![RpcError::application("operation-failed", "it has subscribed already")]);
                }
                if self.door.subscribed.fetch_add(1, Ordering::SeqCst) >= self.door.subscriptions {
                    self.door.subscribed.fetch_sub(1, Ordering::SeqCst);
                    let what = "there are as many subscriptions as there may be";
                    return Err(vec![RpcError::application("resource-denied", what)]);
                }
                self.subscription = Some(Subscription { happened: self.hub.happenings(), filter });
                Ok(String::new())
            }
        }
    }

    async fn copy(
        &mut self,
        target: Datastore,
        source: Result<Datastore, Box<Element>>,
    ) -> Result<(), Vec<RpcError>> {
        let (id, schema) = (self.id, self.schema.clone());
        let refused = |refused: StoreError| RpcError::of_refused(&schema, &refused, false);
        if source == Ok(target) {
            return Err(vec![RpcError::protocol("invalid-value", "source and target are the same")]);
        }
        match (target, &source) {
            (Datastore::Startup, Ok(from)) => self.hub.keep_startup(id, Some(*from)).await.map_err(refused),
            (Datastore::Startup, Err(_)) => Err(vec![not_supported("startup is copied from a datastore")]),
            (Datastore::Candidate, _) => {
                let tree = self.source(source)?;
                self.hub.with_store(|store| store.replace_candidate(id, tree)).map_err(refused)
            }
            (Datastore::Running, _) => {
                let tree = self.source(source)?;
                let done = self.hub.commit(move |store, now, at| {
                    let value = Some(Node::Container(tree.fields().clone()));
                    let edit = Edit { op: Op::Replace, place: Place::new(), value };
                    store.edit_running(id, &[edit], &CommitOptions::default(), now, at)
                });
                done.await.map(drop).map_err(refused)
            }
        }
    }

    fn source(&self, source: Result<Datastore, Box<Element>>) -> Result<Tree, Vec<RpcError>> {
        match source {
            Ok(datastore) => {
                let tree = self.hub.with_store(|store| store.tree(self.id, datastore).cloned());
                tree.ok_or_else(|| RpcError::of_refused(&self.schema, &StoreError::NoStartup, false))
            }
            Err(config) => {
                tree_of(&self.schema, &config).map_err(|fault| vec![RpcError::of_fault(&self.schema, &fault)])
            }
        }
    }

    /// Which parts of the state a filter can let through.
    fn needs(&self, filter: Option<&Element>) -> Needs {
        let mut paths = Vec::new();
        for front in filter.iter().flat_map(|filter| &filter.children) {
            for second in &front.children {
                for third in &second.children {
                    paths.push(format!("/{}/{}/{}", front.name, second.name, third.name));
                }
                if second.children.is_empty() {
                    paths.push(format!("/{}/{}", front.name, second.name));
                }
            }
            if front.children.is_empty() {
                paths.push(format!("/{}", front.name));
            }
        }
        if filter.is_none() {
            paths.push("/front".to_owned());
        }
        let patterns: Vec<Pattern> = paths
            .iter()
            .filter_map(|path| self.schema.patterns(&parse_path(path).ok()?).ok())
            .flatten()
            .collect();
        Needs::of(&self.schema, &patterns)
    }

    fn data(&self, tree: &Tree, wanted: Option<&Element>) -> String {
        let kept = match wanted {
            Some(wanted) => Arc::new(filter(&self.schema, tree.fields(), wanted)),
            None => tree.fields().clone(),
        };
        let mut text = "<data>".to_owned();
        push_fields(&mut text, &self.schema, &kept, true);
        text.push_str("</data>");
        text
    }

    fn notified(&self, notified: &Notified) -> String {
        let date = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
        notification(&self.schema.namespace, &date, notified)
    }

    /// What has happened, if the manager wants to hear of it.
    fn notify(&self, happened: &Happened) -> Option<String> {
        let notified = match happened {
            Happened::Committed(version) => match Hub::is_rollback(version) {
                Some(to) => Notified {
                    name: "rolled-back",
                    leaves: vec![
                        ("version", version.number.to_string()),
                        ("to", to.to_string()),
                        ("cause", version.cause.to_string()),
                    ],
                },
                None => Notified {
                    name: "committed",
                    leaves: vec![
                        ("version", version.number.to_string()),
                        ("user", version.author.user.clone()),
                        ("cause", version.cause.to_string()),
                        ("changes", version.changes.len().to_string()),
                    ],
                },
            },
            Happened::Engine(noticed) => Notified {
                name: "engine-changed",
                leaves: vec![
                    ("engine", format!("{:08x}", noticed.engine)),
                    ("listed", listed(noticed.state).to_owned()),
                    ("admin-state", admin(noticed.admin).to_owned()),
                    (
                        "used",
                        (noticed.blocked_classes != u64::MAX && listed(noticed.state) == "active")
                            .to_string(),
                    ),
                ],
            },
        };
        let filter = self.subscription.as_ref().and_then(|subscription| subscription.filter.as_ref());
        if let Some(filter) = filter.filter(|filter| !filter.children.is_empty()) {
            let wanted = |element: &&Element| {
                element.name == notified.name
                    && element.children.iter().all(|leaf| {
                        let held = notified.leaves.iter().find(|(name, _)| *name == leaf.name);
                        held.is_some_and(|(_, value)| leaf.value().is_empty() || leaf.value() == value)
                    })
            };
            filter.children.iter().find(wanted)?;
        }
        Some(self.notified(&notified))
    }
}

enum Incoming {
    Message(String),
    Happened(Happened),
    /// So many happenings came faster than they were read.
    Lost(u64),
}

fn not_supported(what: &str) -> RpcError {
    RpcError::protocol("operation-not-supported", what)
}

async fn write(writer: &mut (impl AsyncWrite + Unpin), framing: Framing, text: &str) -> Result<(), String> {
    let bytes = frame(framing, text);
    let written = tokio::time::timeout(STALL, async {
        writer.write_all(&bytes).await?;
        writer.flush().await
    });
    match written.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("the manager took nothing for {STALL:?}")),
    }
}
