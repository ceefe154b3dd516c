//! JSON encoding of data (RFC 7951): top-level names have the module's name as prefix, 64-bit integers are
//! strings.

use crate::fault::{Fault, FaultKind};
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Fields, Node, Text};
use crate::types::JsonForm;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Encodes a node. `None` as id stands for the whole tree, whose top-level names have the module's name as
/// prefix.
pub fn to_json(schema: &Schema, id: Option<NodeId>, node: &Node) -> Value {
    match node {
        Node::Container(fields) => Value::Object(fields_to_json(schema, fields, id.is_none())),
        Node::List(entries) => {
            entries.values().map(|entry| Value::Object(fields_to_json(schema, entry, false))).collect()
        }
        Node::Leaf(value) => leaf_to_json(schema, id, value),
        Node::LeafList(values) => values.iter().map(|value| leaf_to_json(schema, id, value)).collect(),
    }
}

/// Encodes a leaf's value according to its type.
pub fn leaf_to_json(schema: &Schema, id: Option<NodeId>, value: &str) -> Value {
    let form = id.and_then(|id| schema.node(id).leaf_type()).map_or(JsonForm::String, |ty| ty.json_form());
    let read = match form {
        JsonForm::Number => value.parse::<i64>().ok().map(Value::from),
        JsonForm::Boolean => value.parse::<bool>().ok().map(Value::from),
        JsonForm::String => None,
    };
    read.unwrap_or_else(|| Value::from(value))
}

fn fields_to_json(schema: &Schema, fields: &Fields, top: bool) -> Map<String, Value> {
    let name = |id: NodeId| {
        let name = &schema.node(id).name;
        if top { format!("{}:{name}", schema.module) } else { name.clone() }
    };
    fields.iter().map(|(id, node)| (name(*id), to_json(schema, Some(*id), node))).collect()
}

/// Decodes the data of a node. `None` as id stands for the whole tree; with `entry` the data is a single list
/// entry or leaf-list member. Fails if the data does not conform to the model.
pub fn from_json(schema: &Schema, id: Option<NodeId>, entry: bool, value: &Value) -> Result<Node, Fault> {
    Reader { schema }.node(id, entry, value)
}

struct Reader<'a> {
    schema: &'a Schema,
}

impl Reader<'_> {
    fn fault(&self, id: Option<NodeId>, kind: FaultKind, message: impl Into<String>) -> Fault {
        let ancestry = id.map(|id| self.schema.ancestry(id)).unwrap_or_default();
        let path: String = ancestry.into_iter().map(|id| format!("/{}", self.schema.node(id).name)).collect();
        Fault::new(kind, if path.is_empty() { "/".to_owned() } else { path }, message)
    }

    fn node(&self, id: Option<NodeId>, entry: bool, value: &Value) -> Result<Node, Fault> {
        let Some(node) = id else { return self.fields(None, value).map(Node::Container) };
        match &self.schema.node(node).kind {
            NodeKind::Container | NodeKind::Notification => self.fields(id, value).map(Node::Container),
            NodeKind::List { .. } if entry => self.fields(id, value).map(Node::Container),
            NodeKind::List { .. } => self.list(node, value),
            NodeKind::Leaf { .. } => self.leaf(node, value).map(Node::Leaf),
            NodeKind::LeafList { .. } if entry => self.leaf(node, value).map(Node::Leaf),
            NodeKind::LeafList { .. } => {
                let Value::Array(values) = value else {
                    return Err(self.fault(id, FaultKind::BadElement, "should be an array"));
                };
                let mut members = BTreeSet::new();
                for value in values {
                    if !members.insert(self.leaf(node, value)?) {
                        return Err(self.fault(id, FaultKind::InvalidValue, "holds a value twice"));
                    }
                }
                Ok(Node::LeafList(Arc::new(members)))
            }
        }
    }

    fn list(&self, node: NodeId, value: &Value) -> Result<Node, Fault> {
        let id = Some(node);
        let Value::Array(values) = value else {
            return Err(self.fault(id, FaultKind::BadElement, "should be an array of objects"));
        };
        let mut entries = BTreeMap::new();
        for value in values {
            let fields = self.fields(id, value)?;
            let mut keys = Vec::new();
            for key in self.schema.keys(node) {
                match fields.get(key) {
                    Some(Node::Leaf(value)) => keys.push(value.clone()),
                    _ => {
                        let message = format!("key '{}' is missing", self.schema.node(*key).name);
                        return Err(self.fault(id, FaultKind::MissingElement, message));
                    }
                }
            }
            if entries.insert(keys, fields).is_some() {
                return Err(self.fault(id, FaultKind::InvalidValue, "an entry stands twice"));
            }
        }
        Ok(Node::List(Arc::new(entries)))
    }

    fn fields(&self, parent: Option<NodeId>, value: &Value) -> Result<Arc<Fields>, Fault> {
        let Value::Object(members) = value else {
            return Err(self.fault(parent, FaultKind::BadElement, "should be an object"));
        };
        let mut fields = Fields::new();
        for (name, value) in members {
            let plain = match name.split_once(':') {
                Some((module, plain)) if module == self.schema.module => plain,
                Some(_) => {
                    let message = format!("the module here is '{}'", self.schema.module);
                    return Err(self.fault(parent, FaultKind::UnknownNamespace, message));
                }
                None => name,
            };
            let Some(child) = self.schema.child(parent, plain) else {
                let message = format!("there is no '{}' in it", plain.chars().take(64).collect::<String>());
                return Err(self.fault(parent, FaultKind::UnknownElement, message));
            };
            if fields.insert(child, self.node(Some(child), false, value)?).is_some() {
                return Err(self.fault(Some(child), FaultKind::BadElement, "stands twice"));
            }
        }
        Ok(Arc::new(fields))
    }

    /// Decodes a leaf's value, whose JSON type must be that of the leaf's type. A 64-bit integer may also be
    /// a JSON number, because many tools send it so.
    fn leaf(&self, id: NodeId, value: &Value) -> Result<Text, Fault> {
        let Some(ty) = self.schema.node(id).leaf_type() else {
            return Err(self.fault(Some(id), FaultKind::BadElement, "is no leaf"));
        };
        let raw = match (ty.json_form(), value) {
            (JsonForm::Boolean, Value::Bool(value)) => value.to_string(),
            (JsonForm::Number, Value::Number(value)) => value.to_string(),
            (JsonForm::String, Value::Number(value)) if ty.is_integer() => value.to_string(),
            (JsonForm::String, Value::String(value)) => value.clone(),
            (JsonForm::Number, _) => {
                return Err(self.fault(Some(id), FaultKind::InvalidValue, "should be a number"));
            }
            (JsonForm::Boolean, _) => {
                return Err(self.fault(Some(id), FaultKind::InvalidValue, "should be true or false"));
            }
            (JsonForm::String, _) => {
                return Err(self.fault(Some(id), FaultKind::InvalidValue, "should be a string"));
            }
        };
        ty.canonical(&raw)
            .map(Text::from)
            .map_err(|error| self.fault(Some(id), FaultKind::InvalidValue, error.to_string()))
    }
}
