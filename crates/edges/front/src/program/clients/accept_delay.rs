//! Estimates how long a connection may have waited in the kernel's accept queue.
//!
//! The kernel does not report this time. While no descriptor is free, nothing is accepted, so a connection
//! accepted afterwards may have waited for all that time, and so may the requests that its client has sent on it.
//! It matters because client timeouts count from when the client sent the request. The accept queue is first in,
//! first out: the estimate holds until the queue has been seen empty, or until as many connections as it can hold
//! have been accepted.

use std::cell::Cell;
use std::time::Duration;

/// The longest time that the connections accepted now may have waited in the accept queue.
pub(super) struct AcceptDelay {
    queue_length: usize,
    blocked_for: Cell<Duration>,
    accepted: Cell<usize>,
}

impl AcceptDelay {
    /// Starts without a delay. `queue_length` is the length of the kernel's accept queue.
    pub(super) fn new(queue_length: usize) -> Self {
        AcceptDelay { queue_length, blocked_for: Cell::default(), accepted: Cell::default() }
    }

    /// Records that nothing was accepted for this long.
    pub(super) fn handle_blocked(&self, duration: Duration) {
        self.blocked_for.set(self.blocked_for.get() + duration);
        self.accepted.set(0);
    }

    /// Records that the accept queue is empty.
    pub(super) fn handle_empty_queue(&self) {
        self.blocked_for.set(Duration::ZERO);
    }

    /// Records an accepted connection, and returns how long it may have waited.
    pub(super) fn handle_accepted(&self) -> Duration {
        if self.accepted.replace(self.accepted.get() + 1) >= self.queue_length {
            self.handle_empty_queue();
        }
        self.blocked_for.get()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/accept_delay.rs"]
mod tests;
