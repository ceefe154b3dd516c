//! Subtree filters (RFC 6241, section 6).

use crate::BASE;
use crate::xml::Element;
use lemonusher_model::{Fields, Node, NodeId, Schema, Text};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The fields that a subtree filter selects.
pub fn filter(schema: &Schema, fields: &Fields, filter: &Element) -> Fields {
    filter_fields(schema, None, fields, &filter.children).unwrap_or_default()
}

/// The fields that sibling filter elements select; None if one of the content match nodes among them doesn't match.
fn filter_fields(
    schema: &Schema,
    parent: Option<NodeId>,
    fields: &Fields,
    filters: &[Element],
) -> Option<Fields> {
    let is_known =
        |element: &&Element| element.ns.is_empty() || element.ns == schema.namespace || element.ns == BASE;
    let filters: Vec<&Element> = filters.iter().filter(is_known).collect();
    for element in filters.iter().filter(|element| is_content_match(element)) {
        if !content_matches(schema, parent, fields, element)? {
            return None;
        }
    }
    // If all siblings are content match nodes, the whole parent is selected (RFC 6241, section 6.2.5).
    if !filters.is_empty() && filters.iter().all(|element| is_content_match(element)) {
        return Some(fields.clone());
    }
    let mut selected = Fields::new();
    for element in filters {
        let id = schema.child(parent, &element.name);
        let Some((id, node)) = id.and_then(|id| Some((id, fields.get(&id)?))) else { continue };
        if let Some(part) = filter_node(schema, id, node, element) {
            merge_selected(&mut selected, id, part);
        }
    }
    Some(selected)
}

fn is_content_match(element: &Element) -> bool {
    element.children.is_empty() && !element.value().is_empty()
}

/// Whether a leaf has the value, or a leaf-list contains it. None if the schema has no such node, or if the value is
/// invalid for it.
fn content_matches(
    schema: &Schema,
    parent: Option<NodeId>,
    fields: &Fields,
    element: &Element,
) -> Option<bool> {
    let id = schema.child(parent, &element.name)?;
    let value = schema.canonical(id, element.value()).ok()?;
    Some(match fields.get(&id) {
        Some(Node::Leaf(set)) => *set == value,
        Some(Node::LeafList(members)) => members.contains(&value),
        _ => false,
    })
}

/// The part of a node that a filter element selects.
fn filter_node(schema: &Schema, id: NodeId, node: &Node, element: &Element) -> Option<Node> {
    if element.children.is_empty() {
        return Some(node.clone());
    }
    let inner = |fields: &Fields| {
        let selected = filter_fields(schema, Some(id), fields, &element.children)?;
        (!selected.is_empty()).then(|| Arc::new(selected))
    };
    match node {
        Node::Container(fields) => inner(fields).map(Node::Container),
        Node::List(entries) => {
            let entries: BTreeMap<Vec<Text>, Arc<Fields>> =
                entries.iter().filter_map(|(keys, entry)| Some((keys.clone(), inner(entry)?))).collect();
            (!entries.is_empty()).then(|| Node::List(Arc::new(entries)))
        }
        Node::Leaf(_) | Node::LeafList(_) => None,
    }
}

/// Merges the part that one filter element selects into `selected`: several elements may select parts of the same
/// container or list.
fn merge_selected(selected: &mut Fields, id: NodeId, part: Node) {
    match (selected.get_mut(&id), part) {
        (Some(Node::List(entries)), Node::List(more)) => {
            let entries = Arc::make_mut(entries);
            for (keys, entry) in more.iter() {
                let slot = entries.entry(keys.clone()).or_default();
                Arc::make_mut(slot).extend(entry.iter().map(|(id, node)| (*id, node.clone())));
            }
        }
        (Some(Node::Container(fields)), Node::Container(more)) => {
            Arc::make_mut(fields).extend(more.iter().map(|(id, node)| (*id, node.clone())));
        }
        (_, part) => drop(selected.insert(id, part)),
    }
}
