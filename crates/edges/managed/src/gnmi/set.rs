//! The Set call: one transaction on the running configuration, with gNMI's commit extension and the registered
//! extension [`EXTENSION_ID`].

use super::get::MAX_PATHS;
use super::paths::to_steps;
use super::proto::gnmi::update_result::Operation;
use super::proto::gnmi::*;
use super::proto::gnmi_ext::commit::Action;
use super::proto::gnmi_ext::extension::Ext;
use super::proto::gnmi_ext::{Commit, Extension, RegisteredExtension};
use super::status::{fault_status, store_status};
use super::values::{parse_typed_value, unix_ns};
use crate::hub::Hub;
use crate::users::Grant;
use lemonusher_model::{Op, Place};
use lemonusher_store::{CommitOptions, CommitPlan, Edit, Protocol, SessionId, Store, StoreError, Version};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tonic::Status;

/// The id of this server's registered extension. In a request its message is `{"rollback": N}`, `{"expect": N}` or
/// both; in a response it is `{"version": N}`.
pub const EXTENSION_ID: i32 = 999;
/// The extension's key for the running version that the client expects.
pub const EXPECTED_VERSION_KEY: &str = "expect";

/// Maximum number of deletes, replaces and updates in one Set, together.
const MAX_CHANGES: usize = MAX_PATHS * 64;
/// Confirm timeout of a commit whose request gives no rollback duration.
const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(600);

pub(super) async fn set(hub: &Arc<Hub>, grant: &Grant, request: SetRequest) -> Result<SetResponse, Status> {
    if !grant.may_write {
        return Err(Status::permission_denied(format!("user {} may only read", grant.user)));
    }
    if !request.union_replace.is_empty() {
        return Err(Status::unimplemented("union_replace is not known"));
    }
    if request.delete.len() + request.replace.len() + request.update.len() > MAX_CHANGES {
        return Err(Status::invalid_argument("too many changes at once"));
    }
    let extensions = Extensions::read(&request.extension)?;
    let session = hub.with_store(|store| store.open_session(&grant.user, Protocol::Gnmi));
    let session = session.map_err(|error| store_status(&error))?;
    let response = results(&request);
    let prefix = request.prefix.clone();
    let version = commit(hub, session, request, extensions).await?;
    let version = version.map_or_else(
        || hub.with_store(|store| store.running().number),
        |version: Arc<Version>| version.number,
    );
    let msg = serde_json::json!({"version": version}).to_string().into_bytes();
    let extension =
        Extension { ext: Some(Ext::RegisteredExt(RegisteredExtension { id: EXTENSION_ID, msg })) };
    Ok(SetResponse { prefix, response, timestamp: unix_ns(), extension: vec![extension] })
}

/// Commits a Set, then closes its session. Runs on a task of its own, so that both happen even if the caller is
/// cancelled.
async fn commit(
    hub: &Arc<Hub>,
    session: SessionId,
    request: SetRequest,
    extensions: Extensions,
) -> Result<Option<Arc<Version>>, Status> {
    // The edits are read when the commit is planned, so that wildcards in deletes match the tree that it changes.
    let refused = Arc::new(Mutex::new(None));
    let refusal = refused.clone();
    let hub = hub.clone();
    let committing = tokio::spawn(async move {
        let committed = hub.commit(move |store, now, unix_ms| match edits(store, &request) {
            Ok(edits) => plan(store, session, &edits, &extensions, now, unix_ms),
            Err(status) => {
                *refusal.lock().unwrap_or_else(PoisonError::into_inner) = Some(status);
                Ok(None)
            }
        });
        let committed = committed.await;
        hub.close_session(session);
        committed
    });
    // The text stays because clients receive it: the task of the commit panicked or was cancelled.
    let committed = committing.await.unwrap_or_else(|_| Err(StoreError::Failed("it came to no end".into())));
    if let Some(status) = refused.lock().unwrap_or_else(PoisonError::into_inner).take() {
        return Err(status);
    }
    committed.map_err(|error| store_status(&error))
}

/// The extensions of a Set.
#[derive(Default)]
struct Extensions {
    commit: Option<Commit>,
    rollback: Option<u64>,
    expected_version: Option<u64>,
}

impl Extensions {
    /// Reads the extensions. Unknown ones are ignored, as the gNMI specification requires.
    fn read(extensions: &[Extension]) -> Result<Extensions, Status> {
        let mut found = Extensions::default();
        for extension in extensions {
            match &extension.ext {
                Some(Ext::Commit(commit)) => found.commit = Some(commit.clone()),
                Some(Ext::RegisteredExt(RegisteredExtension { id: EXTENSION_ID, msg })) => {
                    let object: serde_json::Value = serde_json::from_slice(msg)
                        .map_err(|_| Status::invalid_argument("extension 999 is a JSON object"))?;
                    found.rollback = object.get("rollback").and_then(serde_json::Value::as_u64);
                    found.expected_version =
                        object.get(EXPECTED_VERSION_KEY).and_then(serde_json::Value::as_u64);
                }
                _ => {}
            }
        }
        Ok(found)
    }
}

/// The edits of a Set, in the order in which they take effect: delete, replace, update.
fn edits(store: &Store, request: &SetRequest) -> Result<Vec<Edit>, Status> {
    let mut edits = Vec::new();
    for path in &request.delete {
        add_deletes(&mut edits, store, request.prefix.as_ref(), path)?;
    }
    let sets = [(&request.replace, Op::Replace), (&request.update, Op::Merge)];
    for (updates, op) in sets {
        for update in updates {
            edits.push(edit(store, request.prefix.as_ref(), update, op)?);
        }
    }
    Ok(edits)
}

/// Adds a delete for each node of the running configuration that the path matches.
fn add_deletes(
    edits: &mut Vec<Edit>,
    store: &Store,
    prefix: Option<&Path>,
    path: &Path,
) -> Result<(), Status> {
    let schema = store.schema();
    let steps = to_steps(schema, prefix, Some(path))?;
    for pattern in schema.patterns(&steps).map_err(|fault| fault_status(&fault))? {
        let last = pattern.last().map(|step| step.node);
        if last.is_some_and(|id| !schema.node(id).config) && pattern.len() == steps.len() {
            return Err(Status::invalid_argument("state can't be deleted"));
        }
        let mut places: Vec<Place> = Vec::new();
        store.running().tree.select(&pattern, &mut |place, _| places.push(place.to_vec()));
        edits.extend(places.into_iter().map(|place| Edit { op: Op::Remove, place, value: None }));
    }
    Ok(())
}

fn edit(store: &Store, prefix: Option<&Path>, update: &Update, op: Op) -> Result<Edit, Status> {
    let schema = store.schema();
    let steps = to_steps(schema, prefix, update.path.as_ref())?;
    let place = schema.place(&steps).map_err(|fault| fault_status(&fault))?;
    let id = place.last().map(|segment| segment.node);
    let entry = place.last().is_some_and(|segment| segment.keys.is_some());
    let value = parse_typed_value(schema, id, entry, update.val.as_ref()).map_err(|mut fault| {
        fault.path.get_or_insert(schema.text(&place));
        fault_status(&fault)
    })?;
    Ok(Edit { op, place, value: Some(value) })
}

fn confirm_timeout(duration: Option<&prost_types::Duration>) -> Duration {
    match duration {
        Some(given) if given.seconds > 0 || given.nanos > 0 => {
            Duration::new(given.seconds.max(0) as u64, given.nanos.max(0) as u32)
        }
        _ => DEFAULT_CONFIRM_TIMEOUT,
    }
}

fn plan(
    store: &mut Store,
    session: SessionId,
    edits: &[Edit],
    extensions: &Extensions,
    now: Duration,
    unix_ms: u64,
) -> Result<Option<CommitPlan>, StoreError> {
    let commit = extensions.commit.as_ref();
    let id = commit.map(|commit| commit.id.clone());
    let expected_version = extensions.expected_version;
    let mut options = CommitOptions { expected_version, ..CommitOptions::default() };
    match commit.and_then(|commit| commit.action.as_ref()) {
        Some(Action::Commit(request)) => {
            options.confirm_timeout = Some(confirm_timeout(request.rollback_duration.as_ref()));
            options.persist = id;
        }
        Some(Action::Confirm(_)) => options.persist_id = id,
        Some(Action::Cancel(_)) => return store.cancel(session, id.as_deref(), unix_ms).map(Some),
        Some(Action::SetRollbackDuration(request)) => {
            let timeout = confirm_timeout(request.rollback_duration.as_ref());
            return store.extend(session, id.as_deref(), timeout, now, unix_ms).map(Some);
        }
        None => {}
    }
    match extensions.rollback {
        Some(to) => store.roll_back(session, to, &options, now, unix_ms),
        None => store.edit_running(session, edits, &options, now, unix_ms),
    }
}

fn results(request: &SetRequest) -> Vec<UpdateResult> {
    let result = |path: Option<Path>, op: Operation| UpdateResult { path, op: op.into() };
    let deletes = request.delete.iter().map(|path| result(Some(path.clone()), Operation::Delete));
    let replaces = request.replace.iter().map(|update| result(update.path.clone(), Operation::Replace));
    let updates = request.update.iter().map(|update| result(update.path.clone(), Operation::Update));
    deletes.chain(replaces).chain(updates).collect()
}
