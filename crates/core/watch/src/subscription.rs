//! What a subscriber asks for, and what it is sent.

use crate::{Leaves, Value};
use lemonusher_model::{Pattern, Place};
use std::time::Duration;

/// When a subscription sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubscriptionMode {
    /// Changes as they are seen.
    OnChange,
    /// The state at each interval.
    Sample {
        /// The time from one sample to the next.
        sample_interval: Duration,
        /// What has not changed since the last sample is left out.
        suppress_redundant: bool,
    },
}

/// One subscription.
#[derive(Debug, Clone)]
pub struct Subscription {
    /// What is subscribed to.
    pub patterns: Vec<Pattern>,
    /// When it is sent.
    pub mode: SubscriptionMode,
    /// Everything is sent again at this interval, changed or not.
    pub heartbeat_interval: Option<Duration>,
}

/// One leaf's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// Where the leaf stands.
    pub place: Place,
    /// Its value.
    pub value: Value,
}

/// What is to be sent together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Notification {
    /// Leaves that are set, with their values.
    pub updates: Vec<Update>,
    /// Leaves that are no longer set.
    pub deletes: Vec<Place>,
}

impl Notification {
    /// Whether nothing is to be sent.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.deletes.is_empty()
    }

    /// Updates and deletes together.
    pub fn len(&self) -> usize {
        self.updates.len() + self.deletes.len()
    }

    /// What leads from one state to another.
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
