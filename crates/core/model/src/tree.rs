//! Data trees. Whatever two trees have in common they may share, so a copy costs little and a change copies
//! only what lies on its way.

use crate::node_id::NodeId;
use std::collections::{BTreeMap, BTreeSet};
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

    pub(crate) fn fields_mut(&mut self) -> &mut Arc<Fields> {
        &mut self.fields
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
