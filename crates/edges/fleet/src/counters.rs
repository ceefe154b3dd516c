//! Counters of datagrams, for the log and for managers.

use std::sync::atomic::{AtomicU64, Ordering};

/// Datagrams since the start.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Received and passed on.
    pub received: AtomicU64,
    /// Bytes of these.
    pub received_bytes: AtomicU64,
    /// Sent.
    pub sent: AtomicU64,
    /// Bytes of these.
    pub sent_bytes: AtomicU64,
    /// Dropped: not sealed with this fleet's key.
    pub unauthenticated: AtomicU64,
    /// Dropped: can't be decoded.
    pub malformed: AtomicU64,
    /// Dropped: received before, too old to tell, or made void by a later one that arrived first.
    pub replayed: AtomicU64,
    /// Dropped: the sender's configuration is another.
    pub other_config: AtomicU64,
    /// Dropped: too many in one second.
    pub rate_limited: AtomicU64,
}

pub(crate) fn increment(counter: &AtomicU64) {
    add(counter, 1);
}

pub(crate) fn add(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}
