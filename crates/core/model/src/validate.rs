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
        let mut validation = Validation {
            schema: self,
            tree,
            place: Place::new(),
            leafref_values: BTreeMap::new(),
            faults: Vec::new(),
        };
        let mut ancestors = vec![(None, &**tree.fields())];
        validation.check_fields(None, tree.fields(), &mut ancestors);
        if validation.faults.is_empty() { Ok(()) } else { Err(validation.faults) }
    }
}

/// The state of one validation.
struct Validation<'a> {
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
type Ancestors<'a> = Vec<(Option<NodeId>, &'a Fields)>;

impl<'a> Validation<'a> {
    fn add_fault(&mut self, kind: FaultKind, message: impl Into<String>, tag: Option<&str>) {
        if self.faults.len() < MAX_FAULTS {
            let path = self.schema.text(&self.place);
            let mut fault = Fault::new(kind, path, message);
            fault.tag = tag.map(str::to_owned);
            self.faults.push(fault);
        }
    }

    /// Checks all configuration nodes below a node, including those that are not set.
    fn check_fields(&mut self, parent: Option<NodeId>, fields: &'a Fields, ancestors: &mut Ancestors<'a>) {
        let schema = self.schema;
        for id in schema.children(parent).iter().copied().filter(|id| schema.node(*id).config) {
            self.place.push(Segment { node: id, keys: None });
            self.check_node(id, fields.get(&id), ancestors);
            self.place.pop();
        }
    }

    fn check_node(&mut self, id: NodeId, node: Option<&'a Node>, ancestors: &mut Ancestors<'a>) {
        let schema = self.schema;
        match (&schema.node(id).kind, node) {
            (NodeKind::Leaf { mandatory: true, .. }, None) => self.add_missing(),
            (NodeKind::Leaf { ty, .. }, Some(Node::Leaf(value))) => {
                self.check_leafref(ty, value);
                self.check_constraints(id, ancestors, Some(value.clone()));
            }
            (NodeKind::LeafList { ty, min, max }, Some(Node::LeafList(values))) => {
                self.check_element_count(values.len(), *min, *max);
                values.iter().for_each(|value| self.check_leafref(ty, value));
            }
            (NodeKind::LeafList { min, max, .. }, _) => self.check_element_count(0, *min, *max),
            (NodeKind::Container, Some(Node::Container(inner))) => {
                ancestors.push((Some(id), inner));
                self.check_constraints(id, ancestors, None);
                self.check_fields(Some(id), inner, ancestors);
                ancestors.pop();
            }
            (NodeKind::Container, None) => self.check_unset_container(id),
            (NodeKind::List { min, max, .. }, Some(Node::List(entries))) => {
                self.check_element_count(entries.len(), *min, *max);
                self.check_entries(id, entries, ancestors);
            }
            (NodeKind::List { min, max, .. }, _) => self.check_element_count(0, *min, *max),
            _ => {}
        }
    }

    fn check_entries(&mut self, id: NodeId, entries: &'a Entries, ancestors: &mut Ancestors<'a>) {
        for (keys, entry) in entries {
            self.place.last_mut().into_iter().for_each(|last| last.keys = Some(keys.clone()));
            ancestors.push((Some(id), entry));
            self.check_constraints(id, ancestors, None);
            self.check_fields(Some(id), entry, ancestors);
            ancestors.pop();
        }
    }

    /// Checks an unset container. As it has no presence, its mandatory nodes and `min-elements` apply
    /// nevertheless (RFC 7950, 7.6.5 and 7.7.5).
    fn check_unset_container(&mut self, parent: NodeId) {
        let schema = self.schema;
        for id in schema.children(Some(parent)).iter().copied().filter(|id| schema.node(*id).config) {
            self.place.push(Segment { node: id, keys: None });
            match &schema.node(id).kind {
                NodeKind::Leaf { mandatory: true, .. } => self.add_missing(),
                NodeKind::List { min, max, .. } | NodeKind::LeafList { min, max, .. } => {
                    self.check_element_count(0, *min, *max);
                }
                NodeKind::Container => self.check_unset_container(id),
                _ => {}
            }
            self.place.pop();
        }
    }

    fn add_missing(&mut self) {
        self.add_fault(FaultKind::MissingElement, "must be set", None);
    }

    fn check_element_count(&mut self, count: usize, min: usize, max: usize) {
        if count < min {
            let message = format!("holds {count}; at least {min} are needed");
            self.add_fault(FaultKind::TooFew, message, Some("too-few-elements"));
        } else if count > max {
            let message = format!("holds {count}; at most {max} are allowed");
            self.add_fault(FaultKind::TooMany, message, Some("too-many-elements"));
        }
    }

    fn check_leafref(&mut self, ty: &Type, value: &Text) {
        let Type::Leafref { target, .. } = ty else { return };
        let (schema, tree) = (self.schema, self.tree);
        let allowed = self.leafref_values.entry(*target).or_insert_with(|| {
            let mut values = BTreeSet::new();
            collect_values(&schema.ancestry(*target), tree.fields(), &mut values);
            values
        });
        if !allowed.contains(value) {
            let message = format!("'{value}' is no {} that there is", schema.node(*target).name);
            self.add_fault(FaultKind::MissingInstance, message, Some("instance-required"));
        }
    }

    fn check_constraints(&mut self, id: NodeId, ancestors: &Ancestors<'a>, leaf: Option<Text>) {
        let schema = self.schema;
        if schema.node(id).musts.is_empty() {
            return;
        }
        let context = Context { schema, ancestors: ancestors.clone(), leaf };
        for must in &schema.node(id).musts {
            if !must.holds(&context) {
                let message = must.message.clone().unwrap_or_else(|| format!("must hold: {}", must.text));
                let tag = must.tag.as_deref().or(Some("must-violation"));
                self.add_fault(FaultKind::MustViolation, message, tag);
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
