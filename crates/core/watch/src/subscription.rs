//! Subscriptions, and the notifications sent for them.

use crate::{Leaves, Value};
use lemonusher_model::{Pattern, Place};
use std::time::Duration;

/// The condition under which a subscription sends its state or its changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubscriptionMode {
    /// Sends changes when they are seen, or later, once the subscriber has room for them.
    OnChange,
    /// Sends the state once per sample interval.
    Sample {
        /// Time from one sample to the next.
        sample_interval: Duration,
        /// Whether a sample leaves out values that have not changed since they were last sent.
        suppress_redundant: bool,
    },
}

/// One subscription.
#[derive(Debug, Clone)]
pub struct Subscription {
    /// Patterns that select the subscribed parts of the tree.
    pub patterns: Vec<Pattern>,
    /// The condition under which the subscription sends.
    pub mode: SubscriptionMode,
    /// Interval at which the whole state is sent again, changed or not; none for no heartbeat.
    pub heartbeat_interval: Option<Duration>,
}

/// The value of one leaf or leaf-list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The leaf's place in the tree.
    pub place: Place,
    /// The leaf's value.
    pub value: Value,
}

/// Updates and deletes that are sent together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Notification {
    /// Leaves that are set, with their new values.
    pub updates: Vec<Update>,
    /// Leaves that are no longer set.
    pub deletes: Vec<Place>,
}

impl Notification {
    /// Whether the notification has no updates and no deletes.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.deletes.is_empty()
    }

    /// Number of updates and deletes together.
    pub fn len(&self) -> usize {
        self.updates.len() + self.deletes.len()
    }

    /// The updates and deletes that turn the state `old` into the state `new`.
    pub(crate) fn between(old: &Leaves, new: &Leaves) -> Notification {
        let changed = new.iter().filter(|(place, value)| old.get(*place) != Some(value));
        let deleted = old.keys().filter(|place| !new.contains_key(*place));
        Notification { updates: changed.map(Update::of).collect(), deletes: deleted.cloned().collect() }
    }
}

impl Update {
    pub(crate) fn of((place, value): (&Place, &Value)) -> Update {
        Update { place: place.clone(), value: value.clone() }
    }
}
