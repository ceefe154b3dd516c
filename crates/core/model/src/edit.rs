//! Edits of data trees (`edit-config` operations, RFC 6241, 7.2). Every edit removes the containers, lists
//! and leaf-lists that it leaves empty.

use crate::fault::{Fault, FaultKind};
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Fields, Node, NodeRef, Segment, Tree};
use std::sync::Arc;

/// The operation of an edit (the `operation` attribute, RFC 6241, 7.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// Merges the value with the existing data.
    Merge,
    /// Replaces the existing data, if any, by the value.
    Replace,
    /// Creates the node with the value; fails if it exists.
    Create,
    /// Deletes the node; fails if it does not exist.
    Delete,
    /// Deletes the node if it exists.
    Remove,
}

impl Tree {
    /// The value of the leaf at a place, or else its default.
    pub fn leaf<'a>(&'a self, schema: &'a Schema, place: &[Segment]) -> Option<&'a str> {
        match self.get(place) {
            Some(NodeRef::Leaf(value)) => Some(value),
            _ => schema.default_of(place.last()?.node),
        }
    }

    /// Applies one edit. If it fails, the tree is unchanged, except that a replace without a value has already
    /// removed the old data.
    pub fn apply(
        &mut self,
        schema: &Schema,
        op: Op,
        place: &[Segment],
        value: Option<&Node>,
    ) -> Result<(), Fault> {
        let fault = |kind, message: &str| Fault::new(kind, schema.text(place), message);
        if let Some(segment) = place.last() {
            if !schema.node(segment.node).config {
                return Err(fault(FaultKind::ReadOnly, "is state and can't be edited"));
            }
            if schema.is_key(segment.node) {
                let same = matches!((self.get(place), value), (Some(NodeRef::Leaf(a)), Some(Node::Leaf(b))) if a == b);
                let sets = matches!(op, Op::Merge | Op::Replace);
                return if same && sets {
                    Ok(())
                } else {
                    Err(fault(FaultKind::BadElement, "is a key: create or delete the entry instead"))
                };
            }
        }
        let exists = if place.is_empty() { !self.fields().is_empty() } else { self.get(place).is_some() };
        match op {
            Op::Create if exists => return Err(fault(FaultKind::DataExists, "exists already")),
            Op::Delete if !exists => return Err(fault(FaultKind::DataMissing, "does not exist")),
            Op::Remove if !exists => return Ok(()),
            _ => {}
        }
        if exists && matches!(op, Op::Delete | Op::Remove | Op::Replace) {
            remove(Arc::make_mut(self.fields_mut()), place);
        }
        if matches!(op, Op::Merge | Op::Replace | Op::Create) {
            let value = value.ok_or_else(|| fault(FaultKind::MissingElement, "a value is missing"))?;
            set(schema, Arc::make_mut(self.fields_mut()), place, value);
            remove_empty(self.fields_mut());
        }
        Ok(())
    }
}

/// Removes the data at a place, and the ancestors that become empty by it. A list entry above the place is
/// kept, because it still holds its key leaves.
fn remove(fields: &mut Fields, place: &[Segment]) {
    let Some((segment, rest)) = place.split_first() else { return fields.clear() };
    let empty = match (fields.get_mut(&segment.node), &segment.keys) {
        (Some(Node::Container(inner)), _) if !rest.is_empty() => {
            let inner = Arc::make_mut(inner);
            remove(inner, rest);
            inner.is_empty()
        }
        (Some(Node::List(entries)), Some(keys)) => {
            let entries = Arc::make_mut(entries);
            if rest.is_empty() {
                entries.remove(keys);
            } else if let Some(entry) = entries.get_mut(keys) {
                remove(Arc::make_mut(entry), rest);
            }
            entries.is_empty()
        }
        (Some(Node::LeafList(values)), Some(keys)) => {
            let values = Arc::make_mut(values);
            keys.first().map(|value| values.remove(value));
            values.is_empty()
        }
        (Some(_), None) => true,
        _ => false,
    };
    if empty {
        fields.remove(&segment.node);
    }
}

/// Merges a node into the data at a place, and creates missing ancestors.
fn set(schema: &Schema, fields: &mut Fields, place: &[Segment], value: &Node) {
    let Some((segment, rest)) = place.split_first() else {
        if let Node::Container(inner) = value {
            merge_fields(fields, inner);
        }
        return;
    };
    match (&schema.node(segment.node).kind, &segment.keys) {
        (NodeKind::Container, _) => {
            let slot = fields.entry(segment.node).or_insert_with(|| Node::Container(Arc::default()));
            if let Node::Container(inner) = slot {
                set(schema, Arc::make_mut(inner), rest, value);
            }
        }
        (NodeKind::List { keys: leaves, .. }, Some(keys)) => {
            let slot = fields.entry(segment.node).or_insert_with(|| Node::List(Arc::default()));
            if let Node::List(entries) = slot {
                let entry = Arc::make_mut(entries).entry(keys.clone()).or_insert_with(|| {
                    let keys = leaves.iter().zip(keys).map(|(leaf, key)| (*leaf, Node::Leaf(key.clone())));
                    Arc::new(keys.collect())
                });
                set(schema, Arc::make_mut(entry), rest, value);
            }
        }
        (NodeKind::LeafList { .. }, Some(keys)) => {
            let slot = fields.entry(segment.node).or_insert_with(|| Node::LeafList(Arc::default()));
            if let Node::LeafList(values) = slot {
                Arc::make_mut(values).extend(keys.first().cloned());
            }
        }
        _ => merge(fields, segment.node, value),
    }
}

fn merge(fields: &mut Fields, id: NodeId, value: &Node) {
    match (fields.get_mut(&id), value) {
        (Some(Node::Container(old)), Node::Container(new)) => merge_fields(Arc::make_mut(old), new),
        (Some(Node::LeafList(old)), Node::LeafList(new)) => {
            Arc::make_mut(old).extend(new.iter().cloned());
        }
        (Some(Node::List(old)), Node::List(new)) => {
            let old = Arc::make_mut(old);
            for (keys, entry) in new.iter() {
                match old.get_mut(keys) {
                    Some(existing) => merge_fields(Arc::make_mut(existing), entry),
                    None => drop(old.insert(keys.clone(), entry.clone())),
                }
            }
        }
        _ => drop(fields.insert(id, value.clone())),
    }
}

fn merge_fields(fields: &mut Fields, new: &Fields) {
    for (id, node) in new {
        merge(fields, *id, node);
    }
}

/// Removes empty containers, lists and leaf-lists, so that trees with the same leaves have the same structure.
fn remove_empty(fields: &mut Arc<Fields>) {
    if !fields.values().any(holds_empty) {
        return;
    }
    Arc::make_mut(fields).retain(|_, node| {
        match node {
            Node::Container(inner) => remove_empty(inner),
            Node::List(entries) if entries.values().any(|entry| entry.values().any(holds_empty)) => {
                Arc::make_mut(entries).values_mut().for_each(remove_empty);
            }
            _ => {}
        }
        !is_empty(node)
    });
}

fn is_empty(node: &Node) -> bool {
    match node {
        Node::Container(inner) => inner.is_empty(),
        Node::List(entries) => entries.is_empty(),
        Node::LeafList(values) => values.is_empty(),
        Node::Leaf(_) => false,
    }
}

/// Returns true if a node or one of its descendants is empty.
fn holds_empty(node: &Node) -> bool {
    is_empty(node)
        || match node {
            Node::Container(inner) => inner.values().any(holds_empty),
            Node::List(entries) => entries.values().any(|entry| entry.values().any(holds_empty)),
            _ => false,
        }
}
