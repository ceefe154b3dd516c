//! Control updates that the router's queue had no room for. An update states how things are from then on, so a newer one
//! replaces an older one of its kind, and none of another kind: there are never more than there are kinds.

use async_channel::{Sender, TrySendError};
use lemonusher_routing::ControlUpdate;
use std::collections::VecDeque;
use std::mem::discriminant;

/// Control updates that wait for room in the router's queue, in order.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    updates: VecDeque<ControlUpdate>,
}

impl PendingUpdates {
    /// Adds an update, in place of a waiting one of the same kind.
    pub(crate) fn add(&mut self, update: ControlUpdate) {
        self.updates.retain(|waiting| discriminant(waiting) != discriminant(&update));
        self.updates.push_back(update);
    }

    /// Sends as many updates as the queue takes. The others wait for the next call.
    pub(crate) fn send(&mut self, queue: &Sender<ControlUpdate>) {
        while let Some(update) = self.updates.pop_front() {
            if let Err(TrySendError::Full(update)) = queue.try_send(update) {
                self.updates.push_front(update);
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/pending_updates.rs"]
mod tests;
