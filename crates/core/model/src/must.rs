//! Constraints: the part of XPath that the model's `must` statements use. Paths of names, `.` and `..`, numbers,
//! strings, comparisons, `and`, `or`, `not()` and `count()`; anything else is an error when the model is compiled.

use crate::schema::{NodeId, NodeKind, Schema};
use crate::statement::{ModelError, Statement};
use crate::tree::{Fields, Node, Text};

const MAX_DEPTH: usize = 16;

#[derive(Debug)]
pub struct Must {
    test: Expr,
    /// As it stands in the model.
    pub text: String,
    pub message: Option<String>,
    pub tag: Option<String>,
}

#[derive(Debug)]
enum Expr {
    Or(Box<Expr>, Box<Expr>),
    And(Box<Expr>, Box<Expr>),
    Compare(Box<Expr>, Sign, Box<Expr>),
    Not(Box<Expr>),
    Count(Route),
    Route(Route),
    Number(f64),
    Literal(String),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    Equal,
    Unequal,
    Less,
    AtMost,
    More,
    AtLeast,
}

#[derive(Debug)]
struct Route {
    /// Levels up from the context node.
    up: usize,
    down: Vec<String>,
}

/// What an expression comes to.
enum Value {
    Set(Vec<Text>),
    Number(f64),
    Text(String),
    Truth(bool),
}

/// The context node, with all that stands above it.
pub struct Context<'a> {
    pub schema: &'a Schema,
    /// From the top down: the node that holds the fields, and the fields.
    pub above: Vec<(Option<NodeId>, &'a Fields)>,
    /// The context node where it is a leaf.
    pub leaf: Option<Text>,
}

impl Must {
    pub fn compile(statement: &Statement) -> Result<Must, ModelError> {
        let text = statement.arg()?.to_owned();
        let wrong = |what: String| statement.wrong(format!("must '{text}': {what}"));
        let tokens = tokens(&text).map_err(wrong)?;
        let mut parser = Parser { tokens, at: 0 };
        let test = parser.or(0).map_err(wrong)?;
        if parser.at < parser.tokens.len() {
            return Err(wrong(format!("'{}' is not known here", parser.tokens[parser.at])));
        }
        Ok(Must {
            test,
            message: statement.substatement_arg("error-message")?.map(str::to_owned),
            tag: statement.substatement_arg("error-app-tag")?.map(str::to_owned),
            text,
        })
    }

    pub fn holds(&self, context: &Context) -> bool {
        truth(&self.test.value(context))
    }

    /// Whether every path leads somewhere from this node.
    pub fn check(&self, schema: &Schema, node: NodeId) -> Result<(), String> {
        self.test.check(schema, node)
    }
}

impl Expr {
    fn check(&self, schema: &Schema, node: NodeId) -> Result<(), String> {
        match self {
            Expr::Or(a, b) | Expr::And(a, b) | Expr::Compare(a, _, b) => {
                a.check(schema, node)?;
                b.check(schema, node)
            }
            Expr::Not(inner) => inner.check(schema, node),
            Expr::Count(route) | Expr::Route(route) => {
                let mut at = Some(node);
                for _ in 0..route.up {
                    let from = at.ok_or("a path leads above the top")?;
                    at = schema.node(from).parent;
                }
                for name in &route.down {
                    let child = schema.child(at, name).ok_or_else(|| format!("there is no '{name}'"))?;
                    at = Some(child);
                }
                Ok(())
            }
            Expr::Number(_) | Expr::Literal(_) => Ok(()),
        }
    }

    fn value(&self, context: &Context) -> Value {
        match self {
            Expr::Or(a, b) => Value::Truth(truth(&a.value(context)) || truth(&b.value(context))),
            Expr::And(a, b) => Value::Truth(truth(&a.value(context)) && truth(&b.value(context))),
            Expr::Not(inner) => Value::Truth(!truth(&inner.value(context))),
            Expr::Compare(a, sign, b) => Value::Truth(compare(&a.value(context), *sign, &b.value(context))),
            Expr::Count(route) => Value::Number(route.follow(context).len() as f64),
            Expr::Route(route) => Value::Set(route.follow(context)),
            Expr::Number(number) => Value::Number(*number),
            Expr::Literal(text) => Value::Text(text.clone()),
        }
    }
}

impl Route {
    /// The values of the nodes that the path leads to; those that hold others count as empty text.
    fn follow(&self, context: &Context) -> Vec<Text> {
        let mut up = self.up;
        if let Some(leaf) = &context.leaf {
            match up.checked_sub(1) {
                None => return if self.down.is_empty() { vec![leaf.clone()] } else { Vec::new() },
                Some(less) => up = less,
            }
        }
        let Some(place) = context.above.len().checked_sub(up + 1) else { return Vec::new() };
        let (holder, fields) = context.above[place];
        let mut found = Vec::new();
        descend(context.schema, holder, fields, &self.down, &mut found);
        found
    }
}

fn descend(schema: &Schema, holder: Option<NodeId>, fields: &Fields, down: &[String], found: &mut Vec<Text>) {
    let Some((name, rest)) = down.split_first() else { return found.push("".into()) };
    let Some(child) = schema.child(holder, name) else { return };
    match fields.get(&child) {
        Some(Node::Leaf(value)) => found.push(value.clone()),
        Some(Node::LeafList(values)) => found.extend(values.iter().cloned()),
        Some(Node::Container(inner)) => descend(schema, Some(child), inner, rest, found),
        Some(Node::List(entries)) => {
            entries.values().for_each(|entry| descend(schema, Some(child), entry, rest, found));
        }
        None => match &schema.node(child).kind {
            NodeKind::Container if !rest.is_empty() => {
                descend(schema, Some(child), &Fields::new(), rest, found);
            }
            _ => found.extend(schema.default_of(child).map(Text::from)),
        },
    }
}

fn truth(value: &Value) -> bool {
    match value {
        Value::Set(set) => !set.is_empty(),
        Value::Number(number) => *number != 0.0 && !number.is_nan(),
        Value::Text(text) => !text.is_empty(),
        Value::Truth(truth) => *truth,
    }
}

/// As XPath has it: a set compares if any of its members does.
fn compare(a: &Value, sign: Sign, b: &Value) -> bool {
    match (a, b) {
        (Value::Truth(_), _) | (_, Value::Truth(_)) => match sign {
            Sign::Equal => truth(a) == truth(b),
            Sign::Unequal => truth(a) != truth(b),
            _ => false,
        },
        (Value::Set(a), Value::Set(b)) => a.iter().any(|a| b.iter().any(|b| compare_text(a, sign, b))),
        (Value::Set(a), b) => a.iter().any(|a| compare(&Value::Text(a.to_string()), sign, b)),
        (a, Value::Set(b)) => b.iter().any(|b| compare(a, sign, &Value::Text(b.to_string()))),
        (Value::Text(a), Value::Text(b)) => compare_text(a, sign, b),
        (a, b) => compare_numbers(number(a), sign, number(b)),
    }
}

fn number(value: &Value) -> f64 {
    match value {
        Value::Number(number) => *number,
        Value::Text(text) => text.parse().unwrap_or(f64::NAN),
        Value::Truth(truth) => f64::from(u8::from(*truth)),
        Value::Set(_) => f64::NAN,
    }
}

fn compare_text(a: &str, sign: Sign, b: &str) -> bool {
    match sign {
        Sign::Equal => a == b,
        Sign::Unequal => a != b,
        _ => compare_numbers(a.parse().unwrap_or(f64::NAN), sign, b.parse().unwrap_or(f64::NAN)),
    }
}

fn compare_numbers(a: f64, sign: Sign, b: f64) -> bool {
    match sign {
        Sign::Equal => a == b,
        Sign::Unequal => a != b,
        Sign::Less => a < b,
        Sign::AtMost => a <= b,
        Sign::More => a > b,
        Sign::AtLeast => a >= b,
    }
}

fn tokens(text: &str) -> Result<Vec<String>, String> {
    let mut found: Vec<String> = Vec::new();
    let mut rest = text.chars().peekable();
    while let Some(c) = rest.peek().copied() {
        if c.is_whitespace() {
            rest.next();
        } else if c == '\'' || c == '"' {
            rest.next();
            let mut literal = String::from('\'');
            loop {
                match rest.next() {
                    None => return Err("a string does not end".to_owned()),
                    Some(end) if end == c => break,
                    Some(other) => literal.push(other),
                }
            }
            found.push(literal);
        } else if c.is_alphanumeric() || matches!(c, '.' | '/' | '_') {
            let mut word = String::new();
            while let Some(c) =
                rest.next_if(|c| c.is_alphanumeric() || matches!(c, '.' | '/' | '_' | '-' | ':'))
            {
                word.push(c);
            }
            found.push(word);
        } else {
            rest.next();
            let mut sign = String::from(c);
            if matches!(c, '<' | '>' | '!') && rest.peek() == Some(&'=') {
                sign.extend(rest.next());
            }
            found.push(sign);
        }
    }
    Ok(found)
}

struct Parser {
    tokens: Vec<String>,
    at: usize,
}

impl Parser {
    fn take(&mut self, token: &str) -> bool {
        let found = self.tokens.get(self.at).is_some_and(|next| next == token);
        self.at += usize::from(found);
        found
    }

    fn expect(&mut self, token: &str) -> Result<(), String> {
        if self.take(token) { Ok(()) } else { Err(format!("'{token}' is missing")) }
    }

    fn or(&mut self, depth: usize) -> Result<Expr, String> {
        if depth > MAX_DEPTH {
            return Err("it is nested too deeply".to_owned());
        }
        let mut left = self.and(depth)?;
        while self.take("or") {
            left = Expr::Or(Box::new(left), Box::new(self.and(depth)?));
        }
        Ok(left)
    }

    fn and(&mut self, depth: usize) -> Result<Expr, String> {
        let mut left = self.comparison(depth)?;
        while self.take("and") {
            left = Expr::And(Box::new(left), Box::new(self.comparison(depth)?));
        }
        Ok(left)
    }

    fn comparison(&mut self, depth: usize) -> Result<Expr, String> {
        let left = self.operand(depth)?;
        let signs = [
            ("=", Sign::Equal),
            ("!=", Sign::Unequal),
            ("<=", Sign::AtMost),
            ("<", Sign::Less),
            (">=", Sign::AtLeast),
            (">", Sign::More),
        ];
        for (token, sign) in signs {
            if self.take(token) {
                return Ok(Expr::Compare(Box::new(left), sign, Box::new(self.operand(depth)?)));
            }
        }
        Ok(left)
    }

    fn operand(&mut self, depth: usize) -> Result<Expr, String> {
        if self.take("(") {
            let inner = self.or(depth + 1)?;
            self.expect(")")?;
            return Ok(inner);
        }
        let token = self.tokens.get(self.at).cloned().ok_or("it ends too early")?;
        self.at += 1;
        if let Some(literal) = token.strip_prefix('\'') {
            return Ok(Expr::Literal(literal.to_owned()));
        }
        if token == "not" {
            self.expect("(")?;
            let inner = self.or(depth + 1)?;
            self.expect(")")?;
            return Ok(Expr::Not(Box::new(inner)));
        }
        if token == "count" {
            self.expect("(")?;
            let word = self.tokens.get(self.at).cloned().ok_or("it ends too early")?;
            self.at += 1;
            let route = route(&word)?;
            self.expect(")")?;
            return Ok(Expr::Count(route));
        }
        if token.starts_with(|c: char| c.is_ascii_digit()) {
            return token.parse().map(Expr::Number).map_err(|_| format!("'{token}' is no number"));
        }
        route(&token).map(Expr::Route)
    }
}

fn route(word: &str) -> Result<Route, String> {
    let mut route = Route { up: 0, down: Vec::new() };
    if word.starts_with('/') {
        return Err(format!("path '{word}' is absolute, which is not known"));
    }
    for step in word.split('/') {
        match step {
            "." => {}
            ".." if route.down.is_empty() => route.up += 1,
            name if name.starts_with(|c: char| c.is_alphabetic() || c == '_') => {
                route.down.push(name.split_once(':').map_or(name, |(_, name)| name).to_owned());
            }
            _ => return Err(format!("path '{word}' is not known")),
        }
    }
    Ok(route)
}
