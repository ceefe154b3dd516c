//! XML within bounds: no document types, no entities but the five that XML has, so deep, so long and so many.

use quick_xml::NsReader;
use quick_xml::XmlVersion;
use quick_xml::events::Event;
use quick_xml::name::ResolveResult;
use std::fmt;

const MAX_DEPTH: usize = 32;
const MAX_ELEMENTS: usize = 1_000_000;
const MAX_ATTRIBUTES: usize = 64;

/// An element with all that stands in it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Element {
    /// Its namespace; empty for none.
    pub ns: String,
    pub name: String,
    /// Namespace, name and value.
    pub attributes: Vec<(String, String, String)>,
    /// All its text, put together.
    pub text: String,
    pub children: Vec<Element>,
}

/// Why a text is not taken as XML.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Element {
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    /// The text without white space at its ends.
    pub fn value(&self) -> &str {
        self.text.trim()
    }

    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        let found = self.attributes.iter().find(|(held, held_name, _)| held == ns && held_name == name);
        found.map(|(_, _, value)| value.as_str())
    }
}

pub fn parse(text: &str) -> Result<Element, Malformed> {
    let wrong = |what: String| Malformed(what);
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_end_names = true;
    let mut open: Vec<Element> = Vec::new();
    let mut root: Option<Element> = None;
    let mut elements = 0;
    loop {
        let (ns, event) = reader.read_resolved_event().map_err(|error| wrong(error.to_string()))?;
        let ns = match ns {
            ResolveResult::Bound(ns) => ns.as_ref().to_string(),
            ResolveResult::Unbound => String::new(),
            ResolveResult::Unknown(prefix) => return Err(wrong(format!("prefix '{prefix}' is not bound"))),
        };
        match event {
            Event::Start(start) | Event::Empty(start) if root.is_some() && open.is_empty() => {
                return Err(wrong(format!("element '{}' stands after the end", start.name().as_ref())));
            }
            ref event @ (Event::Start(ref start) | Event::Empty(ref start)) => {
                elements += 1;
                if open.len() >= MAX_DEPTH {
                    return Err(wrong("elements are nested too deeply".to_owned()));
                }
                if elements > MAX_ELEMENTS {
                    return Err(wrong("there are too many elements".to_owned()));
                }
                let mut element =
                    Element { ns, name: start.local_name().as_ref().to_string(), ..Element::default() };
                for attribute in start.attributes() {
                    let attribute = attribute.map_err(|error| wrong(error.to_string()))?;
                    let key = attribute.key;
                    if key.as_namespace_binding().is_some() {
                        continue;
                    }
                    if element.attributes.len() >= MAX_ATTRIBUTES {
                        return Err(wrong("there are too many attributes".to_owned()));
                    }
                    let ns = match reader.resolver().resolve_attribute(key).0 {
                        ResolveResult::Bound(ns) => ns.as_ref().to_string(),
                        _ => String::new(),
                    };
                    let value = attribute.normalized_value(XmlVersion::Implicit1_0);
                    let value = value.map_err(|error| wrong(error.to_string()))?.into_owned();
                    element.attributes.push((ns, key.local_name().as_ref().to_string(), value));
                }
                open.push(element);
                if matches!(event, Event::Empty(_)) {
                    close(&mut open, &mut root);
                }
            }
            Event::End(_) => close(&mut open, &mut root),
            Event::Text(text) => match open.last_mut() {
                Some(element) => element.text.push_str(&text.xml_content(XmlVersion::Implicit1_0)),
                None if text.trim().is_empty() => {}
                None => return Err(wrong("text stands outside of the element".to_owned())),
            },
            Event::CData(text) => {
                if let Some(element) = open.last_mut() {
                    element.text.push_str(&text.xml_content(XmlVersion::Implicit1_0));
                }
            }
            Event::GeneralRef(name) => {
                let held = match name.resolve_char_ref() {
                    Ok(Some(c)) => Some(c),
                    Ok(None) => match &*name.xml_content(XmlVersion::Implicit1_0) {
                        "lt" => Some('<'),
                        "gt" => Some('>'),
                        "amp" => Some('&'),
                        "quot" => Some('"'),
                        "apos" => Some('\''),
                        _ => None,
                    },
                    Err(_) => None,
                };
                let held = held.ok_or_else(|| wrong("an entity is not known".to_owned()))?;
                if let Some(element) = open.last_mut() {
                    element.text.push(held);
                }
            }
            Event::DocType(_) => return Err(wrong("a document type is not taken".to_owned())),
            Event::Decl(_) | Event::Comment(_) | Event::PI(_) => {}
            Event::Eof => break,
        }
    }
    match root {
        Some(root) if open.is_empty() => Ok(root),
        _ => Err(wrong("it ends in the middle of an element".to_owned())),
    }
}

fn close(open: &mut Vec<Element>, root: &mut Option<Element>) {
    let Some(element) = open.pop() else { return };
    match open.last_mut() {
        Some(parent) => parent.children.push(element),
        None => *root = Some(element),
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
            // XML has no form at all for these.
            c if c.is_control() && !matches!(c, '\n' | '\r' | '\t') => escaped.push('\u{fffd}'),
            c => escaped.push(c),
        }
    }
    escaped
}
