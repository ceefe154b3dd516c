//! The front's state as a tree of the model.

use lemonusher::EngineState;
use lemonusher_desired_state::Names;
use lemonusher_membership::AdminState;
use lemonusher_model::{Fields, Node, NodeId, Pattern, Schema, Text, Tree};
use lemonusher_routing::Snapshot;
use lemonusher_store::{SessionId, Store};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Which parts of the state are wanted: the larger ones are made only then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateSelection {
    /// Anything of the state.
    pub state: bool,
    pub snapshot: bool,
    pub counters: bool,
    pub engines: bool,
    pub sessions: bool,
    pub commits: bool,
}

impl StateSelection {
    pub fn for_patterns(schema: &Schema, patterns: &[Pattern]) -> StateSelection {
        let mut needs = StateSelection::default();
        for pattern in patterns {
            let name = |at: usize| pattern.get(at).map(|step| schema.node(step.node).name.as_str());
            let (second, third) = (name(1), name(2));
            if second.is_some_and(|name| name != "state") {
                continue;
            }
            let all = third.is_none();
            needs.state = true;
            needs.counters |= all || third == Some("counter");
            needs.engines |= all || third == Some("engine");
            needs.sessions |= all || third == Some("session");
            needs.commits |= all || third == Some("commit");
            needs.snapshot |= !matches!(third, Some("session" | "commit" | "confirm" | "version" | "name"));
        }
        needs
    }

    /// Whether it changes without a commit or a notice.
    pub fn changes_without_event(self) -> bool {
        self.snapshot || self.sessions
    }
}

/// What the state is made of.
pub struct Sources<'a> {
    pub schema: &'a Schema,
    pub names: &'a Names,
    pub front: &'a str,
    pub store: &'a Store,
    pub lost: &'a BTreeMap<SessionId, u64>,
    pub snapshot: Option<&'a Snapshot>,
    pub up: Duration,
    pub now: Duration,
}

struct FieldsBuilder<'a> {
    schema: &'a Schema,
    holder: NodeId,
    fields: Fields,
}

impl<'a> FieldsBuilder<'a> {
    fn new(schema: &'a Schema, holder: NodeId) -> FieldsBuilder<'a> {
        FieldsBuilder { schema, holder, fields: Fields::new() }
    }

    /// A leaf that the model does not know is left out.
    fn leaf(&mut self, name: &str, value: impl ToString) {
        if let Some(id) = self.schema.child(Some(self.holder), name) {
            self.fields.insert(id, Node::Leaf(value.to_string().into()));
        }
    }

    fn list(&mut self, name: &str, entries: impl Iterator<Item = Fields>) {
        let Some(id) = self.schema.child(Some(self.holder), name) else { return };
        let keys = self.schema.keys(id);
        let mut held: BTreeMap<Vec<Text>, Arc<Fields>> = BTreeMap::new();
        for entry in entries {
            let key = |id: &NodeId| match entry.get(id) {
                Some(Node::Leaf(value)) => Some(value.clone()),
                _ => None,
            };
            if let Some(keys) = keys.iter().map(key).collect() {
                held.insert(keys, Arc::new(entry));
            }
        }
        if !held.is_empty() {
            self.fields.insert(id, Node::List(Arc::new(held)));
        }
    }

    fn within(&self, name: &str) -> Option<FieldsBuilder<'a>> {
        Some(FieldsBuilder::new(self.schema, self.schema.child(Some(self.holder), name)?))
    }
}

/// What is in force, with the state beside it.
pub fn view(sources: &Sources, config: bool, needs: StateSelection) -> Tree {
    let schema = sources.schema;
    let running = &sources.store.running().tree;
    let Some(front) = schema.child(None, "front") else { return running.clone() };
    let mut fields = match running.fields().get(&front) {
        Some(Node::Container(fields)) if config => (**fields).clone(),
        _ => Fields::new(),
    };
    if needs.state
        && let Some(id) = schema.child(Some(front), "state")
    {
        fields.insert(id, Node::Container(Arc::new(state(sources, FieldsBuilder::new(schema, id), needs))));
    }
    let mut top = Fields::new();
    if !fields.is_empty() {
        top.insert(front, Node::Container(Arc::new(fields)));
    }
    Tree::of(top)
}

fn state(sources: &Sources, mut state: FieldsBuilder, needs: StateSelection) -> Fields {
    let store = sources.store;
    state.leaf("name", sources.front);
    state.leaf("up", sources.up.as_millis());
    state.leaf("version", store.running().number);
    if let Some(bytes) = resident() {
        state.leaf("resident-bytes", bytes);
    }
    if let Some(snapshot) = sources.snapshot {
        state.leaf("open-batches", snapshot.requests);
        state.leaf("open-dispatches", snapshot.attempts);
        state.leaf("statement-bytes", snapshot.statement_bytes);
        state.leaf("deciding", snapshot.decision_time.as_micros());
        state.leaf("notices-lost", snapshot.dropped_notifications);
        if needs.counters {
            counters(&mut state, snapshot);
        }
        if needs.engines {
            engines(&mut state, sources, snapshot);
        }
    }
    if needs.sessions
        && let Some(list) = state.within("session")
    {
        let entries = store.sessions().iter().map(|(id, session)| {
            let mut entry = FieldsBuilder::new(list.schema, list.holder);
            entry.leaf("id", id);
            entry.leaf("user", &session.user);
            entry.leaf("protocol", session.protocol.name());
            entry.leaf("lost-updates", sources.lost.get(id).copied().unwrap_or_default());
            entry.fields
        });
        state.list("session", entries);
    }
    if needs.commits
        && let Some(list) = state.within("commit")
    {
        let entries = store.history().map(|version| {
            let mut entry = FieldsBuilder::new(list.schema, list.holder);
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
    if let (Some(pending), Some(mut confirm)) = (store.pending(), state.within("confirm")) {
        confirm.leaf("version", store.running().number);
        confirm.leaf("left", pending.deadline.saturating_sub(sources.now).as_millis());
        state.fields.insert(confirm.holder, Node::Container(Arc::new(confirm.fields)));
    }
    state.fields
}

fn counters(state: &mut FieldsBuilder, snapshot: &Snapshot) {
    let Some(list) = state.within("counter") else { return };
    let entries = snapshot.counters.iter().map(|counted| {
        let mut entry = FieldsBuilder::new(list.schema, list.holder);
        let group = counted.request_class.and_then(|class| snapshot.request_classes.get(class));
        entry.leaf("name", counted.counter);
        entry.leaf("service-group", group.map_or("-", |name| name));
        entry.leaf("count", counted.value);
        entry.fields
    });
    state.list("counter", entries);
}

fn engines(state: &mut FieldsBuilder, sources: &Sources, snapshot: &Snapshot) {
    let Some(list) = state.within("engine") else { return };
    let name = |names: &[String], number: u32| match names.get(number as usize) {
        Some(name) => name.clone(),
        None => number.to_string(),
    };
    let entries = snapshot.engines.iter().map(|engine| {
        let held = &engine.endpoint.entry;
        let mut entry = FieldsBuilder::new(list.schema, list.holder);
        entry.leaf("id", format!("{:08x}", held.engine));
        if let Some(address) = engine.address {
            entry.leaf("address", address);
        }
        entry.leaf("location", name(&sources.names.zones, held.zone));
        entry.leaf("kind", name(&sources.names.machine_kinds, held.machine_kind));
        entry.leaf("cell", held.cell);
        entry.leaf("listed", list_state_name(held.state));
        entry.leaf("admin-state", admin_state_name(engine.endpoint.admin));
        entry.leaf("used", engine.endpoint.is_open());
        entry.leaf("resting", engine.ejected);
        if !held.started_at.is_zero() {
            entry.leaf("age", snapshot.now.saturating_sub(held.started_at).as_millis());
        }
        entry.leaf("out", engine.in_flight);
        entry.fields
    });
    state.list("engine", entries);
}

pub fn list_state_name(state: EngineState) -> &'static str {
    match state {
        EngineState::Active => "active",
        EngineState::Draining => "leaving",
        EngineState::Removed => "left",
    }
}

pub fn admin_state_name(admin: AdminState) -> &'static str {
    match admin {
        AdminState::Enabled => "enabled",
        AdminState::Draining => "draining",
        AdminState::Disabled => "disabled",
    }
}

/// Memory of the whole process that is in use.
fn resident() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    statm.split_whitespace().nth(1)?.parse::<u64>().ok().map(|pages| pages * 4096)
}
