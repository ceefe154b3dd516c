//! The front's YANG model at work: a compiler for the statements that `lemonusher-front.yang` uses, data trees that share
//! what they have in common, paths, validation, differences and JSON (RFC 7950, RFC 7951). The model's text is the one
//! source of names, types, ranges, keys, defaults, enumerations, leafrefs and constraints. No input or output, no clock.
//!
//! A tree holds what was set explicitly. Containers have no presence: one that holds nothing does not exist, so two trees
//! are equal exactly when they hold the same leaves.
//!
//! Modules import one way: `node_id`, `fault`, `statement` and `xpath` stand alone; `types`, `tree` and `must` are above
//! them; then `schema`; above it `compiler`, `evaluate`, `edit`, `path`, `pattern`, `validate`, `diff` and `json`.

#![warn(missing_docs)]

mod compiler;
mod diff;
mod edit;
mod evaluate;
mod fault;
mod json;
mod must;
mod node_id;
mod path;
mod pattern;
mod place_text;
mod schema;
mod statement;
mod tree;
mod types;
mod validate;
mod xpath;

pub use diff::{Change, diff, revert};
pub use edit::Op;
pub use fault::{Fault, FaultKind};
pub use json::{from_json, leaf_to_json, to_json};
pub use must::Must;
pub use node_id::NodeId;
pub use path::{MAX_PATH_STEPS, Step, parse as parse_path};
pub use pattern::{Pattern, PatternStep};
pub use schema::{NodeKind, Schema, SchemaNode};
pub use statement::{ModelError, Statement};
pub use tree::{Entries, Fields, Node, NodeRef, Place, Segment, Text, Tree, node_of};
pub use types::{Range, Type, ValueError};
