//! Data trees. Two trees may share what they have in common, so a copy costs little and a change copies only the nodes
//! above it.

use crate::node_id::NodeId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A leaf's value in canonical form.
pub type Text = Arc<str>;
/// The child nodes of a container or a list's entry that are set.
pub type Fields = BTreeMap<NodeId, Node>;
/// The entries of a list by their keys, in the list's order of keys.
pub type Entries = BTreeMap<Vec<Text>, Arc<Fields>>;

/// A node with all below it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Node {
    /// A container, or an entry of a list.
    Container(Arc<Fields>),
    /// Entries by their keys; each holds its key leaves too.
    List(Arc<Entries>),
    /// A leaf's value.
    Leaf(Text),
    /// All members of a leaf-list.
    LeafList(Arc<BTreeSet<Text>>),
}

/// One step to a place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Segment {
    /// The node.
    pub node: NodeId,
    /// The keys of an entry of a list, or the value of a member of a leaf-list; none for the node itself.
    pub keys: Option<Vec<Text>>,
}

/// Where a node stands in a tree, from the top.
pub type Place = Vec<Segment>;

/// A reference to what stands at a place.
#[derive(Debug, Clone, Copy)]
pub enum NodeRef<'a> {
    /// A container, or an entry of a list.
    Fields(&'a Arc<Fields>),
    /// A whole list.
    List(&'a Arc<Entries>),
    /// A whole leaf-list.
    LeafList(&'a Arc<BTreeSet<Text>>),
    /// A leaf's value, or the member of a leaf-list.
    Leaf(&'a Text),
}

/// A data tree. It holds no empty container, list or leaf-list, so equal trees are equal in form.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    fields: Arc<Fields>,
}

impl Tree {
    /// A tree of these top nodes.
    pub fn of(fields: Fields) -> Tree {
        Tree { fields: Arc::new(fields) }
    }

    /// The top nodes.
    pub fn fields(&self) -> &Arc<Fields> {
        &self.fields
    }

    pub(crate) fn fields_mut(&mut self) -> &mut Arc<Fields> {
        &mut self.fields
    }

    /// Whether both are one and the same in memory; found without comparing what they hold.
    pub fn is_same(&self, other: &Tree) -> bool {
        Arc::ptr_eq(&self.fields, &other.fields)
    }

    /// What stands at a place.
    pub fn get(&self, place: &[Segment]) -> Option<NodeRef<'_>> {
        let mut at = NodeRef::Fields(&self.fields);
        for segment in place {
            let NodeRef::Fields(fields) = at else { return None };
            at = match (fields.get(&segment.node)?, &segment.keys) {
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

    /// Calls for every leaf and every member of a leaf-list, in order of their places.
    pub fn for_each_leaf(&self, mut visit: impl FnMut(&[Segment], &Text)) {
        visit_fields(&self.fields, &mut Vec::new(), &mut visit);
    }

    /// How many leaves and members of leaf-lists it holds.
    pub fn count(&self) -> usize {
        let mut count = 0;
        self.for_each_leaf(|_, _| count += 1);
        count
    }
}

fn visit_fields(fields: &Fields, place: &mut Place, visit: &mut impl FnMut(&[Segment], &Text)) {
    for (id, node) in fields {
        visit_node(*id, node, place, visit);
    }
}

/// Calls for every leaf at or below a node, which stands below `place`.
pub(crate) fn visit_node(
    id: NodeId,
    node: &Node,
    place: &mut Place,
    visit: &mut impl FnMut(&[Segment], &Text),
) {
    place.push(Segment { node: id, keys: None });
    match node {
        Node::Container(inner) => visit_fields(inner, place, visit),
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
                visit_fields(entry, place, visit);
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

/// What a reference refers to, as a node of its own; an entry of a list becomes a container.
pub fn node_of(found: NodeRef) -> Node {
    match found {
        NodeRef::Fields(fields) => Node::Container(fields.clone()),
        NodeRef::List(entries) => Node::List(entries.clone()),
        NodeRef::LeafList(values) => Node::LeafList(values.clone()),
        NodeRef::Leaf(value) => Node::Leaf(value.clone()),
    }
}
