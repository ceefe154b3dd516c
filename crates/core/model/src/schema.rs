//! The compiled model: a node for each data node, with its type and constraints.

use crate::must::Must;
use crate::node_id::NodeId;
use crate::types::Type;

/// What kind of node it is, with what holds for that kind.
#[derive(Debug)]
pub enum NodeKind {
    /// `container`; none of the model's has presence.
    Container,
    /// `list`.
    List {
        /// The key leaves, in order.
        keys: Vec<NodeId>,
        /// The fewest entries.
        min: usize,
        /// The most entries.
        max: usize,
    },
    /// `leaf`.
    Leaf {
        /// The type of its value.
        ty: Type,
        /// The value where none is set, as written in the model.
        default: Option<String>,
        /// Whether it must be set.
        mandatory: bool,
    },
    /// `leaf-list`.
    LeafList {
        /// The type of its members.
        ty: Type,
        /// The fewest members.
        min: usize,
        /// The most members.
        max: usize,
    },
    /// `notification`.
    Notification,
}

/// One node of the model.
#[derive(Debug)]
pub struct SchemaNode {
    /// Its name, without the module.
    pub name: String,
    /// Its kind.
    pub kind: NodeKind,
    /// Whether it may be set; else it is state.
    pub config: bool,
    /// The node that it stands in; none at the top.
    pub parent: Option<NodeId>,
    /// The nodes in it, in the model's order.
    pub children: Vec<NodeId>,
    /// Its constraints.
    pub musts: Vec<Must>,
    /// The unit of its value.
    pub units: Option<String>,
    /// The model's description.
    pub description: Option<String>,
    /// Where it stands in the model's text.
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

/// A compiled module.
#[derive(Debug)]
pub struct Schema {
    /// The module's name.
    pub module: String,
    /// Its namespace.
    pub namespace: String,
    /// Its prefix.
    pub prefix: String,
    /// Its latest revision, which stands first.
    pub revision: Option<String>,
    /// Its organization.
    pub organization: String,
    /// The module as written, for managers who fetch it.
    pub text: String,
    pub(crate) nodes: Vec<SchemaNode>,
    /// The data nodes at the top, without notifications.
    pub(crate) tops: Vec<NodeId>,
    pub(crate) notifications: Vec<NodeId>,
}

impl Schema {
    /// A node by its number, which must be one of this schema.
    pub fn node(&self, id: NodeId) -> &SchemaNode {
        &self.nodes[id]
    }

    /// The data nodes in a node, or at the top.
    pub fn children(&self, parent: Option<NodeId>) -> &[NodeId] {
        match parent {
            Some(parent) => &self.nodes[parent].children,
            None => &self.tops,
        }
    }

    /// The data node of this name in a node, or at the top.
    pub fn child(&self, parent: Option<NodeId>, name: &str) -> Option<NodeId> {
        self.children(parent).iter().copied().find(|id| self.nodes[*id].name == name)
    }

    /// The notification of this name.
    pub fn notification(&self, name: &str) -> Option<NodeId> {
        self.notifications.iter().copied().find(|id| self.nodes[*id].name == name)
    }

    /// The nodes from the top down to this one.
    pub fn ancestry(&self, id: NodeId) -> Vec<NodeId> {
        let mut ancestry: Vec<NodeId> =
            std::iter::successors(Some(id), |id| self.nodes[*id].parent).collect();
        ancestry.reverse();
        ancestry
    }

    /// The key leaves of a list, in order; empty for other nodes.
    pub fn keys(&self, id: NodeId) -> &[NodeId] {
        match &self.nodes[id].kind {
            NodeKind::List { keys, .. } => keys,
            _ => &[],
        }
    }

    /// Whether the node is a key of the list that it stands in.
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
