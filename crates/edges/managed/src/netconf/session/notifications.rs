//! Notifications of a NETCONF session (RFC 5277), filtered by the subscription's filter.

use super::Session;
use crate::hub::{Hub, ManagementEvent};
use crate::state::{admin_state_name, list_state_name};
use lemonusher_netconf::{Element, NotificationContent, notification};
use lemonusher_routing::EngineNotification;
use lemonusher_store::Version;
use std::time::SystemTime;

impl Session {
    /// The notification message for an event; None if the filter rejects it.
    pub(super) fn notify(&self, event: &ManagementEvent) -> Option<String> {
        let content = match event {
            ManagementEvent::Committed(version) => commit_content(version),
            ManagementEvent::Engine(engine) => engine_content(engine),
        };
        let filter = self.subscription.as_ref().and_then(|subscription| subscription.filter.as_ref());
        let passes = filter.is_none_or(|filter| passes(filter, &content));
        passes.then(|| self.notification(&content))
    }

    /// The notification message with the total number of events that the session has lost.
    pub(super) fn lost_notification(&self) -> String {
        let leaves = vec![("count", self.lost_events.to_string())];
        self.notification(&NotificationContent { name: "updates-lost", leaves })
    }

    fn notification(&self, content: &NotificationContent) -> String {
        let date = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
        notification(&self.schema.namespace, &date, content)
    }
}

fn commit_content(version: &Version) -> NotificationContent {
    match Hub::rollback_target(version) {
        Some(to) => NotificationContent {
            name: "rolled-back",
            leaves: vec![
                ("version", version.number.to_string()),
                ("to", to.to_string()),
                ("cause", version.cause.to_string()),
            ],
        },
        None => NotificationContent {
            name: "committed",
            leaves: vec![
                ("version", version.number.to_string()),
                ("user", version.author.user.clone()),
                ("cause", version.cause.to_string()),
                ("changes", version.changes.len().to_string()),
            ],
        },
    }
}

fn engine_content(engine: &EngineNotification) -> NotificationContent {
    let listed = list_state_name(engine.state);
    let used = engine.blocked_classes != u64::MAX && listed == "active";
    NotificationContent {
        name: "engine-changed",
        leaves: vec![
            ("engine", format!("{:08x}", engine.engine)),
            ("listed", listed.to_owned()),
            ("admin-state", admin_state_name(engine.admin).to_owned()),
            ("used", used.to_string()),
        ],
    }
}

/// Whether a filter selects a notification: one of its elements has the notification's name, and each child of that
/// element names a leaf, with the leaf's value or empty. An empty filter selects every notification.
fn passes(filter: &Element, content: &NotificationContent) -> bool {
    let leaf_matches = |leaf: &Element| {
        let value = content.leaves.iter().find(|(name, _)| *name == leaf.name);
        value.is_some_and(|(_, value)| leaf.value().is_empty() || leaf.value() == value)
    };
    let matches =
        |element: &Element| element.name == content.name && element.children.iter().all(leaf_matches);
    filter.children.is_empty() || filter.children.iter().any(matches)
}
