//! NETCONF errors, and the conversion of model and store errors to them.

use crate::BASE;
use crate::xml::escape;
use lemonusher_model::{Fault, FaultKind, Schema};
use lemonusher_store::StoreError;
use std::fmt::Write;

/// The layer at which an error occurred (`error-type`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorType {
    /// The messages layer: the `rpc` element and its XML.
    Rpc,
    /// NETCONF operations.
    Protocol,
    /// The data model, and this server.
    Application,
}

impl ErrorType {
    /// The name in an `error-type`.
    pub fn name(self) -> &'static str {
        match self {
            ErrorType::Rpc => "rpc",
            ErrorType::Protocol => "protocol",
            ErrorType::Application => "application",
        }
    }
}

/// The kind of an error (`error-tag`; RFC 6241, appendix A).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorTag {
    /// `in-use`.
    InUse,
    /// `invalid-value`.
    InvalidValue,
    /// `missing-attribute`.
    MissingAttribute,
    /// `bad-element`.
    BadElement,
    /// `missing-element`.
    MissingElement,
    /// `unknown-element`.
    UnknownElement,
    /// `unknown-namespace`.
    UnknownNamespace,
    /// `access-denied`.
    AccessDenied,
    /// `lock-denied`.
    LockDenied,
    /// `resource-denied`.
    ResourceDenied,
    /// `data-exists`.
    DataExists,
    /// `data-missing`.
    DataMissing,
    /// `operation-not-supported`.
    OperationNotSupported,
    /// `operation-failed`.
    OperationFailed,
    /// `malformed-message`.
    MalformedMessage,
}

impl ErrorTag {
    /// The name in an `error-tag`.
    pub fn name(self) -> &'static str {
        match self {
            ErrorTag::InUse => "in-use",
            ErrorTag::InvalidValue => "invalid-value",
            ErrorTag::MissingAttribute => "missing-attribute",
            ErrorTag::BadElement => "bad-element",
            ErrorTag::MissingElement => "missing-element",
            ErrorTag::UnknownElement => "unknown-element",
            ErrorTag::UnknownNamespace => "unknown-namespace",
            ErrorTag::AccessDenied => "access-denied",
            ErrorTag::LockDenied => "lock-denied",
            ErrorTag::ResourceDenied => "resource-denied",
            ErrorTag::DataExists => "data-exists",
            ErrorTag::DataMissing => "data-missing",
            ErrorTag::OperationNotSupported => "operation-not-supported",
            ErrorTag::OperationFailed => "operation-failed",
            ErrorTag::MalformedMessage => "malformed-message",
        }
    }
}

/// One `rpc-error` (RFC 6241, section 4.3 and appendix A).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RpcError {
    /// The layer at which it occurred.
    pub error_type: ErrorType,
    /// The kind of error.
    pub tag: ErrorTag,
    /// The `error-app-tag`.
    pub app_tag: Option<String>,
    /// The `error-path`, with prefixes.
    pub path: Option<String>,
    /// The human-readable `error-message`.
    pub message: String,
    /// The `session-id` in `error-info`: the session that holds the lock or has a pending commit; 0 if none does.
    pub session: Option<u32>,
    /// The `bad-element` in `error-info`: the name of the element that the error is about.
    pub element: Option<String>,
}

impl RpcError {
    fn new(error_type: ErrorType, tag: ErrorTag, message: String) -> RpcError {
        RpcError { error_type, tag, app_tag: None, path: None, message, session: None, element: None }
    }

    /// An error of a NETCONF operation.
    pub fn protocol(tag: ErrorTag, message: impl Into<String>) -> RpcError {
        RpcError::new(ErrorType::Protocol, tag, message.into())
    }

    /// An error in the message layer.
    pub fn rpc(tag: ErrorTag, message: impl Into<String>) -> RpcError {
        RpcError::new(ErrorType::Rpc, tag, message.into())
    }

    /// An error of the data or of this server.
    pub fn application(tag: ErrorTag, message: impl Into<String>) -> RpcError {
        RpcError::new(ErrorType::Application, tag, message.into())
    }

    /// An error for a bad or missing element of an operation.
    pub fn element(tag: ErrorTag, element: &str, message: impl Into<String>) -> RpcError {
        RpcError { element: Some(element.to_owned()), ..RpcError::protocol(tag, message) }
    }

    /// Converts an error of the data model.
    pub fn of_fault(schema: &Schema, fault: &Fault) -> RpcError {
        let (tag, app_tag) = match fault.kind {
            FaultKind::UnknownElement => (ErrorTag::UnknownElement, None),
            FaultKind::UnknownNamespace => (ErrorTag::UnknownNamespace, None),
            FaultKind::BadElement => (ErrorTag::BadElement, None),
            FaultKind::MissingElement => (ErrorTag::MissingElement, None),
            FaultKind::InvalidValue => (ErrorTag::InvalidValue, None),
            FaultKind::ReadOnly => (ErrorTag::InvalidValue, Some("read-only")),
            FaultKind::DataExists => (ErrorTag::DataExists, None),
            FaultKind::DataMissing => (ErrorTag::DataMissing, None),
            FaultKind::MissingInstance => (ErrorTag::DataMissing, Some("instance-required")),
            FaultKind::MustViolation => (ErrorTag::OperationFailed, Some("must-violation")),
            FaultKind::TooFew => (ErrorTag::OperationFailed, Some("too-few-elements")),
            FaultKind::TooMany => (ErrorTag::OperationFailed, Some("too-many-elements")),
        };
        let path = fault.path.as_deref();
        let last_step = path.and_then(|path| path.rsplit('/').next());
        let element = last_step.map(|step| step.split('[').next().unwrap_or_default().to_owned());
        RpcError {
            app_tag: fault.tag.clone().or(app_tag.map(str::to_owned)),
            path: path.map(|path| prefixed(schema, path)),
            element: element.filter(|element| !element.is_empty()),
            ..RpcError::application(tag, fault.message.clone())
        }
    }

    /// Converts a store error. `locking` is set if the operation was `lock`.
    pub fn of_store_error(schema: &Schema, error: &StoreError, locking: bool) -> Vec<RpcError> {
        let text = error.to_string();
        let protocol = |tag: ErrorTag| RpcError::protocol(tag, text.clone());
        let failed = |app_tag: &str| RpcError {
            app_tag: Some(app_tag.to_owned()),
            ..RpcError::application(ErrorTag::OperationFailed, text.clone())
        };
        let locked = if locking { ErrorTag::LockDenied } else { ErrorTag::InUse };
        vec![match error {
            StoreError::Faults(faults) => {
                return faults.iter().map(|fault| RpcError::of_fault(schema, fault)).collect();
            }
            StoreError::Locked(session) | StoreError::Pending(session) => {
                RpcError { session: Some(*session), ..protocol(locked) }
            }
            StoreError::Modified => RpcError { session: Some(0), ..protocol(ErrorTag::LockDenied) },
            StoreError::Busy => protocol(ErrorTag::InUse),
            StoreError::TooManySessions | StoreError::TooManyFollowUps => protocol(ErrorTag::ResourceDenied),
            StoreError::NothingPending => protocol(ErrorTag::InvalidValue),
            StoreError::NoVersion(_) => protocol(ErrorTag::InvalidValue),
            StoreError::NoStartup => RpcError::application(ErrorTag::DataMissing, text.clone()),
            StoreError::NotLocked => RpcError::application(ErrorTag::OperationFailed, text.clone()),
            StoreError::UnknownSession => RpcError::application(ErrorTag::OperationFailed, text.clone()),
            StoreError::Stale { .. } => failed("stale"),
            StoreError::Conflict(_) => failed("conflict"),
            StoreError::Failed(_) => failed("declined"),
        }]
    }

    pub(crate) fn write(&self, to: &mut String) {
        let _ = write!(
            to,
            "<rpc-error><error-type>{}</error-type><error-tag>{}</error-tag><error-severity>error</error-severity>",
            self.error_type.name(),
            self.tag.name()
        );
        if let Some(tag) = &self.app_tag {
            let _ = write!(to, "<error-app-tag>{}</error-app-tag>", escape(tag));
        }
        if let Some(path) = &self.path {
            let _ = write!(to, "<error-path xmlns:lf=\"urn:lemonusher:front\">{}</error-path>", escape(path));
        }
        let _ = write!(to, "<error-message xml:lang=\"en\">{}</error-message>", escape(&self.message));
        if self.session.is_some() || self.element.is_some() {
            let _ = write!(to, "<error-info xmlns=\"{BASE}\">");
            if let Some(session) = self.session {
                let _ = write!(to, "<session-id>{session}</session-id>");
            }
            if let Some(element) = &self.element {
                let _ = write!(to, "<bad-element>{}</bad-element>", escape(element));
            }
            to.push_str("</error-info>");
        }
        to.push_str("</rpc-error>");
    }
}

/// A path with the schema's prefix before each node name, as in an instance-identifier.
fn prefixed(schema: &Schema, path: &str) -> String {
    let mut text = String::new();
    let mut within = false;
    let mut chars = path.chars().peekable();
    while let Some(c) = chars.next() {
        text.push(c);
        match c {
            '\\' => text.extend(chars.next()),
            '[' => within = true,
            ']' => within = false,
            '/' if !within && chars.peek().is_some() => {
                text.push_str(&schema.prefix);
                text.push(':');
            }
            _ => {}
        }
    }
    text
}
