//! Validation of a complete configuration tree against the model: mandatory nodes, numbers of elements,
//! leafrefs and `must` constraints. Types are checked earlier, when values are parsed.

use crate::evaluate::Context;
use crate::fault::{Fault, FaultKind};
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Entries, Fields, Node, Place, Segment, Text, Tree};
use crate::types::Type;
use std::collections::{BTreeMap, BTreeSet};

/// The most faults that one validation reports.
const MAX_FAULTS: usize = 16;

impl Schema {
    /// Validates a configuration tree. Fails with its faults, at most `MAX_FAULTS` of them.
    pub fn validate(&self, tree: &Tree) -> Result<(), Vec<Fault>> {
        let mut pass = Pass {
            schema: self,
            tree,
            place: Place::new(),
            leafref_values: BTreeMap::new(),
            faults: Vec::new(),
        };
        let mut above = vec![(None, &**tree.fields())];
        pass.fields(None, tree.fields(), &mut above);
        if pass.faults.is_empty() { Ok(()) } else { Err(pass.faults) }
    }
}

/// The state of one validation.
struct Pass<'a> {
    schema: &'a Schema,
    tree: &'a Tree,
    /// The place of the node that is being checked.
    place: Place,
    /// The values of the leaves that leafrefs refer to, collected at first use.
    leafref_values: BTreeMap<NodeId, BTreeSet<Text>>,
    faults: Vec<Fault>,
}

/// The ancestors of the node that is being checked, from the top level down, with their child nodes that are
/// set. `None` stands for the root.
type Above<'a> = Vec<(Option<NodeId>, &'a Fields)>;

impl<'a> Pass<'a> {
    fn add_fault(&mut self, kind: FaultKind, what: impl Into<String>, tag: Option<&str>) {
        if self.faults.len() < MAX_FAULTS {
            let path = self.schema.text(&self.place);
            let mut fault = Fault::new(kind, path, what);
            fault.tag = tag.map(str::to_owned);
            self.faults.push(fault);
        }
    }

    /// Checks all configuration nodes below a node, including those that are not set.
    fn fields(&mut self, holder: Option<NodeId>, fields: &'a Fields, above: &mut Above<'a>) {
        let schema = self.schema;
        for id in schema.children(holder).iter().copied().filter(|id| schema.node(*id).config) {
            self.place.push(Segment { node: id, keys: None });
            self.node(id, fields.get(&id), above);
            self.place.pop();
        }
    }

    fn node(&mut self, id: NodeId, node: Option<&'a Node>, above: &mut Above<'a>) {
        let schema = self.schema;
        match (&schema.node(id).kind, node) {
            (NodeKind::Leaf { mandatory: true, .. }, None) => self.missing(),
            (NodeKind::Leaf { ty, .. }, Some(Node::Leaf(value))) => {
                self.leafref(ty, value);
                self.constraints(id, above, Some(value.clone()));
            }
            (NodeKind::LeafList { ty, min, max }, Some(Node::LeafList(values))) => {
                self.element_count(values.len(), *min, *max);
                values.iter().for_each(|value| self.leafref(ty, value));
            }
            (NodeKind::LeafList { min, max, .. }, _) => self.element_count(0, *min, *max),
            (NodeKind::Container, Some(Node::Container(inner))) => {
                above.push((Some(id), inner));
                self.constraints(id, above, None);
                self.fields(Some(id), inner, above);
                above.pop();
            }
            (NodeKind::Container, None) => self.unset_container(id),
            (NodeKind::List { min, max, .. }, Some(Node::List(entries))) => {
                self.element_count(entries.len(), *min, *max);
                self.entries(id, entries, above);
            }
            (NodeKind::List { min, max, .. }, _) => self.element_count(0, *min, *max),
            _ => {}
        }
    }

    fn entries(&mut self, id: NodeId, entries: &'a Entries, above: &mut Above<'a>) {
        for (keys, entry) in entries {
            self.place.last_mut().into_iter().for_each(|last| last.keys = Some(keys.clone()));
            above.push((Some(id), entry));
            self.constraints(id, above, None);
            self.fields(Some(id), entry, above);
            above.pop();
        }
    }

    /// Checks an unset container. As it has no presence, its mandatory nodes and `min-elements` apply
    /// nevertheless (RFC 7950, 7.6.5 and 7.7.5).
    fn unset_container(&mut self, holder: NodeId) {
        let schema = self.schema;
        for id in schema.children(Some(holder)).iter().copied().filter(|id| schema.node(*id).config) {
            self.place.push(Segment { node: id, keys: None });
            match &schema.node(id).kind {
                NodeKind::Leaf { mandatory: true, .. } => self.missing(),
                NodeKind::List { min, max, .. } | NodeKind::LeafList { min, max, .. } => {
                    self.element_count(0, *min, *max);
                }
                NodeKind::Container => self.unset_container(id),
                _ => {}
            }
            self.place.pop();
        }
    }

    fn missing(&mut self) {
        self.add_fault(FaultKind::MissingElement, "must be set", None);
    }

    fn element_count(&mut self, count: usize, min: usize, max: usize) {
        if count < min {
            let what = format!("holds {count}; at least {min} are needed");
            self.add_fault(FaultKind::TooFew, what, Some("too-few-elements"));
        } else if count > max {
            let what = format!("holds {count}; at most {max} are allowed");
            self.add_fault(FaultKind::TooMany, what, Some("too-many-elements"));
        }
    }

    fn leafref(&mut self, ty: &Type, value: &Text) {
        let Type::Leafref { target, .. } = ty else { return };
        let (schema, tree) = (self.schema, self.tree);
        let allowed = self.leafref_values.entry(*target).or_insert_with(|| {
            let mut values = BTreeSet::new();
            collect_values(&schema.ancestry(*target), tree.fields(), &mut values);
            values
        });
        if !allowed.contains(value) {
            let what = format!("'{value}' is no {} that there is", schema.node(*target).name);
            self.add_fault(FaultKind::MissingInstance, what, Some("instance-required"));
        }
    }

    fn constraints(&mut self, id: NodeId, above: &Above<'a>, leaf: Option<Text>) {
        let schema = self.schema;
        if schema.node(id).musts.is_empty() {
            return;
        }
        let context = Context { schema, above: above.clone(), leaf };
        for must in &schema.node(id).musts {
            if !must.holds(&context) {
                let what = must.message.clone().unwrap_or_else(|| format!("must hold: {}", must.text));
                let tag = must.tag.as_deref().or(Some("must-violation"));
                self.add_fault(FaultKind::MustViolation, what, tag);
            }
        }
    }
}

/// Collects the values of all instances of a leaf, given by its schema nodes from the top level down.
fn collect_values(ancestry: &[NodeId], fields: &Fields, values: &mut BTreeSet<Text>) {
    let Some((id, rest)) = ancestry.split_first() else { return };
    match fields.get(id) {
        Some(Node::Leaf(value)) => drop(values.insert(value.clone())),
        Some(Node::Container(inner)) => collect_values(rest, inner, values),
        Some(Node::List(entries)) => {
            entries.values().for_each(|entry| collect_values(rest, entry, values));
        }
        _ => {}
    }
}
