//! Gossip records: one small record per member, piggybacked on the detector's messages. The latest record
//! replaces the earlier ones.

use crate::MAX_MEMBERS;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of ejected engines in a record.
pub const MAX_EJECTED_ENGINES: usize = 8;
/// Maximum size of an encoded record, in bytes.
const MAX_RECORD_BYTES: usize = 128;

/// The state of a front that all other fronts receive. Encoded with postcard: the order of fields is part of the
/// protocol.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRecord {
    /// Requests per second that the front receives.
    pub requests_per_second: u32,
    /// Ids of the engines that the front has ejected after failures, lowest first.
    pub ejected_engines: Vec<u32>,
    /// The version of the desired state that the front follows.
    pub desired_state_version: u64,
}

/// A record on the wire, with the incarnation of its member and a sequence number that increases with each of that
/// member's records.
#[derive(Serialize, Deserialize)]
struct EncodedRecord {
    incarnation: u64,
    sequence: u32,
    record: GossipRecord,
}

/// Encodes a record, of which it keeps the first [`MAX_EJECTED_ENGINES`] ejected engines.
pub(crate) fn encode(incarnation: u64, sequence: u32, mut record: GossipRecord) -> Option<Vec<u8>> {
    record.ejected_engines.truncate(MAX_EJECTED_ENGINES);
    postcard::to_allocvec(&EncodedRecord { incarnation, sequence, record }).ok()
}

struct StoredRecord {
    sequence: u32,
    record: GossipRecord,
}

/// The latest record of each member, by its incarnation; shared with `foca`, which disseminates them.
#[derive(Clone, Default)]
pub(crate) struct GossipRecords(Arc<Mutex<BTreeMap<u64, StoredRecord>>>);

impl GossipRecords {
    fn records(&self) -> MutexGuard<'_, BTreeMap<u64, StoredRecord>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, incarnation: u64) -> Option<GossipRecord> {
        self.records().get(&incarnation).map(|stored| stored.record.clone())
    }

    pub(crate) fn forget(&self, incarnation: u64) {
        self.records().remove(&incarnation);
    }
}

/// Identifies a record for dissemination. A record invalidates an earlier one of the same member that `foca`
/// would still forward.
pub(crate) struct RecordKey {
    incarnation: u64,
    sequence: u32,
}

impl Invalidates for RecordKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.sequence >= other.sequence
    }
}

#[derive(Debug)]
pub(crate) struct MalformedRecord;

impl fmt::Display for MalformedRecord {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("gossip record is malformed")
    }
}

impl std::error::Error for MalformedRecord {}

impl<T> BroadcastHandler<T> for GossipRecords {
    type Key = RecordKey;
    type Error = MalformedRecord;

    /// Stores a record, and returns its key so that `foca` forwards it, if it is newer than the known record of
    /// its member. A record that is too long or malformed is an error. A record with too many engines, or of a
    /// member beyond [`MAX_MEMBERS`], is ignored.
    fn receive_item(&mut self, data: &[u8], _: Option<&T>) -> Result<Option<RecordKey>, MalformedRecord> {
        if data.len() > MAX_RECORD_BYTES {
            return Err(MalformedRecord);
        }
        let EncodedRecord { incarnation, sequence, record } =
            postcard::from_bytes(data).map_err(|_| MalformedRecord)?;
        let mut records = self.records();
        let known = records.get(&incarnation).map(|stored| stored.sequence);
        let is_admissible = record.ejected_engines.len() <= MAX_EJECTED_ENGINES
            && (known.is_some() || records.len() < MAX_MEMBERS);
        if known >= Some(sequence) || !is_admissible {
            return Ok(None);
        }
        records.insert(incarnation, StoredRecord { sequence, record });
        Ok(Some(RecordKey { incarnation, sequence }))
    }
}
