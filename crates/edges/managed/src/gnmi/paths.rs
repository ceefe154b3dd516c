//! Conversion between gNMI paths and the model's paths.

use super::proto::gnmi::{Path, PathElem};
use super::status::fault_status;
use lemonusher_model::{MAX_PATH_STEPS, Pattern, Place, Schema, Segment, Step};
use tonic::Status;

/// The steps of a prefix and a path. Fails for an unknown origin, or for more than [`MAX_PATH_STEPS`] steps.
pub fn to_steps(schema: &Schema, prefix: Option<&Path>, path: Option<&Path>) -> Result<Vec<Step>, Status> {
    let parts = [prefix, path].into_iter().flatten();
    let mut steps = Vec::new();
    for part in parts {
        let known = ["", &schema.module, "openconfig", "rfc7951"].contains(&part.origin.as_str());
        if !known {
            return Err(Status::invalid_argument(format!("origin '{}' is not known", part.origin)));
        }
        for elem in &part.elem {
            let keys = elem.key.iter().map(|(name, value)| (name.clone(), value.clone())).collect();
            steps.push(Step { name: elem.name.clone(), keys });
        }
    }
    if steps.len() > MAX_PATH_STEPS {
        return Err(Status::invalid_argument("the path has too many steps"));
    }
    Ok(steps)
}

/// All patterns that a prefix and a path match in the schema.
pub(super) fn to_patterns(
    schema: &Schema,
    prefix: Option<&Path>,
    path: Option<&Path>,
) -> Result<Vec<Pattern>, Status> {
    let steps = to_steps(schema, prefix, path)?;
    schema.patterns(&steps).map_err(|fault| fault_status(&fault))
}

/// A pattern as text, without its wildcard keys.
pub(super) fn pattern_text(schema: &Schema, pattern: &Pattern) -> String {
    let place: Place = pattern
        .iter()
        .map(|step| Segment {
            node: step.node,
            keys: step.keys.iter().cloned().map(|keys| keys.into_iter().flatten().collect()).next(),
        })
        .collect();
    schema.text(&place)
}

/// The gNMI path of a place in the tree.
pub fn from_place(schema: &Schema, place: &[Segment]) -> Path {
    let elem = |segment: &Segment| {
        let leaves = schema.keys(segment.node);
        let values = segment.keys.iter().flatten();
        let key = match leaves.is_empty() {
            true => values.map(|value| (".".to_owned(), value.to_string())).collect(),
            false => {
                let names = leaves.iter().map(|leaf| schema.node(*leaf).name.clone());
                names.zip(values.map(|value| value.to_string())).collect()
            }
        };
        PathElem { name: schema.node(segment.node).name.clone(), key }
    };
    Path { elem: place.iter().map(elem).collect(), ..Path::default() }
}
