//! Builds the operational state of the front (YANG `config false` nodes) as a tree of the model.

use lemonusher::EngineState;
use lemonusher_desired_state::Names;
use lemonusher_membership::AdminState;
use lemonusher_model::{Fields, Node, NodeId, Pattern, Schema, Text, Tree};
use lemonusher_routing::Snapshot;
use lemonusher_store::{SessionId, Store};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The size in bytes of the memory pages that `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4096;

/// The parts of the state that a request selects. Large parts are only built if they are selected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateSelection {
    /// Any part of the state.
    pub state: bool,
    /// Any part that needs a snapshot from the request router; also set for the uptime and the resident memory.
    pub snapshot: bool,
    /// The request router's counters.
    pub counters: bool,
    /// The engines of the endpoint list.
    pub engines: bool,
    /// The open management sessions.
    pub sessions: bool,
    /// The commit history.
    pub commits: bool,
}

impl StateSelection {
    /// Selects the parts of the state that any of the patterns can match.
    pub fn for_patterns(schema: &Schema, patterns: &[Pattern]) -> StateSelection {
        let mut selection = StateSelection::default();
        for pattern in patterns {
            let name = |at: usize| pattern.get(at).map(|step| schema.node(step.node).name.as_str());
            let (second, third) = (name(1), name(2));
            if second.is_some_and(|name| name != "state") {
                continue;
            }
            let all = third.is_none();
            selection.state = true;
            selection.counters |= all || third == Some("counter");
            selection.engines |= all || third == Some("engine");
            selection.sessions |= all || third == Some("session");
            selection.commits |= all || third == Some("commit");
            selection.snapshot |=
                !matches!(third, Some("session" | "commit" | "confirm" | "version" | "name"));
        }
        selection
    }

    /// Whether a selected part can change without a [`ManagementEvent`](crate::ManagementEvent). The time that is left
    /// to confirm a commit is not considered.
    pub fn changes_without_event(self) -> bool {
        self.snapshot || self.sessions
    }
}

/// The sources from which the state is built.
pub struct Sources<'a> {
    pub schema: &'a Schema,
    pub names: &'a Names,
    /// The front's name.
    pub front: &'a str,
    pub store: &'a Store,
    /// The number of lost updates by session.
    pub lost_updates: &'a BTreeMap<SessionId, u64>,
    /// None if it is not selected, or if the request router doesn't reply.
    pub snapshot: Option<&'a Snapshot>,
    /// The time since the hub was created.
    pub uptime: Duration,
    /// The current time on the clock of the store's deadlines.
    pub now: Duration,
}

/// Collects the fields of a container or a list entry by their names in the schema.
struct FieldsBuilder<'a> {
    schema: &'a Schema,
    parent: NodeId,
    fields: Fields,
}

impl<'a> FieldsBuilder<'a> {
    fn new(schema: &'a Schema, parent: NodeId) -> FieldsBuilder<'a> {
        FieldsBuilder { schema, parent, fields: Fields::new() }
    }

    /// Adds a leaf; ignored if the schema has no such node.
    fn leaf(&mut self, name: &str, value: impl ToString) {
        if let Some(id) = self.schema.child(Some(self.parent), name) {
            self.fields.insert(id, Node::Leaf(value.to_string().into()));
        }
    }

    /// Adds a list; entries that lack a key are left out, and so is an empty list.
    fn list(&mut self, name: &str, entries: impl Iterator<Item = Fields>) {
        let Some(id) = self.schema.child(Some(self.parent), name) else { return };
        let keys = self.schema.keys(id);
        let mut keyed: BTreeMap<Vec<Text>, Arc<Fields>> = BTreeMap::new();
        for entry in entries {
            let key = |id: &NodeId| match entry.get(id) {
                Some(Node::Leaf(value)) => Some(value.clone()),
                _ => None,
            };
            if let Some(keys) = keys.iter().map(key).collect() {
                keyed.insert(keys, Arc::new(entry));
            }
        }
        if !keyed.is_empty() {
            self.fields.insert(id, Node::List(Arc::new(keyed)));
        }
    }

    /// A builder for a child node; None if the schema has no such node.
    fn child(&self, name: &str) -> Option<FieldsBuilder<'a>> {
        Some(FieldsBuilder::new(self.schema, self.schema.child(Some(self.parent), name)?))
    }
}

/// A tree of the selected parts of the state and, if `config` is set, the running configuration.
pub fn view(sources: &Sources, config: bool, selection: StateSelection) -> Tree {
    let schema = sources.schema;
    let running = &sources.store.running().tree;
    let Some(front) = schema.child(None, "front") else { return running.clone() };
    let mut fields = match running.fields().get(&front) {
        Some(Node::Container(fields)) if config => (**fields).clone(),
        _ => Fields::new(),
    };
    if selection.state
        && let Some(id) = schema.child(Some(front), "state")
    {
        fields
            .insert(id, Node::Container(Arc::new(state(sources, FieldsBuilder::new(schema, id), selection))));
    }
    let mut top = Fields::new();
    if !fields.is_empty() {
        top.insert(front, Node::Container(Arc::new(fields)));
    }
    Tree::of(top)
}

fn state(sources: &Sources, mut state: FieldsBuilder, selection: StateSelection) -> Fields {
    let store = sources.store;
    state.leaf("name", sources.front);
    state.leaf("up", sources.uptime.as_millis());
    state.leaf("version", store.running().number);
    if let Some(bytes) = resident_bytes() {
        state.leaf("resident-bytes", bytes);
    }
    if let Some(snapshot) = sources.snapshot {
        state.leaf("open-batches", snapshot.requests);
        state.leaf("open-dispatches", snapshot.attempts);
        state.leaf("statement-bytes", snapshot.statement_bytes);
        state.leaf("deciding", snapshot.decision_time.as_micros());
        state.leaf("notices-lost", snapshot.dropped_notifications);
        if selection.counters {
            counters(&mut state, snapshot);
        }
        if selection.engines {
            engines(&mut state, sources, snapshot);
        }
    }
    if selection.sessions {
        sessions(&mut state, sources);
    }
    if selection.commits {
        commits(&mut state, sources);
    }
    if let (Some(pending), Some(mut confirm)) = (store.pending(), state.child("confirm")) {
        confirm.leaf("version", store.running().number);
        confirm.leaf("left", pending.deadline.saturating_sub(sources.now).as_millis());
        state.fields.insert(confirm.parent, Node::Container(Arc::new(confirm.fields)));
    }
    state.fields
}

fn sessions(state: &mut FieldsBuilder, sources: &Sources) {
    let Some(list) = state.child("session") else { return };
    let entries = sources.store.sessions().iter().map(|(id, session)| {
        let mut entry = FieldsBuilder::new(list.schema, list.parent);
        entry.leaf("id", id);
        entry.leaf("user", &session.user);
        entry.leaf("protocol", session.protocol.name());
        entry.leaf("lost-updates", sources.lost_updates.get(id).copied().unwrap_or_default());
        entry.fields
    });
    state.list("session", entries);
}

fn commits(state: &mut FieldsBuilder, sources: &Sources) {
    let Some(list) = state.child("commit") else { return };
    let entries = sources.store.history().map(|version| {
        let mut entry = FieldsBuilder::new(list.schema, list.parent);
        entry.leaf("version", version.number);
        entry.leaf("at", version.committed_at_ms);
        entry.leaf("user", &version.author.user);
        entry.leaf("protocol", version.author.protocol.name());
        entry.leaf("cause", version.cause);
        entry.leaf("changes", version.changes.len());
        entry.fields
    });
    state.list("commit", entries);
}

fn counters(state: &mut FieldsBuilder, snapshot: &Snapshot) {
    let Some(list) = state.child("counter") else { return };
    let entries = snapshot.counters.iter().map(|counted| {
        let mut entry = FieldsBuilder::new(list.schema, list.parent);
        let class = counted.request_class.and_then(|class| snapshot.request_classes.get(class));
        entry.leaf("name", counted.counter);
        entry.leaf("service-group", class.map_or("-", |name| name));
        entry.leaf("count", counted.value);
        entry.fields
    });
    state.list("counter", entries);
}

fn engines(state: &mut FieldsBuilder, sources: &Sources, snapshot: &Snapshot) {
    let Some(list) = state.child("engine") else { return };
    let name = |names: &[String], number: u32| match names.get(number as usize) {
        Some(name) => name.clone(),
        None => number.to_string(),
    };
    let entries = snapshot.engines.iter().map(|engine| {
        let listed = &engine.endpoint.entry;
        let mut entry = FieldsBuilder::new(list.schema, list.parent);
        entry.leaf("id", format!("{:08x}", listed.engine));
        if let Some(address) = engine.address {
            entry.leaf("address", address);
        }
        entry.leaf("location", name(&sources.names.zones, listed.zone));
        entry.leaf("kind", name(&sources.names.machine_kinds, listed.machine_kind));
        entry.leaf("cell", listed.cell);
        entry.leaf("listed", list_state_name(listed.state));
        entry.leaf("admin-state", admin_state_name(engine.endpoint.admin));
        entry.leaf("used", engine.endpoint.is_open());
        entry.leaf("resting", engine.ejected);
        if !listed.started_at.is_zero() {
            entry.leaf("age", snapshot.now.saturating_sub(listed.started_at).as_millis());
        }
        entry.leaf("out", engine.in_flight);
        entry.fields
    });
    state.list("engine", entries);
}

/// The name in the YANG model of an engine's state in the endpoint list.
pub fn list_state_name(state: EngineState) -> &'static str {
    match state {
        EngineState::Active => "active",
        EngineState::Draining => "leaving",
        EngineState::Removed => "left",
    }
}

/// The name in the YANG model of an administrative state.
pub fn admin_state_name(admin: AdminState) -> &'static str {
    match admin {
        AdminState::Enabled => "enabled",
        AdminState::Draining => "draining",
        AdminState::Disabled => "disabled",
    }
}

/// The resident memory of the process in bytes; None if `/proc/self/statm` can't be read.
fn resident_bytes() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    statm.split_whitespace().nth(1)?.parse::<u64>().ok().map(|pages| pages * PAGE_BYTES)
}
