//! Ids of schema nodes.

/// Index of a node in its schema.
pub type NodeId = usize;
