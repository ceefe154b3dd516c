use crate::BASE;
use crate::xml::escape;
use lemonusher_model::{Fault, FaultKind, Schema};
use lemonusher_store::StoreError;
use std::fmt::Write;

/// One `rpc-error` (RFC 6241, section 4.3 and appendix A).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RpcError {
    /// `rpc`, `protocol` or `application`.
    pub kind: &'static str,
    pub tag: &'static str,
    pub app_tag: Option<String>,
    pub path: Option<String>,
    pub message: String,
    /// The session that holds a lock, or the element that is meant.
    pub session: Option<u32>,
    pub element: Option<String>,
}

impl RpcError {
    pub fn protocol(tag: &'static str, message: impl Into<String>) -> RpcError {
        RpcError { kind: "protocol", tag, message: message.into(), ..RpcError::default() }
    }

    pub fn rpc(tag: &'static str, message: impl Into<String>) -> RpcError {
        RpcError { kind: "rpc", tag, message: message.into(), ..RpcError::default() }
    }

    pub fn application(tag: &'static str, message: impl Into<String>) -> RpcError {
        RpcError { kind: "application", tag, message: message.into(), ..RpcError::default() }
    }

    /// A bad or missing element of an operation.
    pub fn element(tag: &'static str, element: &str, message: impl Into<String>) -> RpcError {
        RpcError { element: Some(element.to_owned()), ..RpcError::protocol(tag, message) }
    }

    pub fn of_fault(schema: &Schema, fault: &Fault) -> RpcError {
        let (tag, app_tag) = match fault.kind {
            FaultKind::UnknownElement => ("unknown-element", None),
            FaultKind::UnknownNamespace => ("unknown-namespace", None),
            FaultKind::BadElement => ("bad-element", None),
            FaultKind::MissingElement => ("missing-element", None),
            FaultKind::InvalidValue => ("invalid-value", None),
            FaultKind::ReadOnly => ("invalid-value", Some("read-only")),
            FaultKind::DataExists => ("data-exists", None),
            FaultKind::DataMissing => ("data-missing", None),
            FaultKind::MissingInstance => ("data-missing", Some("instance-required")),
            FaultKind::MustViolation => ("operation-failed", Some("must-violation")),
            FaultKind::TooFew => ("operation-failed", Some("too-few-elements")),
            FaultKind::TooMany => ("operation-failed", Some("too-many-elements")),
        };
        let path = fault.path.as_deref();
        let last = path.and_then(|path| path.rsplit('/').next());
        let element = last.map(|last| last.split('[').next().unwrap_or_default().to_owned());
        RpcError {
            app_tag: fault.tag.clone().or(app_tag.map(str::to_owned)),
            path: path.map(|path| prefixed(schema, path)),
            element: element.filter(|element| !element.is_empty()),
            ..RpcError::application(tag, fault.what.clone())
        }
    }

    /// What the store refuses. Where a lock was asked for, another's stands against it.
    pub fn of_store_error(schema: &Schema, refused: &StoreError, locking: bool) -> Vec<RpcError> {
        let text = refused.to_string();
        let one = |tag: &'static str| RpcError::protocol(tag, text.clone());
        let failed = |app_tag: &str| RpcError {
            app_tag: Some(app_tag.to_owned()),
            ..RpcError::application("operation-failed", text.clone())
        };
        let held = if locking { "lock-denied" } else { "in-use" };
        vec![match refused {
            StoreError::Faults(faults) => {
                return faults.iter().map(|fault| RpcError::of_fault(schema, fault)).collect();
            }
            StoreError::Locked(by) | StoreError::Pending(by) => RpcError { session: Some(*by), ..one(held) },
            StoreError::Modified => RpcError { session: Some(0), ..one("lock-denied") },
            StoreError::Busy => one("in-use"),
            StoreError::TooManySessions | StoreError::TooManyFollowUps => one("resource-denied"),
            StoreError::NothingPending => one("invalid-value"),
            StoreError::NoVersion(_) => one("invalid-value"),
            StoreError::NoStartup => RpcError::application("data-missing", text.clone()),
            StoreError::NotLocked => RpcError::application("operation-failed", text.clone()),
            StoreError::UnknownSession => RpcError::application("operation-failed", text.clone()),
            StoreError::Stale { .. } => failed("stale"),
            StoreError::Conflict(_) => failed("conflict"),
            StoreError::Failed(_) => failed("declined"),
        }]
    }

    pub(crate) fn write(&self, to: &mut String) {
        let _ = write!(
            to,
            "<rpc-error><error-type>{}</error-type><error-tag>{}</error-tag><error-severity>error</error-severity>",
            self.kind, self.tag
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

/// A path with the model's prefix on each name, as an instance identifier has it.
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
