//! From a log back to the store, and from a store to the shortest log that says the same.

use crate::log::{
    HEADER, LogCorruption, PendingMeta, Record, change_of, encode_record, read_log, tree_of_json,
};
use crate::{Bounds, PendingConfirmation, Store, Version};
use lemonusher_model::Schema;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A store as its log has it.
#[derive(Debug)]
pub struct Recovered {
    pub store: Store,
    /// The log is good up to here; the rest is to be cut off.
    pub valid_length: usize,
    /// Records read.
    pub records: usize,
}

/// Why a log can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryError {
    Log(LogCorruption),
    /// A record does not follow from those before it, or does not fit the model.
    Record {
        number: usize,
        what: String,
    },
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecoveryError::Log(corruption) => write!(f, "{corruption}"),
            RecoveryError::Record { number, what } => write!(f, "record {number}: {what}"),
        }
    }
}

/// Brings a store back. What waited to be confirmed is taken as lost: nobody may count on its session, and it
/// falls due at once, whether or not its time had run out.
pub fn recover(schema: Arc<Schema>, bounds: Bounds, bytes: &[u8]) -> Result<Recovered, RecoveryError> {
    let log = read_log(bytes).map_err(RecoveryError::Log)?;
    let empty = Store::new(schema.clone(), bounds);
    let mut history: VecDeque<Arc<Version>> = empty.history().cloned().collect();
    let (mut startup, mut pending) = (None, None);
    for (number, record) in log.records.iter().enumerate() {
        let unfit = |what: String| RecoveryError::Record { number, what };
        let last = history[history.len() - 1].clone();
        match record {
            Record::Base { meta, tree } => {
                if number > 0 {
                    return Err(unfit("a whole version stands only at the beginning".to_owned()));
                }
                let tree = tree_of_json(&schema, tree).map_err(unfit)?;
                let version = meta.version(tree, Vec::new());
                let version = version.ok_or_else(|| unfit("its author or cause is not known".to_owned()))?;
                history = VecDeque::from([Arc::new(version)]);
            }
            Record::Commit { meta, changes, pending: waits } => {
                if meta.number != last.number + 1 {
                    return Err(unfit(format!("version {} follows {}", meta.number, last.number)));
                }
                let changes: Result<Vec<_>, String> =
                    changes.iter().map(|changed| change_of(&schema, changed)).collect();
                let changes = changes.map_err(unfit)?;
                let mut tree = last.tree.clone();
                tree.follow(&schema, &changes).map_err(unfit)?;
                let version = meta.version(tree, changes);
                let version = version.ok_or_else(|| unfit("its author or cause is not known".to_owned()))?;
                history.push_back(Arc::new(version));
                pending = match waits {
                    None => None,
                    Some(waits) => {
                        let revert = history.iter().find(|version| version.number == waits.revert);
                        let revert = revert.ok_or_else(|| {
                            unfit(format!("version {}, to go back to, is not there", waits.revert))
                        })?;
                        Some(PendingConfirmation {
                            session: meta.session,
                            persist: waits.persist.clone(),
                            revert: revert.clone(),
                            deadline: Duration::ZERO,
                            orphaned: true,
                        })
                    }
                };
                let kept =
                    pending.as_ref().map_or(u64::MAX, |pending: &PendingConfirmation| pending.revert.number);
                while history.len() > bounds.history + 1 && history[0].number < kept {
                    history.pop_front();
                }
            }
            Record::Startup { tree } => {
                let tree = tree.as_ref().map(|tree| tree_of_json(&schema, tree)).transpose();
                startup = tree.map_err(unfit)?;
            }
        }
    }
    let store = Store::with(schema, bounds, history, startup, pending);
    Ok(Recovered { store, valid_length: log.valid_length, records: log.records.len() })
}

/// A log that brings the same store back: the oldest version whole, then what followed.
pub fn compact(store: &Store) -> Vec<u8> {
    let schema = store.schema();
    let mut bytes = HEADER.to_vec();
    let last = store.running().number;
    for (number, version) in store.history().enumerate() {
        let waits = store.pending().filter(|_| version.number == last);
        let waits =
            waits.map(|held| PendingMeta { revert: held.revert.number, persist: held.persist.clone() });
        bytes.extend(match number {
            0 => encode_record(&Record::base(schema, version)),
            _ => encode_record(&Record::of_version(schema, version, waits)),
        });
    }
    if let Some(startup) = store.startup() {
        bytes.extend(encode_record(&Record::startup(schema, Some(startup))));
    }
    bytes
}
