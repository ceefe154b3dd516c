//! The messages of a session: `hello`, `rpc`, `rpc-reply` and `notification`.

use crate::error::{ErrorTag, RpcError};
use crate::operation::Operation;
use crate::xml::{escape, parse};
use crate::{BASE, NOTIFICATION};
use std::fmt::Write;

/// The namespace, local name and value of each attribute.
pub type Attributes = Vec<(String, String, String)>;

/// One `rpc` message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rpc {
    /// All attributes of the `rpc` element, which the reply must repeat.
    pub attributes: Attributes,
    /// The requested operation.
    pub operation: Operation,
}

/// Parses an `rpc` message. An error comes with the attributes that the reply must repeat.
pub fn read(text: &str) -> Result<Rpc, (Attributes, RpcError)> {
    let none = Vec::new;
    let rpc = parse(text)
        .map_err(|error| (none(), RpcError::rpc(ErrorTag::MalformedMessage, error.to_string())))?;
    if rpc.name != "rpc" || rpc.ns != BASE {
        let what = format!("'{}' stands where an rpc of {BASE} should", rpc.name);
        return Err((none(), RpcError::rpc(ErrorTag::MalformedMessage, what)));
    }
    let attributes = rpc.attributes.clone();
    if rpc.attribute("", "message-id").is_none() {
        let error = RpcError::rpc(ErrorTag::MissingAttribute, "an rpc has a message-id");
        return Err((attributes, RpcError { element: Some("rpc".to_owned()), ..error }));
    }
    let mut children = rpc.children.into_iter();
    let operation = match (children.next(), children.next()) {
        (Some(operation), None) => operation,
        _ => return Err((attributes, RpcError::rpc(ErrorTag::BadElement, "an rpc holds one operation"))),
    };
    match Operation::of_element(&operation) {
        Ok(operation) => Ok(Rpc { attributes, operation }),
        Err(error) => Err((attributes, error)),
    }
}

/// The server's `hello` message.
pub fn hello(capabilities: &[String], session: u32) -> String {
    let mut text =
        format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?><hello xmlns=\"{BASE}\"><capabilities>");
    for capability in capabilities {
        let _ = write!(text, "<capability>{}</capability>", escape(capability));
    }
    let _ = write!(text, "</capabilities><session-id>{session}</session-id></hello>");
    text
}

/// An `rpc-reply`: the data as XML, `<ok/>` if the data is empty, or errors.
pub fn reply(attributes: &[(String, String, String)], answer: &Result<String, Vec<RpcError>>) -> String {
    let mut text = format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?><rpc-reply xmlns=\"{BASE}\"");
    for (number, (ns, name, value)) in attributes.iter().enumerate() {
        let _ = match ns.is_empty() {
            true => write!(text, " {name}=\"{}\"", escape(value)),
            false => {
                let (ns, value) = (escape(ns), escape(value));
                write!(text, " xmlns:a{number}=\"{ns}\" a{number}:{name}=\"{value}\"")
            }
        };
    }
    text.push('>');
    match answer {
        Ok(data) if data.is_empty() => text.push_str("<ok/>"),
        Ok(data) => text.push_str(data),
        Err(errors) => errors.iter().for_each(|error| error.write(&mut text)),
    }
    text.push_str("</rpc-reply>");
    text
}

/// The content of a notification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotificationContent {
    /// The notification's name in the YANG model.
    pub name: &'static str,
    /// The names and values of its leaves, in the order in which they are written.
    pub leaves: Vec<(&'static str, String)>,
}

/// A `notification` message (RFC 5277). `date` is in RFC 3339 format.
pub fn notification(namespace: &str, date: &str, content: &NotificationContent) -> String {
    let mut text = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?><notification xmlns=\"{NOTIFICATION}\"><eventTime>{date}</eventTime><{} xmlns=\"{}\">",
        content.name,
        escape(namespace)
    );
    for (name, value) in &content.leaves {
        let _ = write!(text, "<{name}>{}</{name}>", escape(value));
    }
    let _ = write!(text, "</{}></notification>", content.name);
    text
}
