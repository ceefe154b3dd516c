//! All subscriptions of one subscriber, by the rules in the documentation of this package.

use crate::subscription::IncludedUpdates;
use crate::{Leaves, Notification, Subscription, SubscriptionMode, Update, leaves};
use lemonusher_model::Tree;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum interval between two due times; guards against an interval of zero.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// All subscriptions of one subscriber.
#[derive(Debug)]
pub struct Watch {
    subscriptions: Vec<SubscriptionState>,
    /// Number of updates and deletes lost so far, over all subscriptions.
    lost_updates: u64,
}

#[derive(Debug)]
struct SubscriptionState {
    subscription: Subscription,
    /// The state as it was last sent to the subscriber.
    sent: Leaves,
    /// For an on-change subscription, the state when a notification last did not fit the room; none if all changes
    /// have been sent. The changes from `sent` to this state have been counted as lost. Always none for a sample
    /// subscription.
    missed: Option<Leaves>,
    next_sample: Duration,
    next_heartbeat: Duration,
}

impl Watch {
    /// Creates a watch that has sent nothing yet. The first intervals start at `now`.
    pub fn new(subscriptions: Vec<Subscription>, now: Duration) -> Watch {
        let states = subscriptions.into_iter().map(|subscription| SubscriptionState::new(subscription, now));
        Watch { subscriptions: states.collect(), lost_updates: 0 }
    }

    /// The notification with the whole initial state. With `updates_only` it is empty, and the subscriber is
    /// assumed to know the state.
    pub fn initial(&mut self, tree: &Tree, updates_only: bool) -> Notification {
        let mut notification = Notification::default();
        let mut included = BTreeSet::new();
        for state in &mut self.subscriptions {
            state.sent = leaves(tree, &state.subscription.patterns);
            for (place, value) in &state.sent {
                // Sends a leaf once if several subscriptions select it.
                if !updates_only && included.insert(place.clone()) {
                    notification.updates.push(Update::of((place, value)));
                }
            }
        }
        notification
    }

    /// The next time at which a sample or heartbeat is due; none if there is neither.
    pub fn next_timeout(&self) -> Option<Duration> {
        let earliest = self.subscriptions.iter().map(SubscriptionState::next_timeout).min();
        earliest.filter(|due| *due < Duration::MAX)
    }

    /// Whether any subscription sends changes as soon as they are seen.
    pub fn has_on_change(&self) -> bool {
        self.subscriptions.iter().any(|state| state.subscription.mode == SubscriptionMode::OnChange)
    }

    /// Whether any change waits for room at the subscriber.
    pub fn has_backlog(&self) -> bool {
        self.subscriptions.iter().any(|state| state.missed.is_some())
    }

    /// Number of updates and deletes lost so far because the subscriber had no room.
    pub fn lost_updates(&self) -> u64 {
        self.lost_updates
    }

    /// Returns the notifications that are due now for the current tree. `room` is the number of updates and
    /// deletes that the subscriber can take.
    pub fn poll(&mut self, now: Duration, tree: &Tree, mut room: usize) -> Vec<Notification> {
        let mut notifications = Vec::new();
        for state in &mut self.subscriptions {
            let Some((current, notification)) = state.poll(now, tree) else { continue };
            if room == 0 || notification.len() > room {
                self.lost_updates += state.record_missed(current, &notification);
                continue;
            }
            room -= notification.len();
            state.missed = None;
            state.sent = current;
            if !notification.is_empty() {
                notifications.push(notification);
            }
        }
        notifications
    }
}

impl SubscriptionState {
    fn new(subscription: Subscription, now: Duration) -> SubscriptionState {
        let sample_interval = match subscription.mode {
            SubscriptionMode::Sample { sample_interval, .. } => sample_interval,
            SubscriptionMode::OnChange => Duration::ZERO,
        };
        let next_heartbeat = subscription.heartbeat_interval.map_or(Duration::MAX, |interval| now + interval);
        let next_sample = now + sample_interval;
        SubscriptionState { sent: Leaves::new(), missed: None, next_sample, next_heartbeat, subscription }
    }

    fn next_timeout(&self) -> Duration {
        match self.subscription.mode {
            SubscriptionMode::Sample { .. } => self.next_sample.min(self.next_heartbeat),
            SubscriptionMode::OnChange => self.next_heartbeat,
        }
    }

    /// The current state and the notification that is due; none if nothing is due. Sets the next due times.
    fn poll(&mut self, now: Duration, tree: &Tree) -> Option<(Leaves, Notification)> {
        let heartbeat_due = self.next_heartbeat <= now;
        let due = match self.subscription.mode {
            SubscriptionMode::OnChange => true,
            SubscriptionMode::Sample { .. } => self.next_sample <= now,
        };
        if !due && !heartbeat_due {
            return None;
        }
        self.set_next_due_times(now);
        let current = leaves(tree, &self.subscription.patterns);
        let send_all = match self.subscription.mode {
            SubscriptionMode::Sample { suppress_redundant, .. } => heartbeat_due || !suppress_redundant,
            SubscriptionMode::OnChange => heartbeat_due,
        };
        let included = if send_all { IncludedUpdates::All } else { IncludedUpdates::Changed };
        let notification = Notification::between(&self.sent, &current, included);
        Some((current, notification))
    }

    /// Moves on what is due, the sample or the heartbeat, and leaves the other as it is.
    fn set_next_due_times(&mut self, now: Duration) {
        if let SubscriptionMode::Sample { sample_interval, .. } = self.subscription.mode
            && self.next_sample <= now
        {
            self.next_sample = next_due_time(self.next_sample, sample_interval, now);
        }
        if let Some(interval) = self.subscription.heartbeat_interval
            && self.next_heartbeat <= now
        {
            self.next_heartbeat = next_due_time(self.next_heartbeat, interval, now);
        }
    }

    /// Records that a notification did not fit the room. Returns the number of updates and deletes that are
    /// newly lost.
    fn record_missed(&mut self, current: Leaves, notification: &Notification) -> u64 {
        if let SubscriptionMode::Sample { .. } = self.subscription.mode {
            return notification.len() as u64;
        }
        let counted = self.missed.as_ref().unwrap_or(&self.sent);
        let lost = Notification::between(counted, &current, IncludedUpdates::Changed).len() as u64;
        self.missed = Some(current).filter(|current| *current != self.sent);
        lost
    }
}

/// The due time after `due`. If it has passed as well, the next interval starts at `now`.
fn next_due_time(due: Duration, interval: Duration, now: Duration) -> Duration {
    let interval = interval.max(MIN_INTERVAL);
    let next = due + interval;
    if next > now { next } else { now + interval }
}
