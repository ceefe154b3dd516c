//! Compiles a module to the nodes that data is checked against. A statement that is not known is an error with its line,
//! never passed over: what the model's text says holds, or the front does not start.

use crate::must::Must;
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema, SchemaNode};
use crate::statement::{ModelError, Statement};
use crate::types::{Type, integer_bounds, parse_ranges};
use regex::Regex;
use std::collections::BTreeMap;

const MODEL: &str = include_str!("../yang/lemonusher-front.yang");
/// Groupings and types may refer to each other no deeper than this.
const MAX_DEPTH: usize = 16;

impl Schema {
    /// The front's own model.
    pub fn front() -> Result<Schema, ModelError> {
        Schema::compile(MODEL)
    }

    pub fn compile(text: &str) -> Result<Schema, ModelError> {
        let module = Statement::parse(text)?;
        if module.keyword != "module" {
            return Err(module.wrong(format!("'{}' stands where 'module' should", module.keyword)));
        }
        let need = |keyword: &str| {
            let found = module.substatement_arg(keyword)?;
            found.map(str::to_owned).ok_or_else(|| module.wrong(format!("the module has no '{keyword}'")))
        };
        if need("yang-version")? != "1.1" {
            return Err(module.wrong("only yang-version 1.1 is known"));
        }
        let schema = Schema {
            module: module.arg()?.to_owned(),
            namespace: need("namespace")?,
            prefix: need("prefix")?,
            revision: module.substatement_arg("revision")?.map(str::to_owned),
            organization: module.substatement_arg("organization")?.unwrap_or_default().to_owned(),
            text: text.to_owned(),
            nodes: Vec::new(),
            tops: Vec::new(),
            notifications: Vec::new(),
        };
        let mut compiler = Compiler {
            schema,
            groupings: by_name(&module, "grouping")?,
            typedefs: by_name(&module, "typedef")?,
            leafrefs: Vec::new(),
        };
        for sub in &module.substatements {
            match sub.keyword.as_str() {
                "yang-version" | "namespace" | "prefix" | "organization" | "contact" | "description"
                | "reference" | "revision" | "grouping" | "typedef" => {}
                "notification" => {
                    let id = compiler.node(sub, None, false, 0)?;
                    compiler.schema.notifications.push(id);
                }
                _ => {
                    let made = compiler.data(sub, None, true, 0)?;
                    compiler.schema.tops.extend(made);
                }
            }
        }
        compiler.point()?;
        Ok(compiler.schema)
    }
}

fn by_name<'a>(module: &'a Statement, keyword: &str) -> Result<BTreeMap<String, &'a Statement>, ModelError> {
    let mut found = BTreeMap::new();
    for sub in module.substatements.iter().filter(|sub| sub.keyword == keyword) {
        if found.insert(sub.arg()?.to_owned(), sub).is_some() {
            return Err(sub.wrong(format!("{keyword} '{}' stands twice", sub.arg()?)));
        }
    }
    Ok(found)
}

struct Compiler<'a> {
    schema: Schema,
    groupings: BTreeMap<String, &'a Statement>,
    typedefs: BTreeMap<String, &'a Statement>,
    /// Leaves that point elsewhere, and where to.
    leafrefs: Vec<(NodeId, String, usize)>,
}

impl<'a> Compiler<'a> {
    /// A data node, or those that a grouping brings.
    fn data(
        &mut self,
        statement: &'a Statement,
        parent: Option<NodeId>,
        config: bool,
        depth: usize,
    ) -> Result<Vec<NodeId>, ModelError> {
        if depth > MAX_DEPTH {
            return Err(statement.wrong("groupings use each other too deeply"));
        }
        match statement.keyword.as_str() {
            "container" | "list" | "leaf" | "leaf-list" => {
                Ok(vec![self.node(statement, parent, config, depth)?])
            }
            "uses" => {
                let name = statement.arg()?;
                if let Some(sub) = statement.substatements.first() {
                    return Err(sub.wrong(format!("'{}' is not known in 'uses'", sub.keyword)));
                }
                let grouping = self.groupings.get(name).copied();
                let grouping =
                    grouping.ok_or_else(|| statement.wrong(format!("there is no grouping '{name}'")))?;
                let mut made = Vec::new();
                for sub in grouping.substatements.iter().filter(|sub| sub.keyword != "description") {
                    made.extend(self.data(sub, parent, config, depth + 1)?);
                }
                Ok(made)
            }
            other => Err(statement.wrong(format!("statement '{other}' is not known here"))),
        }
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
            Some(_) => return Err(statement.wrong("'config' is true or false, and false below false")),
        };
        if self.schema.children(parent).iter().any(|id| self.schema.nodes[*id].name == name) {
            return Err(statement.wrong(format!("'{name}' stands twice")));
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
        let holds = matches!(statement.keyword.as_str(), "container" | "list" | "notification");
        for sub in &statement.substatements {
            match sub.keyword.as_str() {
                "description" | "reference" | "config" | "status" => {}
                "units" | "type" | "default" | "mandatory" if !holds => {}
                "key" if statement.keyword == "list" => {}
                "min-elements" | "max-elements"
                    if matches!(statement.keyword.as_str(), "list" | "leaf-list") => {}
                "ordered-by" if sub.arg()? == "system" => {}
                "must" => {
                    let must = Must::compile(sub)?;
                    self.schema.nodes[id].musts.push(must);
                }
                "container" | "list" | "leaf" | "leaf-list" | "uses" if holds => {
                    let made = self.data(sub, Some(id), config, depth)?;
                    self.schema.nodes[id].children.extend(made);
                }
                other => {
                    let what = format!("statement '{other}' is not known in '{}'", statement.keyword);
                    return Err(sub.wrong(what));
                }
            }
        }
        self.schema.nodes[id].kind = match statement.keyword.as_str() {
            "container" => NodeKind::Container,
            "notification" => NodeKind::Notification,
            "list" => self.list(statement, id)?,
            "leaf" => {
                let ty = self.type_of(statement, id, 0)?;
                let default = statement.substatement_arg("default")?.map(str::to_owned);
                let mandatory = statement.substatement_arg("mandatory")? == Some("true");
                if mandatory && default.is_some() {
                    return Err(statement.wrong("a mandatory leaf has no default"));
                }
                NodeKind::Leaf { ty, default, mandatory }
            }
            _ => {
                let (min, max) = elements(statement)?;
                NodeKind::LeafList { ty: self.type_of(statement, id, 0)?, min, max }
            }
        };
        Ok(id)
    }

    fn list(&mut self, statement: &Statement, id: NodeId) -> Result<NodeKind, ModelError> {
        let (min, max) = elements(statement)?;
        let key =
            statement.substatement_arg("key")?.ok_or_else(|| statement.wrong("a list needs a 'key'"))?;
        let mut keys = Vec::new();
        for name in key.split_whitespace() {
            let leaf = self.schema.child(Some(id), name);
            let leaf = leaf
                .filter(|leaf| matches!(self.schema.nodes[*leaf].kind, NodeKind::Leaf { .. }))
                .ok_or_else(|| statement.wrong(format!("key '{name}' is no leaf of the list")))?;
            keys.push(leaf);
        }
        if keys.is_empty() {
            return Err(statement.wrong("a list needs a 'key'"));
        }
        Ok(NodeKind::List { keys, min, max })
    }

    fn type_of(&mut self, holder: &'a Statement, id: NodeId, depth: usize) -> Result<Type, ModelError> {
        let ty = holder.substatement("type").ok_or_else(|| holder.wrong("it has no 'type'"))?;
        let name = ty.arg()?;
        let known =
            |allowed: &[&str]| match ty.substatements.iter().find(|s| !allowed.contains(&s.keyword.as_str()))
            {
                Some(sub) => Err(sub.wrong(format!("'{}' is not known in type '{name}'", sub.keyword))),
                None => Ok(()),
            };
        if let Some(bounds) = integer_bounds(name) {
            known(&["range"])?;
            let ranges = match ty.substatement("range") {
                Some(range) => parse_ranges(range.arg()?, bounds).map_err(|what| range.wrong(what))?,
                None => vec![bounds],
            };
            return Ok(Type::Integer { name: name.to_owned(), ranges });
        }
        match name {
            "string" => {
                known(&["length", "pattern"])?;
                let lengths = match ty.substatement("length") {
                    Some(length) => {
                        let all = (0, i128::from(u64::MAX));
                        parse_ranges(length.arg()?, all).map_err(|what| length.wrong(what))?
                    }
                    None => Vec::new(),
                };
                let mut patterns = Vec::new();
                for pattern in ty.substatements.iter().filter(|sub| sub.keyword == "pattern") {
                    // A pattern of YANG's means the whole value.
                    let whole = format!("^(?:{})$", pattern.arg()?);
                    patterns.push(Regex::new(&whole).map_err(|error| {
                        pattern
                            .wrong(format!("pattern can't be used: {}", error.to_string().replace('\n', " ")))
                    })?);
                }
                Ok(Type::String { lengths, patterns })
            }
            "boolean" => known(&[]).map(|()| Type::Boolean),
            "enumeration" => {
                known(&["enum"])?;
                let names: Result<Vec<String>, ModelError> =
                    ty.substatements.iter().map(|sub| sub.arg().map(str::to_owned)).collect();
                Ok(Type::Enumeration(names?))
            }
            "leafref" => {
                known(&["path"])?;
                let path = ty.substatement("path").ok_or_else(|| ty.wrong("a leafref needs a 'path'"))?;
                self.leafrefs.push((id, path.arg()?.to_owned(), path.line));
                // What it points at is known once all nodes are.
                Ok(Type::Leafref { target: id, inner: Box::new(Type::Boolean) })
            }
            other => {
                let Some(typedef) = self.typedefs.get(other).copied() else {
                    return Err(ty.wrong(format!("type '{other}' is not known")));
                };
                if depth > MAX_DEPTH {
                    return Err(ty.wrong("types refer to each other too deeply"));
                }
                known(&[])?;
                self.type_of(typedef, id, depth + 1)
            }
        }
    }

    /// Points leafrefs at their leaves and checks the defaults.
    fn point(&mut self) -> Result<(), ModelError> {
        for (id, path, line) in std::mem::take(&mut self.leafrefs) {
            let wrong = |what: &str| ModelError { line, what: format!("leafref path '{path}' {what}") };
            let Some(rest) = path.strip_prefix('/') else { return Err(wrong("is not absolute")) };
            let mut at = None;
            for step in rest.split('/') {
                let name = step.split_once(':').map_or(step, |(_, name)| name);
                at = Some(self.schema.child(at, name).ok_or_else(|| wrong("leads nowhere"))?);
            }
            let target = at.ok_or_else(|| wrong("leads nowhere"))?;
            let node = &self.schema.nodes[target];
            let inner = match &node.kind {
                NodeKind::Leaf { ty, .. } if !matches!(ty, Type::Leafref { .. }) => Box::new(ty.clone()),
                _ => return Err(wrong("leads to no plain leaf")),
            };
            if self.schema.nodes[id].config && !node.config {
                return Err(wrong("leads from config to state"));
            }
            let pointed = Type::Leafref { target, inner };
            match &mut self.schema.nodes[id].kind {
                NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty, .. } => *ty = pointed,
                _ => {}
            }
        }
        for (id, node) in self.schema.nodes.iter().enumerate() {
            for must in &node.musts {
                let wrong =
                    |what| ModelError { line: node.line, what: format!("must '{}': {what}", must.text) };
                must.check_paths(&self.schema, id).map_err(wrong)?;
            }
            if let NodeKind::Leaf { ty, default: Some(default), .. } = &node.kind
                && let Err(what) = ty.canonical(default)
            {
                return Err(ModelError { line: node.line, what: format!("the default {what}") });
            }
        }
        Ok(())
    }
}

fn elements(statement: &Statement) -> Result<(usize, usize), ModelError> {
    let number = |keyword: &str, usual: usize| match statement.substatement_arg(keyword)? {
        None | Some("unbounded") => Ok(usual),
        Some(text) => text.parse().map_err(|_| statement.wrong(format!("'{keyword}' needs a number"))),
    };
    Ok((number("min-elements", 0)?, number("max-elements", usize::MAX)?))
}

#[cfg(test)]
#[path = "../tests/unit/compiler.rs"]
mod tests;
