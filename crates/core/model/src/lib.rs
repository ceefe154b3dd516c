//! The front's YANG model at work: a compiler for the statements that `lemonusher-front.yang` uses, data trees
//! that share what they have in common, paths, validation, differences and JSON (RFC 7950, RFC 7951). The model's
//! text is the one source of names, types, ranges, keys, defaults, enumerations, leafrefs and constraints. No
//! input or output, no clock.
//!
//! A tree holds what was set explicitly. Containers have no presence: one that holds nothing is not there, so two
//! trees are equal exactly when they hold the same leaves.

mod diff;
mod fault;
mod json;
mod must;
mod path;
mod schema;
mod statement;
mod tree;
mod types;
mod validate;

pub use diff::{Change, diff, revert};
pub use fault::{Fault, FaultKind};
pub use json::{from_json, leaf_to_json, to_json};
pub use path::{MAX_PATH_STEPS, Pattern, PatternStep, Step, parse as parse_path};
pub use schema::{NodeId, NodeKind, Schema, SchemaNode};
pub use statement::{ModelError, Statement};
pub use tree::{Fields, Node, NodeRef, Op, Place, Segment, Text, Tree, node_of};
pub use types::Type;
