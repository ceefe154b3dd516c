//! Conversion of gNMI paths and values to text and JSON.

use crate::error::CommandError;
use lemonusher_managed::gnmi::proto::gnmi::typed_value::Value as Typed;
use lemonusher_managed::gnmi::proto::gnmi::{Path, PathElem, TypedValue, Update};

/// Parses a path such as `/front/pool[name=a]`.
pub fn parse_path(text: &str) -> Result<Path, CommandError> {
    let steps =
        lemonusher_model::parse_path(text).map_err(|error| CommandError::Failed(error.to_string()))?;
    let elem = steps
        .into_iter()
        .map(|step| PathElem { name: step.name, key: step.keys.into_iter().collect() })
        .collect();
    Ok(Path { elem, ..Path::default() })
}

/// A path as text; the keys of an element are sorted by name.
pub fn path_text(path: &Path) -> String {
    let mut text = String::new();
    for elem in &path.elem {
        text.push('/');
        text.push_str(&elem.name);
        let keys: std::collections::BTreeMap<_, _> = elem.key.iter().collect();
        for (name, value) in keys {
            text.push_str(&format!("[{name}={}]", value.replace('\\', "\\\\").replace(']', "\\]")));
        }
    }
    if text.is_empty() { "/".to_owned() } else { text }
}

/// A value as text.
pub fn value_text(value: Option<&TypedValue>) -> String {
    match value.and_then(|value| value.value.as_ref()) {
        Some(Typed::StringVal(text) | Typed::AsciiVal(text)) => text.clone(),
        Some(Typed::UintVal(value)) => value.to_string(),
        Some(Typed::IntVal(value)) => value.to_string(),
        Some(Typed::BoolVal(value)) => value.to_string(),
        Some(Typed::LeaflistVal(list)) => {
            let all: Vec<String> = list.element.iter().map(|value| value_text(Some(value))).collect();
            all.join(" ")
        }
        Some(Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes)) => {
            String::from_utf8_lossy(bytes).into_owned()
        }
        _ => String::new(),
    }
}

/// An update's value as JSON; none if there is no value or it is not valid JSON.
pub fn update_json(update: &Update) -> Option<serde_json::Value> {
    Some(match update.val.as_ref()?.value.as_ref()? {
        Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes) => serde_json::from_slice(bytes).ok()?,
        Typed::UintVal(value) => (*value).into(),
        Typed::IntVal(value) => (*value).into(),
        Typed::BoolVal(value) => (*value).into(),
        other => value_text(Some(&TypedValue { value: Some(other.clone()) })).into(),
    })
}
