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
    pub at: usize,
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "invalid JSON at byte {}", self.at)
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
    let text = std::str::from_utf8(bytes).map_err(|e| JsonError { at: e.valid_up_to() })?;
    let mut reader = Reader { text, at: 0 };
    let value = reader.value(MAX_DEPTH)?;
    reader.space();
    if reader.at < text.len() { Err(reader.malformed()) } else { Ok(value) }
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

struct Reader<'a> {
    text: &'a str,
    at: usize,
}

impl Reader<'_> {
    fn malformed(&self) -> JsonError {
        JsonError { at: self.at }
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    fn space(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
    }

    fn take(&mut self, wanted: &str) -> Result<(), JsonError> {
        let found = self.text[self.at..].starts_with(wanted);
        if found {
            self.at += wanted.len();
        }
        found.then_some(()).ok_or(self.malformed())
    }

    fn value(&mut self, deeper: usize) -> Result<Value, JsonError> {
        self.space();
        let deeper = deeper.checked_sub(1).ok_or(self.malformed())?;
        match self.peek() {
            Some(b'n') => self.take("null").map(|()| Value::Null),
            Some(b't') => self.take("true").map(|()| Value::Bool(true)),
            Some(b'f') => self.take("false").map(|()| Value::Bool(false)),
            Some(b'"') => self.string().map(Value::Text),
            Some(b'[') => {
                let mut list = Vec::new();
                self.members(b']', |reader| {
                    list.push(reader.value(deeper)?);
                    Ok(())
                })?;
                Ok(Value::List(list))
            }
            Some(b'{') => {
                let mut members = Vec::new();
                self.members(b'}', |reader| {
                    let name = reader.string()?;
                    reader.space();
                    reader.take(":")?;
                    members.push(Member { name, value: reader.value(deeper)? });
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
        self.at += 1;
        self.space();
        if self.peek() == Some(end) {
            self.at += 1;
            return Ok(());
        }
        loop {
            self.space();
            member(self)?;
            self.space();
            match self.peek() {
                Some(b',') => self.at += 1,
                Some(c) if c == end => {
                    self.at += 1;
                    return Ok(());
                }
                _ => return Err(self.malformed()),
            }
        }
    }

    fn number(&mut self) -> Result<Value, JsonError> {
        let start = self.at;
        let digits = |reader: &mut Self| {
            let from = reader.at;
            while matches!(reader.peek(), Some(b'0'..=b'9')) {
                reader.at += 1;
            }
            if reader.at == from { Err(reader.malformed()) } else { Ok(()) }
        };
        if self.peek() == Some(b'-') {
            self.at += 1;
        }
        if self.peek() == Some(b'0') {
            self.at += 1;
        } else {
            digits(self)?;
        }
        if self.peek() == Some(b'.') {
            self.at += 1;
            digits(self)?;
        }
        if matches!(self.peek(), Some(b'e' | b'E')) {
            self.at += 1;
            if matches!(self.peek(), Some(b'+' | b'-')) {
                self.at += 1;
            }
            digits(self)?;
        }
        self.text[start..self.at].parse().map(Value::Number).map_err(|_| JsonError { at: start })
    }

    fn string(&mut self) -> Result<String, JsonError> {
        self.take("\"")?;
        let mut out = String::new();
        loop {
            let rest = &self.text[self.at..];
            let plain = rest.find(|c| c == '"' || c == '\\' || c < ' ').ok_or(self.malformed())?;
            out.push_str(&rest[..plain]);
            self.at += plain;
            match self.peek() {
                Some(b'"') => {
                    self.at += 1;
                    return Ok(out);
                }
                Some(b'\\') => {
                    self.at += 1;
                    out.push(self.escape()?);
                }
                _ => return Err(self.malformed()),
            }
        }
    }

    fn escape(&mut self) -> Result<char, JsonError> {
        let c = self.peek().ok_or(self.malformed())?;
        let plain = match c {
            b'"' | b'\\' | b'/' => char::from(c),
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'n' => '\n',
            b'r' => '\r',
            b't' => '\t',
            b'u' => return self.unicode(),
            _ => return Err(self.malformed()),
        };
        self.at += 1;
        Ok(plain)
    }

    fn unicode(&mut self) -> Result<char, JsonError> {
        let first = self.unit()?;
        let code = if (0xd800..0xdc00).contains(&first) {
            self.take("\\")?;
            let second = self.unit()?;
            if !(0xdc00..0xe000).contains(&second) {
                return Err(self.malformed());
            }
            0x10000 + ((first - 0xd800) << 10) + (second - 0xdc00)
        } else {
            first
        };
        char::from_u32(code).ok_or(self.malformed())
    }

    /// Parses `uXXXX`, one UTF-16 code unit.
    fn unit(&mut self) -> Result<u32, JsonError> {
        self.take("u")?;
        let digits = self.text.get(self.at..self.at + 4).ok_or(self.malformed())?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(self.malformed());
        }
        self.at += 4;
        u32::from_str_radix(digits, 16).map_err(|_| self.malformed())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/json.rs"]
mod tests;
