//! Paths in the text form that management clients use, such as `/front/pool[name=east]/admin-state`, and
//! their resolution to places.

use crate::fault::{Fault, FaultKind};
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Place, Segment, Text};
use crate::types::ValueError;
use std::iter::Peekable;
use std::str::Chars;

/// The most steps in a path.
pub const MAX_PATH_STEPS: usize = 32;
/// The most characters of a step's name that an error quotes.
pub(crate) const MAX_SHOWN_CHARACTERS: usize = 64;

/// One step of a path, not yet resolved against the schema.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Step {
    /// The node's name, with or without its module's name or prefix.
    pub name: String,
    /// Names and values of the key predicates, in the order written.
    pub keys: Vec<(String, String)>,
}

/// Parses a path. In a key's value, `\` escapes the next character.
pub fn parse(text: &str) -> Result<Vec<Step>, Fault> {
    let fault = |message: &str| Fault::new(FaultKind::InvalidValue, text.to_owned(), message);
    let mut steps: Vec<Step> = Vec::new();
    let mut rest = text.strip_prefix('/').unwrap_or(text).chars().peekable();
    while rest.peek().is_some() {
        if steps.len() >= MAX_PATH_STEPS {
            return Err(fault("the path has too many steps"));
        }
        let mut step = Step::default();
        while let Some(c) = rest.next_if(|c| !matches!(c, '/' | '[')) {
            step.name.push(c);
        }
        if step.name.is_empty() {
            return Err(fault("a step has no name"));
        }
        while rest.next_if_eq(&'[').is_some() {
            step.keys.push(parse_key(&mut rest).map_err(fault)?);
        }
        match rest.next() {
            None | Some('/') => {}
            Some(_) => return Err(fault("after a key, '/' or another key should stand")),
        }
        steps.push(step);
    }
    Ok(steps)
}

/// Parses a key predicate after its `[`, up to and including the `]`.
fn parse_key(rest: &mut Peekable<Chars>) -> Result<(String, String), &'static str> {
    let mut name = String::new();
    loop {
        match rest.next() {
            Some('=') => break,
            Some(c) if c != ']' => name.push(c),
            _ => return Err("a key has the form [name=value]"),
        }
    }
    let mut value = String::new();
    loop {
        match rest.next() {
            Some(']') => break,
            Some('\\') => value.extend(rest.next()),
            Some(c) => value.push(c),
            None => return Err("a key does not end with ']'"),
        }
    }
    Ok((name.trim().to_owned(), value))
}

impl Schema {
    /// Resolves a path to a single place. Each list step needs all keys of the list; only the last step may
    /// have none and then refers to the whole list. A key of `*` counts as not given.
    pub fn place(&self, steps: &[Step]) -> Result<Place, Fault> {
        let mut place = Place::new();
        for (number, step) in steps.iter().enumerate() {
            let node = self.step_node(&place, step)?;
            let keys = self.step_keys(&place, node, step)?;
            let fault = |message: &str| {
                Fault::new(FaultKind::MissingElement, self.path_to_step(&place, step), message)
            };
            let keys = match keys {
                None => None,
                Some(keys) if keys.iter().all(Option::is_some) => Some(keys.into_iter().flatten().collect()),
                Some(keys) if keys.iter().all(Option::is_none) => None,
                Some(_) => return Err(fault("not all keys are given")),
            };
            let list = matches!(self.node(node).kind, NodeKind::List { .. });
            if list && keys.is_none() && number + 1 < steps.len() {
                return Err(fault("the keys of the list are missing"));
            }
            place.push(Segment { node, keys });
        }
        Ok(place)
    }

    /// The path of a step below a place, as text for errors.
    fn path_to_step(&self, place: &[Segment], step: &Step) -> String {
        let above = if place.is_empty() { String::new() } else { self.text(place) };
        format!("{above}/{}", step.name.chars().take(MAX_SHOWN_CHARACTERS).collect::<String>())
    }

    fn step_node(&self, place: &[Segment], step: &Step) -> Result<NodeId, Fault> {
        let (module, name) = match step.name.split_once(':') {
            Some((module, name)) => (Some(module), name),
            None => (None, step.name.as_str()),
        };
        if module.is_some_and(|module| module != self.module && module != self.prefix) {
            let message = format!("the module here is '{}'", self.module);
            return Err(Fault::new(FaultKind::UnknownNamespace, self.path_to_step(place, step), message));
        }
        let parent = place.last().map(|segment| segment.node);
        self.child(parent, name).ok_or_else(|| {
            let known: Vec<&str> =
                self.children(parent).iter().map(|id| self.node(*id).name.as_str()).collect();
            let message = match known.is_empty() {
                true => "there is nothing below this".to_owned(),
                false => format!("there is no such node; known here: {}", known.join(", ")),
            };
            Fault::new(FaultKind::UnknownElement, self.path_to_step(place, step), message)
        })
    }

    /// The key values of a step, in the order of the list's keys and in canonical form. A key that is `*` or
    /// not given is `None`, and so is the result for a node without keys.
    pub(crate) fn step_keys(
        &self,
        place: &[Segment],
        node: NodeId,
        step: &Step,
    ) -> Result<Option<Vec<Option<Text>>>, Fault> {
        let fault = |kind, message: String| Fault::new(kind, self.path_to_step(place, step), message);
        match &self.node(node).kind {
            NodeKind::List { keys: leaves, .. } => {
                let mut keys = vec![None; leaves.len()];
                for (name, value) in &step.keys {
                    let position = leaves.iter().position(|leaf| self.node(*leaf).name == *name);
                    let position = position.ok_or_else(|| {
                        fault(FaultKind::UnknownElement, format!("'{name}' is no key of it"))
                    })?;
                    if value != "*" {
                        let key = self.canonical(leaves[position], value).map_err(|error| {
                            fault(FaultKind::InvalidValue, format!("key '{name}' {error}"))
                        })?;
                        keys[position] = Some(key);
                    }
                }
                Ok(Some(keys))
            }
            NodeKind::LeafList { .. } if !step.keys.is_empty() => match step.keys.as_slice() {
                [(name, value)] if name == "." => match self.canonical(node, value) {
                    Ok(value) => Ok(Some(vec![Some(value)])),
                    Err(error) => Err(fault(FaultKind::InvalidValue, error.to_string())),
                },
                _ => Err(fault(FaultKind::BadElement, "a member has the form [.=value]".to_owned())),
            },
            _ if step.keys.is_empty() => Ok(None),
            _ => Err(fault(FaultKind::BadElement, "it has no keys".to_owned())),
        }
    }

    /// The canonical form of a leaf's value.
    pub fn canonical(&self, leaf: NodeId, raw: &str) -> Result<Text, ValueError> {
        match self.node(leaf).leaf_type() {
            Some(ty) => ty.canonical(raw).map(Text::from),
            None => Err(ValueError::NotALeaf),
        }
    }
}
