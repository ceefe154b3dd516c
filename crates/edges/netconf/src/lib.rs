//! NETCONF's messages (RFC 6241, RFC 6242, RFC 5277, RFC 6022): both framings, XML within bounds, operations as
//! typed values, data as XML, subtree filters, edits, and errors with tag, path and app-tag. No sockets.

mod data;
mod error;
mod frames;
mod rpc;
mod xml;

pub use data::{edits, filter, from_xml, push_fields, tree_of};
pub use error::RpcError;
pub use frames::{Framer, Framing, FramingError, frame};
pub use rpc::{
    CommitParameters, ConfigSource, DefaultOperation, NotificationContent, Operation, Rpc, TestOption, hello,
    notification, read, reply,
};
pub use xml::{Element, Malformed, escape, parse};

/// The namespaces that messages stand in.
pub const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";
pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
