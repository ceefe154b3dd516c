//! Parser for the subset of XPath that the model's `must` statements use: relative paths of names, `.` and
//! `..`, numbers, strings, comparisons, `and`, `or`, `not()` and `count()`. Anything else is an error when
//! the model is compiled.

use std::fmt;

/// The deepest nesting of parentheses and functions.
const MAX_DEPTH: usize = 16;

/// A parsed XPath expression.
#[derive(Debug)]
pub enum Expression {
    Or(Box<Expression>, Box<Expression>),
    And(Box<Expression>, Box<Expression>),
    Compare(Box<Expression>, Comparison, Box<Expression>),
    Not(Box<Expression>),
    Count(LocationPath),
    Path(LocationPath),
    Number(f64),
    Literal(String),
}

/// A comparison operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
}

/// A path relative to the context node.
#[derive(Debug)]
pub struct LocationPath {
    /// The number of `..` steps up from the context node.
    pub up: usize,
    /// The names of the child steps after them, without prefixes.
    pub down: Vec<String>,
}

/// The reason for which an expression can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum XPathError {
    UnterminatedString,
    MissingToken(&'static str),
    UnknownToken(String),
    NestedTooDeeply,
    UnexpectedEnd,
    NotANumber(String),
    AbsolutePath(String),
    UnknownPath(String),
}

impl fmt::Display for XPathError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            XPathError::UnterminatedString => f.write_str("unterminated string"),
            XPathError::MissingToken(token) => write!(f, "'{token}' is missing"),
            XPathError::UnknownToken(token) => write!(f, "unexpected '{token}'"),
            XPathError::NestedTooDeeply => f.write_str("the expression is nested too deeply"),
            XPathError::UnexpectedEnd => f.write_str("unexpected end of the expression"),
            XPathError::NotANumber(token) => write!(f, "'{token}' is not a number"),
            XPathError::AbsolutePath(path) => write!(f, "path '{path}' is absolute, which is not supported"),
            XPathError::UnknownPath(path) => write!(f, "path '{path}' is not supported"),
        }
    }
}

impl Expression {
    /// Parses a complete expression.
    pub fn parse(text: &str) -> Result<Expression, XPathError> {
        let mut parser = Parser { tokens: tokens(text)?, position: 0 };
        let expression = parser.or(0)?;
        match parser.tokens.get(parser.position) {
            Some(token) => Err(XPathError::UnknownToken(token.clone())),
            None => Ok(expression),
        }
    }
}

/// The tokens of an expression. A string literal's token is `'` and the string, without a closing quote.
fn tokens(text: &str) -> Result<Vec<String>, XPathError> {
    let mut found: Vec<String> = Vec::new();
    let mut rest = text.chars().peekable();
    while let Some(c) = rest.peek().copied() {
        if c.is_whitespace() {
            rest.next();
        } else if c == '\'' || c == '"' {
            rest.next();
            found.push(literal(&mut rest, c)?);
        } else if c.is_alphanumeric() || matches!(c, '.' | '/' | '_') {
            let mut name = String::new();
            while let Some(c) =
                rest.next_if(|c| c.is_alphanumeric() || matches!(c, '.' | '/' | '_' | '-' | ':'))
            {
                name.push(c);
            }
            found.push(name);
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

fn literal(rest: &mut impl Iterator<Item = char>, quote: char) -> Result<String, XPathError> {
    let mut literal = String::from('\'');
    loop {
        match rest.next() {
            None => return Err(XPathError::UnterminatedString),
            Some(end) if end == quote => return Ok(literal),
            Some(other) => literal.push(other),
        }
    }
}

/// A recursive-descent parser. `or` has the lowest precedence, then `and`, then comparisons.
struct Parser {
    tokens: Vec<String>,
    position: usize,
}

impl Parser {
    fn accept(&mut self, token: &str) -> bool {
        let found = self.tokens.get(self.position).is_some_and(|next| next == token);
        self.position += usize::from(found);
        found
    }

    fn expect(&mut self, token: &'static str) -> Result<(), XPathError> {
        if self.accept(token) { Ok(()) } else { Err(XPathError::MissingToken(token)) }
    }

    fn next(&mut self) -> Result<String, XPathError> {
        let token = self.tokens.get(self.position).cloned().ok_or(XPathError::UnexpectedEnd)?;
        self.position += 1;
        Ok(token)
    }

    fn or(&mut self, depth: usize) -> Result<Expression, XPathError> {
        if depth > MAX_DEPTH {
            return Err(XPathError::NestedTooDeeply);
        }
        let mut left = self.and(depth)?;
        while self.accept("or") {
            left = Expression::Or(Box::new(left), Box::new(self.and(depth)?));
        }
        Ok(left)
    }

    fn and(&mut self, depth: usize) -> Result<Expression, XPathError> {
        let mut left = self.comparison(depth)?;
        while self.accept("and") {
            left = Expression::And(Box::new(left), Box::new(self.comparison(depth)?));
        }
        Ok(left)
    }

    fn comparison(&mut self, depth: usize) -> Result<Expression, XPathError> {
        let left = self.operand(depth)?;
        let comparisons = [
            ("=", Comparison::Equal),
            ("!=", Comparison::NotEqual),
            ("<=", Comparison::LessOrEqual),
            ("<", Comparison::Less),
            (">=", Comparison::GreaterOrEqual),
            (">", Comparison::Greater),
        ];
        for (token, comparison) in comparisons {
            if self.accept(token) {
                let right = self.operand(depth)?;
                return Ok(Expression::Compare(Box::new(left), comparison, Box::new(right)));
            }
        }
        Ok(left)
    }

    fn operand(&mut self, depth: usize) -> Result<Expression, XPathError> {
        if self.accept("(") {
            return self.parenthesized(depth);
        }
        let token = self.next()?;
        if let Some(literal) = token.strip_prefix('\'') {
            return Ok(Expression::Literal(literal.to_owned()));
        }
        match token.as_str() {
            "not" => {
                self.expect("(")?;
                Ok(Expression::Not(Box::new(self.parenthesized(depth)?)))
            }
            "count" => {
                self.expect("(")?;
                let path = LocationPath::parse(&self.next()?)?;
                self.expect(")")?;
                Ok(Expression::Count(path))
            }
            number if number.starts_with(|c: char| c.is_ascii_digit()) => {
                number.parse().map(Expression::Number).map_err(|_| XPathError::NotANumber(token))
            }
            path => LocationPath::parse(path).map(Expression::Path),
        }
    }

    /// Parses an expression after its opening parenthesis, and the closing one.
    fn parenthesized(&mut self, depth: usize) -> Result<Expression, XPathError> {
        let inner = self.or(depth + 1)?;
        self.expect(")")?;
        Ok(inner)
    }
}

impl LocationPath {
    fn parse(text: &str) -> Result<LocationPath, XPathError> {
        if text.starts_with('/') {
            return Err(XPathError::AbsolutePath(text.to_owned()));
        }
        let mut path = LocationPath { up: 0, down: Vec::new() };
        for step in text.split('/') {
            match step {
                "." => {}
                ".." if path.down.is_empty() => path.up += 1,
                name if name.starts_with(|c: char| c.is_alphabetic() || c == '_') => {
                    let local_name = name.split_once(':').map_or(name, |(_, name)| name);
                    path.down.push(local_name.to_owned());
                }
                _ => return Err(XPathError::UnknownPath(text.to_owned())),
            }
        }
        Ok(path)
    }
}
