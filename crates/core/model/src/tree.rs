//! Data trees. Whatever two trees have in common they may share, so a copy costs little and a change copies
//! only what lies on its way.

use crate::fault::{Fault, FaultKind};
use crate::schema::{NodeId, NodeKind, Schema};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;

pub type Text = Arc<str>;
pub type Fields = BTreeMap<NodeId, Node>;
type Entries = BTreeMap<Vec<Text>, Arc<Fields>>;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Node {
    Container(Arc<Fields>),
    /// Entries by their keys; each holds its key leaves too.
    List(Arc<Entries>),
    Leaf(Text),
    LeafList(Arc<BTreeSet<Text>>),
}

/// One step to a place: with keys an entry of a list, or with one value a member of a leaf-list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Segment {
    pub node: NodeId,
    pub keys: Option<Vec<Text>>,
}

/// Where something stands, from the top.
pub type Place = Vec<Segment>;

/// What stands at a place.
#[derive(Debug, Clone, Copy)]
pub enum NodeRef<'a> {
    Fields(&'a Arc<Fields>),
    List(&'a Arc<Entries>),
    LeafList(&'a Arc<BTreeSet<Text>>),
    /// A leaf's value, or the member of a leaf-list.
    Leaf(&'a Text),
}

/// What an edit does at its place (RFC 6241, section 7.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    fields: Arc<Fields>,
}

impl Tree {
    pub fn of(fields: Fields) -> Tree {
        Tree { fields: Arc::new(fields) }
    }

    pub fn fields(&self) -> &Arc<Fields> {
        &self.fields
    }

    /// Whether both are one and the same, which is found without looking at what they hold.
    pub fn is_same(&self, other: &Tree) -> bool {
        Arc::ptr_eq(&self.fields, &other.fields)
    }

    pub fn get(&self, place: &[Segment]) -> Option<NodeRef<'_>> {
        let mut at = NodeRef::Fields(&self.fields);
        for seg in place {
            let NodeRef::Fields(fields) = at else { return None };
            at = match (fields.get(&seg.node)?, &seg.keys) {
                (Node::Container(inner), None) => NodeRef::Fields(inner),
                (Node::List(entries), None) => NodeRef::List(entries),
                (Node::List(entries), Some(keys)) => NodeRef::Fields(entries.get(keys)?),
                (Node::Leaf(value), None) => NodeRef::Leaf(value),
                (Node::LeafList(values), None) => NodeRef::LeafList(values),
                (Node::LeafList(values), Some(keys)) => NodeRef::Leaf(values.get(keys.first()?)?),
                _ => return None,
            };
        }
        Some(at)
    }

    /// A leaf's value, or its default.
    pub fn leaf<'a>(&'a self, schema: &'a Schema, place: &[Segment]) -> Option<&'a str> {
        match self.get(place) {
            Some(NodeRef::Leaf(value)) => Some(value),
            _ => schema.default_of(place.last()?.node),
        }
    }

    /// Carries out one edit, or leaves the tree as it is.
    pub fn apply(
        &mut self,
        schema: &Schema,
        op: Op,
        place: &[Segment],
        value: Option<&Node>,
    ) -> Result<(), Fault> {
        let fault = |kind, what: &str| Fault::new(kind, schema.text(place), what);
        if let Some(seg) = place.last() {
            if !schema.node(seg.node).config {
                return Err(fault(FaultKind::ReadOnly, "is state and can't be edited"));
            }
            if schema.is_key(seg.node) {
                let same = matches!((self.get(place), value), (Some(NodeRef::Leaf(a)), Some(Node::Leaf(b))) if a == b);
                let sets = matches!(op, Op::Merge | Op::Replace);
                return if same && sets {
                    Ok(())
                } else {
                    Err(fault(FaultKind::BadElement, "is a key: create or delete the entry instead"))
                };
            }
        }
        let there = if place.is_empty() { !self.fields.is_empty() } else { self.get(place).is_some() };
        match op {
            Op::Create if there => return Err(fault(FaultKind::DataExists, "exists already")),
            Op::Delete if !there => return Err(fault(FaultKind::DataMissing, "does not exist")),
            Op::Remove if !there => return Ok(()),
            _ => {}
        }
        if there && matches!(op, Op::Delete | Op::Remove | Op::Replace) {
            remove(Arc::make_mut(&mut self.fields), place);
        }
        if matches!(op, Op::Merge | Op::Replace | Op::Create) {
            let value = value.ok_or_else(|| fault(FaultKind::MissingElement, "a value is missing"))?;
            set(schema, Arc::make_mut(&mut self.fields), place, value);
            tidy(&mut self.fields);
        }
        Ok(())
    }

    /// Calls for every leaf and member of a leaf-list, in order.
    pub fn for_each_leaf(&self, mut visit: impl FnMut(&[Segment], &Text)) {
        each(&self.fields, &mut Vec::new(), &mut visit);
    }

    /// How many leaves and members it holds.
    pub fn count(&self) -> usize {
        let mut count = 0;
        self.for_each_leaf(|_, _| count += 1);
        count
    }
}

pub(crate) fn each(fields: &Fields, place: &mut Place, visit: &mut impl FnMut(&[Segment], &Text)) {
    for (id, node) in fields {
        each_of(*id, node, place, visit);
    }
}

pub(crate) fn each_of(id: NodeId, node: &Node, place: &mut Place, visit: &mut impl FnMut(&[Segment], &Text)) {
    place.push(Segment { node: id, keys: None });
    match node {
        Node::Container(inner) => each(inner, place, visit),
        Node::Leaf(value) => visit(place, value),
        Node::LeafList(values) => {
            for value in values.iter() {
                set_keys(place, vec![value.clone()]);
                visit(place, value);
            }
        }
        Node::List(entries) => {
            for (keys, entry) in entries.iter() {
                set_keys(place, keys.clone());
                each(entry, place, visit);
            }
        }
    }
    place.pop();
}

fn set_keys(place: &mut Place, keys: Vec<Text>) {
    if let Some(last) = place.last_mut() {
        last.keys = Some(keys);
    }
}

/// What stands at a place, as a node of its own: an entry of a list comes as what it holds.
pub fn node_of(found: NodeRef) -> Node {
    match found {
        NodeRef::Fields(fields) => Node::Container(fields.clone()),
        NodeRef::List(entries) => Node::List(entries.clone()),
        NodeRef::LeafList(values) => Node::LeafList(values.clone()),
        NodeRef::Leaf(value) => Node::Leaf(value.clone()),
    }
}

/// Takes away what stands at the place, and what is left empty above it. An entry of a list stays, as its keys do.
fn remove(fields: &mut Fields, place: &[Segment]) {
    let Some((seg, rest)) = place.split_first() else { return fields.clear() };
    let empty = match (fields.get_mut(&seg.node), &seg.keys) {
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
        fields.remove(&seg.node);
    }
}

/// Merges a node in at a place; what lies on the way is made.
fn set(schema: &Schema, fields: &mut Fields, place: &[Segment], value: &Node) {
    let Some((seg, rest)) = place.split_first() else {
        if let Node::Container(inner) = value {
            merge_fields(fields, inner);
        }
        return;
    };
    match (&schema.node(seg.node).kind, &seg.keys) {
        (NodeKind::Container, _) => {
            let slot = fields.entry(seg.node).or_insert_with(|| Node::Container(Arc::default()));
            if let Node::Container(inner) = slot {
                set(schema, Arc::make_mut(inner), rest, value);
            }
        }
        (NodeKind::List { keys: leaves, .. }, Some(keys)) => {
            let slot = fields.entry(seg.node).or_insert_with(|| Node::List(Arc::default()));
            if let Node::List(entries) = slot {
                let entry = Arc::make_mut(entries).entry(keys.clone()).or_insert_with(|| {
                    let keys = leaves.iter().zip(keys).map(|(leaf, key)| (*leaf, Node::Leaf(key.clone())));
                    Arc::new(keys.collect())
                });
                set(schema, Arc::make_mut(entry), rest, value);
            }
        }
        (NodeKind::LeafList { .. }, Some(keys)) => {
            let slot = fields.entry(seg.node).or_insert_with(|| Node::LeafList(Arc::default()));
            if let Node::LeafList(values) = slot {
                Arc::make_mut(values).extend(keys.first().cloned());
            }
        }
        _ => merge(fields, seg.node, value),
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
                    Some(held) => merge_fields(Arc::make_mut(held), entry),
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

/// Drops containers, lists and leaf-lists that hold nothing, so that equal trees are equal in form too.
fn tidy(fields: &mut Arc<Fields>) {
    if !fields.values().any(hollow) {
        return;
    }
    Arc::make_mut(fields).retain(|_, node| {
        match node {
            Node::Container(inner) => tidy(inner),
            Node::List(entries) if entries.values().any(|entry| entry.values().any(hollow)) => {
                Arc::make_mut(entries).values_mut().for_each(tidy);
            }
            _ => {}
        }
        !empty(node)
    });
}

fn empty(node: &Node) -> bool {
    match node {
        Node::Container(inner) => inner.is_empty(),
        Node::List(entries) => entries.is_empty(),
        Node::LeafList(values) => values.is_empty(),
        Node::Leaf(_) => false,
    }
}

/// Whether it is empty or holds something empty.
fn hollow(node: &Node) -> bool {
    empty(node)
        || match node {
            Node::Container(inner) => inner.values().any(hollow),
            Node::List(entries) => entries.values().any(|entry| entry.values().any(hollow)),
            _ => false,
        }
}

impl Schema {
    /// A place as text: `/front/pool[name=east]/location[.=east]`.
    pub fn text(&self, place: &[Segment]) -> String {
        if place.is_empty() {
            return "/".to_owned();
        }
        let mut text = String::new();
        for seg in place {
            let _ = write!(text, "/{}", self.node(seg.node).name);
            let Some(keys) = &seg.keys else { continue };
            let leaves = self.keys(seg.node);
            if leaves.is_empty() {
                keys.iter().for_each(|value| predicate(&mut text, ".", value));
            } else {
                let named = leaves.iter().zip(keys);
                named.for_each(|(leaf, value)| predicate(&mut text, &self.node(*leaf).name, value));
            }
        }
        text
    }
}

fn predicate(text: &mut String, name: &str, value: &str) {
    let _ = write!(text, "[{name}=");
    for c in value.chars() {
        if matches!(c, ']' | '\\') {
            text.push('\\');
        }
        text.push(c);
    }
    text.push(']');
}
