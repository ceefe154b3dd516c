//! Whether a whole tree of config holds by the model.

use crate::evaluate::Context;
use crate::fault::{Fault, FaultKind};
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Fields, Node, Place, Segment, Text, Tree};
use crate::types::Type;
use std::collections::{BTreeMap, BTreeSet};

/// Faults named at once.
const MAX_FAULTS: usize = 16;

impl Schema {
    /// All that is wrong with a tree of config, up to a bound.
    pub fn validate(&self, tree: &Tree) -> Result<(), Vec<Fault>> {
        let mut check =
            Check { schema: self, tree, place: Place::new(), pointed: BTreeMap::new(), found: Vec::new() };
        let mut above = vec![(None, &**tree.fields())];
        check.fields(None, tree.fields(), &mut above);
        if check.found.is_empty() { Ok(()) } else { Err(check.found) }
    }
}

struct Check<'a> {
    schema: &'a Schema,
    tree: &'a Tree,
    place: Place,
    /// Values that leafrefs may have, by the leaf they point at.
    pointed: BTreeMap<NodeId, BTreeSet<Text>>,
    found: Vec<Fault>,
}

type Above<'a> = Vec<(Option<NodeId>, &'a Fields)>;

impl<'a> Check<'a> {
    fn say(&mut self, kind: FaultKind, what: impl Into<String>, tag: Option<&str>) {
        if self.found.len() < MAX_FAULTS {
            let path = self.schema.text(&self.place);
            let mut fault = Fault::new(kind, path, what);
            fault.tag = tag.map(str::to_owned);
            self.found.push(fault);
        }
    }

    fn fields(&mut self, holder: Option<NodeId>, fields: &'a Fields, above: &mut Above<'a>) {
        let schema = self.schema;
        for id in schema.children(holder).iter().copied().filter(|id| schema.node(*id).config) {
            self.place.push(Segment { node: id, keys: None });
            match (&schema.node(id).kind, fields.get(&id)) {
                (NodeKind::Leaf { mandatory: true, .. }, None) => {
                    self.say(FaultKind::MissingElement, "must be set", None);
                }
                (NodeKind::Leaf { ty, .. }, Some(Node::Leaf(value))) => {
                    self.leafref(ty, value);
                    self.musts(id, above, Some(value.clone()));
                }
                (NodeKind::LeafList { ty, min, max }, node) => {
                    let empty = BTreeSet::new();
                    let values = match node {
                        Some(Node::LeafList(values)) => &**values,
                        _ => &empty,
                    };
                    self.count(values.len(), *min, *max);
                    values.iter().for_each(|value| self.leafref(ty, value));
                }
                (NodeKind::Container, Some(Node::Container(inner))) => {
                    above.push((Some(id), inner));
                    self.musts(id, above, None);
                    self.fields(Some(id), inner, above);
                    above.pop();
                }
                (NodeKind::Container, None) => self.missing_below(id),
                (NodeKind::List { min, max, .. }, node) => {
                    let Some(Node::List(entries)) = node else {
                        self.count(0, *min, *max);
                        self.place.pop();
                        continue;
                    };
                    self.count(entries.len(), *min, *max);
                    for (keys, entry) in entries.iter() {
                        self.place.last_mut().into_iter().for_each(|last| last.keys = Some(keys.clone()));
                        above.push((Some(id), entry));
                        self.musts(id, above, None);
                        self.fields(Some(id), entry, above);
                        above.pop();
                    }
                }
                _ => {}
            }
            self.place.pop();
        }
    }

    /// A container that holds nothing still owes what is mandatory in it.
    fn missing_below(&mut self, holder: NodeId) {
        let schema = self.schema;
        for id in schema.children(Some(holder)).iter().copied().filter(|id| schema.node(*id).config) {
            self.place.push(Segment { node: id, keys: None });
            match &schema.node(id).kind {
                NodeKind::Leaf { mandatory: true, .. } => {
                    self.say(FaultKind::MissingElement, "must be set", None);
                }
                NodeKind::List { min, max, .. } | NodeKind::LeafList { min, max, .. } => {
                    self.count(0, *min, *max)
                }
                NodeKind::Container => self.missing_below(id),
                _ => {}
            }
            self.place.pop();
        }
    }

    fn count(&mut self, count: usize, min: usize, max: usize) {
        if count < min {
            let what = format!("holds {count}; at least {min} are needed");
            self.say(FaultKind::TooFew, what, Some("too-few-elements"));
        } else if count > max {
            let what = format!("holds {count}; at most {max} are allowed");
            self.say(FaultKind::TooMany, what, Some("too-many-elements"));
        }
    }

    fn leafref(&mut self, ty: &Type, value: &Text) {
        let Type::Leafref { target, .. } = ty else { return };
        let (schema, tree) = (self.schema, self.tree);
        let pointed = self.pointed.entry(*target).or_insert_with(|| {
            let mut values = BTreeSet::new();
            gather(&schema.ancestry(*target), tree.fields(), &mut values);
            values
        });
        if !pointed.contains(value) {
            let what = format!("'{value}' is no {} that there is", schema.node(*target).name);
            self.say(FaultKind::MissingInstance, what, Some("instance-required"));
        }
    }

    fn musts(&mut self, id: NodeId, above: &Above<'a>, leaf: Option<Text>) {
        let schema = self.schema;
        if schema.node(id).musts.is_empty() {
            return;
        }
        let context = Context { schema, above: above.clone(), leaf };
        for must in &schema.node(id).musts {
            if !must.holds(&context) {
                let what = must.message.clone().unwrap_or_else(|| format!("must hold: {}", must.text));
                self.say(FaultKind::MustViolation, what, must.tag.as_deref().or(Some("must-violation")));
            }
        }
    }
}

fn gather(line: &[NodeId], fields: &Fields, values: &mut BTreeSet<Text>) {
    let Some((id, rest)) = line.split_first() else { return };
    match fields.get(id) {
        Some(Node::Leaf(value)) => drop(values.insert(value.clone())),
        Some(Node::Container(inner)) => gather(rest, inner, values),
        Some(Node::List(entries)) => entries.values().for_each(|entry| gather(rest, entry, values)),
        _ => {}
    }
}
