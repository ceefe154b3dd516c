//! Path patterns as in gNMI, with `*` for any name or key and `...` for any number of steps, and selection of
//! the matching nodes in a tree.

use crate::fault::{Fault, FaultKind};
use crate::node_id::NodeId;
use crate::path::Step;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Node, NodeRef, Place, Segment, Text, Tree};

/// The most patterns to which the wildcards of one path may expand.
const MAX_PATTERNS: usize = 1024;

/// A step with a schema node and keys that may be unspecified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PatternStep {
    /// The schema node.
    pub node: NodeId,
    /// For a list, the key values; for a leaf-list, the value of a member. An inner `None` matches any value.
    /// `None` for other nodes and for a whole leaf-list.
    pub keys: Option<Vec<Option<Text>>>,
}

/// The steps of a pattern, from the top level down.
pub type Pattern = Vec<PatternStep>;

impl Schema {
    /// Expands the wildcards in the names of a path. Fails if a step matches no schema node, if its keys are
    /// invalid, or if there are more than `MAX_PATTERNS` patterns. Prefixes of names are ignored.
    pub fn patterns(&self, steps: &[Step]) -> Result<Vec<Pattern>, Fault> {
        let mut patterns: Vec<Pattern> = vec![Pattern::new()];
        for step in steps {
            let mut next: Vec<Pattern> = Vec::new();
            for pattern in &patterns {
                self.extend_pattern(pattern, step, &mut next)?;
                if next.len() > MAX_PATTERNS {
                    return Err(Fault::new(FaultKind::InvalidValue, None, "the path means too many things"));
                }
            }
            if next.is_empty() {
                let message = format!("there is no '{}' there", step.name);
                return Err(Fault::new(FaultKind::UnknownElement, None, message));
            }
            patterns = next;
        }
        Ok(patterns)
    }

    /// Adds to `next` the patterns that extend `pattern` by one step.
    fn extend_pattern(&self, pattern: &Pattern, step: &Step, next: &mut Vec<Pattern>) -> Result<(), Fault> {
        let parent = pattern.last().map(|last| last.node);
        match step.name.as_str() {
            "*" => {
                next.extend(self.children(parent).iter().map(|child| self.with_child(pattern, *child)));
            }
            "..." => self.add_descendants(pattern, next),
            name => {
                let name = name.split_once(':').map_or(name, |(_, name)| name);
                let Some(child) = self.child(parent, name) else { return Ok(()) };
                let mut longer = self.with_child(pattern, child);
                let place: Place =
                    pattern.iter().map(|step| Segment { node: step.node, keys: None }).collect();
                if let Some(keys) = self.step_keys(&place, child, step)? {
                    longer.last_mut().into_iter().for_each(|last| last.keys = Some(keys.clone()));
                }
                next.push(longer);
            }
        }
        Ok(())
    }

    /// Adds the pattern itself and the patterns of all its descendants.
    fn add_descendants(&self, pattern: &Pattern, next: &mut Vec<Pattern>) {
        next.push(pattern.clone());
        let mut unexplored = vec![pattern.clone()];
        while let Some(pattern) = unexplored.pop() {
            for child in self.children(pattern.last().map(|last| last.node)) {
                let longer = self.with_child(&pattern, *child);
                next.push(longer.clone());
                unexplored.push(longer);
            }
        }
    }

    /// The pattern extended by a child, with all keys unspecified.
    fn with_child(&self, pattern: &Pattern, child: NodeId) -> Pattern {
        let keys = match &self.node(child).kind {
            NodeKind::List { keys, .. } => Some(vec![None; keys.len()]),
            _ => None,
        };
        let mut longer = pattern.clone();
        longer.push(PatternStep { node: child, keys });
        longer
    }
}

impl Tree {
    /// Calls `visit` for each node in the tree that matches the pattern, with its place.
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
    let mut descend = |keys: Option<Vec<Text>>, at: NodeRef<'a>| {
        place.push(Segment { node: step.node, keys });
        select(at, rest, place, visit);
        place.pop();
    };
    match (fields.get(&step.node), &step.keys) {
        (Some(Node::Container(inner)), _) => descend(None, NodeRef::Fields(inner)),
        (Some(Node::List(entries)), Some(keys)) => {
            // An entry whose keys are all given is looked up; otherwise all entries are scanned.
            let exact: Option<Vec<Text>> = keys.iter().cloned().collect();
            let selected: Vec<_> = match &exact {
                Some(exact) => entries.get_key_value(exact).into_iter().collect(),
                None => entries.iter().filter(|(entry_keys, _)| match_keys(keys, entry_keys)).collect(),
            };
            for (entry_keys, entry) in selected {
                descend(Some(entry_keys.clone()), NodeRef::Fields(entry));
            }
        }
        (Some(Node::Leaf(value)), _) if rest.is_empty() => descend(None, NodeRef::Leaf(value)),
        (Some(Node::LeafList(values)), keys) if rest.is_empty() => {
            match keys.as_ref().and_then(|keys| keys.first().cloned().flatten()) {
                None => descend(None, NodeRef::LeafList(values)),
                Some(member) => {
                    let Some(value) = values.get(&member) else { return };
                    descend(Some(vec![member]), NodeRef::Leaf(value));
                }
            }
        }
        _ => {}
    }
}

fn match_keys(pattern: &[Option<Text>], keys: &[Text]) -> bool {
    pattern.iter().zip(keys).all(|(wanted, key)| wanted.as_ref().is_none_or(|wanted| wanted == key))
}
