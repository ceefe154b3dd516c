//! Converts a valid tree of the front's YANG model to pools, admission limits and a log level. Names of zones,
//! kinds of machines and request classes are converted to the numbers that the deployment gives them.
//!
//! A name that the deployment does not define is a fault, and a tree with a fault is rejected as a whole.
//! If only the unknown name were dropped, the tree would take effect in part. This
//! package does no input or output and reads no clock.

#![warn(missing_docs)]

use lemonusher_membership::{AdminState, DesiredState, Limit, Pool};
use lemonusher_model::{Fault, FaultKind, Fields, Node, NodeId, NodeRef, Place, Schema, Segment, Text, Tree};
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of faults reported for one tree.
const MAX_FAULTS: usize = 16;
/// Log level if the tree sets none.
const DEFAULT_LOG_LEVEL: &str = "info";

/// The names that the deployment defines. A name's index in its list is its number.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// Zones; `location` in the model.
    pub zones: Vec<String>,
    /// Kinds of machines; `kind` in the model.
    pub machine_kinds: Vec<String>,
    /// Request classes; `service-group` and `serves` in the model.
    pub request_classes: Vec<String>,
}

/// Converts trees of one schema, with the names of one deployment.
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

/// Schema nodes of an entry of `/front/pool`.
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

/// Schema nodes of an entry of `/front/service-group`.
#[derive(Debug, Clone, Copy)]
struct ClassNodes {
    name: NodeId,
    max_open: NodeId,
    retry_after: NodeId,
    max_retry_after: NodeId,
}

/// The configuration that a tree describes.
#[derive(Debug, Clone)]
pub struct DesiredConfig {
    /// The pools and admission limits.
    pub desired_state: DesiredState,
    /// The log level, by its name in the model.
    pub log_level: String,
}

impl DesiredStateReader {
    /// Looks up the nodes in the schema; none if the schema lacks one of them.
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

    /// Converts a valid tree. Fails with one fault for each name that the deployment does not define, up to
    /// `MAX_FAULTS`.
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

/// The conversion of one tree, with the faults found so far.
struct ReadPass<'a> {
    schema: &'a Schema,
    reader: &'a DesiredStateReader,
    faults: Vec<Fault>,
}

impl ReadPass<'_> {
    /// The entries of a list directly below `/front`, with their places.
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

    /// The value of a numeric leaf, or its default in the schema; none if it has neither.
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

    /// Converts the names in a leaf-list to their numbers. Reports a fault for each unknown name.
    fn numbers_of(&mut self, place: &Place, entry: &Fields, id: NodeId, known: &[String]) -> BTreeSet<u32> {
        let mut numbers = BTreeSet::new();
        for member in members(entry, id) {
            let mut member_place = place.clone();
            member_place.push(Segment { node: id, keys: Some(vec![member.clone()]) });
            numbers.extend(self.number_of(&member_place, Some(member), known).map(|number| number as u32));
        }
        numbers
    }

    /// The number of a name. Reports a fault at this place if the deployment does not define the name.
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
