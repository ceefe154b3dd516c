//! YANG's grammar of statements (RFC 7950, section 6): a keyword, an argument, and statements within.

use std::fmt;
use std::iter::Peekable;
use std::str::Chars;

/// The deepest nesting of statements.
const MAX_DEPTH: usize = 32;

/// One statement with all that stands in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The keyword.
    pub keyword: String,
    /// The argument, with its strings joined.
    pub argument: Option<String>,
    /// The line of the keyword, from 1.
    pub line: usize,
    /// The statements in it, in order.
    pub substatements: Vec<Statement>,
}

/// What of a model can't be read or is not known, and on which line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong there, in words.
    pub what: String,
}

impl fmt::Display for ModelError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl Statement {
    /// Reads one statement, behind which nothing else may stand.
    pub fn parse(text: &str) -> Result<Statement, ModelError> {
        let mut reader = Reader { rest: text.chars().peekable(), line: 1 };
        let statement = reader.statement(0)?;
        match reader.token()? {
            None => Ok(statement),
            Some(_) => Err(reader.wrong("something stands after the module")),
        }
    }

    /// The argument, which must be there.
    pub fn arg(&self) -> Result<&str, ModelError> {
        self.argument.as_deref().ok_or_else(|| self.wrong(format!("'{}' needs an argument", self.keyword)))
    }

    /// The first statement in it with this keyword.
    pub fn substatement(&self, keyword: &str) -> Option<&Statement> {
        self.substatements.iter().find(|sub| sub.keyword == keyword)
    }

    /// The argument of the first statement in it with this keyword.
    pub fn substatement_arg(&self, keyword: &str) -> Result<Option<&str>, ModelError> {
        self.substatement(keyword).map(Statement::arg).transpose()
    }

    /// An error at this statement.
    pub fn wrong(&self, what: impl Into<String>) -> ModelError {
        ModelError { line: self.line, what: what.into() }
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
    fn wrong(&self, what: &str) -> ModelError {
        ModelError { line: self.line, what: what.to_owned() }
    }

    fn next(&mut self) -> Option<char> {
        let next = self.rest.next();
        self.line += usize::from(next == Some('\n'));
        next
    }

    fn statement(&mut self, depth: usize) -> Result<Statement, ModelError> {
        if depth > MAX_DEPTH {
            return Err(self.wrong("statements are nested too deeply"));
        }
        let keyword = match self.token()? {
            Some(Token::Unquoted(keyword)) => keyword,
            _ => return Err(self.wrong("a keyword should stand here")),
        };
        let line = self.line;
        let mut statement = Statement { keyword, argument: None, line, substatements: Vec::new() };
        let mut token = self.token()?;
        if let Some(Token::Unquoted(text) | Token::Quoted(text)) = token {
            let mut argument = text;
            token = self.token()?;
            while let Some(Token::Plus) = token {
                let Some(Token::Quoted(more)) = self.token()? else {
                    return Err(self.wrong("a quoted string should follow '+'"));
                };
                argument.push_str(&more);
                token = self.token()?;
            }
            statement.argument = Some(argument);
        }
        match token {
            Some(Token::End) => Ok(statement),
            Some(Token::Open) => {
                while !self.closes()? {
                    statement.substatements.push(self.statement(depth + 1)?);
                }
                Ok(statement)
            }
            _ => Err(self.wrong("';' or '{' should stand here")),
        }
    }

    /// Whether a closing brace follows, which is consumed.
    fn closes(&mut self) -> Result<bool, ModelError> {
        self.skip()?;
        let closes = self.rest.peek() == Some(&'}');
        if closes {
            self.next();
        }
        Ok(closes)
    }

    /// Skips white space and comments.
    fn skip(&mut self) -> Result<(), ModelError> {
        loop {
            match self.rest.peek() {
                Some(c) if c.is_whitespace() => drop(self.next()),
                Some('/') => {
                    let mut ahead = self.rest.clone();
                    ahead.next();
                    match ahead.next() {
                        Some('/') => while self.next().is_some_and(|c| c != '\n') {},
                        Some('*') => self.comment()?,
                        _ => return Ok(()),
                    }
                }
                _ => return Ok(()),
            }
        }
    }

    /// Skips a comment `/* */`.
    fn comment(&mut self) -> Result<(), ModelError> {
        self.next();
        self.next();
        let mut last = ' ';
        loop {
            match self.next() {
                None => return Err(self.wrong("a comment does not end")),
                Some('/') if last == '*' => return Ok(()),
                Some(c) => last = c,
            }
        }
    }

    fn token(&mut self) -> Result<Option<Token>, ModelError> {
        self.skip()?;
        let Some(first) = self.rest.peek().copied() else { return Ok(None) };
        let token = match first {
            '{' => Token::Open,
            '}' => Token::Close,
            ';' => Token::End,
            '+' => Token::Plus,
            '\'' => {
                self.next();
                return self.single().map(Some);
            }
            '"' => {
                self.next();
                return self.double().map(Some);
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

    /// A string in single quotes.
    fn single(&mut self) -> Result<Token, ModelError> {
        let from = self.line;
        let mut text = String::new();
        loop {
            match self.next() {
                None => return Err(ModelError { line: from, what: "a string does not end".to_owned() }),
                Some('\'') => return Ok(Token::Quoted(text)),
                Some(c) => text.push(c),
            }
        }
    }

    /// A string in double quotes. White space around a line break counts as the break alone.
    fn double(&mut self) -> Result<Token, ModelError> {
        let from = self.line;
        let mut text = String::new();
        loop {
            match self.next() {
                None => return Err(ModelError { line: from, what: "a string does not end".to_owned() }),
                Some('"') => return Ok(Token::Quoted(text)),
                Some('\\') => match self.next() {
                    Some('n') => text.push('\n'),
                    Some('t') => text.push('\t'),
                    Some(c @ ('"' | '\\')) => text.push(c),
                    _ => return Err(self.wrong("after '\\' only n, t, '\"' and '\\' may stand")),
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
