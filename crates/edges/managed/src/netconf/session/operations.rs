//! The operations of a NETCONF session.

use super::{Session, Subscription};
use crate::state::StateSelection;
use lemonusher_model::{Node, Op, Pattern, Place, Schema, Tree, parse_path};
use lemonusher_netconf::{
    CommitParameters, ConfigSource, DefaultOperation, Element, ErrorTag, MONITORING, Operation, RpcError,
    TestOption, edits, escape, filter, push_fields, tree_of,
};
use lemonusher_store::{CommitOptions, Datastore, Edit, ErrorOption, Store, StoreError};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The log target of the session module, so that all log lines of a session have the same target.
const LOG_TARGET: &str = "lemonusher_managed::netconf::session";

/// The data of a reply as XML, empty for `<ok/>`, or the errors of the reply.
type Reply = Result<String, Vec<RpcError>>;

/// The parameters of an `edit-config`.
struct EditConfig {
    default: DefaultOperation,
    test: TestOption,
    on_error: ErrorOption,
    config: Element,
}

impl EditConfig {
    fn edits(&self, schema: &Schema, tree: &Tree) -> Result<Vec<Edit>, StoreError> {
        Ok(edits(schema, tree, &self.config, self.default)?)
    }
}

impl Session {
    pub(super) async fn execute(&mut self, operation: Operation) -> Reply {
        if is_write(&operation) && !self.grant.may_write {
            let what = format!("user {} may only read", self.grant.user);
            return Err(vec![RpcError::protocol(ErrorTag::AccessDenied, what)]);
        }
        match operation {
            Operation::Get { filter } => self.get(filter).await,
            Operation::GetConfig { source, filter } => self.get_config(source, filter),
            Operation::EditConfig { target, default, test, on_error, config } => {
                self.edit_config(target, EditConfig { default, test, on_error, config }).await
            }
            Operation::CopyConfig { target, source } => self.copy_config(target, source).await,
            Operation::DeleteConfig { target } => self.delete_config(target).await,
            Operation::Lock(datastore) => self.lock(datastore),
            Operation::Unlock(datastore) => self.unlock(datastore),
            Operation::Validate(source) => self.validate(source),
            Operation::Commit(parameters) => self.commit(parameters).await,
            Operation::CancelCommit { persist_id } => self.cancel_commit(persist_id).await,
            Operation::DiscardChanges => self.discard_changes(),
            Operation::CloseSession => Ok(String::new()),
            Operation::KillSession(session) => self.kill_session(session),
            Operation::GetSchema { identifier, version, format } => {
                self.get_schema(&identifier, version, format)
            }
            Operation::CreateSubscription { stream, filter } => self.create_subscription(stream, filter),
        }
    }

    /// Converts a store error to the errors of a reply.
    fn store_errors(&self, error: StoreError) -> Vec<RpcError> {
        RpcError::of_store_error(&self.schema, &error, false)
    }

    /// Converts a result of the store to an empty reply, or to the errors of a reply.
    fn empty_reply<T>(&self, result: Result<T, StoreError>) -> Reply {
        result.map(|_| String::new()).map_err(|error| self.store_errors(error))
    }

    async fn get(&self, filter: Option<Element>) -> Reply {
        let selection = self.selection(filter.as_ref());
        let tree = self.hub.view(true, selection).await;
        Ok(self.data(&tree, filter.as_ref()))
    }

    fn get_config(&self, source: Datastore, filter: Option<Element>) -> Reply {
        let tree = self.datastore(source)?;
        Ok(self.data(&tree, filter.as_ref()))
    }

    async fn edit_config(&self, target: Datastore, edit: EditConfig) -> Reply {
        match target {
            Datastore::Candidate => {
                let edited = self.hub.with_store(|store| self.edit_candidate(store, &edit));
                self.empty_reply(edited)
            }
            Datastore::Running => self.edit_running(edit).await,
            Datastore::Startup => Err(vec![not_supported("startup can only be copied to")]),
        }
    }

    fn edit_candidate(&self, store: &mut Store, edit: &EditConfig) -> Result<(), StoreError> {
        let tree = store.tree(self.id, Datastore::Candidate).cloned().unwrap_or_default();
        let edits = edit.edits(&self.schema, &tree)?;
        if edit.test != TestOption::Set {
            let mut edited = tree;
            for edit in &edits {
                edited.apply(&self.schema, edit.op, &edit.place, edit.value.as_ref())?;
            }
            store.validate(&edited)?;
        }
        match edit.test {
            TestOption::TestOnly => Ok(()),
            TestOption::Set | TestOption::TestThenSet => store.edit_candidate(self.id, &edits, edit.on_error),
        }
    }

    async fn edit_running(&self, edit: EditConfig) -> Reply {
        let id = self.id;
        let committed = self.hub.commit(move |store, now, unix_ms| {
            let schema = store.schema().clone();
            let edits = edit.edits(&schema, &store.running().tree)?;
            let plan = store.edit_running(id, &edits, &CommitOptions::default(), now, unix_ms)?;
            match (edit.test, plan) {
                (TestOption::TestOnly, Some(plan)) => {
                    store.abandon_commit(&plan);
                    Ok(None)
                }
                (_, plan) => Ok(plan),
            }
        });
        self.empty_reply(committed.await)
    }

    async fn copy_config(&self, target: Datastore, source: ConfigSource) -> Reply {
        if source == ConfigSource::Datastore(target) {
            return Err(vec![RpcError::protocol(ErrorTag::InvalidValue, "source and target are the same")]);
        }
        let id = self.id;
        match (target, source) {
            (Datastore::Startup, ConfigSource::Datastore(from)) => {
                self.empty_reply(self.hub.copy_to_startup(id, Some(from)).await)
            }
            (Datastore::Startup, ConfigSource::Inline(_)) => {
                Err(vec![not_supported("startup is copied from a datastore")])
            }
            (Datastore::Candidate, source) => {
                let tree = self.source(source)?;
                self.empty_reply(self.hub.with_store(|store| store.replace_candidate(id, tree)))
            }
            (Datastore::Running, source) => {
                let tree = self.source(source)?;
                let committed = self.hub.commit(move |store, now, unix_ms| {
                    let value = Some(Node::Container(tree.fields().clone()));
                    let edit = Edit { op: Op::Replace, place: Place::new(), value };
                    store.edit_running(id, &[edit], &CommitOptions::default(), now, unix_ms)
                });
                self.empty_reply(committed.await)
            }
        }
    }

    async fn delete_config(&self, target: Datastore) -> Reply {
        match target {
            Datastore::Startup => self.empty_reply(self.hub.copy_to_startup(self.id, None).await),
            Datastore::Running | Datastore::Candidate => {
                Err(vec![not_supported("only startup can be deleted")])
            }
        }
    }

    fn lock(&self, datastore: Datastore) -> Reply {
        let locked = self.hub.with_store(|store| store.lock(self.id, datastore));
        locked.map_err(|error| RpcError::of_store_error(&self.schema, &error, true))?;
        tracing::info!(target: LOG_TARGET, session = self.id, "locked {datastore:?}");
        Ok(String::new())
    }

    fn unlock(&self, datastore: Datastore) -> Reply {
        self.empty_reply(self.hub.with_store(|store| store.unlock(self.id, datastore)))
    }

    fn validate(&self, source: ConfigSource) -> Reply {
        let tree = self.source(source)?;
        self.empty_reply(self.hub.with_store(|store| store.validate(&tree)))
    }

    async fn commit(&self, parameters: CommitParameters) -> Reply {
        let id = self.id;
        let CommitParameters { confirm_timeout, persist, persist_id, expected_version } = parameters;
        let options = CommitOptions { confirm_timeout, persist, persist_id, expected_version };
        let committed = self.hub.commit(move |store, now, unix_ms| store.commit(id, &options, now, unix_ms));
        self.empty_reply(committed.await)
    }

    async fn cancel_commit(&self, persist_id: Option<String>) -> Reply {
        let id = self.id;
        let cancelled = self
            .hub
            .commit(move |store, _, unix_ms| store.cancel(id, persist_id.as_deref(), unix_ms).map(Some));
        self.empty_reply(cancelled.await)
    }

    fn discard_changes(&self) -> Reply {
        self.empty_reply(self.hub.with_store(|store| store.discard_candidate(self.id)))
    }

    fn kill_session(&self, session: u32) -> Reply {
        if session == self.id {
            let what = "a session can't kill itself; it may close";
            return Err(vec![RpcError::element(ErrorTag::InvalidValue, "session-id", what)]);
        }
        let signal = self.server.kill_signals().get(&session).cloned();
        let Some(signal) = signal else {
            let what = format!("there is no NETCONF session {session}");
            return Err(vec![RpcError::element(ErrorTag::InvalidValue, "session-id", what)]);
        };
        signal.notify_one();
        Ok(String::new())
    }

    fn get_schema(&self, identifier: &str, version: Option<String>, format: Option<String>) -> Reply {
        let schema = &self.schema;
        let known =
            identifier == schema.module && version.is_none_or(|version| Some(version) == schema.revision);
        if !known {
            let what = format!("there is no such schema; {} is", schema.module);
            return Err(vec![RpcError::application(ErrorTag::InvalidValue, what)]);
        }
        if format.is_some_and(|format| format != "yang" && !format.ends_with(":yang")) {
            return Err(vec![RpcError::application(ErrorTag::InvalidValue, "the only format is yang")]);
        }
        Ok(format!("<data xmlns=\"{MONITORING}\">{}</data>", escape(&schema.text)))
    }

    fn create_subscription(&mut self, stream: Option<String>, filter: Option<Element>) -> Reply {
        if stream.is_some_and(|stream| stream != "NETCONF") {
            let what = "the only stream is NETCONF";
            return Err(vec![RpcError::element(ErrorTag::InvalidValue, "stream", what)]);
        }
        if self.subscription.is_some() {
            return Err(vec![RpcError::application(ErrorTag::OperationFailed, "it has subscribed already")]);
        }
        if self.server.subscription_count.fetch_add(1, Ordering::SeqCst) >= self.server.max_subscriptions {
            self.server.subscription_count.fetch_sub(1, Ordering::SeqCst);
            let what = "there are as many subscriptions as there may be";
            return Err(vec![RpcError::application(ErrorTag::ResourceDenied, what)]);
        }
        self.subscription = Some(Subscription { events: self.hub.subscribe(), filter });
        Ok(String::new())
    }

    fn datastore(&self, datastore: Datastore) -> Result<Tree, Vec<RpcError>> {
        let tree = self.hub.with_store(|store| store.tree(self.id, datastore).cloned());
        tree.ok_or_else(|| self.store_errors(StoreError::NoStartup))
    }

    fn source(&self, source: ConfigSource) -> Result<Tree, Vec<RpcError>> {
        match source {
            ConfigSource::Datastore(datastore) => self.datastore(datastore),
            ConfigSource::Inline(config) => {
                tree_of(&self.schema, &config).map_err(|fault| vec![RpcError::of_fault(&self.schema, &fault)])
            }
        }
    }

    /// The parts of the state that a filter can select.
    fn selection(&self, filter: Option<&Element>) -> StateSelection {
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
        StateSelection::for_patterns(&self.schema, &patterns)
    }

    /// A `data` element with the nodes that the filter selects.
    fn data(&self, tree: &Tree, subtree: Option<&Element>) -> String {
        let fields = match subtree {
            Some(subtree) => Arc::new(filter(&self.schema, tree.fields(), subtree)),
            None => tree.fields().clone(),
        };
        let mut text = "<data>".to_owned();
        push_fields(&mut text, &self.schema, &fields, true);
        text.push_str("</data>");
        text
    }
}

/// Whether an operation requires the right to write.
fn is_write(operation: &Operation) -> bool {
    !matches!(
        operation,
        Operation::Get { .. }
            | Operation::GetConfig { .. }
            | Operation::Validate(_)
            | Operation::CloseSession
            | Operation::GetSchema { .. }
            | Operation::CreateSubscription { .. }
    )
}

fn not_supported(what: &str) -> RpcError {
    RpcError::protocol(ErrorTag::OperationNotSupported, what)
}
