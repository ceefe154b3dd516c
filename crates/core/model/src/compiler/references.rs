//! Checks that need all nodes of the module: leafrefs, the paths in constraints, and defaults.

use super::{Compiler, UnresolvedLeafref};
use crate::node_id::NodeId;
use crate::schema::NodeKind;
use crate::statement::ModelError;
use crate::types::Type;

impl Compiler<'_> {
    /// Resolves the targets of all leafrefs.
    pub(super) fn resolve_leafrefs(&mut self) -> Result<(), ModelError> {
        for leafref in std::mem::take(&mut self.leafrefs) {
            let resolved = self.resolve(&leafref).map_err(|message| ModelError {
                line: leafref.line,
                message: format!("leafref path '{}' {message}", leafref.path),
            })?;
            match &mut self.schema.nodes[leafref.node].kind {
                NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty, .. } => *ty = resolved,
                _ => {}
            }
        }
        Ok(())
    }

    fn resolve(&self, leafref: &UnresolvedLeafref) -> Result<Type, &'static str> {
        let target = self.target(&leafref.path)?;
        let node = &self.schema.nodes[target];
        let inner = match &node.kind {
            NodeKind::Leaf { ty, .. } if !matches!(ty, Type::Leafref { .. }) => Box::new(ty.clone()),
            _ => return Err("leads to a node that is not a leaf, or to another leafref"),
        };
        if self.schema.nodes[leafref.node].config && !node.config {
            return Err("leads from configuration to state data");
        }
        Ok(Type::Leafref { target, inner })
    }

    fn target(&self, path: &str) -> Result<NodeId, &'static str> {
        let rest = path.strip_prefix('/').ok_or("is not absolute")?;
        let mut at = None;
        for step in rest.split('/') {
            let name = step.split_once(':').map_or(step, |(_, name)| name);
            at = Some(self.schema.child(at, name).ok_or("leads nowhere")?);
        }
        at.ok_or("leads nowhere")
    }

    /// Checks that the paths in constraints lead to nodes, and that defaults are valid for their types.
    pub(super) fn check_constraints(&self) -> Result<(), ModelError> {
        for (id, node) in self.schema.nodes.iter().enumerate() {
            let model_error = |message: String| ModelError { line: node.line, message };
            for must in &node.musts {
                let checked = must.check_paths(&self.schema, id);
                checked.map_err(|error| model_error(format!("must '{}': {error}", must.text)))?;
            }
            if let NodeKind::Leaf { ty, default: Some(default), .. } = &node.kind
                && let Err(error) = ty.canonical(default)
            {
                return Err(model_error(format!("the default {error}")));
            }
        }
        Ok(())
    }
}
