//! Converts the `config` element of an `edit-config` to edits (RFC 6241, section 7.2).

use crate::BASE;
use crate::data::{child_of, from_xml, keys, leaf};
use crate::operation::DefaultOperation;
use crate::xml::Element;
use lemonusher_model::{Fault, FaultKind, Node, NodeId, NodeKind, Op, Place, Schema, Segment, Text, Tree};
use lemonusher_store::Edit;
use std::sync::Arc;

/// Maximum number of characters of an unknown operation's name in an error message.
const MAX_SHOWN_CHARACTERS: usize = 32;

/// The edits of a `config` element, in document order. Fails if it doesn't fit the schema, or if a node whose
/// operation is `none` doesn't exist in `tree`.
pub fn edits(
    schema: &Schema,
    tree: &Tree,
    config: &Element,
    default: DefaultOperation,
) -> Result<Vec<Edit>, Fault> {
    let mut collector = EditCollector { schema, tree, edits: Vec::new() };
    let op = match default {
        DefaultOperation::Merge => Some(Op::Merge),
        DefaultOperation::Replace => Some(Op::Replace),
        DefaultOperation::None => None,
    };
    collector.collect_children(&mut Place::new(), config, op)?;
    let mut edits = collector.edits;
    if default == DefaultOperation::Replace {
        // `replace` also deletes the nodes that the config doesn't contain, so the first edit replaces the whole tree.
        let value = Some(Node::Container(from_xml(schema, None, config)?));
        edits.retain(|edit| matches!(edit.op, Op::Delete | Op::Create));
        edits.insert(0, Edit { op: Op::Replace, place: Place::new(), value });
    }
    Ok(edits)
}

/// Collects edits while walking a `config` element.
struct EditCollector<'a> {
    schema: &'a Schema,
    tree: &'a Tree,
    edits: Vec<Edit>,
}

impl EditCollector<'_> {
    fn collect_children(
        &mut self,
        place: &mut Place,
        element: &Element,
        op: Option<Op>,
    ) -> Result<(), Fault> {
        for child in &element.children {
            let parent = place.last().map(|segment| segment.node);
            let id = child_of(self.schema, parent, child)?;
            place.push(Segment { node: id, keys: None });
            self.collect_node(place, id, child, op)?;
            place.pop();
        }
        Ok(())
    }

    fn collect_node(
        &mut self,
        place: &mut Place,
        id: NodeId,
        element: &Element,
        inherited: Option<Op>,
    ) -> Result<(), Fault> {
        let op = self.operation(place, element, inherited)?;
        match &self.schema.node(id).kind {
            NodeKind::Leaf { .. } => {
                let value = match op {
                    Some(Op::Delete | Op::Remove) => None,
                    _ => Some(Node::Leaf(leaf(self.schema, id, element)?)),
                };
                self.push(op, place, value)
            }
            NodeKind::LeafList { .. } => {
                let value = leaf(self.schema, id, element)?;
                set_keys(place, vec![value.clone()]);
                self.push(op, place, Some(Node::Leaf(value)))
            }
            NodeKind::List { .. } => {
                set_keys(place, keys(self.schema, id, element)?);
                self.collect_entry(place, id, element, op)
            }
            NodeKind::Container | NodeKind::Notification if is_merged(op) => {
                self.collect_children(place, element, op)
            }
            NodeKind::Container | NodeKind::Notification => self.push_whole(place, id, element, op),
        }
    }

    /// The operation of an element: its `operation` attribute, or else the inherited one.
    fn operation(
        &self,
        place: &Place,
        element: &Element,
        inherited: Option<Op>,
    ) -> Result<Option<Op>, Fault> {
        Ok(match element.attribute(BASE, "operation") {
            None => inherited,
            Some("merge") => Some(Op::Merge),
            Some("replace") => Some(Op::Replace),
            Some("create") => Some(Op::Create),
            Some("delete") => Some(Op::Delete),
            Some("remove") => Some(Op::Remove),
            Some(other) => {
                let shown: String = other.chars().take(MAX_SHOWN_CHARACTERS).collect();
                let what = format!("operation '{shown}' is not known");
                return Err(Fault::new(FaultKind::InvalidValue, self.schema.text(place), what));
            }
        })
    }

    /// Adds the edits of a list entry: one for the whole entry, or one that creates it and then those of its children.
    fn collect_entry(
        &mut self,
        place: &mut Place,
        id: NodeId,
        element: &Element,
        op: Option<Op>,
    ) -> Result<(), Fault> {
        if !is_merged(op) {
            return self.push_whole(place, id, element, op);
        }
        self.push(op, place, Some(Node::Container(Arc::default())))?;
        let schema = self.schema;
        let is_non_key =
            |child: &&Element| schema.keys(id).iter().all(|key| schema.node(*key).name != child.name);
        let children = element.children.iter().filter(is_non_key).cloned().collect();
        self.collect_children(place, &Element { children, ..Element::default() }, op)
    }

    /// Adds one edit for a whole container or list entry.
    fn push_whole(
        &mut self,
        place: &Place,
        id: NodeId,
        element: &Element,
        op: Option<Op>,
    ) -> Result<(), Fault> {
        let value = match op {
            Some(Op::Delete | Op::Remove) => None,
            _ => Some(Node::Container(from_xml(self.schema, Some(id), element)?)),
        };
        self.push(op, place, value)
    }

    /// Adds an edit. A node without an operation is not edited but must exist (`default-operation` `none`, RFC 6241).
    fn push(&mut self, op: Option<Op>, place: &Place, value: Option<Node>) -> Result<(), Fault> {
        match op {
            Some(op) => self.edits.push(Edit { op, place: place.clone(), value }),
            None if self.tree.get(place).is_none() => {
                let text = self.schema.text(place);
                return Err(Fault::new(FaultKind::DataMissing, text, "does not exist"));
            }
            None => {}
        }
        Ok(())
    }
}

/// Whether the children of an element are edited one by one, rather than the element as a whole.
fn is_merged(op: Option<Op>) -> bool {
    matches!(op, None | Some(Op::Merge))
}

fn set_keys(place: &mut Place, keys: Vec<Text>) {
    if let Some(last) = place.last_mut() {
        last.keys = Some(keys);
    }
}
