//! How managers and the fleet of fronts reach the router: their messages join its one queue of events.

use super::shared::Shared;
use lemonusher_membership::DesiredState;
use lemonusher_routing::{
    ControlUpdate, EngineNotification, ManagementCall, RequestRouter, RouterEvent, ZoneObservation,
};
use lemonusher_zone_failover::FailoverConfig;
use std::sync::Arc;

/// How managers reach the front. On the platform there are none.
pub struct ManagementChannels {
    /// Calls of the managers' side; they join the router's one queue.
    pub calls: async_channel::Receiver<ManagementCall>,
    /// The desired state when this front last ran.
    pub desired_state: Arc<DesiredState>,
    /// Where changes of engines are notified.
    pub notifications: async_channel::Sender<EngineNotification>,
}

/// How the fleet of fronts reaches this one.
pub struct FleetChannels {
    /// Control updates; they join the router's one queue.
    pub control_updates: async_channel::Receiver<ControlUpdate>,
    /// Whether the fronts share quotas by leases: then this front has none before it holds one.
    pub shares_quota: bool,
    /// Zone failover, where it is configured.
    pub zone_failover: Option<ZoneFailover>,
    /// Whether engines are taken out of service for maintenance: then none is used before it is known which.
    pub maintenance: bool,
}

/// What the router needs for zone failover.
pub struct ZoneFailover {
    /// Its configuration.
    pub config: FailoverConfig,
    /// Where this front's observations go, one a report interval.
    pub observations: async_channel::Sender<ZoneObservation>,
}

impl ManagementChannels {
    /// Connects the router with managers.
    pub(super) fn attach(self, router: RequestRouter, shared: &Shared) -> RequestRouter {
        let router = router.with_desired_state(self.desired_state, self.notifications);
        shared.executor.spawn(forward(self.calls, shared.events.clone(), RouterEvent::Management)).detach();
        router
    }
}

impl FleetChannels {
    /// Connects the router with the fleet. What the fleet has not granted yet is withheld before any other event.
    pub(super) fn attach(self, mut router: RequestRouter, shared: &Shared) -> RequestRouter {
        if self.shares_quota {
            let _ = shared.events.try_send(RouterEvent::Control(ControlUpdate::Quota(0.0)));
        }
        if self.maintenance {
            let closed = Arc::default();
            let none_known = ControlUpdate::Maintenance { version: 0, complete: false, closed };
            let _ = shared.events.try_send(RouterEvent::Control(none_known));
        }
        if let Some(zones) = self.zone_failover {
            router = router.with_zone_monitor(zones.config, zones.observations);
        }
        let updates = forward(self.control_updates, shared.events.clone(), RouterEvent::Control);
        shared.executor.spawn(updates).detach();
        router
    }
}

/// Puts messages into the router's queue, in order.
async fn forward<T>(
    messages: async_channel::Receiver<T>,
    events: async_channel::Sender<RouterEvent>,
    to_event: impl Fn(T) -> RouterEvent,
) {
    while let Ok(message) = messages.recv().await {
        if events.send(to_event(message)).await.is_err() {
            return;
        }
    }
}
