//! What differs between two trees, leaf by leaf. What they share is not looked at.

use crate::node_id::NodeId;
use crate::tree::{Fields, Node, Place, Segment, Text, Tree, each_of};
use std::sync::Arc;

/// A leaf, or a member of a leaf-list, that is not the same in both.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    pub place: Place,
    pub old: Option<Text>,
    pub new: Option<Text>,
}

/// The changes that lead from one tree to the other, in order of their places.
pub fn diff(old: &Tree, new: &Tree) -> Vec<Change> {
    let mut found = Vec::new();
    fields(old.fields(), new.fields(), &mut Place::new(), &mut found);
    found
}

/// The same changes the other way round.
pub fn revert(changes: &[Change]) -> Vec<Change> {
    let back = |change: &Change| Change {
        place: change.place.clone(),
        old: change.new.clone(),
        new: change.old.clone(),
    };
    changes.iter().map(back).collect()
}

impl Tree {
    /// Carries changes out. Where what stands there is not what the change starts from, it says so and the tree
    /// is as it was.
    pub fn apply_changes(&mut self, schema: &crate::Schema, changes: &[Change]) -> Result<(), String> {
        let before = self.clone();
        for change in changes {
            if let Err(what) = self.follow_one(schema, change) {
                *self = before;
                return Err(format!("{}: {what}", schema.text(&change.place)));
            }
        }
        Ok(())
    }

    fn follow_one(&mut self, schema: &crate::Schema, change: &Change) -> Result<(), String> {
        let held = match self.get(&change.place) {
            Some(crate::NodeRef::Leaf(value)) => Some(value.clone()),
            None => None,
            Some(_) => return Err("is no leaf".to_owned()),
        };
        let Some(last) = change.place.last() else { return Err("a change has no place".to_owned()) };
        // A key comes and goes with its entry: whichever of the entry's changes is first does it for all.
        if schema.is_key(last.node) {
            let entry = &change.place[..change.place.len() - 1];
            return match (&change.new, self.get(entry)) {
                (Some(_), None) => {
                    let empty = Node::Container(Arc::default());
                    self.apply(schema, crate::Op::Merge, entry, Some(&empty)).map_err(|fault| fault.what)
                }
                (None, Some(_)) => {
                    self.apply(schema, crate::Op::Remove, entry, None).map_err(|fault| fault.what)
                }
                _ => Ok(()),
            };
        }
        if held != change.old {
            // Its entry has gone already, with all that it held.
            let gone = change.new.is_none() && held.is_none();
            return if gone { Ok(()) } else { Err("is not what the change starts from".to_owned()) };
        }
        let (op, value) = match &change.new {
            Some(value) => (crate::Op::Merge, Some(Node::Leaf(value.clone()))),
            None => (crate::Op::Remove, None),
        };
        self.apply(schema, op, &change.place, value.as_ref()).map_err(|fault| fault.what)
    }
}

fn fields(old: &Fields, new: &Fields, place: &mut Place, found: &mut Vec<Change>) {
    let ids: std::collections::BTreeSet<NodeId> = old.keys().chain(new.keys()).copied().collect();
    for id in ids {
        node(id, old.get(&id), new.get(&id), place, found);
    }
}

fn node(id: NodeId, old: Option<&Node>, new: Option<&Node>, place: &mut Place, found: &mut Vec<Change>) {
    match (old, new) {
        (Some(Node::Container(a)), Some(Node::Container(b))) => {
            if !Arc::ptr_eq(a, b) {
                place.push(Segment { node: id, keys: None });
                fields(a, b, place, found);
                place.pop();
            }
        }
        (Some(Node::List(a)), Some(Node::List(b))) => {
            if Arc::ptr_eq(a, b) {
                return;
            }
            let none = Arc::new(Fields::new());
            let keys: std::collections::BTreeSet<&Vec<Text>> = a.keys().chain(b.keys()).collect();
            for keys in keys {
                let (a, b) = (a.get(keys).unwrap_or(&none), b.get(keys).unwrap_or(&none));
                if !Arc::ptr_eq(a, b) {
                    place.push(Segment { node: id, keys: Some(keys.clone()) });
                    fields(a, b, place, found);
                    place.pop();
                }
            }
        }
        (Some(Node::LeafList(a)), Some(Node::LeafList(b))) => {
            if Arc::ptr_eq(a, b) {
                return;
            }
            for value in a.symmetric_difference(b) {
                let mut at = place.clone();
                at.push(Segment { node: id, keys: Some(vec![value.clone()]) });
                let held = |set: &std::collections::BTreeSet<Text>| set.get(value).cloned();
                found.push(Change { place: at, old: held(a), new: held(b) });
            }
        }
        (Some(Node::Leaf(a)), Some(Node::Leaf(b))) => {
            if a != b {
                let mut at = place.clone();
                at.push(Segment { node: id, keys: None });
                found.push(Change { place: at, old: Some(a.clone()), new: Some(b.clone()) });
            }
        }
        (old, new) => {
            if let Some(old) = old {
                each_of(id, old, place, &mut |place: &[Segment], value: &Text| {
                    found.push(Change { place: place.to_vec(), old: Some(value.clone()), new: None });
                });
            }
            if let Some(new) = new {
                each_of(id, new, place, &mut |place: &[Segment], value: &Text| {
                    found.push(Change { place: place.to_vec(), old: None, new: Some(value.clone()) });
                });
            }
        }
    }
}
