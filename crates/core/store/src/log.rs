//! Records of the write-ahead log, each encoded as one JSON object. [`frame`] defines their framing in bytes.
//!
//! The keys of the JSON objects are the format on disk. A field whose name differs from its key has a `serde`
//! attribute.

mod frame;

pub use frame::{Corruption, HEADER, LogContents, LogCorruption, encode_record, read_log};

use crate::{Author, Cause, CommitPlan, PendingConfirmation, Protocol, Version};
use lemonusher_model::{
    Change as ModelChange, Fault, Node, Schema, Text, Tree, from_json, parse_path, to_json,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A version with its complete tree. Allowed only as the first record of a log.
    Base {
        /// The version without its tree.
        meta: VersionMeta,
        /// The tree in the JSON encoding of RFC 7951.
        tree: Value,
    },
    /// A commit, recorded as its differences from the previous version.
    Commit {
        /// The version without its tree.
        meta: VersionMeta,
        /// The differences from the previous version.
        changes: Vec<LeafChange>,
        /// Present if the commit has yet to be confirmed.
        pending: Option<PendingMeta>,
    },
    /// A new content of the startup datastore.
    Startup {
        /// The content in the JSON encoding of RFC 7951; `None` if the startup datastore was deleted.
        tree: Option<Value>,
    },
}

/// A version without its tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionMeta {
    /// The version's number.
    pub number: u64,
    /// Unix time in milliseconds.
    #[serde(rename = "at")]
    pub committed_at_ms: u64,
    /// The user name of the author.
    pub user: String,
    /// The name of the protocol; see [`Protocol::name`].
    pub protocol: String,
    /// The session that committed the version; 0 for the front itself.
    pub session: u32,
    /// The name of the [`Cause`].
    pub cause: String,
    /// The number of the version that was restored, for causes that restore one.
    #[serde(rename = "to", default, skip_serializing_if = "Option::is_none")]
    pub reverted_to: Option<u64>,
}

/// The change of one leaf, or of one member of a leaf-list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeafChange {
    /// The leaf's path.
    pub path: String,
    /// The value before; `None` if the leaf was not set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<String>,
    /// The value after; `None` if the leaf is no longer set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<String>,
}

/// The part of a pending confirmed commit that its version does not hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingMeta {
    /// The number of the version that it reverts to unless it is confirmed.
    #[serde(rename = "revert")]
    pub revert_to: u64,
    /// The `persist` id (RFC 6241, 8.4); with it the commit outlives its session, but not a restart of
    /// the front.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub persist: Option<String>,
}

/// The reason for which a record is rejected during recovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordError {
    /// A [`Record::Base`] is not the first record.
    BaseNotFirst,
    /// The protocol or the cause is unknown.
    UnknownMeta,
    /// A commit's version number is not the next one.
    OutOfOrder {
        /// The commit's number.
        number: u64,
        /// The number of the version before it in the log.
        last: u64,
    },
    /// The version that a pending commit reverts to is not in the history at that point of the log.
    NoRevertVersion(u64),
    /// The JSON value is not a data tree.
    NotATree,
    /// A value or path is not valid against the YANG model.
    Model(Fault),
    /// The changes can't be applied to the previous version's tree; the message.
    Changes(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecordError::BaseNotFirst => f.write_str("a base record is allowed only as the first record"),
            RecordError::UnknownMeta => f.write_str("unknown protocol or cause"),
            RecordError::OutOfOrder { number, last } => {
                write!(f, "version {number} does not directly follow version {last}")
            }
            RecordError::NoRevertVersion(number) => {
                write!(f, "version {number}, to which a pending commit reverts, is not in the history")
            }
            RecordError::NotATree => f.write_str("the JSON value is not a data tree"),
            RecordError::Model(fault) => write!(f, "{fault}"),
            RecordError::Changes(message) => f.write_str(message),
        }
    }
}

impl From<Fault> for RecordError {
    fn from(fault: Fault) -> Self {
        RecordError::Model(fault)
    }
}

impl VersionMeta {
    fn of(version: &Version) -> VersionMeta {
        let (cause, reverted_to) = match version.cause {
            Cause::Start => ("start", None),
            Cause::Commit => ("commit", None),
            Cause::Confirmed => ("confirmed", None),
            Cause::RolledBack { to } => ("rolled-back", Some(to)),
            Cause::Expired { to } => ("expired", Some(to)),
            Cause::Cancelled { to } => ("cancelled", Some(to)),
        };
        VersionMeta {
            number: version.number,
            committed_at_ms: version.committed_at_ms,
            user: version.author.user.clone(),
            protocol: version.author.protocol.name().to_owned(),
            session: version.author.session,
            cause: cause.to_owned(),
            reverted_to,
        }
    }

    fn cause(&self) -> Option<Cause> {
        Some(match (self.cause.as_str(), self.reverted_to) {
            ("start", None) => Cause::Start,
            ("commit", None) => Cause::Commit,
            ("confirmed", None) => Cause::Confirmed,
            ("rolled-back", Some(to)) => Cause::RolledBack { to },
            ("expired", Some(to)) => Cause::Expired { to },
            ("cancelled", Some(to)) => Cause::Cancelled { to },
            _ => return None,
        })
    }

    fn protocol(&self) -> Option<Protocol> {
        let known = [Protocol::Netconf, Protocol::Gnmi, Protocol::Local];
        known.into_iter().find(|protocol| protocol.name() == self.protocol)
    }

    /// The version with this tree and these changes; `None` if the protocol or the cause is unknown.
    pub(crate) fn version(&self, tree: Tree, changes: Vec<ModelChange>) -> Option<Version> {
        let protocol = self.protocol()?;
        let cause = self.cause()?;
        let author = Author { user: self.user.clone(), protocol, session: self.session };
        let (number, committed_at_ms) = (self.number, self.committed_at_ms);
        Some(Version { number, committed_at_ms, author, cause, tree, changes })
    }
}

impl LeafChange {
    fn of(schema: &Schema, change: &ModelChange) -> LeafChange {
        LeafChange {
            path: schema.text(&change.place),
            old: change.old.as_deref().map(str::to_owned),
            new: change.new.as_deref().map(str::to_owned),
        }
    }

    pub(crate) fn decode(&self, schema: &Schema) -> Result<ModelChange, RecordError> {
        let place = schema.place(&parse_path(&self.path)?)?;
        let text = |value: &Option<String>| value.as_deref().map(Text::from);
        Ok(ModelChange { place, old: text(&self.old), new: text(&self.new) })
    }
}

impl PendingMeta {
    pub(crate) fn of(pending: &PendingConfirmation) -> PendingMeta {
        PendingMeta { revert_to: pending.revert_to.number, persist: pending.persist.clone() }
    }
}

impl Record {
    /// The first record of a compacted log.
    pub fn base(schema: &Schema, version: &Version) -> Record {
        Record::Base { meta: VersionMeta::of(version), tree: tree_to_json(schema, &version.tree) }
    }

    /// The record of a planned commit.
    pub fn commit(schema: &Schema, plan: &CommitPlan) -> Record {
        Record::of_version(schema, &plan.version, plan.pending.as_ref().map(PendingMeta::of))
    }

    pub(crate) fn of_version(schema: &Schema, version: &Version, pending: Option<PendingMeta>) -> Record {
        let changes = version.changes.iter().map(|change| LeafChange::of(schema, change)).collect();
        Record::Commit { meta: VersionMeta::of(version), changes, pending }
    }

    /// The record of the startup datastore; `None` records its deletion.
    pub fn startup(schema: &Schema, tree: Option<&Tree>) -> Record {
        Record::Startup { tree: tree.map(|tree| tree_to_json(schema, tree)) }
    }
}

fn tree_to_json(schema: &Schema, tree: &Tree) -> Value {
    to_json(schema, None, &Node::Container(tree.fields().clone()))
}

pub(crate) fn tree_of_json(schema: &Schema, value: &Value) -> Result<Tree, RecordError> {
    match from_json(schema, None, false, value)? {
        Node::Container(fields) => Ok(Tree::of((*fields).clone())),
        _ => Err(RecordError::NotATree),
    }
}
