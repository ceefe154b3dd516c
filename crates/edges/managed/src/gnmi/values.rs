//! Conversion between gNMI values and the model's values.

use super::proto::gnmi::typed_value::Value as Typed;
use super::proto::gnmi::{Encoding, ScalarArray, TypedValue};
use crate::hub::unix_ms;
use lemonusher_model::{Fault, FaultKind, Node, NodeId, Schema, Type, from_json, leaf_to_json, to_json};
use lemonusher_watch::Value;
use tonic::Status;

/// The encoding of this number; fails if the server doesn't support it.
pub(super) fn encoding(number: i32) -> Result<Encoding, Status> {
    match Encoding::try_from(number) {
        Ok(known @ (Encoding::Json | Encoding::JsonIetf | Encoding::Proto)) => Ok(known),
        _ => Err(Status::unimplemented("known encodings are JSON, JSON_IETF and PROTO")),
    }
}

/// The current Unix time in nanoseconds, in steps of 1 ms, for the timestamps of messages.
pub(super) fn unix_ns() -> i64 {
    (unix_ms() as i64).saturating_mul(1_000_000)
}

/// The value of a leaf or of a whole leaf-list, in this encoding.
pub fn to_typed_value(schema: &Schema, id: NodeId, value: &Value, encoding: Encoding) -> TypedValue {
    let value = match (encoding, value) {
        (Encoding::Proto, Value::Leaf(text)) => scalar(schema, id, text),
        (Encoding::Proto, Value::LeafList(members)) => {
            let element = |text| TypedValue { value: Some(scalar(schema, id, text)) };
            Typed::LeaflistVal(ScalarArray { element: members.iter().map(|text| element(text)).collect() })
        }
        (_, Value::Leaf(text)) => json(encoding, &leaf_to_json(schema, Some(id), text)),
        (_, Value::LeafList(members)) => {
            json(encoding, &members.iter().map(|text| leaf_to_json(schema, Some(id), text)).collect())
        }
    };
    TypedValue { value: Some(value) }
}

/// A node with its subtree, as JSON.
pub fn json_value(schema: &Schema, id: Option<NodeId>, node: &Node, encoding: Encoding) -> TypedValue {
    TypedValue { value: Some(json(encoding, &to_json(schema, id, node))) }
}

fn json(encoding: Encoding, value: &serde_json::Value) -> Typed {
    let bytes = value.to_string().into_bytes();
    if encoding == Encoding::Json { Typed::JsonVal(bytes) } else { Typed::JsonIetfVal(bytes) }
}

fn scalar(schema: &Schema, id: NodeId, text: &str) -> Typed {
    let ty = schema.node(id).leaf_type();
    match ty {
        Some(Type::Boolean) => Typed::BoolVal(text == "true"),
        Some(ty) if ty.is_integer() => match (text.parse::<u64>(), text.parse::<i64>()) {
            (Ok(value), _) => Typed::UintVal(value),
            (_, Ok(value)) => Typed::IntVal(value),
            _ => Typed::StringVal(text.to_owned()),
        },
        _ => Typed::StringVal(text.to_owned()),
    }
}

/// The node that a value sets. `entry` is set if the path has keys, so that it names one entry of a list. Fails if the
/// value doesn't fit the schema.
pub fn parse_typed_value(
    schema: &Schema,
    id: Option<NodeId>,
    entry: bool,
    value: Option<&TypedValue>,
) -> Result<Node, Fault> {
    let fault = |what: &str| Fault::new(FaultKind::InvalidValue, None, what);
    let value =
        value.and_then(|value| value.value.as_ref()).ok_or_else(|| fault("an update has no value"))?;
    match value {
        Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes) => {
            let json: serde_json::Value = serde_json::from_slice(bytes)
                .map_err(|error| fault(&format!("the value is no JSON: {error}")))?;
            from_json(schema, id, entry, &json)
        }
        Typed::LeaflistVal(list) => {
            let members: Result<Vec<_>, Fault> =
                list.element.iter().map(|one| text_of(one, &fault)).collect();
            let members: Result<_, Fault> = members?
                .iter()
                .map(|text| match id {
                    Some(id) => schema.canonical(id, text).map_err(|error| fault(&error.to_string())),
                    None => Err(fault("is no leaf-list")),
                })
                .collect();
            Ok(Node::LeafList(std::sync::Arc::new(members?)))
        }
        _ => {
            let text = text_of(&TypedValue { value: Some(value.clone()) }, &fault)?;
            let id = id.ok_or_else(|| fault("a scalar can't be set there"))?;
            schema.canonical(id, &text).map(Node::Leaf).map_err(|error| fault(&error.to_string()))
        }
    }
}

fn text_of(value: &TypedValue, fault: &impl Fn(&str) -> Fault) -> Result<String, Fault> {
    Ok(match &value.value {
        Some(Typed::StringVal(text) | Typed::AsciiVal(text)) => text.clone(),
        Some(Typed::IntVal(value)) => value.to_string(),
        Some(Typed::UintVal(value)) => value.to_string(),
        Some(Typed::BoolVal(value)) => value.to_string(),
        Some(Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes)) => {
            match serde_json::from_slice::<serde_json::Value>(bytes) {
                Ok(serde_json::Value::String(text)) => text,
                Ok(other) => other.to_string(),
                Err(_) => return Err(fault("the value is no JSON")),
            }
        }
        _ => return Err(fault("a value of this kind is not taken")),
    })
}
