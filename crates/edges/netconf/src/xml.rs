//! An XML parser for untrusted input: it rejects document types and all entities but the five predefined ones, and
//! limits the nesting depth and the number of elements and attributes.

use quick_xml::NsReader;
use quick_xml::XmlVersion;
use quick_xml::events::{BytesRef, BytesStart, BytesText, Event};
use quick_xml::name::ResolveResult;
use std::fmt;

/// Maximum nesting depth of elements.
const MAX_DEPTH: usize = 32;
/// Maximum number of elements in a document.
const MAX_ELEMENTS: usize = 1_000_000;
/// Maximum number of attributes of an element.
const MAX_ATTRIBUTES: usize = 64;

/// An element with its attributes, text and children.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Element {
    /// The namespace URI; empty for none.
    pub ns: String,
    /// The local name, without a prefix.
    pub name: String,
    /// The namespace, local name and value of each attribute, without namespace declarations.
    pub attributes: Vec<(String, String, String)>,
    /// The text directly in the element, concatenated.
    pub text: String,
    /// The child elements, in document order.
    pub children: Vec<Element>,
}

/// A text is not well-formed XML or exceeds a limit; the message says why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Element {
    /// The first child with this local name, in any namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    /// The text without leading and trailing white space.
    pub fn value(&self) -> &str {
        self.text.trim()
    }

    /// The value of an attribute, by namespace and local name.
    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        let found = self.attributes.iter().find(|(of_ns, of_name, _)| of_ns == ns && of_name == name);
        found.map(|(_, _, value)| value.as_str())
    }
}

/// Parses a document. Fails if it is not well-formed or exceeds a limit.
pub fn parse(text: &str) -> Result<Element, Malformed> {
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_end_names = true;
    let mut document = Document::default();
    loop {
        let (ns, event) = reader.read_resolved_event().map_err(|error| malformed(&error.to_string()))?;
        let ns = match ns {
            ResolveResult::Bound(ns) => ns.as_ref().to_string(),
            ResolveResult::Unbound => String::new(),
            ResolveResult::Unknown(prefix) => {
                return Err(malformed(&format!("prefix '{prefix}' is not bound")));
            }
        };
        match event {
            Event::Start(start) => {
                document.check_start(&start)?;
                let element = element_of(&reader, &start, ns)?;
                document.open.push(element);
            }
            Event::Empty(start) => {
                document.check_start(&start)?;
                let element = element_of(&reader, &start, ns)?;
                document.open.push(element);
                document.close();
            }
            Event::End(_) => document.close(),
            Event::Text(text) => document.text(&text)?,
            Event::CData(text) => document.push_text(&text.xml_content(XmlVersion::Implicit1_0)),
            Event::GeneralRef(name) => {
                let character =
                    resolve_reference(&name).ok_or_else(|| malformed("an entity is not known"))?;
                document.push_text(character.encode_utf8(&mut [0; 4]));
            }
            Event::DocType(_) => return Err(malformed("a document type is not taken")),
            Event::Decl(_) | Event::Comment(_) | Event::PI(_) => {}
            Event::Eof => break,
        }
    }
    match document.root {
        Some(root) if document.open.is_empty() => Ok(root),
        _ => Err(malformed("it ends in the middle of an element")),
    }
}

fn malformed(what: &str) -> Malformed {
    Malformed(what.to_owned())
}

/// The part of a document that has been parsed so far.
#[derive(Default)]
struct Document {
    /// The elements that are not closed yet, outermost first.
    open: Vec<Element>,
    root: Option<Element>,
    /// Number of elements that have been opened so far.
    elements: usize,
}

impl Document {
    /// Counts an element; fails if it is outside the root element or exceeds a limit.
    fn check_start(&mut self, start: &BytesStart) -> Result<(), Malformed> {
        if self.root.is_some() && self.open.is_empty() {
            return Err(malformed(&format!("element '{}' stands after the end", start.name().as_ref())));
        }
        self.elements += 1;
        if self.open.len() >= MAX_DEPTH {
            return Err(malformed("elements are nested too deeply"));
        }
        if self.elements > MAX_ELEMENTS {
            return Err(malformed("there are too many elements"));
        }
        Ok(())
    }

    fn close(&mut self) {
        let Some(element) = self.open.pop() else { return };
        match self.open.last_mut() {
            Some(parent) => parent.children.push(element),
            None => self.root = Some(element),
        }
    }

    fn text(&mut self, text: &BytesText) -> Result<(), Malformed> {
        match self.open.last_mut() {
            Some(element) => element.text.push_str(&text.xml_content(XmlVersion::Implicit1_0)),
            None if text.trim().is_empty() => {}
            None => return Err(malformed("text stands outside of the element")),
        }
        Ok(())
    }

    fn push_text(&mut self, text: &str) {
        if let Some(element) = self.open.last_mut() {
            element.text.push_str(text);
        }
    }
}

/// Converts a start tag to an element with its attributes, without namespace declarations.
fn element_of(reader: &NsReader<&[u8]>, start: &BytesStart, ns: String) -> Result<Element, Malformed> {
    let mut element = Element { ns, name: start.local_name().as_ref().to_string(), ..Element::default() };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|error| malformed(&error.to_string()))?;
        let key = attribute.key;
        if key.as_namespace_binding().is_some() {
            continue;
        }
        if element.attributes.len() >= MAX_ATTRIBUTES {
            return Err(malformed("there are too many attributes"));
        }
        let ns = match reader.resolver().resolve_attribute(key).0 {
            ResolveResult::Bound(ns) => ns.as_ref().to_string(),
            _ => String::new(),
        };
        let value = attribute.normalized_value(XmlVersion::Implicit1_0);
        let value = value.map_err(|error| malformed(&error.to_string()))?.into_owned();
        element.attributes.push((ns, key.local_name().as_ref().to_string(), value));
    }
    Ok(element)
}

/// Resolves a numeric character reference or one of the five predefined entities of XML.
fn resolve_reference(name: &BytesRef) -> Option<char> {
    match name.resolve_char_ref() {
        Ok(Some(character)) => Some(character),
        Ok(None) => match &*name.xml_content(XmlVersion::Implicit1_0) {
            "lt" => Some('<'),
            "gt" => Some('>'),
            "amp" => Some('&'),
            "quot" => Some('"'),
            "apos" => Some('\''),
            _ => None,
        },
        Err(_) => None,
    }
}

/// Escapes text for use as element content or attribute value. Control characters other than newline, carriage return
/// and tab are replaced by U+FFFD.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '&' => escaped.push_str("&amp;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&apos;"),
            // XML 1.0 forbids the other control characters below U+0020 and discourages most of those above.
            c if c.is_control() && !matches!(c, '\n' | '\r' | '\t') => escaped.push('\u{fffd}'),
            c => escaped.push(c),
        }
    }
    escaped
}
