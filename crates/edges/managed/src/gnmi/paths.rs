use super::proto::gnmi::{Path, PathElem};
use lemonusher_model::{MAX_PATH_STEPS, Schema, Segment, Step};
use tonic::Status;

/// The steps of a path below a prefix.
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

/// A place as a path.
pub fn from_place(schema: &Schema, place: &[Segment]) -> Path {
    let elem = |seg: &Segment| {
        let leaves = schema.keys(seg.node);
        let values = seg.keys.iter().flatten();
        let key = match leaves.is_empty() {
            true => values.map(|value| (".".to_owned(), value.to_string())).collect(),
            false => {
                let names = leaves.iter().map(|leaf| schema.node(*leaf).name.clone());
                names.zip(values.map(|value| value.to_string())).collect()
            }
        };
        PathElem { name: schema.node(seg.node).name.clone(), key }
    };
    Path { elem: place.iter().map(elem).collect(), ..Path::default() }
}
