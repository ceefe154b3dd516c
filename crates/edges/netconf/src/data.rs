//! Conversion between data trees and XML.

use crate::BASE;
use crate::xml::{Element, escape};
use lemonusher_model::{Fault, FaultKind, Fields, Node, NodeId, NodeKind, Schema, Text, Tree};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;

/// Maximum number of characters of an unknown element's name in an error-path.
const MAX_SHOWN_CHARACTERS: usize = 64;

/// Writes fields as XML elements. With `top`, each declares the schema's namespace.
pub fn push_fields(to: &mut String, schema: &Schema, fields: &Fields, top: bool) {
    for (id, node) in fields {
        let name = &schema.node(*id).name;
        let open = match top {
            true => format!("<{name} xmlns=\"{}\">", escape(&schema.namespace)),
            false => format!("<{name}>"),
        };
        let mut element = |inner: &dyn Fn(&mut String)| {
            to.push_str(&open);
            inner(to);
            let _ = write!(to, "</{name}>");
        };
        match node {
            Node::Leaf(value) => element(&|to| to.push_str(&escape(value))),
            Node::Container(inner) => element(&|to| push_fields(to, schema, inner, false)),
            Node::LeafList(values) => {
                values.iter().for_each(|value| element(&|to| to.push_str(&escape(value))))
            }
            Node::List(entries) => {
                entries.values().for_each(|entry| element(&|to| push_fields(to, schema, entry, false)));
            }
        }
    }
}

/// The path of a schema node, without keys.
fn path(schema: &Schema, id: NodeId) -> String {
    schema.ancestry(id).into_iter().map(|id| format!("/{}", schema.node(id).name)).collect()
}

/// The schema node of an element below a parent node. Fails if the namespace or the name is unknown.
pub(crate) fn child_of(schema: &Schema, parent: Option<NodeId>, element: &Element) -> Result<NodeId, Fault> {
    let at = parent.map(|id| path(schema, id)).unwrap_or_default();
    let shown = format!("{at}/{}", element.name.chars().take(MAX_SHOWN_CHARACTERS).collect::<String>());
    // An element without a namespace is accepted as one of the schema's, because many tools send it so.
    if !element.ns.is_empty() && element.ns != schema.namespace && element.ns != BASE {
        let what = format!("the namespace here is '{}'", schema.namespace);
        return Err(Fault::new(FaultKind::UnknownNamespace, shown, what));
    }
    let found = schema.child(parent, &element.name);
    found.ok_or_else(|| Fault::new(FaultKind::UnknownElement, shown, "there is no such node"))
}

/// The value of a leaf, in canonical form.
pub(crate) fn leaf(schema: &Schema, id: NodeId, element: &Element) -> Result<Text, Fault> {
    if !element.children.is_empty() {
        return Err(Fault::new(FaultKind::BadElement, path(schema, id), "a leaf holds no elements"));
    }
    let value = schema.canonical(id, element.value());
    value.map_err(|error| Fault::new(FaultKind::InvalidValue, path(schema, id), error.to_string()))
}

/// The key values of a list entry.
pub(crate) fn keys(schema: &Schema, id: NodeId, element: &Element) -> Result<Vec<Text>, Fault> {
    let key = |key: &NodeId| {
        let name = &schema.node(*key).name;
        let missing = || {
            let what = format!("key '{name}' is missing");
            Fault::new(FaultKind::MissingElement, path(schema, id), what)
        };
        leaf(schema, *key, element.child(name).ok_or_else(missing)?)
    };
    schema.keys(id).iter().map(key).collect()
}

/// The fields that an element's children set below a schema node. Fails if they don't fit the schema.
pub fn from_xml(schema: &Schema, parent: Option<NodeId>, element: &Element) -> Result<Arc<Fields>, Fault> {
    let mut fields = Fields::new();
    let mut lists: BTreeMap<NodeId, BTreeMap<Vec<Text>, Arc<Fields>>> = BTreeMap::new();
    let mut members: BTreeMap<NodeId, BTreeSet<Text>> = BTreeMap::new();
    for child in &element.children {
        let id = child_of(schema, parent, child)?;
        let duplicate = || Fault::new(FaultKind::BadElement, path(schema, id), "stands twice");
        match &schema.node(id).kind {
            NodeKind::Leaf { .. } => {
                let value = leaf(schema, id, child)?;
                if fields.insert(id, Node::Leaf(value)).is_some() {
                    return Err(duplicate());
                }
            }
            NodeKind::LeafList { .. } => {
                if !members.entry(id).or_default().insert(leaf(schema, id, child)?) {
                    return Err(duplicate());
                }
            }
            NodeKind::List { .. } => {
                let keys = keys(schema, id, child)?;
                let entry = from_xml(schema, Some(id), child)?;
                if lists.entry(id).or_default().insert(keys, entry).is_some() {
                    return Err(duplicate());
                }
            }
            NodeKind::Container | NodeKind::Notification => {
                let inner = from_xml(schema, Some(id), child)?;
                if fields.insert(id, Node::Container(inner)).is_some() {
                    return Err(duplicate());
                }
            }
        }
    }
    fields.extend(lists.into_iter().map(|(id, entries)| (id, Node::List(Arc::new(entries)))));
    fields.extend(members.into_iter().map(|(id, values)| (id, Node::LeafList(Arc::new(values)))));
    Ok(Arc::new(fields))
}

/// The tree in a `config` or `data` element. It may contain state (`config false` nodes).
pub fn tree_of(schema: &Schema, element: &Element) -> Result<Tree, Fault> {
    Ok(Tree::of((*from_xml(schema, None, element)?).clone()))
}
