//! From a log back to the store, and from a store to the shortest log with the same content.
//!
//! The rule: every record must follow from those before it and fit the model; else nothing of the log is used. A commit
//! that waits to be confirmed is marked orphaned, also one with a persist id, whether or not its time had run out; the store's
//! first poll reverts it.

use crate::log::{
    HEADER, LeafChange, LogCorruption, PendingMeta, Record, RecordError, VersionMeta, encode_record, read_log,
};
use crate::{Bounds, PendingConfirmation, Store, Version};
use lemonusher_model::{Schema, Tree};
use serde_json::Value;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A store as its log has it.
#[derive(Debug)]
pub struct Recovered {
    /// The store after the last record.
    pub store: Store,
    /// Bytes up to the end of the last complete record; the rest is to be truncated.
    pub valid_length: usize,
    /// Records read.
    pub records: usize,
}

/// Why a log can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryError {
    /// The log's bytes are corrupt.
    Log(LogCorruption),
    /// A record does not follow from those before it, or does not fit the model.
    Record {
        /// The record's position, from zero.
        number: usize,
        /// What is wrong with it.
        error: RecordError,
    },
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecoveryError::Log(corruption) => write!(f, "{corruption}"),
            RecoveryError::Record { number, error } => write!(f, "record {number}: {error}"),
        }
    }
}

/// Brings a store back from the bytes of its log. An empty log is a new store.
pub fn recover(schema: Arc<Schema>, bounds: Bounds, bytes: &[u8]) -> Result<Recovered, RecoveryError> {
    let log = read_log(bytes).map_err(RecoveryError::Log)?;
    let history = Store::new(schema.clone(), bounds).history().cloned().collect();
    let mut replay = Replay { schema: &schema, bounds, history, startup: None, pending: None };
    for (number, record) in log.records.iter().enumerate() {
        replay.apply(number, record).map_err(|error| RecoveryError::Record { number, error })?;
    }
    let Replay { history, startup, pending, .. } = replay;
    let store = Store::with(schema, bounds, history, startup, pending);
    Ok(Recovered { store, valid_length: log.valid_length, records: log.records.len() })
}

/// The state after the records applied so far.
struct Replay<'a> {
    schema: &'a Schema,
    bounds: Bounds,
    /// Never empty.
    history: VecDeque<Arc<Version>>,
    startup: Option<Tree>,
    pending: Option<PendingConfirmation>,
}

impl Replay<'_> {
    fn apply(&mut self, number: usize, record: &Record) -> Result<(), RecordError> {
        match record {
            Record::Base { meta, tree } if number == 0 => self.apply_base(meta, tree),
            Record::Base { .. } => Err(RecordError::BaseNotFirst),
            Record::Commit { meta, changes, pending } => {
                self.apply_commit(meta, changes)?;
                self.pending = pending.as_ref().map(|pending| self.pending_of(meta, pending)).transpose()?;
                self.trim();
                Ok(())
            }
            Record::Startup { tree } => {
                let tree = tree.as_ref().map(|tree| crate::log::tree_of_json(self.schema, tree));
                self.startup = tree.transpose()?;
                Ok(())
            }
        }
    }

    fn apply_base(&mut self, meta: &VersionMeta, tree: &Value) -> Result<(), RecordError> {
        let tree = crate::log::tree_of_json(self.schema, tree)?;
        let version = meta.version(tree, Vec::new()).ok_or(RecordError::UnknownMeta)?;
        self.history = VecDeque::from([Arc::new(version)]);
        Ok(())
    }

    fn apply_commit(&mut self, meta: &VersionMeta, changes: &[LeafChange]) -> Result<(), RecordError> {
        let last = &self.history[self.history.len() - 1];
        if meta.number != last.number + 1 {
            return Err(RecordError::OutOfOrder { number: meta.number, last: last.number });
        }
        let changes: Result<Vec<_>, RecordError> =
            changes.iter().map(|change| change.decode(self.schema)).collect();
        let changes = changes?;
        let mut tree = last.tree.clone();
        tree.apply_changes(self.schema, &changes).map_err(RecordError::Changes)?;
        let version = meta.version(tree, changes).ok_or(RecordError::UnknownMeta)?;
        self.history.push_back(Arc::new(version));
        Ok(())
    }

    fn pending_of(
        &self,
        meta: &VersionMeta,
        pending: &PendingMeta,
    ) -> Result<PendingConfirmation, RecordError> {
        let revert_to = self.history.iter().find(|version| version.number == pending.revert_to);
        Ok(PendingConfirmation {
            session: meta.session,
            persist: pending.persist.clone(),
            revert_to: revert_to.ok_or(RecordError::NoRevertVersion(pending.revert_to))?.clone(),
            deadline: Duration::ZERO,
            orphaned: true,
        })
    }

    /// Drops versions beyond the bound, but none that a pending commit may revert to.
    fn trim(&mut self) {
        let oldest_needed = self.pending.as_ref().map_or(u64::MAX, |pending| pending.revert_to.number);
        while self.history.len() > self.bounds.history + 1 && self.history[0].number < oldest_needed {
            self.history.pop_front();
        }
    }
}

/// A log that brings the same store back: the oldest version as a tree, then the commits that followed.
pub fn compact(store: &Store) -> Vec<u8> {
    let schema = store.schema();
    let mut bytes = HEADER.to_vec();
    let last = store.running().number;
    for (index, version) in store.history().enumerate() {
        let pending = store.pending().filter(|_| version.number == last).map(PendingMeta::of);
        bytes.extend(match index {
            0 => encode_record(&Record::base(schema, version)),
            _ => encode_record(&Record::of_version(schema, version, pending)),
        });
    }
    if let Some(startup) = store.startup() {
        bytes.extend(encode_record(&Record::startup(schema, Some(startup))));
    }
    bytes
}
