//! Per-key queues: requests of one ordering key run one at a time, in the order of arrival (safety rule 5).
//!
//! Only the first request of a key's queue may be sent. After an attempt with an unknown outcome the key is
//! blocked for `SafetyRules::unknown_outcome_delay`, until that attempt can no longer be running. This
//! guards against two requests of a key running at once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The requests of one key.
#[derive(Default)]
struct KeyQueue {
    /// Sequence numbers in the order of arrival.
    sequences: VecDeque<u64>,
    /// Nothing of the key may be sent before this time.
    blocked_until: Duration,
}

/// The queues of all keys that have requests or are blocked.
#[derive(Default)]
pub(crate) struct KeyQueues(BTreeMap<u64, KeyQueue>);

impl KeyQueues {
    /// Adds a request at the end of its key's queue.
    pub(crate) fn push(&mut self, key: u64, sequence: u64) {
        self.0.entry(key).or_default().sequences.push_back(sequence);
    }

    pub(crate) fn remove(&mut self, key: u64, sequence: u64) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.sequences.retain(|other| *other != sequence);
        }
    }

    /// Whether a request of the key may be sent now.
    pub(crate) fn is_next(&self, now: Duration, key: u64, sequence: u64) -> bool {
        self.0
            .get(&key)
            .is_none_or(|queue| queue.sequences.front() == Some(&sequence) && queue.blocked_until <= now)
    }

    /// Blocks the key until a time, or longer if it is blocked longer already.
    pub(crate) fn block(&mut self, key: u64, until: Duration) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.blocked_until = queue.blocked_until.max(until);
        }
    }

    /// Removes queues that are empty and not blocked.
    pub(crate) fn drop_idle(&mut self, now: Duration) {
        self.0.retain(|_, queue| !queue.sequences.is_empty() || queue.blocked_until > now);
    }
}
