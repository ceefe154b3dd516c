//! The compiled model: a node for each data node, with its type and constraints.

use crate::must::Must;
use crate::node_id::NodeId;
use crate::types::Type;

#[derive(Debug)]
pub enum NodeKind {
    Container,
    List { keys: Vec<NodeId>, min: usize, max: usize },
    Leaf { ty: Type, default: Option<String>, mandatory: bool },
    LeafList { ty: Type, min: usize, max: usize },
    Notification,
}

#[derive(Debug)]
pub struct SchemaNode {
    pub name: String,
    pub kind: NodeKind,
    /// Whether it may be set; else it is state.
    pub config: bool,
    pub parent: Option<NodeId>,
    pub children: Vec<NodeId>,
    pub musts: Vec<Must>,
    pub units: Option<String>,
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

#[derive(Debug)]
pub struct Schema {
    pub module: String,
    pub namespace: String,
    pub prefix: String,
    pub revision: Option<String>,
    pub organization: String,
    /// The module as written, for those who ask for it.
    pub text: String,
    pub(crate) nodes: Vec<SchemaNode>,
    /// The data nodes at the top, without notifications.
    pub(crate) tops: Vec<NodeId>,
    pub(crate) notifications: Vec<NodeId>,
}

impl Schema {
    pub fn node(&self, id: NodeId) -> &SchemaNode {
        &self.nodes[id]
    }

    /// The nodes below one, or at the top.
    pub fn children(&self, parent: Option<NodeId>) -> &[NodeId] {
        match parent {
            Some(parent) => &self.nodes[parent].children,
            None => &self.tops,
        }
    }

    pub fn child(&self, parent: Option<NodeId>, name: &str) -> Option<NodeId> {
        self.children(parent).iter().copied().find(|id| self.nodes[*id].name == name)
    }

    pub fn notification(&self, name: &str) -> Option<NodeId> {
        self.notifications.iter().copied().find(|id| self.nodes[*id].name == name)
    }

    /// The nodes from the top down to this one.
    pub fn ancestry(&self, id: NodeId) -> Vec<NodeId> {
        let mut line: Vec<NodeId> = std::iter::successors(Some(id), |id| self.nodes[*id].parent).collect();
        line.reverse();
        line
    }

    /// The keys of a list, in order.
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

    /// A leaf's default.
    pub fn default_of(&self, id: NodeId) -> Option<&str> {
        match &self.nodes[id].kind {
            NodeKind::Leaf { default, .. } => default.as_deref(),
            _ => None,
        }
    }
}
