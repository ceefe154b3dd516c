//! Selects the leaves of a tree by a set of patterns.

use lemonusher_model::{Node, NodeId, NodeRef, Pattern, Place, Segment, Text, Tree};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A leaf's value, or all members of a leaf-list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// The value of a leaf.
    Leaf(Text),
    /// All members of a leaf-list.
    LeafList(Arc<BTreeSet<Text>>),
}

/// Values of leaves and leaf-lists, by their places in the tree.
pub type Leaves = BTreeMap<Place, Value>;

/// All leaves and leaf-lists at or below the places that the patterns select.
pub fn leaves(tree: &Tree, patterns: &[Pattern]) -> Leaves {
    let mut found = Vec::new();
    for pattern in patterns {
        tree.select(pattern, &mut |place, at| collect(place.to_vec(), at, &mut found));
    }
    // A map is built faster from all leaves, which are almost in order, than by single insertions.
    found.into_iter().collect()
}

/// Leaves in the order in which they were found.
type FoundLeaves = Vec<(Place, Value)>;

fn collect(mut place: Place, at: NodeRef<'_>, found: &mut FoundLeaves) {
    match at {
        NodeRef::Leaf(value) => found.push((place, Value::Leaf(value.clone()))),
        NodeRef::LeafList(values) => found.push((place, Value::LeafList(values.clone()))),
        NodeRef::Fields(fields) => collect_fields(fields, &mut place, found),
        NodeRef::List(entries) => {
            entries.iter().for_each(|(keys, entry)| collect_entry(keys, entry, &mut place, found));
        }
    }
}

fn collect_fields(fields: &BTreeMap<NodeId, Node>, place: &mut Place, found: &mut FoundLeaves) {
    for (id, node) in fields {
        place.push(Segment { node: *id, keys: None });
        match node {
            Node::Leaf(value) => found.push((place.clone(), Value::Leaf(value.clone()))),
            Node::LeafList(values) => found.push((place.clone(), Value::LeafList(values.clone()))),
            Node::Container(inner) => collect_fields(inner, place, found),
            Node::List(entries) => {
                entries.iter().for_each(|(keys, entry)| collect_entry(keys, entry, place, found));
            }
        }
        place.pop();
    }
}

/// Collects the leaves of one list entry. The last segment of `place` is the list, without keys.
fn collect_entry(keys: &[Text], entry: &BTreeMap<NodeId, Node>, place: &mut Place, found: &mut FoundLeaves) {
    let Some(last) = place.last_mut() else { return };
    last.keys = Some(keys.to_vec());
    collect_fields(entry, place, found);
    if let Some(last) = place.last_mut() {
        last.keys = None;
    }
}
