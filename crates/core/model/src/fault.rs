//! Errors in data, in paths to data and in edits. Their texts are sent to NETCONF and gNMI clients.

use std::fmt;

/// The kind of error in data; each protocol maps it to its own error code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// The model has no such node.
    UnknownElement,
    /// The module or namespace is not that of the model.
    UnknownNamespace,
    /// The node exists in the model, but is used in a form that its kind does not allow.
    BadElement,
    /// A mandatory node, a key or a value is missing.
    MissingElement,
    /// The value is not valid for the node's type.
    InvalidValue,
    /// The node to create exists.
    DataExists,
    /// The node to delete does not exist.
    DataMissing,
    /// A leafref's value is not that of any instance of its target leaf.
    MissingInstance,
    /// A `must` constraint does not hold.
    MustViolation,
    /// Fewer list entries or leaf-list members than `min-elements`.
    TooFew,
    /// More list entries or leaf-list members than `max-elements`.
    TooMany,
    /// The node is state data, which can't be edited.
    ReadOnly,
}

/// An error in data, with its kind and location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The kind of error.
    pub kind: FaultKind,
    /// The path of the node, if one is known.
    pub path: Option<String>,
    /// The message, without the path.
    pub message: String,
    /// The `error-app-tag`: the one of the constraint, or the one that RFC 7950, section 15 defines for the
    /// error.
    pub tag: Option<String>,
}

impl Fault {
    /// A fault without a tag.
    pub fn new(kind: FaultKind, path: impl Into<Option<String>>, message: impl Into<String>) -> Fault {
        Fault { kind, path: path.into(), message: message.into(), tag: None }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.path {
            Some(path) => write!(f, "{path}: {}", self.message),
            None => f.write_str(&self.message),
        }
    }
}
