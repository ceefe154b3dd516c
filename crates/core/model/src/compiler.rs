//! Compiler from a YANG module to schema nodes. An unsupported data definition or type is an error with its
//! line, so that the front does not start with a module that it can't enforce. Unsupported statements are not
//! detected within `enum`, `range`, `length`, `pattern`, `must` and, besides its `type`, `typedef`; `default` and
//! `mandatory` of a leaf-list are ignored.

mod references;
mod types;

use crate::must::Must;
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema, SchemaNode};
use crate::statement::{ModelError, Statement};
use std::collections::BTreeMap;

const MODEL: &str = include_str!("../yang/lemonusher-front.yang");
/// The deepest nesting of groupings that use groupings, and of typedefs that refer to typedefs.
const MAX_DEPTH: usize = 16;

impl Schema {
    /// The front's own model, `lemonusher-front.yang`.
    pub fn front() -> Result<Schema, ModelError> {
        Schema::compile(MODEL)
    }

    /// Compiles a module's text. Fails with the line of the first error found, which need not be the first in the text.
    pub fn compile(text: &str) -> Result<Schema, ModelError> {
        let module = Statement::parse(text)?;
        let mut compiler = Compiler {
            schema: empty_schema(&module, text)?,
            groupings: by_name(&module, "grouping")?,
            typedefs: by_name(&module, "typedef")?,
            leafrefs: Vec::new(),
        };
        for statement in &module.substatements {
            match statement.keyword.as_str() {
                "yang-version" | "namespace" | "prefix" | "organization" | "contact" | "description"
                | "reference" | "revision" | "grouping" | "typedef" => {}
                "notification" => {
                    let id = compiler.node(statement, None, false, 0)?;
                    compiler.schema.notifications.push(id);
                }
                _ => {
                    let nodes = compiler.data_nodes(statement, None, true, 0)?;
                    compiler.schema.tops.extend(nodes);
                }
            }
        }
        compiler.resolve_leafrefs()?;
        compiler.check_constraints()?;
        Ok(compiler.schema)
    }
}

/// A schema with the header of a module and no nodes.
fn empty_schema(module: &Statement, text: &str) -> Result<Schema, ModelError> {
    if module.keyword != "module" {
        return Err(module.error(format!("expected 'module', found '{}'", module.keyword)));
    }
    let required = |keyword: &str| {
        let argument = module.substatement_arg(keyword)?;
        argument.map(str::to_owned).ok_or_else(|| module.error(format!("the module has no '{keyword}'")))
    };
    if required("yang-version")? != "1.1" {
        return Err(module.error("only yang-version 1.1 is supported"));
    }
    Ok(Schema {
        module: module.arg()?.to_owned(),
        namespace: required("namespace")?,
        prefix: required("prefix")?,
        revision: module.substatement_arg("revision")?.map(str::to_owned),
        organization: module.substatement_arg("organization")?.unwrap_or_default().to_owned(),
        text: text.to_owned(),
        nodes: Vec::new(),
        tops: Vec::new(),
        notifications: Vec::new(),
    })
}

fn by_name<'a>(module: &'a Statement, keyword: &str) -> Result<BTreeMap<String, &'a Statement>, ModelError> {
    let mut found = BTreeMap::new();
    for statement in module.substatements.iter().filter(|statement| statement.keyword == keyword) {
        if found.insert(statement.arg()?.to_owned(), statement).is_some() {
            return Err(statement.error(format!("{keyword} '{}' is defined twice", statement.arg()?)));
        }
    }
    Ok(found)
}

struct Compiler<'a> {
    schema: Schema,
    groupings: BTreeMap<String, &'a Statement>,
    typedefs: BTreeMap<String, &'a Statement>,
    /// Leafrefs to resolve once all nodes are compiled.
    leafrefs: Vec<UnresolvedLeafref>,
}

struct UnresolvedLeafref {
    node: NodeId,
    path: String,
    /// The line of the `path` statement, from 1.
    line: usize,
}

impl<'a> Compiler<'a> {
    /// Compiles a data definition statement to a node; `uses` to the nodes of its grouping.
    fn data_nodes(
        &mut self,
        statement: &'a Statement,
        parent: Option<NodeId>,
        config: bool,
        depth: usize,
    ) -> Result<Vec<NodeId>, ModelError> {
        if depth > MAX_DEPTH {
            return Err(statement.error("groupings are nested too deeply"));
        }
        match statement.keyword.as_str() {
            "container" | "list" | "leaf" | "leaf-list" => {
                Ok(vec![self.node(statement, parent, config, depth)?])
            }
            "uses" => {
                let mut nodes = Vec::new();
                for statement in self.used_statements(statement)? {
                    nodes.extend(self.data_nodes(statement, parent, config, depth + 1)?);
                }
                Ok(nodes)
            }
            other => Err(statement.error(format!("statement '{other}' is not supported here"))),
        }
    }

    /// The statements of the grouping to which a `uses` statement refers.
    fn used_statements(
        &self,
        uses: &Statement,
    ) -> Result<impl Iterator<Item = &'a Statement> + use<'a>, ModelError> {
        let name = uses.arg()?;
        if let Some(within) = uses.substatements.first() {
            return Err(within.error(format!("'{}' is not supported in 'uses'", within.keyword)));
        }
        let grouping = self.groupings.get(name).copied();
        let grouping = grouping.ok_or_else(|| uses.error(format!("there is no grouping '{name}'")))?;
        Ok(grouping.substatements.iter().filter(|statement| statement.keyword != "description"))
    }

    fn node(
        &mut self,
        statement: &'a Statement,
        parent: Option<NodeId>,
        config: bool,
        depth: usize,
    ) -> Result<NodeId, ModelError> {
        let name = statement.arg()?.to_owned();
        let config = match statement.substatement_arg("config")? {
            None => config,
            Some("false") => false,
            Some("true") if config => true,
            Some(_) => {
                return Err(
                    statement.error("'config' must be true or false, and can't be true below 'config false'")
                );
            }
        };
        if self.schema.children(parent).iter().any(|id| self.schema.nodes[*id].name == name) {
            return Err(statement.error(format!("'{name}' is defined twice")));
        }
        let id = self.schema.nodes.len();
        self.schema.nodes.push(SchemaNode {
            name,
            kind: NodeKind::Container,
            config,
            parent,
            children: Vec::new(),
            musts: Vec::new(),
            units: statement.substatement_arg("units")?.map(str::to_owned),
            description: statement.substatement_arg("description")?.map(str::to_owned),
            line: statement.line,
        });
        for within in &statement.substatements {
            self.substatement(statement, within, id, depth)?;
        }
        self.schema.nodes[id].kind = self.kind(statement, id)?;
        Ok(id)
    }

    /// Compiles one substatement of a node's statement.
    fn substatement(
        &mut self,
        statement: &Statement,
        within: &'a Statement,
        id: NodeId,
        depth: usize,
    ) -> Result<(), ModelError> {
        let keyword = statement.keyword.as_str();
        let has_children = matches!(keyword, "container" | "list" | "notification");
        match within.keyword.as_str() {
            "description" | "reference" | "config" | "status" => {}
            "units" | "type" | "default" | "mandatory" if !has_children => {}
            "key" if keyword == "list" => {}
            "min-elements" | "max-elements" if matches!(keyword, "list" | "leaf-list") => {}
            "ordered-by" if within.arg()? == "system" => {}
            "must" => {
                let must = Must::compile(within)?;
                self.schema.nodes[id].musts.push(must);
            }
            "container" | "list" | "leaf" | "leaf-list" | "uses" if has_children => {
                let config = self.schema.nodes[id].config;
                let nodes = self.data_nodes(within, Some(id), config, depth)?;
                self.schema.nodes[id].children.extend(nodes);
            }
            other => {
                return Err(within.error(format!("statement '{other}' is not supported in '{keyword}'")));
            }
        }
        Ok(())
    }

    fn kind(&mut self, statement: &'a Statement, id: NodeId) -> Result<NodeKind, ModelError> {
        match statement.keyword.as_str() {
            "container" => Ok(NodeKind::Container),
            "notification" => Ok(NodeKind::Notification),
            "list" => self.list(statement, id),
            "leaf" => {
                let ty = self.type_of(statement, id, 0)?;
                let default = statement.substatement_arg("default")?.map(str::to_owned);
                let mandatory = statement.substatement_arg("mandatory")? == Some("true");
                if mandatory && default.is_some() {
                    return Err(statement.error("a mandatory leaf can't have a default"));
                }
                Ok(NodeKind::Leaf { ty, default, mandatory })
            }
            _ => {
                let (min, max) = element_bounds(statement)?;
                Ok(NodeKind::LeafList { ty: self.type_of(statement, id, 0)?, min, max })
            }
        }
    }

    fn list(&self, statement: &Statement, id: NodeId) -> Result<NodeKind, ModelError> {
        let (min, max) = element_bounds(statement)?;
        let no_key = || statement.error("a list needs a 'key'");
        let key = statement.substatement_arg("key")?.ok_or_else(no_key)?;
        let mut keys = Vec::new();
        for name in key.split_whitespace() {
            let leaf = self.schema.child(Some(id), name);
            let leaf = leaf
                .filter(|leaf| matches!(self.schema.nodes[*leaf].kind, NodeKind::Leaf { .. }))
                .ok_or_else(|| statement.error(format!("key '{name}' is not a leaf of the list")))?;
            keys.push(leaf);
        }
        if keys.is_empty() {
            return Err(no_key());
        }
        Ok(NodeKind::List { keys, min, max })
    }
}

/// `min-elements` and `max-elements` of a list or leaf-list.
fn element_bounds(statement: &Statement) -> Result<(usize, usize), ModelError> {
    let number = |keyword: &str, default: usize| match statement.substatement_arg(keyword)? {
        None | Some("unbounded") => Ok(default),
        Some(text) => text.parse().map_err(|_| statement.error(format!("'{keyword}' needs a number"))),
    };
    Ok((number("min-elements", 0)?, number("max-elements", usize::MAX)?))
}

#[cfg(test)]
#[path = "../tests/unit/compiler.rs"]
mod tests;
