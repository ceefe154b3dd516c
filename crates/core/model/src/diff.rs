//! Differences between two trees, leaf by leaf. Subtrees that both share in memory are skipped.

use crate::edit::Op;
use crate::node_id::NodeId;
use crate::schema::Schema;
use crate::tree::{Entries, Fields, Node, NodeRef, Place, Segment, Text, Tree, visit_node};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The change of one leaf, or of one member of a leaf-list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The place of the leaf. For a leaf-list member, the last segment has the member's value as its key.
    pub place: Place,
    /// The value before; `None` if the leaf or member was not set.
    pub old: Option<Text>,
    /// The value after; `None` if the leaf or member is not set.
    pub new: Option<Text>,
}

/// The changes from `old` to `new`, in the order of their places.
pub fn diff(old: &Tree, new: &Tree) -> Vec<Change> {
    let mut found = Vec::new();
    diff_fields(old.fields(), new.fields(), &mut Place::new(), &mut found);
    found
}

/// The inverse changes: from the new tree to the old one.
pub fn revert(changes: &[Change]) -> Vec<Change> {
    let back = |change: &Change| Change {
        place: change.place.clone(),
        old: change.new.clone(),
        new: change.old.clone(),
    };
    changes.iter().map(back).collect()
}

impl Tree {
    /// Applies changes. Fails if a leaf's value is not the old value of its change; for key leaves, and for removals
    /// of leaves that are not set, the old value is not compared. If it fails, the tree is unchanged.
    pub fn apply_changes(&mut self, schema: &Schema, changes: &[Change]) -> Result<(), String> {
        let before = self.clone();
        for change in changes {
            if let Err(message) = self.apply_change(schema, change) {
                *self = before;
                return Err(format!("{}: {message}", schema.text(&change.place)));
            }
        }
        Ok(())
    }

    fn apply_change(&mut self, schema: &Schema, change: &Change) -> Result<(), String> {
        let current = match self.get(&change.place) {
            Some(NodeRef::Leaf(value)) => Some(value.clone()),
            None => None,
            Some(_) => return Err("is no leaf".to_owned()),
        };
        let Some(last) = change.place.last() else { return Err("a change has no place".to_owned()) };
        // Setting or removing a key leaf creates or deletes its entry. An earlier change may have done that
        // already.
        if schema.is_key(last.node) {
            let entry = &change.place[..change.place.len() - 1];
            return match (&change.new, self.get(entry)) {
                (Some(_), None) => {
                    let empty = Node::Container(Arc::default());
                    self.apply(schema, Op::Merge, entry, Some(&empty)).map_err(|fault| fault.message)
                }
                (None, Some(_)) => self.apply(schema, Op::Remove, entry, None).map_err(|fault| fault.message),
                _ => Ok(()),
            };
        }
        if current != change.old {
            // An earlier change may have deleted the leaf's entry with all its content.
            let deleted = change.new.is_none() && current.is_none();
            return if deleted { Ok(()) } else { Err("is not what the change starts from".to_owned()) };
        }
        let (op, value) = match &change.new {
            Some(value) => (Op::Merge, Some(Node::Leaf(value.clone()))),
            None => (Op::Remove, None),
        };
        self.apply(schema, op, &change.place, value.as_ref()).map_err(|fault| fault.message)
    }
}

fn diff_fields(old: &Fields, new: &Fields, place: &mut Place, found: &mut Vec<Change>) {
    let ids: BTreeSet<NodeId> = old.keys().chain(new.keys()).copied().collect();
    for id in ids {
        diff_node(id, old.get(&id), new.get(&id), place, found);
    }
}

fn diff_node(id: NodeId, old: Option<&Node>, new: Option<&Node>, place: &mut Place, found: &mut Vec<Change>) {
    match (old, new) {
        (Some(Node::Container(old)), Some(Node::Container(new))) => {
            if !Arc::ptr_eq(old, new) {
                place.push(Segment { node: id, keys: None });
                diff_fields(old, new, place, found);
                place.pop();
            }
        }
        (Some(Node::List(old)), Some(Node::List(new))) => {
            if !Arc::ptr_eq(old, new) {
                diff_entries(id, old, new, place, found);
            }
        }
        (Some(Node::LeafList(old)), Some(Node::LeafList(new))) => {
            if !Arc::ptr_eq(old, new) {
                diff_members(id, old, new, place, found);
            }
        }
        (Some(Node::Leaf(old)), Some(Node::Leaf(new))) => {
            if old != new {
                let place = child_place(place, id, None);
                found.push(Change { place, old: Some(old.clone()), new: Some(new.clone()) });
            }
        }
        (old, new) => {
            if let Some(old) = old {
                visit_node(id, old, place, &mut |place: &[Segment], value: &Text| {
                    found.push(Change { place: place.to_vec(), old: Some(value.clone()), new: None });
                });
            }
            if let Some(new) = new {
                visit_node(id, new, place, &mut |place: &[Segment], value: &Text| {
                    found.push(Change { place: place.to_vec(), old: None, new: Some(value.clone()) });
                });
            }
        }
    }
}

fn diff_entries(id: NodeId, old: &Entries, new: &Entries, place: &mut Place, found: &mut Vec<Change>) {
    let empty = Arc::new(Fields::new());
    let keys: BTreeSet<&Vec<Text>> = old.keys().chain(new.keys()).collect();
    for keys in keys {
        let (old, new) = (old.get(keys).unwrap_or(&empty), new.get(keys).unwrap_or(&empty));
        if !Arc::ptr_eq(old, new) {
            place.push(Segment { node: id, keys: Some(keys.clone()) });
            diff_fields(old, new, place, found);
            place.pop();
        }
    }
}

fn diff_members(
    id: NodeId,
    old: &BTreeSet<Text>,
    new: &BTreeSet<Text>,
    place: &Place,
    found: &mut Vec<Change>,
) {
    for value in old.symmetric_difference(new) {
        let place = child_place(place, id, Some(vec![value.clone()]));
        found.push(Change { place, old: old.get(value).cloned(), new: new.get(value).cloned() });
    }
}

fn child_place(place: &Place, node: NodeId, keys: Option<Vec<Text>>) -> Place {
    let mut child = place.clone();
    child.push(Segment { node, keys });
    child
}
