//! What a subscriber is to be sent, and when. A watch is shown trees and the time; it keeps what it has told and
//! yields what is due: samples at their period, changes as they come, heartbeats, and nothing that is redundant
//! where that was asked for. A subscriber with no room loses samples, which are counted; of changes it loses the
//! ones in between, and is told the last state once it has room. No input or output, no clock, no protocol.

use lemonusher_model::{Found, Node, NodeId, Pattern, Place, Seg, Text, Tree};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// A leaf's value, or all members of a leaf-list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    Leaf(Text),
    LeafList(Arc<BTreeSet<Text>>),
}

/// The leaves that a set of patterns means.
pub type Leaves = BTreeMap<Place, Value>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubscriptionMode {
    OnChange,
    Sample {
        sample_interval: Duration,
        /// What has not changed since the last sample is left out.
        suppress_redundant: bool,
    },
}

/// One subscription.
#[derive(Debug, Clone)]
pub struct Subscription {
    pub patterns: Vec<Pattern>,
    pub mode: SubscriptionMode,
    /// Everything is told again after this span, changed or not.
    pub heartbeat_interval: Option<Duration>,
}

/// What is to be told together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Notification {
    pub updates: Vec<(Place, Value)>,
    pub deletes: Vec<Place>,
}

impl Notification {
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty() && self.deletes.is_empty()
    }

    pub fn len(&self) -> usize {
        self.updates.len() + self.deletes.len()
    }
}

#[derive(Debug)]
struct SubscriptionState {
    subscription: Subscription,
    /// What the subscriber has been sent.
    sent: Leaves,
    /// What stood when it last had no room; changes from there are lost to it.
    missed: Option<Leaves>,
    next_sample: Duration,
    next_heartbeat: Duration,
}

/// All that one subscriber asked for.
#[derive(Debug)]
pub struct Watch {
    subscriptions: Vec<SubscriptionState>,
    lost: u64,
}

/// The leaves that the patterns mean.
pub fn leaves(tree: &Tree, patterns: &[Pattern]) -> Leaves {
    let mut found = Leaves::new();
    for pattern in patterns {
        tree.select(pattern, &mut |place, at| match at {
            Found::Leaf(value) => {
                found.insert(place.to_vec(), Value::Leaf(value.clone()));
            }
            Found::LeafList(values) => {
                found.insert(place.to_vec(), Value::LeafList(values.clone()));
            }
            Found::Fields(fields) => collect_fields(fields, &mut place.to_vec(), &mut found),
            Found::List(entries) => {
                let mut place = place.to_vec();
                entries.iter().for_each(|(keys, entry)| collect_entry(keys, entry, &mut place, &mut found));
            }
        });
    }
    found
}

fn collect_fields(fields: &BTreeMap<NodeId, Node>, place: &mut Place, found: &mut Leaves) {
    for (id, node) in fields {
        place.push(Seg { node: *id, keys: None });
        match node {
            Node::Leaf(value) => drop(found.insert(place.clone(), Value::Leaf(value.clone()))),
            Node::LeafList(values) => drop(found.insert(place.clone(), Value::LeafList(values.clone()))),
            Node::Container(inner) => collect_fields(inner, place, found),
            Node::List(entries) => {
                entries.iter().for_each(|(keys, entry)| collect_entry(keys, entry, place, found));
            }
        }
        place.pop();
    }
}

fn collect_entry(keys: &[Text], entry: &BTreeMap<NodeId, Node>, place: &mut Place, found: &mut Leaves) {
    let Some(last) = place.last_mut() else { return };
    last.keys = Some(keys.to_vec());
    collect_fields(entry, place, found);
    if let Some(last) = place.last_mut() {
        last.keys = None;
    }
}

/// What leads from the one to the other.
fn difference(old: &Leaves, new: &Leaves) -> Notification {
    let updates = new.iter().filter(|(place, value)| old.get(*place) != Some(value));
    let deletes = old.keys().filter(|place| !new.contains_key(*place));
    Notification {
        updates: updates.map(|(place, value)| (place.clone(), value.clone())).collect(),
        deletes: deletes.cloned().collect(),
    }
}

impl Watch {
    /// Nothing has been told yet.
    pub fn new(subscription: Vec<Subscription>, now: Duration) -> Watch {
        let state = |subscription: Subscription| {
            let sample_interval = match subscription.mode {
                SubscriptionMode::Sample { sample_interval, .. } => sample_interval,
                SubscriptionMode::OnChange => Duration::ZERO,
            };
            let next_heartbeat = subscription.heartbeat_interval.map_or(Duration::MAX, |span| now + span);
            SubscriptionState {
                sent: Leaves::new(),
                missed: None,
                next_sample: now + sample_interval,
                next_heartbeat,
                subscription,
            }
        };
        Watch { subscriptions: subscription.into_iter().map(state).collect(), lost: 0 }
    }

    /// Everything as it stands, told or, for who wants updates alone, taken as sent.
    pub fn initial(&mut self, tree: &Tree, updates_only: bool) -> Notification {
        let mut notification = Notification::default();
        let mut already = BTreeSet::new();
        for state in &mut self.subscriptions {
            state.sent = leaves(tree, &state.subscription.patterns);
            for (place, value) in &state.sent {
                // Where subscriptions overlap, the first state is told once.
                if !updates_only && already.insert(place.clone()) {
                    notification.updates.push((place.clone(), value.clone()));
                }
            }
        }
        notification
    }

    /// When something falls due by time alone.
    pub fn next_timeout(&self) -> Option<Duration> {
        let due = |state: &SubscriptionState| match state.subscription.mode {
            SubscriptionMode::Sample { .. } => state.next_sample.min(state.next_heartbeat),
            SubscriptionMode::OnChange => state.next_heartbeat,
        };
        self.subscriptions.iter().map(due).min().filter(|due| *due < Duration::MAX)
    }

    /// Whether changes are to be told as they come.
    pub fn has_on_change(&self) -> bool {
        self.subscriptions.iter().any(|state| state.subscription.mode == SubscriptionMode::OnChange)
    }

    /// Whether anything is waiting to be told to a subscriber that had no room.
    pub fn has_backlog(&self) -> bool {
        self.subscriptions.iter().any(|state| state.missed.is_some())
    }

    /// Updates that the subscriber has lost so far.
    pub fn lost_updates(&self) -> u64 {
        self.lost
    }

    /// What is due now, by the tree as it stands, for a subscriber that has room for so many updates. What finds
    /// no room is not sent, and counted.
    pub fn poll(&mut self, now: Duration, tree: &Tree, mut room: usize) -> Vec<Notification> {
        let mut notifications = Vec::new();
        for state in &mut self.subscriptions {
            let heartbeat_due = state.next_heartbeat <= now;
            let due = match state.subscription.mode {
                SubscriptionMode::OnChange => true,
                SubscriptionMode::Sample { .. } => state.next_sample <= now,
            };
            if !due && !heartbeat_due {
                continue;
            }
            let current = leaves(tree, &state.subscription.patterns);
            let changes = difference(&state.sent, &current);
            let complete = match state.subscription.mode {
                SubscriptionMode::Sample { suppress_redundant, .. } => heartbeat_due || !suppress_redundant,
                SubscriptionMode::OnChange => heartbeat_due,
            };
            if let SubscriptionMode::Sample { sample_interval, .. } = state.subscription.mode {
                state.next_sample = next_after(state.next_sample, sample_interval, now);
            }
            if let Some(span) = state.subscription.heartbeat_interval.filter(|_| heartbeat_due) {
                state.next_heartbeat = next_after(state.next_heartbeat, span, now);
            }
            let notification = Notification {
                updates: match complete {
                    true => current.iter().map(|(place, value)| (place.clone(), value.clone())).collect(),
                    false => changes.updates,
                },
                deletes: changes.deletes,
            };
            if room > 0 && notification.len() <= room {
                room -= notification.len();
                state.missed = None;
                state.sent = current;
                if !notification.is_empty() {
                    notifications.push(notification);
                }
                continue;
            }
            self.lost += match state.subscription.mode {
                SubscriptionMode::Sample { .. } => notification.len() as u64,
                // Only what has changed since it was last looked at.
                SubscriptionMode::OnChange => {
                    difference(state.missed.as_ref().unwrap_or(&state.sent), &current).len() as u64
                }
            };
            if state.subscription.mode == SubscriptionMode::OnChange {
                state.missed = Some(current).filter(|current| *current != state.sent);
            }
        }
        notifications
    }
}

/// The next date of a period that lies ahead: what was missed is not made up for.
fn next_after(date: Duration, period: Duration, now: Duration) -> Duration {
    let period = period.max(Duration::from_millis(1));
    let next = date + period;
    if next > now { next } else { now + period }
}
