//! Small facts that ride on the detector's messages: one a member, the latest.

use crate::MAX_MEMBERS;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Engines in doubt that a fact names at most.
pub const MAX_EJECTED_ENGINES: usize = 8;
const MAX_MESSAGE_BYTES: usize = 128;

/// What a front tells of itself, now and then.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRecord {
    /// Requests that it takes a second.
    pub requests_per_second: u32,
    /// Engines that it sends nothing to after faults, the lowest ids first.
    pub ejected_engines: Vec<u32>,
    /// Which version of the pools it follows.
    pub desired_state_version: u64,
}

#[derive(Serialize, Deserialize)]
struct EncodedRecord {
    incarnation: u64,
    sequence: u32,
    record: GossipRecord,
}

pub(crate) fn encode(incarnation: u64, sequence: u32, mut record: GossipRecord) -> Option<Vec<u8>> {
    record.ejected_engines.truncate(MAX_EJECTED_ENGINES);
    postcard::to_allocvec(&EncodedRecord { incarnation, sequence, record }).ok()
}

/// The facts of all, shared with the detector that hands them on.
#[derive(Clone, Default)]
pub(crate) struct GossipRecords(Arc<Mutex<BTreeMap<u64, (u32, GossipRecord)>>>);

impl GossipRecords {
    fn table(&self) -> MutexGuard<'_, BTreeMap<u64, (u32, GossipRecord)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn of(&self, incarnation: u64) -> Option<GossipRecord> {
        self.table().get(&incarnation).map(|(_, record)| record.clone())
    }

    pub(crate) fn forget(&self, incarnation: u64) {
        self.table().remove(&incarnation);
    }
}

/// Of which member, and which in order.
pub(crate) struct RecordKey(u64, u32);

impl Invalidates for RecordKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.0 == other.0 && self.1 >= other.1
    }
}

#[derive(Debug)]
pub(crate) struct UnreadableRecord;

impl fmt::Display for UnreadableRecord {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a fact can't be read")
    }
}

impl std::error::Error for UnreadableRecord {}

impl<T> BroadcastHandler<T> for GossipRecords {
    type Key = RecordKey;
    type Error = UnreadableRecord;

    /// Only what is newer than what is known is kept and handed on.
    fn receive_item(&mut self, data: &[u8], _: Option<&T>) -> Result<Option<RecordKey>, UnreadableRecord> {
        if data.len() > MAX_MESSAGE_BYTES {
            return Err(UnreadableRecord);
        }
        let EncodedRecord { incarnation, sequence, record } =
            postcard::from_bytes(data).map_err(|_| UnreadableRecord)?;
        let mut table = self.table();
        let known = table.get(&incarnation).map(|(known, _)| *known);
        let is_admissible = record.ejected_engines.len() <= MAX_EJECTED_ENGINES
            && (known.is_some() || table.len() < MAX_MEMBERS);
        if known >= Some(sequence) || !is_admissible {
            return Ok(None);
        }
        table.insert(incarnation, (sequence, record));
        Ok(Some(RecordKey(incarnation, sequence)))
    }
}
