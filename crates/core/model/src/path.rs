//! Paths as managers write them, `/front/pool[name=east]/admin-state`, with `*` and `...` where many are meant.

use crate::fault::{Fault, FaultKind};
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Node, NodeRef, Place, Segment, Text, Tree};
use crate::types::ValueError;

/// The most steps that a path may have.
pub const MAX_PATH_STEPS: usize = 32;
/// The most patterns that wildcards in names may come to.
const MAX_PATTERNS: usize = 1024;

/// One step as written.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Step {
    pub name: String,
    pub keys: Vec<(String, String)>,
}

/// A step whose node is known and whose keys may be left open.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PatternStep {
    pub node: NodeId,
    /// For a list: each key, or none for any.
    pub keys: Option<Vec<Option<Text>>>,
}

pub type Pattern = Vec<PatternStep>;

/// Reads a path's text. `\` takes the next character as it is, within keys.
pub fn parse(text: &str) -> Result<Vec<Step>, Fault> {
    let fault = |what: &str| Fault::new(FaultKind::InvalidValue, text.to_owned(), what);
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
            let (mut name, mut value) = (String::new(), String::new());
            loop {
                match rest.next() {
                    Some('=') => break,
                    Some(c) if c != ']' => name.push(c),
                    _ => return Err(fault("a key has the form [name=value]")),
                }
            }
            loop {
                match rest.next() {
                    Some(']') => break,
                    Some('\\') => value.extend(rest.next()),
                    Some(c) => value.push(c),
                    None => return Err(fault("a key does not end with ']'")),
                }
            }
            step.keys.push((name.trim().to_owned(), value));
        }
        match rest.next() {
            None | Some('/') => {}
            Some(_) => return Err(fault("after a key, '/' or another key should stand")),
        }
        steps.push(step);
    }
    Ok(steps)
}

impl Schema {
    /// The one place that the steps name. An entry of a list needs all its keys, but for the last step, which
    /// may mean the whole list.
    pub fn place(&self, steps: &[Step]) -> Result<Place, Fault> {
        let mut place = Place::new();
        for (number, step) in steps.iter().enumerate() {
            let node = self.step(&place, step)?;
            let keys = self.step_keys(&place, node, step)?;
            let fault = |what: &str| Fault::new(FaultKind::MissingElement, self.written(&place, step), what);
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

    /// All patterns that the steps come to, with wildcards in names worked out.
    pub fn patterns(&self, steps: &[Step]) -> Result<Vec<Pattern>, Fault> {
        let mut found: Vec<Pattern> = vec![Pattern::new()];
        for step in steps {
            let mut next: Vec<Pattern> = Vec::new();
            for pattern in &found {
                let holder = pattern.last().map(|last| last.node);
                match step.name.as_str() {
                    "*" => {
                        for child in self.children(holder) {
                            next.push(self.longer(pattern, *child));
                        }
                    }
                    "..." => {
                        next.push(pattern.clone());
                        let mut open = vec![pattern.clone()];
                        while let Some(pattern) = open.pop() {
                            for child in self.children(pattern.last().map(|last| last.node)) {
                                let longer = self.longer(&pattern, *child);
                                next.push(longer.clone());
                                open.push(longer);
                            }
                        }
                    }
                    name => {
                        let name = name.split_once(':').map_or(name, |(_, name)| name);
                        let Some(child) = self.child(holder, name) else { continue };
                        let mut longer = self.longer(pattern, child);
                        let place: Place =
                            pattern.iter().map(|step| Segment { node: step.node, keys: None }).collect();
                        if let Some(keys) = self.step_keys(&place, child, step)? {
                            longer.last_mut().into_iter().for_each(|last| last.keys = Some(keys.clone()));
                        }
                        next.push(longer);
                    }
                }
                if next.len() > MAX_PATTERNS {
                    return Err(Fault::new(FaultKind::InvalidValue, None, "the path means too many things"));
                }
            }
            if next.is_empty() {
                let what = format!("there is no '{}' there", step.name);
                return Err(Fault::new(FaultKind::UnknownElement, None, what));
            }
            found = next;
        }
        Ok(found)
    }

    fn longer(&self, pattern: &Pattern, child: NodeId) -> Pattern {
        let keys = match &self.node(child).kind {
            NodeKind::List { keys, .. } => Some(vec![None; keys.len()]),
            _ => None,
        };
        let mut longer = pattern.clone();
        longer.push(PatternStep { node: child, keys });
        longer
    }

    fn written(&self, place: &[Segment], step: &Step) -> String {
        let above = if place.is_empty() { String::new() } else { self.text(place) };
        format!("{above}/{}", step.name.chars().take(64).collect::<String>())
    }

    fn step(&self, place: &[Segment], step: &Step) -> Result<NodeId, Fault> {
        let (module, name) = match step.name.split_once(':') {
            Some((module, name)) => (Some(module), name),
            None => (None, step.name.as_str()),
        };
        if module.is_some_and(|module| module != self.module && module != self.prefix) {
            let what = format!("the module here is '{}'", self.module);
            return Err(Fault::new(FaultKind::UnknownNamespace, self.written(place, step), what));
        }
        let holder = place.last().map(|seg| seg.node);
        self.child(holder, name).ok_or_else(|| {
            let known: Vec<&str> =
                self.children(holder).iter().map(|id| self.node(*id).name.as_str()).collect();
            let what = match known.is_empty() {
                true => "there is nothing below this".to_owned(),
                false => format!("there is no such node; known here: {}", known.join(", ")),
            };
            Fault::new(FaultKind::UnknownElement, self.written(place, step), what)
        })
    }

    /// The keys of a step, in the list's order and in canonical form; `*` and what is missing are left open.
    fn step_keys(
        &self,
        place: &[Segment],
        node: NodeId,
        step: &Step,
    ) -> Result<Option<Vec<Option<Text>>>, Fault> {
        let wrong = |kind, what: String| Fault::new(kind, self.written(place, step), what);
        let fault = |kind, what: String| Err(wrong(kind, what));
        match &self.node(node).kind {
            NodeKind::List { keys: leaves, .. } => {
                let mut keys = vec![None; leaves.len()];
                for (name, value) in &step.keys {
                    let number = leaves.iter().position(|leaf| self.node(*leaf).name == *name);
                    let Some(number) = number else {
                        return fault(FaultKind::UnknownElement, format!("'{name}' is no key of it"));
                    };
                    if value != "*" {
                        let key = self.canonical(leaves[number], value);
                        keys[number] = Some(key.map_err(|what| {
                            wrong(FaultKind::InvalidValue, format!("key '{name}' {what}"))
                        })?);
                    }
                }
                Ok(Some(keys))
            }
            NodeKind::LeafList { .. } if !step.keys.is_empty() => match step.keys.as_slice() {
                [(name, value)] if name == "." => match self.canonical(node, value) {
                    Ok(value) => Ok(Some(vec![Some(value)])),
                    Err(error) => fault(FaultKind::InvalidValue, error.to_string()),
                },
                _ => fault(FaultKind::BadElement, "a member has the form [.=value]".to_owned()),
            },
            _ if step.keys.is_empty() => Ok(None),
            _ => fault(FaultKind::BadElement, "it has no keys".to_owned()),
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

impl Tree {
    /// Everything in the tree that the pattern means, with its place.
    pub fn select<'a>(&'a self, pattern: &[PatternStep], visit: &mut impl FnMut(&[Segment], NodeRef<'a>)) {
        select(NodeRef::Fields(self.fields()), pattern, &mut Vec::new(), visit);
    }
}

fn select<'a>(
    at: NodeRef<'a>,
    pattern: &[PatternStep],
    place: &mut Place,
    visit: &mut impl FnMut(&[Segment], NodeRef<'a>),
) {
    let Some((step, rest)) = pattern.split_first() else { return visit(place, at) };
    let NodeRef::Fields(fields) = at else { return };
    match (fields.get(&step.node), &step.keys) {
        (Some(Node::Container(inner)), _) => {
            place.push(Segment { node: step.node, keys: None });
            select(NodeRef::Fields(inner), rest, place, visit);
            place.pop();
        }
        (Some(Node::List(entries)), Some(wanted)) => {
            // Where all keys are known, no pass over the entries is needed.
            let exact: Option<Vec<Text>> = wanted.iter().cloned().collect();
            let fits = |keys: &[Text]| {
                wanted.iter().zip(keys).all(|(wanted, key)| wanted.as_ref().is_none_or(|w| w == key))
            };
            let chosen: Vec<_> = match &exact {
                Some(exact) => entries.get_key_value(exact).into_iter().collect(),
                None => entries.iter().filter(|(keys, _)| fits(keys)).collect(),
            };
            for (keys, entry) in chosen {
                place.push(Segment { node: step.node, keys: Some(keys.clone()) });
                select(NodeRef::Fields(entry), rest, place, visit);
                place.pop();
            }
        }
        (Some(Node::Leaf(value)), _) if rest.is_empty() => {
            place.push(Segment { node: step.node, keys: None });
            visit(place, NodeRef::Leaf(value));
            place.pop();
        }
        (Some(Node::LeafList(values)), keys) if rest.is_empty() => {
            let member = keys.as_ref().and_then(|keys| keys.first().cloned().flatten());
            match member {
                None => {
                    place.push(Segment { node: step.node, keys: None });
                    visit(place, NodeRef::LeafList(values));
                    place.pop();
                }
                Some(member) => {
                    let Some(held) = values.get(&member) else { return };
                    place.push(Segment { node: step.node, keys: Some(vec![member]) });
                    visit(place, NodeRef::Leaf(held));
                    place.pop();
                }
            }
        }
        _ => {}
    }
}
