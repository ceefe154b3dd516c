//! Places as text.

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
        for seg in place {
            let _ = write!(text, "/{}", self.node(seg.node).name);
            let Some(keys) = &seg.keys else { continue };
            let leaves = self.keys(seg.node);
            if leaves.is_empty() {
                keys.iter().for_each(|value| predicate(&mut text, ".", value));
            } else {
                let named = leaves.iter().zip(keys);
                named.for_each(|(leaf, value)| predicate(&mut text, &self.node(*leaf).name, value));
            }
        }
        text
    }
}

fn predicate(text: &mut String, name: &str, value: &str) {
    let _ = write!(text, "[{name}=");
    for c in value.chars() {
        if matches!(c, ']' | '\\') {
            text.push('\\');
        }
        text.push(c);
    }
    text.push(']');
}
