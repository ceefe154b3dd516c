//! Data as XML: trees out, configs and edits in, and subtree filters.

use crate::BASE;
use crate::rpc::DefaultOperation;
use crate::xml::{Element, escape};
use lemonusher_model::{
    Fault, FaultKind, Fields, Node, NodeId, NodeKind, Op, Place, Schema, Segment, Text, Tree,
};
use lemonusher_store::Edit;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::Arc;

/// Writes fields as elements; those at the top name their namespace.
pub fn push_fields(to: &mut String, schema: &Schema, fields: &Fields, top: bool) {
    for (id, node) in fields {
        let name = &schema.node(*id).name;
        let open = match top {
            true => format!("<{name} xmlns=\"{}\">", escape(&schema.namespace)),
            false => format!("<{name}>"),
        };
        let mut one = |inner: &dyn Fn(&mut String)| {
            to.push_str(&open);
            inner(to);
            let _ = write!(to, "</{name}>");
        };
        match node {
            Node::Leaf(value) => one(&|to| to.push_str(&escape(value))),
            Node::Container(inner) => one(&|to| push_fields(to, schema, inner, false)),
            Node::LeafList(values) => values.iter().for_each(|value| one(&|to| to.push_str(&escape(value)))),
            Node::List(entries) => {
                entries.values().for_each(|entry| one(&|to| push_fields(to, schema, entry, false)));
            }
        }
    }
}

fn path(schema: &Schema, id: NodeId) -> String {
    schema.ancestry(id).into_iter().map(|id| format!("/{}", schema.node(id).name)).collect()
}

fn child_of(schema: &Schema, holder: Option<NodeId>, element: &Element) -> Result<NodeId, Fault> {
    let at = holder.map(|id| path(schema, id)).unwrap_or_default();
    let shown = format!("{at}/{}", element.name.chars().take(64).collect::<String>());
    // An element without a namespace is taken as the model's own, as many tools send it.
    if !element.ns.is_empty() && element.ns != schema.namespace && element.ns != BASE {
        let what = format!("the namespace here is '{}'", schema.namespace);
        return Err(Fault::new(FaultKind::UnknownNamespace, shown, what));
    }
    let found = schema.child(holder, &element.name);
    found.ok_or_else(|| Fault::new(FaultKind::UnknownElement, shown, "there is no such node"))
}

fn leaf(schema: &Schema, id: NodeId, element: &Element) -> Result<Text, Fault> {
    if !element.children.is_empty() {
        return Err(Fault::new(FaultKind::BadElement, path(schema, id), "a leaf holds no elements"));
    }
    let value = schema.canonical(id, element.value());
    value.map_err(|error| Fault::new(FaultKind::InvalidValue, path(schema, id), error.to_string()))
}

/// The keys of a list's entry.
fn keys(schema: &Schema, id: NodeId, element: &Element) -> Result<Vec<Text>, Fault> {
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

/// What an element's children set below a node.
pub fn from_xml(schema: &Schema, holder: Option<NodeId>, element: &Element) -> Result<Arc<Fields>, Fault> {
    let mut fields = Fields::new();
    let mut lists: BTreeMap<NodeId, BTreeMap<Vec<Text>, Arc<Fields>>> = BTreeMap::new();
    let mut members: BTreeMap<NodeId, BTreeSet<Text>> = BTreeMap::new();
    for child in &element.children {
        let id = child_of(schema, holder, child)?;
        let twice = || Fault::new(FaultKind::BadElement, path(schema, id), "stands twice");
        match &schema.node(id).kind {
            NodeKind::Leaf { .. } => {
                let value = leaf(schema, id, child)?;
                if fields.insert(id, Node::Leaf(value)).is_some() {
                    return Err(twice());
                }
            }
            NodeKind::LeafList { .. } => {
                if !members.entry(id).or_default().insert(leaf(schema, id, child)?) {
                    return Err(twice());
                }
            }
            NodeKind::List { .. } => {
                let keys = keys(schema, id, child)?;
                let entry = from_xml(schema, Some(id), child)?;
                if lists.entry(id).or_default().insert(keys, entry).is_some() {
                    return Err(twice());
                }
            }
            NodeKind::Container | NodeKind::Notification => {
                let inner = from_xml(schema, Some(id), child)?;
                if fields.insert(id, Node::Container(inner)).is_some() {
                    return Err(twice());
                }
            }
        }
    }
    fields.extend(lists.into_iter().map(|(id, entries)| (id, Node::List(Arc::new(entries)))));
    fields.extend(members.into_iter().map(|(id, values)| (id, Node::LeafList(Arc::new(values)))));
    Ok(Arc::new(fields))
}

/// A whole tree, as what a `config` or `data` element holds.
pub fn tree_of(schema: &Schema, element: &Element) -> Result<Tree, Fault> {
    let value = Node::Container(from_xml(schema, None, element)?);
    let mut tree = Tree::default();
    // State may stand in what was read, so it is not set as an edit would be.
    if let Node::Container(fields) = value {
        tree = Tree::of((*fields).clone());
    }
    Ok(tree)
}

/// The edits that a `config` element asks for, in order.
pub fn edits(
    schema: &Schema,
    tree: &Tree,
    config: &Element,
    default: DefaultOperation,
) -> Result<Vec<Edit>, Fault> {
    let mut found = Vec::new();
    let mut walk = Walk { schema, tree, edits: &mut found };
    let op = match default {
        DefaultOperation::Merge => Some(Op::Merge),
        DefaultOperation::Replace => Some(Op::Replace),
        DefaultOperation::None => None,
    };
    walk.children(&mut Place::new(), config, op)?;
    if default == DefaultOperation::Replace {
        // What the config does not name goes too.
        let value = Some(Node::Container(from_xml(schema, None, config)?));
        let whole = Edit { op: Op::Replace, place: Place::new(), value };
        let own = |edit: &Edit| matches!(edit.op, Op::Delete | Op::Create);
        found.retain(own);
        found.insert(0, whole);
    }
    Ok(found)
}

struct Walk<'a> {
    schema: &'a Schema,
    tree: &'a Tree,
    edits: &'a mut Vec<Edit>,
}

impl Walk<'_> {
    fn children(&mut self, place: &mut Place, element: &Element, op: Option<Op>) -> Result<(), Fault> {
        for child in &element.children {
            let holder = place.last().map(|seg| seg.node);
            let id = child_of(self.schema, holder, child)?;
            place.push(Segment { node: id, keys: None });
            self.node(place, id, child, op)?;
            place.pop();
        }
        Ok(())
    }

    fn node(
        &mut self,
        place: &mut Place,
        id: NodeId,
        element: &Element,
        op: Option<Op>,
    ) -> Result<(), Fault> {
        let schema = self.schema;
        let op = match element.attribute(BASE, "operation") {
            None => op,
            Some("merge") => Some(Op::Merge),
            Some("replace") => Some(Op::Replace),
            Some("create") => Some(Op::Create),
            Some("delete") => Some(Op::Delete),
            Some("remove") => Some(Op::Remove),
            Some(other) => {
                let what = format!("operation '{}' is not known", other.chars().take(32).collect::<String>());
                return Err(Fault::new(FaultKind::InvalidValue, schema.text(place), what));
            }
        };
        let below = matches!(op, None | Some(Op::Merge));
        match &schema.node(id).kind {
            NodeKind::Leaf { .. } => {
                let gone = matches!(op, Some(Op::Delete | Op::Remove));
                let value = if gone { None } else { Some(Node::Leaf(leaf(schema, id, element)?)) };
                self.push(op, place, value)
            }
            NodeKind::LeafList { .. } => {
                let value = leaf(schema, id, element)?;
                keyed(place, vec![value.clone()]);
                self.push(op, place, Some(Node::Leaf(value)))
            }
            NodeKind::List { .. } => {
                keyed(place, keys(schema, id, element)?);
                if !below {
                    let value = match op {
                        Some(Op::Delete | Op::Remove) => None,
                        _ => Some(Node::Container(from_xml(schema, Some(id), element)?)),
                    };
                    return self.push(op, place, value);
                }
                self.push(op, place, Some(Node::Container(Arc::default())))?;
                let keys = schema.keys(id);
                let named = |child: &&Element| keys.iter().all(|key| schema.node(*key).name != child.name);
                let rest = Element {
                    children: element.children.iter().filter(named).cloned().collect(),
                    ..Element::default()
                };
                self.children(place, &rest, op)
            }
            NodeKind::Container | NodeKind::Notification if below => self.children(place, element, op),
            NodeKind::Container | NodeKind::Notification => {
                let value = match op {
                    Some(Op::Delete | Op::Remove) => None,
                    _ => Some(Node::Container(from_xml(schema, Some(id), element)?)),
                };
                self.push(op, place, value)
            }
        }
    }

    /// Without an operation a node is only on the way to others: it must be there.
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

fn keyed(place: &mut Place, keys: Vec<Text>) {
    if let Some(last) = place.last_mut() {
        last.keys = Some(keys);
    }
}

/// What a subtree filter (RFC 6241, section 6) lets through.
pub fn filter(schema: &Schema, fields: &Fields, filter: &Element) -> Fields {
    filter_fields(schema, None, fields, &filter.children).unwrap_or_default()
}

/// None where a content match among the siblings does not hold.
fn filter_fields(
    schema: &Schema,
    holder: Option<NodeId>,
    fields: &Fields,
    wanted: &[Element],
) -> Option<Fields> {
    let known =
        |element: &&Element| element.ns.is_empty() || element.ns == schema.namespace || element.ns == BASE;
    let of = |element: &Element| schema.child(holder, &element.name);
    let wanted: Vec<&Element> = wanted.iter().filter(known).collect();
    let matches = |element: &&&Element| element.children.is_empty() && !element.value().is_empty();
    for element in wanted.iter().filter(matches) {
        let id = of(element)?;
        let value = schema.canonical(id, element.value()).ok()?;
        let holds = match fields.get(&id) {
            Some(Node::Leaf(held)) => *held == value,
            Some(Node::LeafList(held)) => held.contains(&value),
            _ => false,
        };
        if !holds {
            return None;
        }
    }
    // With nothing but content matches, all of what matched is meant.
    if !wanted.is_empty() && wanted.iter().all(|element| matches(&element)) {
        return Some(fields.clone());
    }
    let mut kept = Fields::new();
    for element in wanted {
        let Some((id, node)) = of(element).and_then(|id| Some((id, fields.get(&id)?))) else { continue };
        let part = match node {
            _ if element.children.is_empty() => Some(node.clone()),
            Node::Container(inner) => filter_fields(schema, Some(id), inner, &element.children)
                .filter(|inner| !inner.is_empty())
                .map(|inner| Node::Container(Arc::new(inner))),
            Node::List(entries) => {
                let kept: BTreeMap<Vec<Text>, Arc<Fields>> = entries
                    .iter()
                    .filter_map(|(keys, entry)| {
                        let inner = filter_fields(schema, Some(id), entry, &element.children)?;
                        (!inner.is_empty()).then(|| (keys.clone(), Arc::new(inner)))
                    })
                    .collect();
                (!kept.is_empty()).then(|| Node::List(Arc::new(kept)))
            }
            Node::Leaf(_) | Node::LeafList(_) => None,
        };
        let Some(part) = part else { continue };
        match (kept.get_mut(&id), part) {
            // Several elements may ask for entries of one list.
            (Some(Node::List(held)), Node::List(more)) => {
                let held = Arc::make_mut(held);
                for (keys, entry) in more.iter() {
                    let slot = held.entry(keys.clone()).or_default();
                    Arc::make_mut(slot).extend(entry.iter().map(|(id, node)| (*id, node.clone())));
                }
            }
            (Some(Node::Container(held)), Node::Container(more)) => {
                Arc::make_mut(held).extend(more.iter().map(|(id, node)| (*id, node.clone())));
            }
            (_, part) => drop(kept.insert(id, part)),
        }
    }
    Some(kept)
}
