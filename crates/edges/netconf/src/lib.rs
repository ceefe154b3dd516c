//! NETCONF messages without I/O (RFC 6241, RFC 6242, RFC 5277, RFC 6022): both framings, an XML parser with limits,
//! operations as typed values, conversion between data and XML, subtree filters, edits, and errors with error-tag,
//! error-path and error-app-tag.

#![warn(missing_docs)]

mod data;
mod edits;
mod error;
mod filter;
mod frames;
mod operation;
mod rpc;
mod xml;

pub use data::{from_xml, push_fields, tree_of};
pub use edits::edits;
pub use error::{ErrorTag, ErrorType, RpcError};
pub use filter::filter;
pub use frames::{Framer, Framing, FramingError, frame};
pub use operation::{CommitParameters, ConfigSource, DefaultOperation, Operation, TestOption};
pub use rpc::{Attributes, NotificationContent, Rpc, hello, notification, read, reply};
pub use xml::{Element, Malformed, escape, parse};

/// The XML namespace of operations and replies.
pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
/// The XML namespace of notifications and `create-subscription`.
pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// The XML namespace of `get-schema`.
pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
