//! Data trees with structural sharing: a copy shares all nodes, and a change copies only the changed
//! node's ancestors.

use crate::node_id::NodeId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A leaf's value in canonical form (RFC 7950, 9.1).
pub type Text = Arc<str>;
/// The child nodes that are set in a container or list entry.
pub type Fields = BTreeMap<NodeId, Node>;
/// The entries of a list by their key values, which are in the order of the `key` statement.
pub type Entries = BTreeMap<Vec<Text>, Arc<Fields>>;

/// A data node with its descendants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Node {
    /// A container, or one list entry.
    Container(Arc<Fields>),
    /// A list. Each entry holds its key leaves too.
    List(Arc<Entries>),
    /// A leaf's value.
    Leaf(Text),
    /// A leaf-list with all its values.
    LeafList(Arc<BTreeSet<Text>>),
}

/// One step of a [`Place`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Segment {
    /// The schema node.
    pub node: NodeId,
    /// The key values of a list entry, or the value of a leaf-list member; `None` for the whole node.
    pub keys: Option<Vec<Text>>,
}

/// The path of a data node instance, from the top level (an instance-identifier, RFC 7950, 9.13).
pub type Place = Vec<Segment>;

/// A reference to the data at a place.
#[derive(Debug, Clone, Copy)]
pub enum NodeRef<'a> {
    /// A container, or one list entry.
    Fields(&'a Arc<Fields>),
    /// A whole list.
    List(&'a Arc<Entries>),
    /// A whole leaf-list.
    LeafList(&'a Arc<BTreeSet<Text>>),
    /// A leaf's value, or one member of a leaf-list.
    Leaf(&'a Text),
}

/// A data tree. It holds no empty container, list or leaf-list, so trees with the same leaves have the same
/// structure.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tree {
    fields: Arc<Fields>,
}

impl Tree {
    /// A tree with these top-level nodes.
    pub fn of(fields: Fields) -> Tree {
        Tree { fields: Arc::new(fields) }
    }

    /// The top-level nodes.
    pub fn fields(&self) -> &Arc<Fields> {
        &self.fields
    }

    pub(crate) fn fields_mut(&mut self) -> &mut Arc<Fields> {
        &mut self.fields
    }

    /// Compares the pointers of both roots. True implies that the trees are equal; equal trees may have
    /// different roots.
    pub fn is_same(&self, other: &Tree) -> bool {
        Arc::ptr_eq(&self.fields, &other.fields)
    }

    /// The data at a place; `None` if nothing is set there.
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

    /// Calls `visit` for every leaf and every leaf-list member, in the order of their places.
    pub fn for_each_leaf(&self, mut visit: impl FnMut(&[Segment], &Text)) {
        visit_fields(&self.fields, &mut Vec::new(), &mut visit);
    }

    /// The number of leaves and leaf-list members.
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

/// Calls `visit` for every leaf at or below a node whose parent is at `place`.
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

/// The referenced data as an owned node; a list entry becomes a container.
pub fn node_of(found: NodeRef) -> Node {
    match found {
        NodeRef::Fields(fields) => Node::Container(fields.clone()),
        NodeRef::List(entries) => Node::List(entries.clone()),
        NodeRef::LeafList(values) => Node::LeafList(values.clone()),
        NodeRef::Leaf(value) => Node::Leaf(value.clone()),
    }
}
