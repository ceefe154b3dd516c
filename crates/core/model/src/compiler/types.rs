//! Compilation of `type` statements.

use super::{Compiler, MAX_DEPTH, UnresolvedLeafref};
use crate::node_id::NodeId;
use crate::statement::{ModelError, Statement};
use crate::types::{Range, Type, integer_bounds, parse_ranges, whole_value_pattern};
use regex::Regex;

/// The lengths of a string without a `length` restriction.
const ALL_LENGTHS: Range = 0..=u64::MAX as i128;

impl<'a> Compiler<'a> {
    /// The type of a node, from the `type` substatement of the node's statement or of a typedef.
    pub(super) fn type_of(
        &mut self,
        statement: &'a Statement,
        node: NodeId,
        depth: usize,
    ) -> Result<Type, ModelError> {
        let ty = statement.substatement("type").ok_or_else(|| statement.error("'type' is missing"))?;
        let name = ty.arg()?;
        if let Some(bounds) = integer_bounds(name) {
            return integer(ty, name, bounds);
        }
        match name {
            "string" => string(ty),
            "boolean" => allow_only(ty, &[]).map(|()| Type::Boolean),
            "enumeration" => {
                allow_only(ty, &["enum"])?;
                let names: Result<Vec<String>, ModelError> =
                    ty.substatements.iter().map(|name| name.arg().map(str::to_owned)).collect();
                Ok(Type::Enumeration(names?))
            }
            "leafref" => self.leafref(ty, node),
            other => {
                let Some(typedef) = self.typedefs.get(other).copied() else {
                    return Err(ty.error(format!("type '{other}' is unknown or not supported")));
                };
                if depth > MAX_DEPTH {
                    return Err(ty.error("typedefs are nested too deeply"));
                }
                allow_only(ty, &[])?;
                self.type_of(typedef, node, depth + 1)
            }
        }
    }

    /// A leafref. Its own node is a placeholder for the target until all nodes are compiled.
    fn leafref(&mut self, ty: &Statement, node: NodeId) -> Result<Type, ModelError> {
        allow_only(ty, &["path"])?;
        let path = ty.substatement("path").ok_or_else(|| ty.error("a leafref needs a 'path'"))?;
        self.leafrefs.push(UnresolvedLeafref { node, path: path.arg()?.to_owned(), line: path.line });
        Ok(Type::Leafref { target: node, inner: Box::new(Type::Boolean) })
    }
}

fn integer(ty: &Statement, name: &str, bounds: Range) -> Result<Type, ModelError> {
    allow_only(ty, &["range"])?;
    let ranges = match ty.substatement("range") {
        Some(range) => parse_ranges(range.arg()?, bounds).map_err(|error| range.error(error.to_string()))?,
        None => vec![bounds],
    };
    Ok(Type::Integer { name: name.to_owned(), ranges })
}

fn string(ty: &Statement) -> Result<Type, ModelError> {
    allow_only(ty, &["length", "pattern"])?;
    let lengths = match ty.substatement("length") {
        Some(length) => {
            parse_ranges(length.arg()?, ALL_LENGTHS).map_err(|error| length.error(error.to_string()))?
        }
        None => Vec::new(),
    };
    let mut patterns = Vec::new();
    for pattern in ty.substatements.iter().filter(|within| within.keyword == "pattern") {
        let regex = Regex::new(&whole_value_pattern(pattern.arg()?)).map_err(|error| {
            pattern.error(format!(
                "pattern is not a valid regular expression: {}",
                error.to_string().replace('\n', " ")
            ))
        })?;
        patterns.push(regex);
    }
    Ok(Type::String { lengths, patterns })
}

/// Fails if a `type` statement has a substatement with another keyword.
fn allow_only(ty: &Statement, keywords: &[&str]) -> Result<(), ModelError> {
    let name = ty.arg()?;
    match ty.substatements.iter().find(|within| !keywords.contains(&within.keyword.as_str())) {
        Some(within) => Err(within.error(format!("'{}' is not supported in type '{name}'", within.keyword))),
        None => Ok(()),
    }
}
