//! The log's records, one a JSON object. Their framing in bytes is in [`frame`].
//!
//! The keys of the records are the format on disk. Where a field's name differs from its key, the key stands beside it.

mod frame;

pub use frame::{Corruption, HEADER, LogContents, LogCorruption, encode_record, read_log};

use crate::{Author, Cause, CommitPlan, PendingConfirmation, Protocol, Version};
use lemonusher_model::{
    Change as ModelChange, Fault, Node, Schema, Text, Tree, from_json, parse_path, to_json,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A version with its whole tree. Only the first record of a log may be one.
    Base {
        /// The version without its tree.
        meta: VersionMeta,
        /// The tree, as RFC 7951 has it.
        tree: Value,
    },
    /// A commit, by what it changed.
    Commit {
        /// The version without its tree.
        meta: VersionMeta,
        /// From the version before.
        changes: Vec<LeafChange>,
        /// Set if the commit waits to be confirmed.
        pending: Option<PendingMeta>,
    },
    /// The startup datastore.
    Startup {
        /// None if there is no startup datastore.
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
    /// Who committed it.
    pub user: String,
    /// The name of the protocol; see [`Protocol::name`].
    pub protocol: String,
    /// The session that committed it; zero for the front itself.
    pub session: u32,
    /// Why there is the version.
    pub cause: String,
    /// The version that was gone back to.
    #[serde(rename = "to", default, skip_serializing_if = "Option::is_none")]
    pub reverted_to: Option<u64>,
}

/// One leaf's change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeafChange {
    /// The leaf's path.
    pub path: String,
    /// None if the leaf was not set before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<String>,
    /// None if the leaf is no longer set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<String>,
}

/// What a commit that waits to be confirmed needs beside its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingMeta {
    /// The number of the version that it goes back to.
    #[serde(rename = "revert")]
    pub revert_to: u64,
    /// The id under which it outlives its session.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub persist: Option<String>,
}

/// Why a record can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordError {
    /// A [`Record::Base`] stands behind another record.
    BaseNotFirst,
    /// The protocol or the cause is not known.
    UnknownMeta,
    /// A commit's number does not follow the last one.
    OutOfOrder {
        /// The commit's number.
        number: u64,
        /// The last version's number.
        last: u64,
    },
    /// The version that a pending commit goes back to is not in the log.
    NoRevertVersion(u64),
    /// The JSON value is not a tree.
    NotATree,
    /// A value or path does not fit the model.
    Model(Fault),
    /// The changes do not fit the tree before them.
    Changes(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecordError::BaseNotFirst => f.write_str("a whole version stands only at the beginning"),
            RecordError::UnknownMeta => f.write_str("its author or cause is not known"),
            RecordError::OutOfOrder { number, last } => write!(f, "version {number} follows {last}"),
            RecordError::NoRevertVersion(number) => {
                write!(f, "version {number}, to go back to, is not there")
            }
            RecordError::NotATree => f.write_str("is no tree"),
            RecordError::Model(fault) => write!(f, "{fault}"),
            RecordError::Changes(what) => f.write_str(what),
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

    /// The version with this tree; none if the protocol or the cause is not known.
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
    /// The record with which a log begins.
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

    /// The record of the startup datastore, or that there is none.
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
