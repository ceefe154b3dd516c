//! Numbers of schema nodes.

/// Number of a node in its schema.
pub type NodeId = usize;
