//! Notifications of a NETCONF session (RFC 5277): what has happened, if the manager's filter lets it through.

use super::Session;
use crate::hub::{Hub, ManagementEvent};
use crate::state::{admin_state_name, list_state_name};
use lemonusher_netconf::{Element, NotificationContent, notification};
use lemonusher_routing::EngineNotification;
use lemonusher_store::Version;
use std::time::SystemTime;

impl Session {
    /// The message for an event; none if the filter holds it back.
    pub(super) fn notify(&self, event: &ManagementEvent) -> Option<String> {
        let content = match event {
            ManagementEvent::Committed(version) => commit_content(version),
            ManagementEvent::Engine(engine) => engine_content(engine),
        };
        let filter = self.subscription.as_ref().and_then(|subscription| subscription.filter.as_ref());
        let passes = filter.is_none_or(|filter| passes(filter, &content));
        passes.then(|| self.notification(&content))
    }

    /// The message for events that the session has lost, in all.
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
    match Hub::is_rollback(version) {
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

/// Whether a filter names the notification, with the values of all leaves that it names. An empty filter lets everything
/// through.
fn passes(filter: &Element, content: &NotificationContent) -> bool {
    let leaf_matches = |leaf: &Element| {
        let value = content.leaves.iter().find(|(name, _)| *name == leaf.name);
        value.is_some_and(|(_, value)| leaf.value().is_empty() || leaf.value() == value)
    };
    let matches =
        |element: &Element| element.name == content.name && element.children.iter().all(leaf_matches);
    filter.children.is_empty() || filter.children.iter().any(matches)
}
