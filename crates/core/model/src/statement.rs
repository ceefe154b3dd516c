//! Parser for the syntax of YANG statements (RFC 7950, section 6): a keyword, an optional argument, and
//! substatements.

use std::fmt;
use std::iter::Peekable;
use std::str::Chars;

/// The deepest nesting of statements.
const MAX_DEPTH: usize = 32;

/// One statement with its substatements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The keyword.
    pub keyword: String,
    /// The argument; strings joined by `+` are concatenated.
    pub argument: Option<String>,
    /// The line of the keyword, from 1.
    pub line: usize,
    /// The substatements, in order.
    pub substatements: Vec<Statement>,
}

/// A syntax error or an unsupported statement in a YANG module.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelError {
    /// The line, from 1.
    pub line: usize,
    /// The message, without the line.
    pub message: String,
}

impl fmt::Display for ModelError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl Statement {
    /// Parses a text that consists of exactly one statement.
    pub fn parse(text: &str) -> Result<Statement, ModelError> {
        let mut reader = Reader { rest: text.chars().peekable(), line: 1 };
        let statement = reader.statement(0)?;
        match reader.token()? {
            None => Ok(statement),
            Some(_) => Err(reader.error("unexpected text after the module")),
        }
    }

    /// The argument; fails if there is none.
    pub fn arg(&self) -> Result<&str, ModelError> {
        self.argument.as_deref().ok_or_else(|| self.error(format!("'{}' needs an argument", self.keyword)))
    }

    /// The first substatement with this keyword.
    pub fn substatement(&self, keyword: &str) -> Option<&Statement> {
        self.substatements.iter().find(|sub| sub.keyword == keyword)
    }

    /// The argument of the first substatement with this keyword; `None` if there is no such substatement.
    pub fn substatement_arg(&self, keyword: &str) -> Result<Option<&str>, ModelError> {
        self.substatement(keyword).map(Statement::arg).transpose()
    }

    /// An error at this statement's line.
    pub fn error(&self, message: impl Into<String>) -> ModelError {
        ModelError { line: self.line, message: message.into() }
    }
}

enum Token {
    Unquoted(String),
    Quoted(String),
    Open,
    Close,
    End,
    Plus,
}

struct Reader<'a> {
    rest: Peekable<Chars<'a>>,
    /// The line of the next character, from 1.
    line: usize,
}

impl Reader<'_> {
    fn error(&self, message: &str) -> ModelError {
        ModelError { line: self.line, message: message.to_owned() }
    }

    fn next(&mut self) -> Option<char> {
        let next = self.rest.next();
        self.line += usize::from(next == Some('\n'));
        next
    }

    fn statement(&mut self, depth: usize) -> Result<Statement, ModelError> {
        if depth > MAX_DEPTH {
            return Err(self.error("statements are nested too deeply"));
        }
        let keyword = match self.token()? {
            Some(Token::Unquoted(keyword)) => keyword,
            _ => return Err(self.error("a keyword is expected here")),
        };
        let line = self.line;
        let mut statement = Statement { keyword, argument: None, line, substatements: Vec::new() };
        let mut token = self.token()?;
        if let Some(Token::Unquoted(text) | Token::Quoted(text)) = token {
            let mut argument = text;
            token = self.token()?;
            while let Some(Token::Plus) = token {
                let Some(Token::Quoted(more)) = self.token()? else {
                    return Err(self.error("'+' must be followed by a quoted string"));
                };
                argument.push_str(&more);
                token = self.token()?;
            }
            statement.argument = Some(argument);
        }
        match token {
            Some(Token::End) => Ok(statement),
            Some(Token::Open) => {
                while !self.accept_close()? {
                    statement.substatements.push(self.statement(depth + 1)?);
                }
                Ok(statement)
            }
            _ => Err(self.error("';' or '{' is expected here")),
        }
    }

    /// Consumes a closing brace if one follows, and returns whether it did.
    fn accept_close(&mut self) -> Result<bool, ModelError> {
        self.skip_separators()?;
        let found = self.rest.peek() == Some(&'}');
        if found {
            self.next();
        }
        Ok(found)
    }

    /// Skips white space and comments.
    fn skip_separators(&mut self) -> Result<(), ModelError> {
        loop {
            match self.rest.peek() {
                Some(c) if c.is_whitespace() => drop(self.next()),
                Some('/') => {
                    let mut ahead = self.rest.clone();
                    ahead.next();
                    match ahead.next() {
                        Some('/') => while self.next().is_some_and(|c| c != '\n') {},
                        Some('*') => self.skip_comment()?,
                        _ => return Ok(()),
                    }
                }
                _ => return Ok(()),
            }
        }
    }

    /// Skips a block comment, `/* */`.
    fn skip_comment(&mut self) -> Result<(), ModelError> {
        self.next();
        self.next();
        let mut last = ' ';
        loop {
            match self.next() {
                None => return Err(self.error("unterminated comment")),
                Some('/') if last == '*' => return Ok(()),
                Some(c) => last = c,
            }
        }
    }

    fn token(&mut self) -> Result<Option<Token>, ModelError> {
        self.skip_separators()?;
        let Some(first) = self.rest.peek().copied() else { return Ok(None) };
        let token = match first {
            '{' => Token::Open,
            '}' => Token::Close,
            ';' => Token::End,
            '+' => Token::Plus,
            '\'' => {
                self.next();
                return self.single_quoted().map(Some);
            }
            '"' => {
                self.next();
                return self.double_quoted().map(Some);
            }
            _ => return Ok(Some(self.unquoted())),
        };
        self.next();
        Ok(Some(token))
    }

    fn unquoted(&mut self) -> Token {
        let mut text = String::new();
        while let Some(c) = self.rest.peek() {
            if c.is_whitespace() || matches!(c, '{' | '}' | ';' | '"' | '\'') {
                break;
            }
            text.extend(self.next());
        }
        Token::Unquoted(text)
    }

    /// Reads a single-quoted string after its opening quote.
    fn single_quoted(&mut self) -> Result<Token, ModelError> {
        let from = self.line;
        let mut text = String::new();
        loop {
            match self.next() {
                None => return Err(ModelError { line: from, message: "unterminated string".to_owned() }),
                Some('\'') => return Ok(Token::Quoted(text)),
                Some(c) => text.push(c),
            }
        }
    }

    /// Reads a double-quoted string after its opening quote. Spaces and tabs before and after a line break
    /// are dropped.
    fn double_quoted(&mut self) -> Result<Token, ModelError> {
        let from = self.line;
        let mut text = String::new();
        loop {
            match self.next() {
                None => return Err(ModelError { line: from, message: "unterminated string".to_owned() }),
                Some('"') => return Ok(Token::Quoted(text)),
                Some('\\') => match self.next() {
                    Some('n') => text.push('\n'),
                    Some('t') => text.push('\t'),
                    Some(c @ ('"' | '\\')) => text.push(c),
                    _ => return Err(self.error("'\\' may be followed only by n, t, '\"' or '\\'")),
                },
                Some('\n') => {
                    text.truncate(text.trim_end_matches([' ', '\t']).len());
                    text.push('\n');
                    while self.rest.next_if(|c| matches!(c, ' ' | '\t')).is_some() {}
                }
                Some(c) => text.push(c),
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/statement.rs"]
mod tests;
