//! The log's form: a header line, then frames of length, checksum and one record as JSON.

use crate::{Author, Cause, CommitPlan, Protocol, Version};
use lemonusher_model::{Change, Node, Schema, Tree, from_json, parse_path, to_json};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// The first line of every log.
pub const HEADER: &[u8] = b"lemonusher-state 1\n";
/// Length and checksum, four bytes each, the lowest first.
const PREFIX: usize = 8;
const LONGEST: usize = 256 * 1024 * 1024;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A whole version, with which a log begins.
    Base { meta: Meta, tree: Value },
    /// A commit, by what it changed.
    Commit { meta: Meta, changes: Vec<Changed>, pending: Option<PendingMeta> },
    /// The startup datastore, or that there is none.
    Startup { tree: Option<Value> },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Meta {
    pub number: u64,
    pub at: u64,
    pub user: String,
    pub protocol: String,
    pub session: u32,
    pub cause: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changed {
    pub path: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<String>,
}

/// A commit that waits to be confirmed: where it goes back to, and for what id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingMeta {
    pub revert: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub persist: Option<String>,
}

impl Meta {
    fn of(version: &Version) -> Meta {
        let (cause, to) = match version.cause {
            Cause::Start => ("start", None),
            Cause::Commit => ("commit", None),
            Cause::Confirmed => ("confirmed", None),
            Cause::RolledBack { to } => ("rolled-back", Some(to)),
            Cause::Expired { to } => ("expired", Some(to)),
            Cause::Cancelled { to } => ("cancelled", Some(to)),
        };
        Meta {
            number: version.number,
            at: version.committed_at_ms,
            user: version.author.user.clone(),
            protocol: version.author.protocol.name().to_owned(),
            session: version.author.session,
            cause: cause.to_owned(),
            to,
        }
    }

    /// The version without its tree.
    pub(crate) fn version(&self, tree: Tree, changes: Vec<Change>) -> Option<Version> {
        let protocol = [Protocol::Netconf, Protocol::Gnmi, Protocol::Local]
            .into_iter()
            .find(|protocol| protocol.name() == self.protocol)?;
        let cause = match (self.cause.as_str(), self.to) {
            ("start", None) => Cause::Start,
            ("commit", None) => Cause::Commit,
            ("confirmed", None) => Cause::Confirmed,
            ("rolled-back", Some(to)) => Cause::RolledBack { to },
            ("expired", Some(to)) => Cause::Expired { to },
            ("cancelled", Some(to)) => Cause::Cancelled { to },
            _ => return None,
        };
        let author = Author { user: self.user.clone(), protocol, session: self.session };
        Some(Version { number: self.number, committed_at_ms: self.at, author, cause, tree, changes })
    }
}

impl Record {
    pub fn base(schema: &Schema, version: &Version) -> Record {
        Record::Base { meta: Meta::of(version), tree: tree_to_json(schema, &version.tree) }
    }

    pub fn commit(schema: &Schema, plan: &CommitPlan) -> Record {
        let pending = plan.pending.as_ref();
        let waits =
            pending.map(|held| PendingMeta { revert: held.revert.number, persist: held.persist.clone() });
        Record::of_version(schema, &plan.version, waits)
    }

    pub(crate) fn of_version(schema: &Schema, version: &Version, pending: Option<PendingMeta>) -> Record {
        let changed = |change: &Change| Changed {
            path: schema.text(&change.place),
            old: change.old.as_deref().map(str::to_owned),
            new: change.new.as_deref().map(str::to_owned),
        };
        let changes = version.changes.iter().map(changed).collect();
        Record::Commit { meta: Meta::of(version), changes, pending }
    }

    pub fn startup(schema: &Schema, tree: Option<&Tree>) -> Record {
        Record::Startup { tree: tree.map(|tree| tree_to_json(schema, tree)) }
    }
}

fn tree_to_json(schema: &Schema, tree: &Tree) -> Value {
    to_json(schema, None, &Node::Container(tree.fields().clone()))
}

pub(crate) fn tree_of_json(schema: &Schema, value: &Value) -> Result<Tree, String> {
    match from_json(schema, None, false, value) {
        Ok(Node::Container(fields)) => Ok(Tree::of((*fields).clone())),
        Ok(_) => Err("is no tree".to_owned()),
        Err(fault) => Err(fault.to_string()),
    }
}

pub(crate) fn change_of(schema: &Schema, changed: &Changed) -> Result<Change, String> {
    let steps = parse_path(&changed.path).map_err(|fault| fault.to_string())?;
    let place = schema.place(&steps).map_err(|fault| fault.to_string())?;
    let text = |value: &Option<String>| value.as_deref().map(lemonusher_model::Text::from);
    Ok(Change { place, old: text(&changed.old), new: text(&changed.new) })
}

/// A record as it stands in the log.
pub fn encode_record(record: &Record) -> Vec<u8> {
    let payload = serde_json::to_vec(record).unwrap_or_default();
    let mut bytes = Vec::with_capacity(PREFIX + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// What a log holds.
#[derive(Debug, Clone, PartialEq)]
pub struct LogContents {
    pub records: Vec<Record>,
    /// Bytes up to the end of the last whole record; what follows was cut short by a crash.
    pub valid_length: usize,
}

/// A log that can't be trusted: something that was whole once is spoilt. It is not used, as what follows the
/// spoilt place may have been acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogCorruption {
    pub offset: usize,
    pub what: String,
}

impl fmt::Display for LogCorruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "spoilt at byte {}: {}", self.offset, self.what)
    }
}

/// Reads a log. A tail that was cut short is left out; spoilt bytes with whole records behind them are an error.
pub fn read_log(bytes: &[u8]) -> Result<LogContents, LogCorruption> {
    if bytes.len() < HEADER.len() {
        return match HEADER.starts_with(bytes) {
            true => Ok(LogContents { records: Vec::new(), valid_length: 0 }),
            false => Err(LogCorruption { offset: 0, what: "this is no log of the front's state".to_owned() }),
        };
    }
    if !bytes.starts_with(HEADER) {
        return Err(LogCorruption { offset: 0, what: "this is no log of the front's state".to_owned() });
    }
    let mut at = HEADER.len();
    let mut records = Vec::new();
    while at < bytes.len() {
        let Some(payload) = decode_frame(&bytes[at..]) else {
            // A crash cuts the end off. If a whole record stands behind, this is something else.
            let behind =
                (at + 1..bytes.len()).find(|next| decode_frame(&bytes[*next..]).is_some_and(is_record));
            return match behind {
                None => Ok(LogContents { records, valid_length: at }),
                Some(next) => Err(LogCorruption {
                    offset: at,
                    what: format!("a whole record stands behind, at byte {next}"),
                }),
            };
        };
        match serde_json::from_slice(payload) {
            Ok(record) => records.push(record),
            Err(error) => return Err(LogCorruption { offset: at, what: error.to_string() }),
        }
        at += PREFIX + payload.len();
    }
    Ok(LogContents { records, valid_length: at })
}

fn is_record(payload: &[u8]) -> bool {
    serde_json::from_slice::<Record>(payload).is_ok()
}

fn decode_frame(bytes: &[u8]) -> Option<&[u8]> {
    let number = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (length, sum) = (number(0)? as usize, number(4)?);
    let payload = bytes.get(PREFIX..PREFIX + length).filter(|_| length > 0 && length <= LONGEST)?;
    (crc32fast::hash(payload) == sum).then_some(payload)
}
