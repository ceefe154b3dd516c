//! The text form of places.

use crate::schema::Schema;
use crate::tree::Segment;
use std::fmt::Write;

impl Schema {
    /// A place as text: `/front/pool[name=east]/location[.=east]`.
    pub fn text(&self, place: &[Segment]) -> String {
        if place.is_empty() {
            return "/".to_owned();
        }
        let mut text = String::new();
        for segment in place {
            let _ = write!(text, "/{}", self.node(segment.node).name);
            let Some(keys) = &segment.keys else { continue };
            let leaves = self.keys(segment.node);
            if leaves.is_empty() {
                keys.iter().for_each(|value| push_predicate(&mut text, ".", value));
            } else {
                let keyed = leaves.iter().zip(keys);
                keyed.for_each(|(leaf, value)| push_predicate(&mut text, &self.node(*leaf).name, value));
            }
        }
        text
    }
}

fn push_predicate(text: &mut String, name: &str, value: &str) {
    let _ = write!(text, "[{name}=");
    for c in value.chars() {
        if matches!(c, ']' | '\\') {
            text.push('\\');
        }
        text.push(c);
    }
    text.push(']');
}
