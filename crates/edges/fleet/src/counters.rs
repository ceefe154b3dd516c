//! Counters of datagrams, for the log and for management clients.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of datagrams since the process started.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Datagrams received and accepted.
    pub received: AtomicU64,
    /// Bytes of datagrams received and accepted.
    pub received_bytes: AtomicU64,
    /// Datagrams sent.
    pub sent: AtomicU64,
    /// Bytes of datagrams sent.
    pub sent_bytes: AtomicU64,
    /// Dropped: not sealed with this fleet's key.
    pub unauthenticated: AtomicU64,
    /// Dropped: sealed with this fleet's key, but can't be decoded.
    pub malformed: AtomicU64,
    /// Dropped: received before, older than the replay window, or superseded by a later one that arrived first.
    pub replayed: AtomicU64,
    /// Dropped: the sender's configuration fingerprint differs from this front's.
    pub other_config: AtomicU64,
    /// Dropped: over the limit of datagrams per second.
    pub rate_limited: AtomicU64,
}

pub(crate) fn increment(counter: &AtomicU64) {
    add(counter, 1);
}

pub(crate) fn add(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}
