//! What can be wrong with data.

use std::fmt;

/// What kind of thing is wrong with data; each protocol maps it to its own error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// The model knows no such node.
    UnknownElement,
    /// The module or namespace is another one.
    UnknownNamespace,
    /// The node is known, but not in this form.
    BadElement,
    /// Something that must be given or set is not.
    MissingElement,
    /// The value is not one of the node's type.
    InvalidValue,
    /// What is to be created exists.
    DataExists,
    /// What is to be deleted does not exist.
    DataMissing,
    /// A leafref points at nothing.
    MissingInstance,
    /// A constraint does not hold.
    MustViolation,
    /// Fewer elements than are needed.
    TooFew,
    /// More elements than are allowed.
    TooMany,
    /// State can't be edited.
    ReadOnly,
}

/// Something wrong with data, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// What kind of thing is wrong.
    pub kind: FaultKind,
    /// The path of the node, where one is known.
    pub path: Option<String>,
    /// What is wrong, in words.
    pub what: String,
    /// The constraint's `error-app-tag`, where the model has one.
    pub tag: Option<String>,
}

impl Fault {
    /// A fault without a tag.
    pub fn new(kind: FaultKind, path: impl Into<Option<String>>, what: impl Into<String>) -> Fault {
        Fault { kind, path: path.into(), what: what.into(), tag: None }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.path {
            Some(path) => write!(f, "{path}: {}", self.what),
            None => f.write_str(&self.what),
        }
    }
}
