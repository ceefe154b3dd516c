//! NETCONF operations as typed values, parsed from their XML elements.

use crate::error::{ErrorTag, RpcError};
use crate::xml::Element;
use crate::{BASE, MONITORING, NOTIFICATION};
use lemonusher_store::{Datastore, ErrorOption};
use std::time::Duration;

/// Confirm timeout of a confirmed commit without `confirm-timeout` (RFC 6241, section 8.4).
const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(600);

/// The operation of elements without an `operation` attribute (`default-operation`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DefaultOperation {
    /// The config is merged into the datastore.
    Merge,
    /// The config replaces the datastore's content.
    Replace,
    /// Only elements with an `operation` attribute change the datastore.
    None,
}

/// Whether an edit is validated before it is applied (`test-option`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TestOption {
    /// The edit is validated, and applied if it is valid.
    TestThenSet,
    /// The edit is applied without validation.
    Set,
    /// The edit is validated but not applied.
    TestOnly,
}

/// The parameters of a `commit`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CommitParameters {
    /// The time within which the commit must be confirmed; None if it is not a confirmed commit.
    pub confirm_timeout: Option<Duration>,
    /// The id with which any session can confirm the commit, which then survives the end of its session (`persist`).
    pub persist: Option<String>,
    /// The id of the pending commit that this one confirms or follows up (`persist-id`).
    pub persist_id: Option<String>,
    /// The running version that the client expects (`expect`).
    pub expected_version: Option<u64>,
}

/// The source of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigSource {
    /// A datastore.
    Datastore(Datastore),
    /// A `config` element within the operation.
    Inline(Box<Element>),
}

/// An operation with its parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// `get`.
    Get {
        /// A subtree filter.
        filter: Option<Element>,
    },
    /// `get-config`.
    GetConfig {
        /// The datastore to read.
        source: Datastore,
        /// A subtree filter.
        filter: Option<Element>,
    },
    /// `edit-config`.
    EditConfig {
        /// The datastore to edit.
        target: Datastore,
        /// The operation of elements without an `operation` attribute.
        default: DefaultOperation,
        /// Whether the edit is validated before it is applied.
        test: TestOption,
        /// How the edit continues after an error in a part of it (`error-option`).
        on_error: ErrorOption,
        /// The `config` element.
        config: Element,
    },
    /// `copy-config`.
    CopyConfig {
        /// The datastore to replace.
        target: Datastore,
        /// The configuration to replace it with.
        source: ConfigSource,
    },
    /// `delete-config`.
    DeleteConfig {
        /// The datastore to delete.
        target: Datastore,
    },
    /// `lock`.
    Lock(Datastore),
    /// `unlock`.
    Unlock(Datastore),
    /// `validate`.
    Validate(ConfigSource),
    /// `commit`.
    Commit(CommitParameters),
    /// `cancel-commit`.
    CancelCommit {
        /// The id of the pending commit; None for one without a `persist` id.
        persist_id: Option<String>,
    },
    /// `discard-changes`.
    DiscardChanges,
    /// `close-session`.
    CloseSession,
    /// `kill-session`, with the session's id.
    KillSession(u32),
    /// `get-schema` (RFC 6022).
    GetSchema {
        /// The module's name.
        identifier: String,
        /// The module's revision.
        version: Option<String>,
        /// The language of the schema.
        format: Option<String>,
    },
    /// `create-subscription` (RFC 5277).
    CreateSubscription {
        /// The stream's name.
        stream: Option<String>,
        /// A filter on notifications.
        filter: Option<Element>,
    },
}

impl Operation {
    /// Parses the element of an operation.
    pub(crate) fn of_element(element: &Element) -> Result<Operation, RpcError> {
        check_namespace(element)?;
        Ok(match element.name.as_str() {
            "get" => Operation::Get { filter: filter(element)? },
            "get-config" => {
                Operation::GetConfig { source: datastore(element, "source")?, filter: filter(element)? }
            }
            "edit-config" => edit_config(element)?,
            "copy-config" => {
                Operation::CopyConfig { target: datastore(element, "target")?, source: source(element)? }
            }
            "delete-config" => Operation::DeleteConfig { target: datastore(element, "target")? },
            "lock" => Operation::Lock(datastore(element, "target")?),
            "unlock" => Operation::Unlock(datastore(element, "target")?),
            "validate" => Operation::Validate(source(element)?),
            "commit" => Operation::Commit(commit(element)?),
            "cancel-commit" => Operation::CancelCommit { persist_id: text(element, "persist-id") },
            "discard-changes" => Operation::DiscardChanges,
            "close-session" => Operation::CloseSession,
            "kill-session" => {
                let id = required(element, "session-id")?.value().parse::<u32>().ok();
                let id = id.filter(|id| *id > 0).ok_or_else(|| unknown_value("session-id"))?;
                Operation::KillSession(id)
            }
            "get-schema" => Operation::GetSchema {
                identifier: required(element, "identifier")?.value().to_owned(),
                version: text(element, "version"),
                format: text(element, "format"),
            },
            "create-subscription" => create_subscription(element)?,
            other => {
                let what = format!("operation '{other}' is not known");
                return Err(RpcError::protocol(ErrorTag::OperationNotSupported, what));
            }
        })
    }
}

fn check_namespace(element: &Element) -> Result<(), RpcError> {
    let namespace = match element.name.as_str() {
        "get-schema" => MONITORING,
        "create-subscription" => NOTIFICATION,
        _ => BASE,
    };
    if element.ns == namespace {
        return Ok(());
    }
    let what = format!("'{}' is not known in namespace '{}'", element.name, element.ns);
    Err(RpcError::element(ErrorTag::UnknownNamespace, &element.name, what))
}

fn edit_config(element: &Element) -> Result<Operation, RpcError> {
    Ok(Operation::EditConfig {
        target: datastore(element, "target")?,
        default: match text(element, "default-operation").as_deref() {
            None | Some("merge") => DefaultOperation::Merge,
            Some("replace") => DefaultOperation::Replace,
            Some("none") => DefaultOperation::None,
            Some(_) => return Err(unknown_value("default-operation")),
        },
        test: match text(element, "test-option").as_deref() {
            None | Some("test-then-set") => TestOption::TestThenSet,
            Some("set") => TestOption::Set,
            Some("test-only") => TestOption::TestOnly,
            Some(_) => return Err(unknown_value("test-option")),
        },
        on_error: match text(element, "error-option").as_deref() {
            None | Some("stop-on-error") => ErrorOption::Stop,
            Some("continue-on-error") => ErrorOption::Continue,
            Some("rollback-on-error") => ErrorOption::Rollback,
            Some(_) => return Err(unknown_value("error-option")),
        },
        config: required(element, "config")?.clone(),
    })
}

fn commit(element: &Element) -> Result<CommitParameters, RpcError> {
    let timeout = match text(element, "confirm-timeout") {
        None => DEFAULT_CONFIRM_TIMEOUT,
        Some(text) => {
            let seconds = text.parse::<u32>().ok().filter(|seconds| *seconds > 0);
            Duration::from_secs(u64::from(seconds.ok_or_else(|| unknown_value("confirm-timeout"))?))
        }
    };
    let confirmed = element.child("confirmed").is_some();
    Ok(CommitParameters {
        confirm_timeout: confirmed.then_some(timeout),
        persist: text(element, "persist"),
        persist_id: text(element, "persist-id"),
        expected_version: match text(element, "expect") {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| unknown_value("expect"))?),
        },
    })
}

fn create_subscription(element: &Element) -> Result<Operation, RpcError> {
    if let Some(name) = ["startTime", "stopTime"].iter().find(|name| element.child(name).is_some()) {
        let what = "past notifications are not kept, so there is no replay";
        return Err(RpcError::element(ErrorTag::OperationNotSupported, name, what));
    }
    Ok(Operation::CreateSubscription { stream: text(element, "stream"), filter: filter(element)? })
}

fn text(element: &Element, name: &str) -> Option<String> {
    element.child(name).map(|child| child.value().to_owned())
}

fn required<'a>(element: &'a Element, name: &str) -> Result<&'a Element, RpcError> {
    element
        .child(name)
        .ok_or_else(|| RpcError::element(ErrorTag::MissingElement, name, format!("'{name}' is missing")))
}

fn filter(element: &Element) -> Result<Option<Element>, RpcError> {
    let Some(filter) = element.child("filter") else { return Ok(None) };
    match filter.attribute(BASE, "type").or(filter.attribute("", "type")) {
        None | Some("subtree") => Ok(Some(filter.clone())),
        Some(other) => {
            let what = format!("filters of type '{other}' are not known; subtree is");
            Err(RpcError::protocol(ErrorTag::OperationNotSupported, what))
        }
    }
}

fn unknown_value(element: &str) -> RpcError {
    let what = format!("the value of '{element}' is not known");
    RpcError::element(ErrorTag::InvalidValue, element, what)
}

/// The datastore that a `source` or `target` child names.
fn datastore(element: &Element, name: &str) -> Result<Datastore, RpcError> {
    datastore_in(required(element, name)?)
}

fn datastore_in(parent: &Element) -> Result<Datastore, RpcError> {
    let child = parent.children.first();
    match child.map(|child| child.name.as_str()) {
        Some("running") => Ok(Datastore::Running),
        Some("candidate") => Ok(Datastore::Candidate),
        Some("startup") => Ok(Datastore::Startup),
        Some(other) => {
            let what = format!("'{other}' can't be meant here; running, candidate and startup can");
            Err(RpcError::element(ErrorTag::OperationNotSupported, other, what))
        }
        None => Err(RpcError::element(ErrorTag::MissingElement, &parent.name, "no datastore is named")),
    }
}

fn source(element: &Element) -> Result<ConfigSource, RpcError> {
    let parent = required(element, "source")?;
    match parent.child("config") {
        Some(config) => Ok(ConfigSource::Inline(Box::new(config.clone()))),
        None => datastore_in(parent).map(ConfigSource::Datastore),
    }
}
