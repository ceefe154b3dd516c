//! Operations as typed values, and what is answered.

use crate::error::RpcError;
use crate::xml::{Element, escape, parse};
use crate::{BASE, MONITORING, NOTIFICATION};
use lemonusher_store::{Datastore, ErrorOption};
use std::fmt::Write;
use std::time::Duration;

/// Unless the manager says otherwise, so long a commit waits to be confirmed (RFC 6241, section 8.4).
const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(600);

/// Namespace, name and value of each.
pub type Attributes = Vec<(String, String, String)>;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rpc {
    /// All attributes of the request, which its reply must repeat.
    pub attributes: Attributes,
    pub operation: Operation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DefaultOperation {
    Merge,
    Replace,
    None,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TestOption {
    TestThenSet,
    Set,
    TestOnly,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CommitParameters {
    pub confirm_timeout: Option<Duration>,
    pub persist: Option<String>,
    pub persist_id: Option<String>,
    /// The version that the manager has seen, in this program's own namespace.
    pub expected_version: Option<u64>,
}

/// Where a config is read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigSource {
    /// A datastore.
    Datastore(Datastore),
    /// A `config` element within the operation.
    Inline(Box<Element>),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    Get {
        filter: Option<Element>,
    },
    GetConfig {
        source: Datastore,
        filter: Option<Element>,
    },
    EditConfig {
        target: Datastore,
        default: DefaultOperation,
        test: TestOption,
        on_error: ErrorOption,
        config: Element,
    },
    CopyConfig {
        target: Datastore,
        source: ConfigSource,
    },
    DeleteConfig {
        target: Datastore,
    },
    Lock(Datastore),
    Unlock(Datastore),
    Validate(ConfigSource),
    Commit(CommitParameters),
    CancelCommit {
        persist_id: Option<String>,
    },
    DiscardChanges,
    CloseSession,
    KillSession(u32),
    GetSchema {
        identifier: String,
        version: Option<String>,
        format: Option<String>,
    },
    CreateSubscription {
        stream: Option<String>,
        filter: Option<Element>,
    },
}

/// Reads a message: an `rpc`, or why it is none, with the attributes that the reply must repeat.
pub fn read(text: &str) -> Result<Rpc, (Attributes, RpcError)> {
    let none = Vec::new;
    let rpc = parse(text).map_err(|wrong| (none(), RpcError::rpc("malformed-message", wrong.to_string())))?;
    if rpc.name != "rpc" || rpc.ns != BASE {
        let what = format!("'{}' stands where an rpc of {BASE} should", rpc.name);
        return Err((none(), RpcError::rpc("malformed-message", what)));
    }
    let attributes = rpc.attributes.clone();
    if rpc.attribute("", "message-id").is_none() {
        let error = RpcError::rpc("missing-attribute", "an rpc has a message-id");
        return Err((attributes, RpcError { element: Some("rpc".to_owned()), ..error }));
    }
    let mut children = rpc.children.into_iter();
    let operation = match (children.next(), children.next()) {
        (Some(operation), None) => operation,
        _ => return Err((attributes, RpcError::rpc("bad-element", "an rpc holds one operation"))),
    };
    match operation_of(operation) {
        Ok(operation) => Ok(Rpc { attributes, operation }),
        Err(error) => Err((attributes, error)),
    }
}

fn operation_of(element: Element) -> Result<Operation, RpcError> {
    let ns = match element.name.as_str() {
        "get-schema" => MONITORING,
        "create-subscription" => NOTIFICATION,
        _ => BASE,
    };
    if element.ns != ns {
        let what = format!("'{}' is not known in namespace '{}'", element.name, element.ns);
        return Err(RpcError::element("unknown-namespace", &element.name, what));
    }
    let text = |name: &str| element.child(name).map(|child| child.value().to_owned());
    let need = |name: &str| {
        let child = element.child(name);
        child.ok_or_else(|| RpcError::element("missing-element", name, format!("'{name}' is missing")))
    };
    let filter = |name: &str| -> Result<Option<Element>, RpcError> {
        let Some(filter) = element.child(name) else { return Ok(None) };
        match filter.attribute(BASE, "type").or(filter.attribute("", "type")) {
            None | Some("subtree") => Ok(Some(filter.clone())),
            Some(other) => {
                let what = format!("filters of type '{other}' are not known; subtree is");
                Err(RpcError::protocol("operation-not-supported", what))
            }
        }
    };
    Ok(match element.name.as_str() {
        "get" => Operation::Get { filter: filter("filter")? },
        "get-config" => {
            Operation::GetConfig { source: datastore(need("source")?)?, filter: filter("filter")? }
        }
        "edit-config" => Operation::EditConfig {
            target: datastore(need("target")?)?,
            default: match text("default-operation").as_deref() {
                None | Some("merge") => DefaultOperation::Merge,
                Some("replace") => DefaultOperation::Replace,
                Some("none") => DefaultOperation::None,
                Some(_) => return Err(bad("default-operation")),
            },
            test: match text("test-option").as_deref() {
                None | Some("test-then-set") => TestOption::TestThenSet,
                Some("set") => TestOption::Set,
                Some("test-only") => TestOption::TestOnly,
                Some(_) => return Err(bad("test-option")),
            },
            on_error: match text("error-option").as_deref() {
                None | Some("stop-on-error") => ErrorOption::Stop,
                Some("continue-on-error") => ErrorOption::Continue,
                Some("rollback-on-error") => ErrorOption::Rollback,
                Some(_) => return Err(bad("error-option")),
            },
            config: need("config")?.clone(),
        },
        "copy-config" => {
            Operation::CopyConfig { target: datastore(need("target")?)?, source: source(need("source")?)? }
        }
        "delete-config" => Operation::DeleteConfig { target: datastore(need("target")?)? },
        "lock" => Operation::Lock(datastore(need("target")?)?),
        "unlock" => Operation::Unlock(datastore(need("target")?)?),
        "validate" => Operation::Validate(source(need("source")?)?),
        "commit" => {
            let within = match text("confirm-timeout") {
                None => DEFAULT_CONFIRM_TIMEOUT,
                Some(text) => {
                    let seconds = text.parse::<u32>().ok().filter(|seconds| *seconds > 0);
                    Duration::from_secs(u64::from(seconds.ok_or_else(|| bad("confirm-timeout"))?))
                }
            };
            let confirmed = element.child("confirmed").is_some();
            Operation::Commit(CommitParameters {
                confirm_timeout: confirmed.then_some(within),
                persist: text("persist"),
                persist_id: text("persist-id"),
                expected_version: match text("expect") {
                    None => None,
                    Some(text) => Some(text.parse().map_err(|_| bad("expect"))?),
                },
            })
        }
        "cancel-commit" => Operation::CancelCommit { persist_id: text("persist-id") },
        "discard-changes" => Operation::DiscardChanges,
        "close-session" => Operation::CloseSession,
        "kill-session" => {
            let id = need("session-id")?.value().parse::<u32>().ok().filter(|id| *id > 0);
            Operation::KillSession(id.ok_or_else(|| bad("session-id"))?)
        }
        "get-schema" => Operation::GetSchema {
            identifier: need("identifier")?.value().to_owned(),
            version: text("version"),
            format: text("format"),
        },
        "create-subscription" => {
            if let Some(name) = ["startTime", "stopTime"].iter().find(|name| element.child(name).is_some()) {
                let what = "past notifications are not kept, so there is no replay";
                return Err(RpcError::element("operation-not-supported", name, what));
            }
            Operation::CreateSubscription { stream: text("stream"), filter: filter("filter")? }
        }
        other => {
            let what = format!("operation '{other}' is not known");
            return Err(RpcError::protocol("operation-not-supported", what));
        }
    })
}

fn bad(element: &str) -> RpcError {
    RpcError::element("invalid-value", element, format!("the value of '{element}' is not known"))
}

fn datastore(holder: &Element) -> Result<Datastore, RpcError> {
    let child = holder.children.first();
    match child.map(|child| child.name.as_str()) {
        Some("running") => Ok(Datastore::Running),
        Some("candidate") => Ok(Datastore::Candidate),
        Some("startup") => Ok(Datastore::Startup),
        Some(other) => {
            let what = format!("'{other}' can't be meant here; running, candidate and startup can");
            Err(RpcError::element("operation-not-supported", other, what))
        }
        None => Err(RpcError::element("missing-element", &holder.name, "no datastore is named")),
    }
}

fn source(holder: &Element) -> Result<ConfigSource, RpcError> {
    match holder.child("config") {
        Some(config) => Ok(ConfigSource::Inline(Box::new(config.clone()))),
        None => datastore(holder).map(ConfigSource::Datastore),
    }
}

/// What the server says of itself first.
pub fn hello(capabilities: &[String], session: u32) -> String {
    let mut text =
        format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?><hello xmlns=\"{BASE}\"><capabilities>");
    for capability in capabilities {
        let _ = write!(text, "<capability>{}</capability>", escape(capability));
    }
    let _ = write!(text, "</capabilities><session-id>{session}</session-id></hello>");
    text
}

/// A reply: what the operation yields as XML, empty for `ok`, or errors.
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

/// What has happened: the notification's name and its leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotificationContent {
    pub name: &'static str,
    pub leaves: Vec<(&'static str, String)>,
}

/// A notification of RFC 5277. `date` is in the form of RFC 3339.
pub fn notification(namespace: &str, date: &str, notified: &NotificationContent) -> String {
    let mut text = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?><notification xmlns=\"{NOTIFICATION}\"><eventTime>{date}</eventTime><{} xmlns=\"{}\">",
        notified.name,
        escape(namespace)
    );
    for (name, value) in &notified.leaves {
        let _ = write!(text, "<{name}>{}</{name}>", escape(value));
    }
    let _ = write!(text, "</{}></notification>", notified.name);
    text
}
