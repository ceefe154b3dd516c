//! XML within bounds: no document types, no entities but the five of XML, and bounds on depth, elements and attributes.

use quick_xml::NsReader;
use quick_xml::XmlVersion;
use quick_xml::events::{BytesRef, BytesStart, BytesText, Event};
use quick_xml::name::ResolveResult;
use std::fmt;

/// The deepest nesting of elements.
const MAX_DEPTH: usize = 32;
/// The most elements of a document.
const MAX_ELEMENTS: usize = 1_000_000;
/// The most attributes of an element.
const MAX_ATTRIBUTES: usize = 64;

/// An element with everything in it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Element {
    /// Its namespace; empty for none.
    pub ns: String,
    /// Its name without a prefix.
    pub name: String,
    /// Namespace, name and value.
    pub attributes: Vec<(String, String, String)>,
    /// All its text, joined.
    pub text: String,
    /// The elements in it, in order.
    pub children: Vec<Element>,
}

/// Why a text is refused as XML, in words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Element {
    /// The first child of this name, of any namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    /// The text without white space at its ends.
    pub fn value(&self) -> &str {
        self.text.trim()
    }

    /// The value of an attribute.
    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        let found = self.attributes.iter().find(|(of_ns, of_name, _)| of_ns == ns && of_name == name);
        found.map(|(_, _, value)| value.as_str())
    }
}

/// Reads a document of one element. Fails where it is not well-formed or out of bounds.
pub fn parse(text: &str) -> Result<Element, Malformed> {
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_end_names = true;
    let mut document = Document::default();
    loop {
        let (ns, event) = reader.read_resolved_event().map_err(|error| wrong(&error.to_string()))?;
        let ns = match ns {
            ResolveResult::Bound(ns) => ns.as_ref().to_string(),
            ResolveResult::Unbound => String::new(),
            ResolveResult::Unknown(prefix) => return Err(wrong(&format!("prefix '{prefix}' is not bound"))),
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
                let character = character_of(&name).ok_or_else(|| wrong("an entity is not known"))?;
                document.push_text(character.encode_utf8(&mut [0; 4]));
            }
            Event::DocType(_) => return Err(wrong("a document type is not taken")),
            Event::Decl(_) | Event::Comment(_) | Event::PI(_) => {}
            Event::Eof => break,
        }
    }
    match document.root {
        Some(root) if document.open.is_empty() => Ok(root),
        _ => Err(wrong("it ends in the middle of an element")),
    }
}

fn wrong(what: &str) -> Malformed {
    Malformed(what.to_owned())
}

/// What has been read of a document.
#[derive(Default)]
struct Document {
    /// The elements that are not closed yet, from the outermost.
    open: Vec<Element>,
    root: Option<Element>,
    /// Elements begun so far.
    elements: usize,
}

impl Document {
    /// Whether another element may begin here.
    fn check_start(&mut self, start: &BytesStart) -> Result<(), Malformed> {
        if self.root.is_some() && self.open.is_empty() {
            return Err(wrong(&format!("element '{}' stands after the end", start.name().as_ref())));
        }
        self.elements += 1;
        if self.open.len() >= MAX_DEPTH {
            return Err(wrong("elements are nested too deeply"));
        }
        if self.elements > MAX_ELEMENTS {
            return Err(wrong("there are too many elements"));
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
            None => return Err(wrong("text stands outside of the element")),
        }
        Ok(())
    }

    fn push_text(&mut self, text: &str) {
        if let Some(element) = self.open.last_mut() {
            element.text.push_str(text);
        }
    }
}

/// An element with its attributes, but without its namespace declarations.
fn element_of(reader: &NsReader<&[u8]>, start: &BytesStart, ns: String) -> Result<Element, Malformed> {
    let mut element = Element { ns, name: start.local_name().as_ref().to_string(), ..Element::default() };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|error| wrong(&error.to_string()))?;
        let key = attribute.key;
        if key.as_namespace_binding().is_some() {
            continue;
        }
        if element.attributes.len() >= MAX_ATTRIBUTES {
            return Err(wrong("there are too many attributes"));
        }
        let ns = match reader.resolver().resolve_attribute(key).0 {
            ResolveResult::Bound(ns) => ns.as_ref().to_string(),
            _ => String::new(),
        };
        let value = attribute.normalized_value(XmlVersion::Implicit1_0);
        let value = value.map_err(|error| wrong(&error.to_string()))?.into_owned();
        element.attributes.push((ns, key.local_name().as_ref().to_string(), value));
    }
    Ok(element)
}

/// The character of a reference: by number, or one of the five entities of XML.
fn character_of(name: &BytesRef) -> Option<char> {
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

/// Text as it may stand between tags and in attributes.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '&' => escaped.push_str("&amp;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&apos;"),
            // XML can't express other control characters.
            c if c.is_control() && !matches!(c, '\n' | '\r' | '\t') => escaped.push('\u{fffd}'),
            c => escaped.push(c),
        }
    }
    escaped
}
