//! The Get call: returns one notification for each path, from the current tree.

use super::paths::{from_place, pattern_text, to_patterns};
use super::proto::gnmi::get_request::DataType;
use super::proto::gnmi::*;
use super::values::{encoding, json_value, to_typed_value, unix_ns};
use crate::hub::Hub;
use crate::state::StateSelection;
use lemonusher_model::{NodeKind, NodeRef, Pattern, PatternStep, Schema, Segment, Tree, node_of};
use lemonusher_watch::leaves;
use tonic::Status;

/// Maximum number of paths in one Get.
pub(super) const MAX_PATHS: usize = 1024;

pub(super) async fn get(hub: &Hub, request: GetRequest) -> Result<GetResponse, Status> {
    let encoding = encoding(request.encoding)?;
    if request.path.len() > MAX_PATHS {
        return Err(Status::invalid_argument("too many paths"));
    }
    let root = [Path::default()];
    let paths = if request.path.is_empty() { &root[..] } else { &request.path[..] };
    let (config, state) = match DataType::try_from(request.r#type) {
        Ok(DataType::Config) => (true, false),
        Ok(DataType::State | DataType::Operational) => (false, true),
        _ => (true, true),
    };
    let schema = hub.schema();
    let mut notifications = Vec::new();
    for path in paths {
        let patterns = to_patterns(schema, request.prefix.as_ref(), Some(path))?;
        let selection =
            if state { StateSelection::for_patterns(schema, &patterns) } else { StateSelection::default() };
        let tree = hub.view(config, selection).await;
        let mut update = updates(schema, &tree, &patterns, encoding);
        if update.is_empty()
            && let [pattern] = &patterns[..]
            && is_exact(schema, pattern)
        {
            update.push(default_update(schema, pattern, path, config, encoding)?);
        }
        notifications.push(Notification { timestamp: unix_ns(), update, ..Notification::default() });
    }
    Ok(GetResponse { notification: notifications, extension: Vec::new() })
}

/// The nodes that the patterns select: one update for each leaf in PROTO, otherwise one JSON value for each node.
fn updates(schema: &Schema, tree: &Tree, patterns: &[Pattern], encoding: Encoding) -> Vec<Update> {
    let mut updates = Vec::new();
    if encoding == Encoding::Proto {
        for (place, value) in leaves(tree, patterns) {
            let Some(last) = place.last() else { continue };
            let val = Some(to_typed_value(schema, last.node, &value, encoding));
            updates.push(Update { path: Some(from_place(schema, &place)), val, duplicates: 0 });
        }
    } else {
        for pattern in patterns {
            tree.select(pattern, &mut |place, node| {
                updates.push(json_update(schema, place, node, encoding));
            });
        }
    }
    updates
}

fn json_update(schema: &Schema, place: &[Segment], node: NodeRef, encoding: Encoding) -> Update {
    let id = place.last().map(|segment| segment.node);
    let val = Some(json_value(schema, id, &node_of(node), encoding));
    Update { path: Some(from_place(schema, place)), val, duplicates: 0 }
}

/// An update with the default of a leaf that is not set. Fails if the leaf has no default, or if the request selects
/// state only.
fn default_update(
    schema: &Schema,
    pattern: &Pattern,
    path: &Path,
    config: bool,
    encoding: Encoding,
) -> Result<Update, Status> {
    let default = pattern.last().and_then(|last| Some((last, schema.default_of(last.node)?)));
    let Some((last, default)) = default.filter(|_| config) else {
        return Err(Status::not_found(format!("nothing is set at {}", pattern_text(schema, pattern))));
    };
    let value = lemonusher_watch::Value::Leaf(default.into());
    let val = Some(to_typed_value(schema, last.node, &value, encoding));
    Ok(Update { path: Some(path.clone()), val, duplicates: 0 })
}

/// Whether the pattern names exactly one node other than the root: no list in it has a wildcard key.
fn is_exact(schema: &Schema, pattern: &Pattern) -> bool {
    let is_open = |step: &PatternStep| {
        matches!(schema.node(step.node).kind, NodeKind::List { .. })
            && step.keys.iter().flatten().any(Option::is_none)
    };
    !pattern.is_empty() && !pattern.iter().any(is_open)
}
