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

    /// The deletes and the included updates that turn the state `old` into the state `new`.
    pub(crate) fn between(old: &Leaves, new: &Leaves, included: IncludedUpdates) -> Notification {
        let mut notification = Notification::default();
        let mut old = old.iter().peekable();
        for (place, value) in new {
            let mut is_changed = true;
            // Both states are in the order of their places, so one pass over both finds what differs.
            while let Some((old_place, old_value)) = old.next_if(|(old_place, _)| *old_place <= place) {
                if old_place == place {
                    is_changed = old_value != value;
                    break;
                }
                notification.deletes.push(old_place.clone());
            }
            if is_changed || included == IncludedUpdates::All {
                notification.updates.push(Update::of((place, value)));
            }
        }
        notification.deletes.extend(old.map(|(place, _)| place.clone()));
        notification
    }
}

/// Which leaves of a new state a notification updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IncludedUpdates {
    /// Those that differ from the old state.
    Changed,
    /// All of them.
    All,
}

impl Update {
    pub(crate) fn of((place, value): (&Place, &Value)) -> Update {
        Update { place: place.clone(), value: value.clone() }
    }
}
