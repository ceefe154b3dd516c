//! The built-in types that the model uses, and a value's one canonical form.

use crate::node_id::NodeId;
use regex::Regex;

/// The type of a leaf. Values are kept as text in canonical form.
#[derive(Debug, Clone)]
pub enum Type {
    String {
        /// Allowed lengths in characters, and the patterns that must all match.
        lengths: Vec<(i128, i128)>,
        patterns: Vec<Regex>,
    },
    Integer {
        /// The built-in type's name: 64-bit ones are strings in JSON.
        name: String,
        ranges: Vec<(i128, i128)>,
    },
    Boolean,
    Enumeration(Vec<String>),
    /// Holds a value of the leaf that it points at, which must be there.
    Leafref {
        target: NodeId,
        inner: Box<Type>,
    },
}

/// The least and the greatest value of a built-in integer type.
pub fn integer_bounds(name: &str) -> Option<(i128, i128)> {
    let (signed, bits) = match name.strip_prefix('u') {
        Some(rest) => (false, rest.strip_prefix("int")?),
        None => (true, name.strip_prefix("int")?),
    };
    let bits: u32 = bits.parse().ok().filter(|bits| matches!(bits, 8 | 16 | 32 | 64))?;
    Some(if signed { (-(1 << (bits - 1)), (1 << (bits - 1)) - 1) } else { (0, (1 << bits) - 1) })
}

impl Type {
    /// The canonical form of a value, or why it is none.
    pub fn canonical(&self, raw: &str) -> Result<String, String> {
        match self {
            Type::String { lengths, patterns } => {
                let length = raw.chars().count() as i128;
                if !lengths.is_empty() && !within(lengths, length) {
                    return Err(format!("has {length} characters; allowed are {}", ranges(lengths)));
                }
                match patterns.iter().find(|pattern| !pattern.is_match(raw)) {
                    Some(pattern) => Err(format!("does not match {}", shown(pattern))),
                    None => Ok(raw.to_owned()),
                }
            }
            Type::Integer { name, ranges: allowed } => {
                let value: i128 = raw.trim().parse().map_err(|_| format!("'{}' is no {name}", brief(raw)))?;
                if !within(allowed, value) {
                    return Err(format!("{value} is out of range; allowed are {}", ranges(allowed)));
                }
                Ok(value.to_string())
            }
            Type::Boolean => match raw {
                "true" | "false" => Ok(raw.to_owned()),
                _ => Err(format!("'{}' is neither true nor false", brief(raw))),
            },
            Type::Enumeration(names) => {
                if names.iter().any(|name| name == raw) {
                    return Ok(raw.to_owned());
                }
                Err(format!("'{}' is none of {}", brief(raw), names.join(", ")))
            }
            Type::Leafref { inner, .. } => inner.canonical(raw),
        }
    }

    /// Whether JSON has it as a number, a string or a boolean (RFC 7951, section 6).
    pub fn json(&self) -> JsonForm {
        match self {
            Type::Integer { name, .. } if !name.ends_with("64") => JsonForm::Number,
            Type::Boolean => JsonForm::Boolean,
            Type::Leafref { inner, .. } => inner.json(),
            _ => JsonForm::String,
        }
    }

    /// Whether its values are whole numbers.
    pub fn is_integer(&self) -> bool {
        match self {
            Type::Integer { .. } => true,
            Type::Leafref { inner, .. } => inner.is_integer(),
            _ => false,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JsonForm {
    Number,
    Boolean,
    String,
}

fn within(ranges: &[(i128, i128)], value: i128) -> bool {
    ranges.iter().any(|(least, most)| (*least..=*most).contains(&value))
}

fn ranges(ranges: &[(i128, i128)]) -> String {
    let one = |(least, most): &(i128, i128)| {
        if least == most { least.to_string() } else { format!("{least} to {most}") }
    };
    ranges.iter().map(one).collect::<Vec<_>>().join(" or ")
}

/// Errors repeat no more than the start of what was sent.
fn brief(raw: &str) -> String {
    raw.chars().take(64).collect()
}

fn shown(pattern: &Regex) -> String {
    pattern.as_str().trim_start_matches("^(?:").trim_end_matches(")$").to_owned()
}

/// Reads `1..10 | 20 | 30..max` within the bounds of the type.
pub fn parse_ranges(text: &str, (least, most): (i128, i128)) -> Result<Vec<(i128, i128)>, String> {
    let bound = |text: &str| match text.trim() {
        "min" => Ok(least),
        "max" => Ok(most),
        number => number.parse::<i128>().map_err(|_| format!("'{number}' is no bound of a range")),
    };
    let mut found: Vec<(i128, i128)> = Vec::new();
    for part in text.split('|') {
        let (from, to) = part.split_once("..").unwrap_or((part, part));
        let (from, to) = (bound(from)?, bound(to)?);
        let last = found.last().map_or(least, |(_, last)| last + 1);
        if from > to || from < last || to > most {
            return Err(format!("'{}' lies outside the type, or out of order", part.trim()));
        }
        found.push((from, to));
    }
    Ok(found)
}

#[cfg(test)]
#[path = "../tests/unit/types.rs"]
mod tests;
