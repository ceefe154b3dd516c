use super::paths::{from_place, to_steps};
use super::proto::gnmi::g_nmi_server::{GNmi, GNmiServer};
use super::proto::gnmi::get_request::DataType;
use super::proto::gnmi::update_result::Operation;
use super::proto::gnmi::*;
use super::proto::gnmi_ext::commit::Action;
use super::proto::gnmi_ext::extension::Ext;
use super::proto::gnmi_ext::{Commit as CommitExt, Extension, RegisteredExtension};
use super::values::{typed, untyped, whole};
use crate::hub::{Hub, unix_ms};
use crate::start::Tls;
use crate::state::Needs;
use crate::users::{Grant, Users};
use lemonusher_model::{Fault, FaultKind, Found, Kind, Op, Pattern, Place, Schema, Seg, node_of};
use lemonusher_store::{CommitOptions, CommitPlan, Edit, Protocol, Store, StoreError, Version};
use lemonusher_watch::leaves;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use tokio_stream::Stream;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::metadata::MetadataMap;
use tonic::transport::{Identity, Server, ServerTlsConfig};
use tonic::{Request, Response, Status};

/// The number under which this program's own extension goes: `{"rollback": N}`, `{"expect": N}` or both. The
/// answer to a Set carries `{"version": N}`.
pub const OURS: i32 = 999;
/// The key by which a writer says what it has seen.
pub const EXPECT: &str = "expect";

const LARGEST: usize = 16 * 1024 * 1024;
const MOST_PATHS: usize = 1024;
const ROLLBACK_AFTER: Duration = Duration::from_secs(600);
const STREAMS: u32 = 64;
const CALLS: usize = 64;

pub(super) struct Service {
    pub hub: Arc<Hub>,
    pub users: Users,
    pub subscriptions: usize,
    pub subscribed: Arc<AtomicUsize>,
}

/// Serves until the front ends.
pub async fn serve(
    hub: Arc<Hub>,
    listener: TcpListener,
    tls: Option<Tls>,
    users: Users,
    subscriptions: usize,
) -> Result<(), String> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
    let service = Service { hub, users, subscriptions, subscribed: Arc::default() };
    let service = GNmiServer::new(service).max_decoding_message_size(LARGEST);
    let mut server = Server::builder()
        .max_concurrent_streams(STREAMS)
        .concurrency_limit_per_connection(CALLS)
        .http2_keepalive_interval(Some(Duration::from_secs(20)))
        .http2_keepalive_timeout(Some(Duration::from_secs(10)))
        .tcp_nodelay(true);
    if let Some(tls) = tls {
        let identity = Identity::from_pem(&tls.certificate, &tls.key);
        server = server.tls_config(ServerTlsConfig::new().identity(identity)).map_err(|e| e.to_string())?;
    }
    let incoming = TcpListenerStream::new(listener);
    server.add_service(service).serve_with_incoming(incoming).await.map_err(|error| error.to_string())
}

/// gNMI's code for what the store refuses.
pub(super) fn status(refused: &StoreError) -> Status {
    let text = refused.to_string();
    match refused {
        StoreError::UnknownSession => Status::internal(text),
        StoreError::TooManySessions | StoreError::TooManyFollowUps => Status::resource_exhausted(text),
        StoreError::Locked(_) | StoreError::Busy | StoreError::Conflict(_) | StoreError::Stale { .. } => {
            Status::aborted(text)
        }
        StoreError::Pending(_)
        | StoreError::NothingPending
        | StoreError::NotLocked
        | StoreError::Modified => Status::failed_precondition(text),
        StoreError::NoVersion(_) | StoreError::NoStartup => Status::not_found(text),
        StoreError::Faults(faults) => faults.first().map_or_else(|| Status::internal(text), fault_status),
        StoreError::Failed(_) => Status::aborted(text),
    }
}

pub(super) fn fault_status(fault: &Fault) -> Status {
    let text = fault.to_string();
    match fault.kind {
        FaultKind::UnknownElement | FaultKind::DataMissing => Status::not_found(text),
        FaultKind::DataExists => Status::already_exists(text),
        _ => Status::invalid_argument(text),
    }
}

impl Service {
    pub(super) fn grant(&self, metadata: &MetadataMap) -> Result<Grant, Status> {
        let text = |name| metadata.get(name).and_then(|value| value.to_str().ok());
        let grant = self.users.by_password(text("username"), text("password"));
        grant.ok_or_else(|| Status::unauthenticated("username and password are not known"))
    }

    pub(super) fn patterns(
        &self,
        prefix: Option<&Path>,
        path: Option<&Path>,
    ) -> Result<Vec<Pattern>, Status> {
        let steps = to_steps(self.hub.schema(), prefix, path)?;
        self.hub.schema().patterns(&steps).map_err(|fault| fault_status(&fault))
    }
}

pub(super) fn encoding(number: i32) -> Result<Encoding, Status> {
    match Encoding::try_from(number) {
        Ok(known @ (Encoding::Json | Encoding::JsonIetf | Encoding::Proto)) => Ok(known),
        _ => Err(Status::unimplemented("known encodings are JSON, JSON_IETF and PROTO")),
    }
}

pub(super) fn unix_ns() -> i64 {
    (unix_ms() as i64).saturating_mul(1_000_000)
}

/// What the extensions of a Set ask for.
#[derive(Default)]
struct Asked {
    commit: Option<CommitExt>,
    rollback: Option<u64>,
    expect: Option<u64>,
}

fn asked(extensions: &[Extension]) -> Result<Asked, Status> {
    let mut asked = Asked::default();
    for extension in extensions {
        match &extension.ext {
            Some(Ext::Commit(commit)) => asked.commit = Some(commit.clone()),
            Some(Ext::RegisteredExt(RegisteredExtension { id: OURS, msg })) => {
                let told: serde_json::Value = serde_json::from_slice(msg)
                    .map_err(|_| Status::invalid_argument("extension 999 is a JSON object"))?;
                asked.rollback = told.get("rollback").and_then(serde_json::Value::as_u64);
                asked.expect = told.get(EXPECT).and_then(serde_json::Value::as_u64);
            }
            _ => {} // Extensions that are not known are passed over, as the specification has it.
        }
    }
    Ok(asked)
}

/// The edits of a Set, in the order in which they take effect: delete, replace, update.
fn edits(store: &Store, request: &SetRequest) -> Result<Vec<Edit>, Status> {
    let schema = store.schema();
    let prefix = request.prefix.as_ref();
    let mut edits = Vec::new();
    for path in &request.delete {
        let steps = to_steps(schema, prefix, Some(path))?;
        for pattern in schema.patterns(&steps).map_err(|fault| fault_status(&fault))? {
            let last = pattern.last().map(|step| step.node);
            if last.is_some_and(|id| !schema.node(id).config) && pattern.len() == steps.len() {
                return Err(Status::invalid_argument("state can't be deleted"));
            }
            let mut found: Vec<Place> = Vec::new();
            store.running().tree.select(&pattern, &mut |place, _| found.push(place.to_vec()));
            edits.extend(found.into_iter().map(|place| Edit { op: Op::Remove, place, value: None }));
        }
    }
    let sets = [(&request.replace, Op::Replace), (&request.update, Op::Merge)];
    for (updates, op) in sets {
        for update in updates {
            let steps = to_steps(schema, prefix, update.path.as_ref())?;
            let place = schema.place(&steps).map_err(|fault| fault_status(&fault))?;
            let (id, entry) = end(&place);
            let path = schema.text(&place);
            let value = untyped(schema, id, entry, update.val.as_ref()).map_err(|mut fault| {
                fault.path.get_or_insert(path);
                fault_status(&fault)
            })?;
            // What is replaced at the top is the config alone.
            edits.push(Edit { op, place, value: Some(value) });
        }
    }
    Ok(edits)
}

fn end(place: &[Seg]) -> (Option<usize>, bool) {
    (place.last().map(|seg| seg.node), place.last().is_some_and(|seg| seg.keys.is_some()))
}

fn span(duration: Option<&prost_types::Duration>) -> Duration {
    match duration {
        Some(given) if given.seconds > 0 || given.nanos > 0 => {
            Duration::new(given.seconds.max(0) as u64, given.nanos.max(0) as u32)
        }
        _ => ROLLBACK_AFTER,
    }
}

type Planned = Result<Option<CommitPlan>, StoreError>;

fn plan(store: &mut Store, session: u32, edits: &[Edit], asked: &Asked, now: Duration, at: u64) -> Planned {
    let commit = asked.commit.as_ref();
    let id = commit.map(|commit| commit.id.clone());
    let mut terms = CommitOptions { expected_version: asked.expect, ..CommitOptions::default() };
    match commit.and_then(|commit| commit.action.as_ref()) {
        Some(Action::Commit(request)) => {
            terms.confirm_timeout = Some(span(request.rollback_duration.as_ref()));
            terms.persist = id;
        }
        Some(Action::Confirm(_)) => terms.persist_id = id,
        Some(Action::Cancel(_)) => return store.cancel(session, id.as_deref(), at).map(Some),
        Some(Action::SetRollbackDuration(request)) => {
            let span = span(request.rollback_duration.as_ref());
            return store.extend(session, id.as_deref(), span, now, at).map(Some);
        }
        None => {}
    }
    match asked.rollback {
        Some(to) => store.roll_back(session, to, &terms, now, at),
        None => store.edit_running(session, edits, &terms, now, at),
    }
}

#[tonic::async_trait]
impl GNmi for Service {
    async fn capabilities(
        &self,
        request: Request<CapabilityRequest>,
    ) -> Result<Response<CapabilityResponse>, Status> {
        self.grant(request.metadata())?;
        let schema = self.hub.schema();
        Ok(Response::new(CapabilityResponse {
            supported_models: vec![ModelData {
                name: schema.module.clone(),
                organization: schema.organization.clone(),
                version: schema.revision.clone().unwrap_or_default(),
            }],
            supported_encodings: [Encoding::Json, Encoding::JsonIetf, Encoding::Proto]
                .into_iter()
                .map(i32::from)
                .collect(),
            g_nmi_version: "0.10.0".to_owned(),
            extension: Vec::new(),
        }))
    }

    async fn get(&self, request: Request<GetRequest>) -> Result<Response<GetResponse>, Status> {
        self.grant(request.metadata())?;
        let request = request.into_inner();
        let encoding = encoding(request.encoding)?;
        if request.path.len() > MOST_PATHS {
            return Err(Status::invalid_argument("too many paths"));
        }
        let schema = self.hub.schema().clone();
        let root = [Path::default()];
        let paths = if request.path.is_empty() { &root[..] } else { &request.path[..] };
        let (config, state) = match DataType::try_from(request.r#type) {
            Ok(DataType::Config) => (true, false),
            Ok(DataType::State | DataType::Operational) => (false, true),
            _ => (true, true),
        };
        let mut notifications = Vec::new();
        for path in paths {
            let patterns = self.patterns(request.prefix.as_ref(), Some(path))?;
            let needs = if state { Needs::of(&schema, &patterns) } else { Needs::default() };
            let view = self.hub.view(config, needs).await;
            let mut update = Vec::new();
            if encoding == Encoding::Proto {
                for (place, value) in leaves(&view, &patterns) {
                    let Some(last) = place.last() else { continue };
                    let val = Some(typed(&schema, last.node, &value, encoding));
                    update.push(Update { path: Some(from_place(&schema, &place)), val, duplicates: 0 });
                }
            } else {
                for pattern in &patterns {
                    view.select(pattern, &mut |place, found| {
                        update.push(at(&schema, place, found, encoding));
                    });
                }
            }
            let exact = patterns.len() == 1 && is_exact(&schema, &patterns[0]);
            if update.is_empty() && exact {
                // A leaf that is not set may still have a default.
                let default = patterns[0].last().and_then(|last| Some((last, schema.default_of(last.node)?)));
                let Some((last, default)) = default.filter(|_| config) else {
                    return Err(Status::not_found(format!(
                        "nothing is set at {}",
                        shown(&schema, &patterns[0])
                    )));
                };
                let value = lemonusher_watch::Value::Leaf(default.into());
                let val = Some(typed(&schema, last.node, &value, encoding));
                update.push(Update { path: Some(path.clone()), val, duplicates: 0 });
            }
            notifications.push(Notification { timestamp: unix_ns(), update, ..Notification::default() });
        }
        Ok(Response::new(GetResponse { notification: notifications, extension: Vec::new() }))
    }

    async fn set(&self, request: Request<SetRequest>) -> Result<Response<SetResponse>, Status> {
        let grant = self.grant(request.metadata())?;
        if !grant.may_write {
            return Err(Status::permission_denied(format!("user {} may only read", grant.user)));
        }
        let request = request.into_inner();
        if !request.union_replace.is_empty() {
            return Err(Status::unimplemented("union_replace is not known"));
        }
        if request.delete.len() + request.replace.len() + request.update.len() > MOST_PATHS * 64 {
            return Err(Status::invalid_argument("too many changes at once"));
        }
        let asked = asked(&request.extension)?;
        let session = self.hub.with_store(|store| store.open_session(&grant.user, Protocol::Gnmi));
        let session = session.map_err(|refused| status(&refused))?;
        let results = results(&request);
        let prefix = request.prefix.clone();
        // The edits are read in the commit's turn: what a delete's wildcards mean stands then.
        let wrong = Arc::new(std::sync::Mutex::new(None));
        let told = wrong.clone();
        let hub = self.hub.clone();
        let carried = tokio::spawn(async move {
            let committed = hub.commit(move |store, now, at| match edits(store, &request) {
                Ok(edits) => plan(store, session, &edits, &asked, now, at),
                Err(status) => {
                    *told.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(status);
                    Ok(None)
                }
            });
            let committed = committed.await;
            hub.close(session);
            committed
        });
        let committed = carried.await.unwrap_or_else(|_| Err(StoreError::Failed("it came to no end".into())));
        if let Some(status) = wrong.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take() {
            return Err(status);
        }
        let committed = committed.map_err(|refused| status(&refused))?;
        let version = committed.map_or_else(
            || self.hub.with_store(|store| store.running().number),
            |version: Arc<Version>| version.number,
        );
        let msg = serde_json::json!({"version": version}).to_string().into_bytes();
        let told = Extension { ext: Some(Ext::RegisteredExt(RegisteredExtension { id: OURS, msg })) };
        Ok(Response::new(SetResponse {
            prefix,
            response: results,
            timestamp: unix_ns(),
            extension: vec![told],
        }))
    }

    type SubscribeStream = Pin<Box<dyn Stream<Item = Result<SubscribeResponse, Status>> + Send>>;

    async fn subscribe(
        &self,
        request: Request<tonic::Streaming<SubscribeRequest>>,
    ) -> Result<Response<Self::SubscribeStream>, Status> {
        let grant = self.grant(request.metadata())?;
        let stream = super::subscribe::open(self, grant, request.into_inner()).await?;
        Ok(Response::new(stream))
    }
}

fn results(request: &SetRequest) -> Vec<UpdateResult> {
    let result = |path: Option<Path>, op: Operation| UpdateResult { path, op: op.into() };
    let deletes = request.delete.iter().map(|path| result(Some(path.clone()), Operation::Delete));
    let replaces = request.replace.iter().map(|update| result(update.path.clone(), Operation::Replace));
    let updates = request.update.iter().map(|update| result(update.path.clone(), Operation::Update));
    deletes.chain(replaces).chain(updates).collect()
}

fn at(schema: &Schema, place: &[Seg], found: Found, encoding: Encoding) -> Update {
    let (id, _) = end(place);
    let node = node_of(found);
    let val = Some(whole(schema, id, &node, encoding));
    Update { path: Some(from_place(schema, place)), val, duplicates: 0 }
}

fn is_exact(schema: &Schema, pattern: &Pattern) -> bool {
    let open = |step: &lemonusher_model::PatternStep| {
        matches!(schema.node(step.node).kind, Kind::List { .. })
            && step.keys.iter().flatten().any(Option::is_none)
    };
    !pattern.is_empty() && !pattern.iter().any(open)
}

fn shown(schema: &Schema, pattern: &Pattern) -> String {
    let place: Place = pattern
        .iter()
        .map(|step| Seg {
            node: step.node,
            keys: step.keys.iter().cloned().map(|k| k.into_iter().flatten().collect()).next(),
        })
        .collect();
    schema.text(&place)
}
