//! Reads a valid tree of the front's YANG model as pools, admission limits and log level, in the numbers that the
//! deployment gives its zones, kinds of machines and request classes.
//!
//! The rule: a name that the deployment does not state is a fault, and a tree with a fault is declined as a whole, so that
//! it never means less than it says. No input or output, no clock.

#![warn(missing_docs)]

use lemonusher_membership::{AdminState, DesiredState, Limit, Pool};
use lemonusher_model::{Fault, FaultKind, Fields, Node, NodeId, NodeRef, Place, Schema, Segment, Text, Tree};
use std::collections::BTreeSet;
use std::time::Duration;

/// Faults reported at once.
const MAX_FAULTS: usize = 16;
/// The log level of a tree that sets none.
const DEFAULT_LOG_LEVEL: &str = "info";

/// The deployment's names, each list in the order of its numbers.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// The zones; `location` in the model.
    pub zones: Vec<String>,
    /// The kinds of machines; `kind` in the model.
    pub machine_kinds: Vec<String>,
    /// The request classes; `service-group` and `serves` in the model.
    pub request_classes: Vec<String>,
}

/// Reads trees of one schema in the numbers of one deployment.
#[derive(Debug, Clone)]
pub struct DesiredStateReader {
    front: NodeId,
    log_level: NodeId,
    pool_list: NodeId,
    pool: PoolNodes,
    class_list: NodeId,
    class: ClassNodes,
    names: Names,
}

/// The nodes of an entry of `/front/pool`.
#[derive(Debug, Clone, Copy)]
struct PoolNodes {
    name: NodeId,
    admin_state: NodeId,
    zone: NodeId,
    machine_kind: NodeId,
    cell: NodeId,
    engine: NodeId,
    serves: NodeId,
}

/// The nodes of an entry of `/front/service-group`.
#[derive(Debug, Clone, Copy)]
struct ClassNodes {
    name: NodeId,
    max_open: NodeId,
    retry_after: NodeId,
    max_retry_after: NodeId,
}

/// What a tree asks for.
#[derive(Debug, Clone)]
pub struct DesiredConfig {
    /// The pools and admission limits.
    pub desired_state: DesiredState,
    /// The name of the level, as the model has it.
    pub log_level: String,
}

impl DesiredStateReader {
    /// None if the schema lacks one of the nodes.
    pub fn new(schema: &Schema, names: Names) -> Option<DesiredStateReader> {
        let front = schema.child(None, "front")?;
        let child = |parent, name| schema.child(Some(parent), name);
        let pool_list = child(front, "pool")?;
        let pool = PoolNodes {
            name: child(pool_list, "name")?,
            admin_state: child(pool_list, "admin-state")?,
            zone: child(pool_list, "location")?,
            machine_kind: child(pool_list, "kind")?,
            cell: child(pool_list, "cell")?,
            engine: child(pool_list, "engine")?,
            serves: child(pool_list, "serves")?,
        };
        let class_list = child(front, "service-group")?;
        let class = ClassNodes {
            name: child(class_list, "name")?,
            max_open: child(class_list, "most-open")?,
            retry_after: child(class_list, "come-back")?,
            max_retry_after: child(class_list, "longest-come-back")?,
        };
        let log_level = child(front, "log-level")?;
        Some(DesiredStateReader { front, log_level, pool_list, pool, class_list, class, names })
    }

    /// Reads a valid tree. Fails with the faults of all names that the deployment does not state, up to a bound.
    pub fn read(&self, schema: &Schema, tree: &Tree) -> Result<DesiredConfig, Vec<Fault>> {
        let mut pass = ReadPass { schema, reader: self, faults: Vec::new() };
        let limits = pass.limits(tree);
        let pools = pass.pools(tree);
        if !pass.faults.is_empty() {
            return Err(pass.faults);
        }
        let level = [Segment { node: self.front, keys: None }, Segment { node: self.log_level, keys: None }];
        let log_level = tree.leaf(schema, &level).unwrap_or(DEFAULT_LOG_LEVEL).to_owned();
        Ok(DesiredConfig { desired_state: DesiredState::new(pools, limits), log_level })
    }
}

/// One reading of one tree, with the faults found so far.
struct ReadPass<'a> {
    schema: &'a Schema,
    reader: &'a DesiredStateReader,
    faults: Vec<Fault>,
}

impl ReadPass<'_> {
    /// The entries of a list below `/front`, with their places.
    fn entries<'t>(&self, tree: &'t Tree, list: NodeId) -> Vec<(Place, &'t Fields)> {
        let list_place =
            vec![Segment { node: self.reader.front, keys: None }, Segment { node: list, keys: None }];
        let Some(NodeRef::List(entries)) = tree.get(&list_place) else { return Vec::new() };
        let entry_place = |keys: &Vec<Text>| {
            let mut place = list_place.clone();
            place.last_mut().into_iter().for_each(|last| last.keys = Some(keys.clone()));
            place
        };
        entries.iter().map(|(keys, entry)| (entry_place(keys), &**entry)).collect()
    }

    /// The admission limits, in the order of the deployment's request classes.
    fn limits(&mut self, tree: &Tree) -> Vec<Option<Limit>> {
        let nodes = self.reader.class;
        let class_names = &self.reader.names.request_classes;
        let mut limits = vec![None; class_names.len()];
        for (place, entry) in self.entries(tree, self.reader.class_list) {
            let Some(class) = self.number_of(&place, leaf(entry, nodes.name), class_names) else { continue };
            limits[class] = self.value_of(entry, nodes.max_open).map(|max_open| Limit {
                max_open,
                retry_after: self.milliseconds_of(entry, nodes.retry_after),
                max_retry_after: self.milliseconds_of(entry, nodes.max_retry_after),
            });
        }
        limits
    }

    /// A leaf's value, or its default.
    fn value_of(&self, entry: &Fields, id: NodeId) -> Option<u32> {
        let text = leaf(entry, id).map(|text| &**text).or_else(|| self.schema.default_of(id));
        text.and_then(|text| text.parse().ok())
    }

    fn milliseconds_of(&self, entry: &Fields, id: NodeId) -> Duration {
        Duration::from_millis(u64::from(self.value_of(entry, id).unwrap_or_default()))
    }

    fn pools(&mut self, tree: &Tree) -> Vec<Pool> {
        let entries = self.entries(tree, self.reader.pool_list);
        entries.into_iter().map(|(place, entry)| self.pool(&place, entry)).collect()
    }

    fn pool(&mut self, place: &Place, entry: &Fields) -> Pool {
        let nodes = self.reader.pool;
        let names = &self.reader.names;
        Pool {
            name: leaf(entry, nodes.name).map(|name| name.to_string()).unwrap_or_default(),
            admin: admin_state(leaf(entry, nodes.admin_state)),
            zones: self.numbers_of(place, entry, nodes.zone, &names.zones),
            machine_kinds: self.numbers_of(place, entry, nodes.machine_kind, &names.machine_kinds),
            cells: members(entry, nodes.cell).filter_map(|text| text.parse().ok()).collect(),
            engines: members(entry, nodes.engine).filter_map(|id| u32::from_str_radix(id, 16).ok()).collect(),
            request_classes: self
                .numbers_of(place, entry, nodes.serves, &names.request_classes)
                .into_iter()
                .map(|number| number as usize)
                .collect(),
        }
    }

    /// The numbers of the names in a leaf-list.
    fn numbers_of(&mut self, place: &Place, entry: &Fields, id: NodeId, known: &[String]) -> BTreeSet<u32> {
        let mut numbers = BTreeSet::new();
        for member in members(entry, id) {
            let mut member_place = place.clone();
            member_place.push(Segment { node: id, keys: Some(vec![member.clone()]) });
            numbers.extend(self.number_of(&member_place, Some(member), known).map(|number| number as u32));
        }
        numbers
    }

    /// The number of a name; a fault at this place if the deployment does not state it.
    fn number_of(&mut self, place: &Place, name: Option<&Text>, known: &[String]) -> Option<usize> {
        let name = name?;
        let number = known.iter().position(|known| **known == **name);
        if number.is_none() && self.faults.len() < MAX_FAULTS {
            let what = format!("the deployment states no '{name}'; it states {}", known.join(", "));
            self.faults.push(Fault::new(FaultKind::InvalidValue, self.schema.text(place), what));
        }
        number
    }
}

fn admin_state(text: Option<&Text>) -> AdminState {
    match text.map(|text| &**text) {
        Some("draining") => AdminState::Draining,
        Some("disabled") => AdminState::Disabled,
        _ => AdminState::Enabled,
    }
}

fn leaf(entry: &Fields, id: NodeId) -> Option<&Text> {
    match entry.get(&id) {
        Some(Node::Leaf(value)) => Some(value),
        _ => None,
    }
}

fn members(entry: &Fields, id: NodeId) -> impl Iterator<Item = &Text> {
    let values = match entry.get(&id) {
        Some(Node::LeafList(values)) => Some(values),
        _ => None,
    };
    values.into_iter().flat_map(|values| values.iter())
}
