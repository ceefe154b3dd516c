//! Recovery of a store from its log, and compaction of a store's log.
//!
//! Every record must be consistent with the records before it and valid against the model. If one is
//! not, the whole log is rejected. A confirmed commit that is still pending at the end of the log becomes orphaned,
//! even with a `persist` id and before its deadline; the store's first poll reverts it.

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

/// A store that was recovered from a log.
#[derive(Debug)]
pub struct Recovered {
    /// The store after the last record.
    pub store: Store,
    /// Length of the log in bytes up to the end of its last complete record. The caller has to truncate the
    /// rest.
    pub valid_length: usize,
    /// The number of records read.
    pub records: usize,
}

/// The reason for which a log was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryError {
    /// The log's bytes are corrupt.
    Log(LogCorruption),
    /// A record is inconsistent with the records before it, or is not valid against the model.
    Record {
        /// The record's position in the log, from 0.
        number: usize,
        /// The record's error.
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

/// Recovers a store from the bytes of its log. An empty log yields a new store.
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

    /// Drops the oldest versions beyond the limit, but never the one that the pending commit reverts to.
    fn trim(&mut self) {
        let oldest_needed = self.pending.as_ref().map_or(u64::MAX, |pending| pending.revert_to.number);
        while self.history.len() > self.bounds.history + 1 && self.history[0].number < oldest_needed {
            self.history.pop_front();
        }
    }
}

/// A compacted log, from which the same history, startup datastore and pending commit are recovered: the oldest
/// version with its complete tree, the commits after it, and the startup datastore.
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
