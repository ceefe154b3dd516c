//! The built-in YANG types that the model uses. Values are stored as text in their canonical form (RFC 7950,
//! 9.1).

use crate::node_id::NodeId;
use regex::Regex;
use std::fmt;
use std::ops::RangeInclusive;

/// The most characters of an invalid value that an error quotes.
const MAX_SHOWN_CHARACTERS: usize = 64;

/// An inclusive range of integers or lengths. `i128` is wide enough for every built-in integer type.
pub type Range = RangeInclusive<i128>;

/// The type of a leaf or leaf-list.
#[derive(Debug, Clone)]
pub enum Type {
    /// `string`.
    String {
        /// Allowed lengths in characters; empty if every length is allowed.
        lengths: Vec<Range>,
        /// Patterns, each of which must match the whole value.
        patterns: Vec<Regex>,
    },
    /// A built-in integer type.
    Integer {
        /// The type's name, such as `uint16`. JSON encodes the 64-bit types as strings.
        name: String,
        /// Allowed values, in ascending order.
        ranges: Vec<Range>,
    },
    /// `boolean`.
    Boolean,
    /// `enumeration`, with the names of its enums.
    Enumeration(Vec<String>),
    /// `leafref`: the value must be that of an existing instance of the target leaf.
    Leafref {
        /// The target leaf.
        target: NodeId,
        /// The target leaf's type.
        inner: Box<Type>,
    },
}

/// The reason for which a text is not a valid value of a type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ValueError {
    /// A string's length is not allowed.
    Length {
        /// The string's length in characters.
        length: i128,
        /// The allowed lengths.
        allowed: Vec<Range>,
    },
    /// A string does not match this pattern.
    Pattern(String),
    /// The text is not an integer.
    NotAnInteger {
        /// The text, truncated.
        value: String,
        /// The type's name.
        type_name: String,
    },
    /// An integer is outside the allowed ranges.
    OutOfRange {
        /// The integer.
        value: i128,
        /// The allowed ranges.
        allowed: Vec<Range>,
    },
    /// The text is neither `true` nor `false`; the text, truncated.
    NotABoolean(String),
    /// The text is not a name of the enumeration.
    NotInEnumeration {
        /// The text, truncated.
        value: String,
        /// The names of the enumeration.
        names: Vec<String>,
    },
    /// The node is neither a leaf nor a leaf-list and has no value.
    NotALeaf,
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ValueError::Length { length, allowed } => {
                write!(f, "has {length} characters; allowed are {}", format_ranges(allowed))
            }
            ValueError::Pattern(pattern) => write!(f, "does not match {pattern}"),
            ValueError::NotAnInteger { value, type_name } => write!(f, "'{value}' is no {type_name}"),
            ValueError::OutOfRange { value, allowed } => {
                write!(f, "{value} is out of range; allowed are {}", format_ranges(allowed))
            }
            ValueError::NotABoolean(value) => write!(f, "'{value}' is neither true nor false"),
            ValueError::NotInEnumeration { value, names } => {
                write!(f, "'{value}' is none of {}", names.join(", "))
            }
            ValueError::NotALeaf => f.write_str("is no leaf"),
        }
    }
}

/// The reason for which a `range` or `length` can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RangeError {
    /// A boundary is not a number, `min` or `max`.
    InvalidBoundary(String),
    /// A part exceeds the type's range, or is not in ascending order.
    OutsideOrUnordered(String),
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RangeError::InvalidBoundary(text) => write!(f, "'{text}' is not a range boundary"),
            RangeError::OutsideOrUnordered(part) => {
                write!(f, "'{part}' is outside the type's range or not in ascending order")
            }
        }
    }
}

/// The range of a built-in integer type; `None` if there is no such type.
pub fn integer_bounds(name: &str) -> Option<Range> {
    let (signed, bits) = match name.strip_prefix('u') {
        Some(rest) => (false, rest.strip_prefix("int")?),
        None => (true, name.strip_prefix("int")?),
    };
    let bits: u32 = bits.parse().ok().filter(|bits| matches!(bits, 8 | 16 | 32 | 64))?;
    Some(if signed { -(1 << (bits - 1))..=(1 << (bits - 1)) - 1 } else { 0..=(1 << bits) - 1 })
}

impl Type {
    /// Checks a value and returns its canonical form.
    pub fn canonical(&self, raw: &str) -> Result<String, ValueError> {
        match self {
            Type::String { lengths, patterns } => canonical_string(raw, lengths, patterns),
            Type::Integer { name, ranges } => canonical_integer(raw, name, ranges),
            Type::Boolean => match raw {
                "true" | "false" => Ok(raw.to_owned()),
                _ => Err(ValueError::NotABoolean(truncated(raw))),
            },
            Type::Enumeration(names) => {
                if names.iter().any(|name| name == raw) {
                    return Ok(raw.to_owned());
                }
                Err(ValueError::NotInEnumeration { value: truncated(raw), names: names.clone() })
            }
            Type::Leafref { inner, .. } => inner.canonical(raw),
        }
    }

    /// The JSON encoding of the type's values (RFC 7951, section 6).
    pub(crate) fn json_form(&self) -> JsonForm {
        match self {
            Type::Integer { name, .. } if !name.ends_with("64") => JsonForm::Number,
            Type::Boolean => JsonForm::Boolean,
            Type::Leafref { inner, .. } => inner.json_form(),
            _ => JsonForm::String,
        }
    }

    /// Returns true for an integer type and for a leafref to a leaf of one.
    pub fn is_integer(&self) -> bool {
        match self {
            Type::Integer { .. } => true,
            Type::Leafref { inner, .. } => inner.is_integer(),
            _ => false,
        }
    }
}

/// The JSON type that encodes a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JsonForm {
    /// A number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// A string.
    String,
}

fn canonical_string(raw: &str, lengths: &[Range], patterns: &[Regex]) -> Result<String, ValueError> {
    let length = raw.chars().count() as i128;
    if !lengths.is_empty() && !is_within(lengths, length) {
        return Err(ValueError::Length { length, allowed: lengths.to_vec() });
    }
    match patterns.iter().find(|pattern| !pattern.is_match(raw)) {
        Some(pattern) => Err(ValueError::Pattern(pattern_of(pattern))),
        None => Ok(raw.to_owned()),
    }
}

fn canonical_integer(raw: &str, type_name: &str, ranges: &[Range]) -> Result<String, ValueError> {
    let value: i128 = raw
        .trim()
        .parse()
        .map_err(|_| ValueError::NotAnInteger { value: truncated(raw), type_name: type_name.to_owned() })?;
    if !is_within(ranges, value) {
        return Err(ValueError::OutOfRange { value, allowed: ranges.to_vec() });
    }
    Ok(value.to_string())
}

fn is_within(ranges: &[Range], value: i128) -> bool {
    ranges.iter().any(|range| range.contains(&value))
}

fn format_ranges(ranges: &[Range]) -> String {
    let one = |range: &Range| match (range.start(), range.end()) {
        (min, max) if min == max => min.to_string(),
        (min, max) => format!("{min} to {max}"),
    };
    ranges.iter().map(one).collect::<Vec<_>>().join(" or ")
}

fn truncated(raw: &str) -> String {
    raw.chars().take(MAX_SHOWN_CHARACTERS).collect()
}

/// The regular expression for a YANG pattern, which has to match the whole value.
pub fn whole_value_pattern(pattern: &str) -> String {
    format!("^(?:{pattern})$")
}

/// The YANG pattern from which [`whole_value_pattern`] made a regular expression.
fn pattern_of(pattern: &Regex) -> String {
    pattern.as_str().trim_start_matches("^(?:").trim_end_matches(")$").to_owned()
}

/// Parses the argument of `range` or `length`, such as `1..10 | 20 | 30..max`; `min` and `max` are the type's
/// `bounds`.
pub fn parse_ranges(text: &str, bounds: Range) -> Result<Vec<Range>, RangeError> {
    let bound = |text: &str| match text.trim() {
        "min" => Ok(*bounds.start()),
        "max" => Ok(*bounds.end()),
        number => number.parse::<i128>().map_err(|_| RangeError::InvalidBoundary(number.to_owned())),
    };
    let mut ranges: Vec<Range> = Vec::new();
    for part in text.split('|') {
        let (from, to) = part.split_once("..").unwrap_or((part, part));
        let (from, to) = (bound(from)?, bound(to)?);
        let min = ranges.last().map_or(*bounds.start(), |last| last.end() + 1);
        if from > to || from < min || to > *bounds.end() {
            return Err(RangeError::OutsideOrUnordered(part.trim().to_owned()));
        }
        ranges.push(from..=to);
    }
    Ok(ranges)
}

#[cfg(test)]
#[path = "../tests/unit/types.rs"]
mod tests;
