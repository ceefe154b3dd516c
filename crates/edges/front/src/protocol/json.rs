//! A JSON parser with a nesting limit, and an encoder of JSON strings.

use std::fmt;

/// Maximum nesting depth of values, scalars included.
const MAX_DEPTH: usize = 16;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// `null`
    Null,
    /// `true` or `false`
    Bool(bool),
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object: its members, in order, duplicates included.
    Object(Vec<Member>),
}

/// A member of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: Value,
}

/// The text is not valid JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JsonError {
    /// Offset of the first invalid byte.
    pub position: usize,
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "invalid JSON at byte {}", self.position)
    }
}

impl Value {
    /// The member of an object with this name; the last one if there are duplicates.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(members) => {
                members.iter().rev().find(|member| member.name == name).map(|member| &member.value)
            }
            _ => None,
        }
    }

    /// The text of a string; `None` for other values.
    pub fn text(&self) -> Option<&str> {
        if let Value::Text(text) = self { Some(text) } else { None }
    }

    /// A non-negative integer that a double represents exactly; `None` for other values.
    pub fn integer(&self) -> Option<u64> {
        match self {
            Value::Number(n) if n.fract() == 0.0 && (0.0..=9_007_199_254_740_991.0).contains(n) => {
                Some(*n as u64)
            }
            _ => None,
        }
    }

    /// The values of an array; `None` for other values.
    pub fn list(&self) -> Option<&[Value]> {
        if let Value::List(list) = self { Some(list) } else { None }
    }
}

/// Parses one value, with nothing but white space around it.
pub fn parse(bytes: &[u8]) -> Result<Value, JsonError> {
    let text = std::str::from_utf8(bytes).map_err(|e| JsonError { position: e.valid_up_to() })?;
    let mut parser = Parser { text, position: 0 };
    let value = parser.value(MAX_DEPTH)?;
    parser.skip_whitespace();
    if parser.position < text.len() { Err(parser.error()) } else { Ok(value) }
}

/// Encodes the text as a JSON string, with its quotes.
pub fn quoted(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    text: &'a str,
    position: usize,
}

impl Parser<'_> {
    fn error(&self) -> JsonError {
        JsonError { position: self.position }
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.position).copied()
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.position += 1;
        }
    }

    fn expect(&mut self, wanted: &str) -> Result<(), JsonError> {
        let found = self.text[self.position..].starts_with(wanted);
        if found {
            self.position += wanted.len();
        }
        found.then_some(()).ok_or(self.error())
    }

    fn value(&mut self, depth_left: usize) -> Result<Value, JsonError> {
        self.skip_whitespace();
        let depth_left = depth_left.checked_sub(1).ok_or(self.error())?;
        match self.peek() {
            Some(b'n') => self.expect("null").map(|()| Value::Null),
            Some(b't') => self.expect("true").map(|()| Value::Bool(true)),
            Some(b'f') => self.expect("false").map(|()| Value::Bool(false)),
            Some(b'"') => self.string().map(Value::Text),
            Some(b'[') => {
                let mut list = Vec::new();
                self.members(b']', |parser| {
                    list.push(parser.value(depth_left)?);
                    Ok(())
                })?;
                Ok(Value::List(list))
            }
            Some(b'{') => {
                let mut members = Vec::new();
                self.members(b'}', |parser| {
                    let name = parser.string()?;
                    parser.skip_whitespace();
                    parser.expect(":")?;
                    members.push(Member { name, value: parser.value(depth_left)? });
                    Ok(())
                })?;
                Ok(Value::Object(members))
            }
            _ => self.number(),
        }
    }

    /// Parses the comma-separated elements of an array or object up to the `end` bracket. `member` parses one
    /// element.
    fn members(
        &mut self,
        end: u8,
        mut member: impl FnMut(&mut Self) -> Result<(), JsonError>,
    ) -> Result<(), JsonError> {
        self.position += 1;
        self.skip_whitespace();
        if self.peek() == Some(end) {
            self.position += 1;
            return Ok(());
        }
        loop {
            self.skip_whitespace();
            member(self)?;
            self.skip_whitespace();
            match self.peek() {
                Some(b',') => self.position += 1,
                Some(c) if c == end => {
                    self.position += 1;
                    return Ok(());
                }
                _ => return Err(self.error()),
            }
        }
    }

    fn number(&mut self) -> Result<Value, JsonError> {
        let start = self.position;
        let digits = |parser: &mut Self| {
            let from = parser.position;
            while matches!(parser.peek(), Some(b'0'..=b'9')) {
                parser.position += 1;
            }
            if parser.position == from { Err(parser.error()) } else { Ok(()) }
        };
        if self.peek() == Some(b'-') {
            self.position += 1;
        }
        if self.peek() == Some(b'0') {
            self.position += 1;
        } else {
            digits(self)?;
        }
        if self.peek() == Some(b'.') {
            self.position += 1;
            digits(self)?;
        }
        if matches!(self.peek(), Some(b'e' | b'E')) {
            self.position += 1;
            if matches!(self.peek(), Some(b'+' | b'-')) {
                self.position += 1;
            }
            digits(self)?;
        }
        self.text[start..self.position].parse().map(Value::Number).map_err(|_| JsonError { position: start })
    }

    fn string(&mut self) -> Result<String, JsonError> {
        self.expect("\"")?;
        let mut out = String::new();
        loop {
            let rest = &self.text[self.position..];
            let plain = rest.find(|c| c == '"' || c == '\\' || c < ' ').ok_or(self.error())?;
            out.push_str(&rest[..plain]);
            self.position += plain;
            match self.peek() {
                Some(b'"') => {
                    self.position += 1;
                    return Ok(out);
                }
                Some(b'\\') => {
                    self.position += 1;
                    out.push(self.escape()?);
                }
                _ => return Err(self.error()),
            }
        }
    }

    fn escape(&mut self) -> Result<char, JsonError> {
        let c = self.peek().ok_or(self.error())?;
        let plain = match c {
            b'"' | b'\\' | b'/' => char::from(c),
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'n' => '\n',
            b'r' => '\r',
            b't' => '\t',
            b'u' => return self.unicode_escape(),
            _ => return Err(self.error()),
        };
        self.position += 1;
        Ok(plain)
    }

    fn unicode_escape(&mut self) -> Result<char, JsonError> {
        let first = self.utf16_unit()?;
        let code = if (0xd800..0xdc00).contains(&first) {
            self.expect("\\")?;
            let second = self.utf16_unit()?;
            if !(0xdc00..0xe000).contains(&second) {
                return Err(self.error());
            }
            0x10000 + ((first - 0xd800) << 10) + (second - 0xdc00)
        } else {
            first
        };
        char::from_u32(code).ok_or(self.error())
    }

    /// Parses `uXXXX`, one UTF-16 code unit.
    fn utf16_unit(&mut self) -> Result<u32, JsonError> {
        self.expect("u")?;
        let digits = self.text.get(self.position..self.position + 4).ok_or(self.error())?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(self.error());
        }
        self.position += 4;
        u32::from_str_radix(digits, 16).map_err(|_| self.error())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/json.rs"]
mod tests;
