//! Reads a valid tree of the front's model as pools and limits, in the numbers that the deployment gives its
//! places, machines and request classes. What names something that the deployment does not state is declined, so
//! that a wish never means less than it says. No input or output, no clock.

use lemonusher_membership::{AdminState, DesiredState, Limit, Pool};
use lemonusher_model::{Fault, FaultKind, Fields, Found, Node, NodeId, Place, Schema, Seg, Text, Tree};
use std::collections::BTreeSet;
use std::time::Duration;

/// What the deployment's numbers are called, in order.
#[derive(Debug, Clone, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub machine_kinds: Vec<String>,
    pub request_classes: Vec<String>,
}

/// The nodes of the model that wishes stand in.
#[derive(Debug, Clone)]
pub struct DesiredStateReader {
    front: NodeId,
    pool: NodeId,
    service_group: NodeId,
    log_level: NodeId,
    of_pool: [NodeId; 7],
    of_group: [NodeId; 4],
    names: Names,
}

/// What a tree asks for.
#[derive(Debug, Clone)]
pub struct DesiredConfig {
    pub desired_state: DesiredState,
    pub log_level: String,
}

impl DesiredStateReader {
    /// None if the model lacks one of the nodes.
    pub fn new(schema: &Schema, names: Names) -> Option<DesiredStateReader> {
        let front = schema.child(None, "front")?;
        let within = |parent, name| schema.child(Some(parent), name);
        let (pool, service_group) = (within(front, "pool")?, within(front, "service-group")?);
        let of_pool = [
            within(pool, "name")?,
            within(pool, "admin-state")?,
            within(pool, "location")?,
            within(pool, "kind")?,
            within(pool, "cell")?,
            within(pool, "engine")?,
            within(pool, "serves")?,
        ];
        let of_group = [
            within(service_group, "name")?,
            within(service_group, "most-open")?,
            within(service_group, "come-back")?,
            within(service_group, "longest-come-back")?,
        ];
        let log_level = within(front, "log-level")?;
        Some(DesiredStateReader { front, pool, service_group, log_level, of_pool, of_group, names })
    }

    pub fn read(&self, schema: &Schema, tree: &Tree) -> Result<DesiredConfig, Vec<Fault>> {
        let mut look = Look { schema, reader: self, faults: Vec::new() };
        let limits = look.limits(tree);
        let pools = look.pools(tree);
        let level = [Seg { node: self.front, keys: None }, Seg { node: self.log_level, keys: None }];
        let log_level = tree.leaf(schema, &level).unwrap_or("info").to_owned();
        match look.faults.is_empty() {
            true => Ok(DesiredConfig { desired_state: DesiredState::new(pools, limits), log_level }),
            false => Err(look.faults),
        }
    }
}

struct Look<'a> {
    schema: &'a Schema,
    reader: &'a DesiredStateReader,
    faults: Vec<Fault>,
}

impl Look<'_> {
    fn entries<'t>(&self, tree: &'t Tree, list: NodeId) -> Vec<(Place, &'t Fields)> {
        let at = vec![Seg { node: self.reader.front, keys: None }, Seg { node: list, keys: None }];
        let Some(Found::List(entries)) = tree.get(&at) else { return Vec::new() };
        let place = |keys: &Vec<Text>| {
            let mut place = at.clone();
            place.last_mut().into_iter().for_each(|last| last.keys = Some(keys.clone()));
            place
        };
        entries.iter().map(|(keys, entry)| (place(keys), &**entry)).collect()
    }

    fn limits(&mut self, tree: &Tree) -> Vec<Option<Limit>> {
        let [name, most_open, come_back, longest] = self.reader.of_group;
        let mut limits = vec![None; self.reader.names.request_classes.len()];
        for (place, entry) in self.entries(tree, self.reader.service_group) {
            let Some(number) = self.number(&place, leaf(entry, name), &self.reader.names.request_classes)
            else {
                continue;
            };
            let value = |id| {
                let text = leaf(entry, id).map(|text| &**text).or_else(|| self.schema.default_of(id));
                text.and_then(|text| text.parse::<u32>().ok())
            };
            limits[number] = value(most_open).map(|most_open| Limit {
                max_open: most_open,
                retry_after: span(value(come_back)),
                max_retry_after: span(value(longest)),
            });
        }
        limits
    }

    fn pools(&mut self, tree: &Tree) -> Vec<Pool> {
        let [name, admin, location, kind, cell, engine, serves] = self.reader.of_pool;
        let mut pools = Vec::new();
        for (place, entry) in self.entries(tree, self.reader.pool) {
            let admin = match leaf(entry, admin).map(|text| &**text) {
                Some("draining") => AdminState::Draining,
                Some("disabled") => AdminState::Disabled,
                _ => AdminState::Enabled,
            };
            let names = &self.reader.names;
            pools.push(Pool {
                name: leaf(entry, name).map(|name| name.to_string()).unwrap_or_default(),
                admin,
                zones: self.numbers(&place, entry, location, &names.zones),
                machine_kinds: self.numbers(&place, entry, kind, &names.machine_kinds),
                cells: members(entry, cell).filter_map(|text| text.parse().ok()).collect(),
                engines: members(entry, engine).filter_map(|id| u32::from_str_radix(id, 16).ok()).collect(),
                request_classes: self
                    .numbers(&place, entry, serves, &names.request_classes)
                    .into_iter()
                    .map(|number| number as usize)
                    .collect(),
            });
        }
        pools
    }

    fn numbers(&mut self, place: &Place, entry: &Fields, id: NodeId, known: &[String]) -> BTreeSet<u32> {
        let mut found = BTreeSet::new();
        for member in members(entry, id) {
            let mut at = place.clone();
            at.push(Seg { node: id, keys: Some(vec![member.clone()]) });
            found.extend(self.number(&at, Some(member), known).map(|number| number as u32));
        }
        found
    }

    fn number(&mut self, place: &Place, name: Option<&Text>, known: &[String]) -> Option<usize> {
        let name = name?;
        let number = known.iter().position(|known| **known == **name);
        if number.is_none() && self.faults.len() < 16 {
            let what = format!("the deployment states no '{name}'; it states {}", known.join(", "));
            self.faults.push(Fault::new(FaultKind::InvalidValue, self.schema.text(place), what));
        }
        number
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

fn span(ms: Option<u32>) -> Duration {
    Duration::from_millis(u64::from(ms.unwrap_or_default()))
}
