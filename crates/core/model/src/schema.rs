//! The compiled YANG module: one schema node for each data node and notification, with its type and
//! constraints.

use crate::must::Must;
use crate::node_id::NodeId;
use crate::types::Type;

/// The kind of a schema node, with the properties of that kind.
#[derive(Debug)]
pub enum NodeKind {
    /// `container`, always a non-presence container.
    Container,
    /// `list`.
    List {
        /// The key leaves, in the order of the `key` statement.
        keys: Vec<NodeId>,
        /// `min-elements`; 0 if not stated.
        min: usize,
        /// `max-elements`; `usize::MAX` if unbounded.
        max: usize,
    },
    /// `leaf`.
    Leaf {
        /// The type of its value.
        ty: Type,
        /// The `default`, as written in the module.
        default: Option<String>,
        /// The `mandatory` statement; false if not stated.
        mandatory: bool,
    },
    /// `leaf-list`.
    LeafList {
        /// The type of its members.
        ty: Type,
        /// `min-elements`; 0 if not stated.
        min: usize,
        /// `max-elements`; `usize::MAX` if unbounded.
        max: usize,
    },
    /// `notification`.
    Notification,
}

/// One schema node.
#[derive(Debug)]
pub struct SchemaNode {
    /// The name, without a prefix.
    pub name: String,
    /// The kind of node.
    pub kind: NodeKind,
    /// True for configuration, false for state data, which is read-only.
    pub config: bool,
    /// The parent; `None` for a top-level node.
    pub parent: Option<NodeId>,
    /// The child nodes, in the module's order.
    pub children: Vec<NodeId>,
    /// The `must` constraints.
    pub musts: Vec<Must>,
    /// The `units` statement.
    pub units: Option<String>,
    /// The `description` statement.
    pub description: Option<String>,
    /// The line of its statement in the module's text, from 1.
    pub line: usize,
}

impl SchemaNode {
    /// The type of a leaf or leaf-list.
    pub fn leaf_type(&self) -> Option<&Type> {
        match &self.kind {
            NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty, .. } => Some(ty),
            _ => None,
        }
    }
}

/// A compiled YANG module.
#[derive(Debug)]
pub struct Schema {
    /// The module's name.
    pub module: String,
    /// The namespace URI.
    pub namespace: String,
    /// The module's prefix.
    pub prefix: String,
    /// The date of the latest revision, which is the first `revision` statement.
    pub revision: Option<String>,
    /// The `organization` statement; empty if there is none.
    pub organization: String,
    /// The module's source text, which management clients can fetch.
    pub text: String,
    pub(crate) nodes: Vec<SchemaNode>,
    /// The top-level data nodes, without notifications.
    pub(crate) tops: Vec<NodeId>,
    pub(crate) notifications: Vec<NodeId>,
}

impl Schema {
    /// A node by its id, which must come from this schema.
    pub fn node(&self, id: NodeId) -> &SchemaNode {
        &self.nodes[id]
    }

    /// The children of a node; for `None` the top-level data nodes.
    pub fn children(&self, parent: Option<NodeId>) -> &[NodeId] {
        match parent {
            Some(parent) => &self.nodes[parent].children,
            None => &self.tops,
        }
    }

    /// The child with this name; for `None` the top-level data node with this name.
    pub fn child(&self, parent: Option<NodeId>, name: &str) -> Option<NodeId> {
        self.children(parent).iter().copied().find(|id| self.nodes[*id].name == name)
    }

    /// The notification with this name.
    pub fn notification(&self, name: &str) -> Option<NodeId> {
        self.notifications.iter().copied().find(|id| self.nodes[*id].name == name)
    }

    /// The nodes from the top level down to this one, inclusive.
    pub fn ancestry(&self, id: NodeId) -> Vec<NodeId> {
        let mut ancestry: Vec<NodeId> =
            std::iter::successors(Some(id), |id| self.nodes[*id].parent).collect();
        ancestry.reverse();
        ancestry
    }

    /// The key leaves of a list, in the order of its `key` statement; empty for other nodes.
    pub fn keys(&self, id: NodeId) -> &[NodeId] {
        match &self.nodes[id].kind {
            NodeKind::List { keys, .. } => keys,
            _ => &[],
        }
    }

    /// Returns true if the node is a key leaf of its parent list.
    pub fn is_key(&self, id: NodeId) -> bool {
        self.nodes[id].parent.is_some_and(|parent| self.keys(parent).contains(&id))
    }

    /// A leaf's default, if it has one.
    pub fn default_of(&self, id: NodeId) -> Option<&str> {
        match &self.nodes[id].kind {
            NodeKind::Leaf { default, .. } => default.as_deref(),
            _ => None,
        }
    }
}
