//! Evaluation of the XPath expressions of `must` statements on a data tree.

use crate::must::Must;
use crate::node_id::NodeId;
use crate::schema::{NodeKind, Schema};
use crate::tree::{Fields, Node, Text};
use crate::xpath::{Comparison, Expression, LocationPath};
use std::fmt;

/// The context node (RFC 7950, 7.5.3) and its ancestors.
pub struct Context<'a> {
    pub schema: &'a Schema,
    /// From the top level down: each node, `None` for the root, and its child nodes that are set. The last
    /// one is the context node, or the parent of a context node that is a leaf.
    pub ancestors: Vec<(Option<NodeId>, &'a Fields)>,
    /// The value of the context node, if it is a leaf.
    pub leaf: Option<Text>,
}

/// The value of an expression.
enum Value {
    NodeSet(Vec<Text>),
    Number(f64),
    Text(String),
    Boolean(bool),
}

/// The reason for which a path in a constraint matches no schema node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathError {
    AboveTheTop,
    NoChild(String),
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PathError::AboveTheTop => f.write_str("a path leads above the root"),
            PathError::NoChild(name) => write!(f, "there is no node '{name}'"),
        }
    }
}

impl Must {
    /// Evaluates the constraint for the context node.
    pub(crate) fn holds(&self, context: &Context) -> bool {
        self.expression.evaluate(context).is_true()
    }

    /// Checks that every path in the constraint, with `node` as context node, leads to a schema node.
    pub(crate) fn check_paths(&self, schema: &Schema, node: NodeId) -> Result<(), PathError> {
        self.expression.check_paths(schema, node)
    }
}

impl Expression {
    fn check_paths(&self, schema: &Schema, node: NodeId) -> Result<(), PathError> {
        match self {
            Expression::Or(a, b) | Expression::And(a, b) | Expression::Compare(a, _, b) => {
                a.check_paths(schema, node)?;
                b.check_paths(schema, node)
            }
            Expression::Not(inner) => inner.check_paths(schema, node),
            Expression::Count(path) | Expression::Path(path) => path.check(schema, node),
            Expression::Number(_) | Expression::Literal(_) => Ok(()),
        }
    }

    fn evaluate(&self, context: &Context) -> Value {
        match self {
            Expression::Or(a, b) => {
                Value::Boolean(a.evaluate(context).is_true() || b.evaluate(context).is_true())
            }
            Expression::And(a, b) => {
                Value::Boolean(a.evaluate(context).is_true() && b.evaluate(context).is_true())
            }
            Expression::Not(inner) => Value::Boolean(!inner.evaluate(context).is_true()),
            Expression::Compare(a, comparison, b) => {
                Value::Boolean(compare(&a.evaluate(context), *comparison, &b.evaluate(context)))
            }
            Expression::Count(path) => Value::Number(path.select(context).len() as f64),
            Expression::Path(path) => Value::NodeSet(path.select(context)),
            Expression::Number(number) => Value::Number(*number),
            Expression::Literal(text) => Value::Text(text.clone()),
        }
    }
}

impl LocationPath {
    fn check(&self, schema: &Schema, node: NodeId) -> Result<(), PathError> {
        let mut at = Some(node);
        for _ in 0..self.up {
            at = schema.node(at.ok_or(PathError::AboveTheTop)?).parent;
        }
        for name in &self.down {
            let child = schema.child(at, name).ok_or_else(|| PathError::NoChild(name.clone()))?;
            at = Some(child);
        }
        Ok(())
    }

    /// The values of the nodes that the path selects. Containers and list entries have the empty string as
    /// value.
    fn select(&self, context: &Context) -> Vec<Text> {
        let mut up = self.up;
        if let Some(leaf) = &context.leaf {
            match up.checked_sub(1) {
                None => return if self.down.is_empty() { vec![leaf.clone()] } else { Vec::new() },
                Some(less) => up = less,
            }
        }
        let Some(level) = context.ancestors.len().checked_sub(up + 1) else { return Vec::new() };
        let (parent, fields) = context.ancestors[level];
        let mut values = Vec::new();
        descend(context.schema, parent, fields, &self.down, &mut values);
        values
    }
}

fn descend(
    schema: &Schema,
    parent: Option<NodeId>,
    fields: &Fields,
    down: &[String],
    values: &mut Vec<Text>,
) {
    let Some((name, rest)) = down.split_first() else { return values.push("".into()) };
    let Some(child) = schema.child(parent, name) else { return };
    match fields.get(&child) {
        Some(Node::Leaf(value)) => values.push(value.clone()),
        Some(Node::LeafList(members)) => values.extend(members.iter().cloned()),
        Some(Node::Container(inner)) => descend(schema, Some(child), inner, rest, values),
        Some(Node::List(entries)) => {
            entries.values().for_each(|entry| descend(schema, Some(child), entry, rest, values));
        }
        // An unset leaf has its default, also below an unset container.
        None => match &schema.node(child).kind {
            NodeKind::Container if !rest.is_empty() => {
                descend(schema, Some(child), &Fields::new(), rest, values);
            }
            _ => values.extend(schema.default_of(child).map(Text::from)),
        },
    }
}

impl Value {
    fn is_true(&self) -> bool {
        match self {
            Value::NodeSet(values) => !values.is_empty(),
            Value::Number(number) => *number != 0.0 && !number.is_nan(),
            Value::Text(text) => !text.is_empty(),
            Value::Boolean(truth) => *truth,
        }
    }

    fn as_number(&self) -> f64 {
        match self {
            Value::Number(number) => *number,
            Value::Text(text) => text.parse().unwrap_or(f64::NAN),
            Value::Boolean(truth) => f64::from(u8::from(*truth)),
            Value::NodeSet(_) => f64::NAN,
        }
    }
}

/// Compares two values. For a node set, it is sufficient that the comparison holds for one of its nodes; against a
/// Boolean, a node set counts as true unless it is empty.
fn compare(a: &Value, comparison: Comparison, b: &Value) -> bool {
    match (a, b) {
        (Value::Boolean(_), _) | (_, Value::Boolean(_)) => match comparison {
            Comparison::Equal => a.is_true() == b.is_true(),
            Comparison::NotEqual => a.is_true() != b.is_true(),
            _ => false,
        },
        (Value::NodeSet(a), Value::NodeSet(b)) => {
            a.iter().any(|a| b.iter().any(|b| compare_text(a, comparison, b)))
        }
        (Value::NodeSet(a), b) => a.iter().any(|a| compare(&Value::Text(a.to_string()), comparison, b)),
        (a, Value::NodeSet(b)) => b.iter().any(|b| compare(a, comparison, &Value::Text(b.to_string()))),
        (Value::Text(a), Value::Text(b)) => compare_text(a, comparison, b),
        (a, b) => compare_numbers(a.as_number(), comparison, b.as_number()),
    }
}

fn compare_text(a: &str, comparison: Comparison, b: &str) -> bool {
    match comparison {
        Comparison::Equal => a == b,
        Comparison::NotEqual => a != b,
        _ => compare_numbers(a.parse().unwrap_or(f64::NAN), comparison, b.parse().unwrap_or(f64::NAN)),
    }
}

fn compare_numbers(a: f64, comparison: Comparison, b: f64) -> bool {
    match comparison {
        Comparison::Equal => a == b,
        Comparison::NotEqual => a != b,
        Comparison::Less => a < b,
        Comparison::LessOrEqual => a <= b,
        Comparison::Greater => a > b,
        Comparison::GreaterOrEqual => a >= b,
    }
}
