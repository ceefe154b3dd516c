//! The front's YANG model (RFC 7950): a compiler for the subset of YANG that `lemonusher-front.yang` uses,
//! data trees that share common subtrees, paths, edits, validation, differences and the JSON encoding (RFC
//! 7951). The YANG module is the only source of names, types, ranges, keys, defaults, enumerations, leafrefs
//! and constraints. The crate does no I/O and uses no clock.
//!
//! A data tree holds only explicitly set values, without defaults. All containers are non-presence containers
//! and are absent when empty, so two trees are equal exactly when they hold the same leaves.
//!
//! The modules form four layers. A module uses only modules of lower layers and, in the top layer, of its own:
//!
//! 1. `node_id`, `fault`, `statement` and `xpath`
//! 2. `types`, `tree` and `must`
//! 3. `schema`
//! 4. `compiler`, `evaluate`, `edit`, `path`, `place_text`, `pattern`, `validate`, `diff` and `json`

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
