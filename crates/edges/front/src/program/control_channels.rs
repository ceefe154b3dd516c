//! Channels between the router and the management server, and between the router and the fleet of fronts. Messages
//! to the router join its one event queue; the router sends engine notifications and zone observations on channels
//! of their own.

use super::shared::Shared;
use lemonusher_membership::DesiredState;
use lemonusher_routing::{
    ControlUpdate, EngineNotification, ManagementCall, QuotaShare, RequestRouter, RouterEvent,
    ZoneObservation,
};
use lemonusher_zone_failover::FailoverConfig;
use std::sync::Arc;

/// Channels between the management server and the front. A front started by [`run`](crate::run) has none.
pub struct ManagementChannels {
    /// Calls of management clients.
    pub calls: async_channel::Receiver<ManagementCall>,
    /// The desired state at the end of this front's previous run.
    pub desired_state: Arc<DesiredState>,
    /// Receives notifications of engine changes.
    pub notifications: async_channel::Sender<EngineNotification>,
}

/// Channels between the fleet of fronts and this front.
pub struct FleetChannels {
    /// Control updates from the fleet.
    pub control_updates: async_channel::Receiver<ControlUpdate>,
    /// Whether the fronts share the quota of engines in slow start by leases. If so, the quota of this front is zero
    /// until it holds a lease.
    pub shares_quota: bool,
    /// Zone failover, if it is configured.
    pub zone_failover: Option<ZoneFailover>,
    /// Whether engines are taken out of service for maintenance. If so, no engine is used until the fleet has
    /// reported which ones are out of service.
    pub maintenance: bool,
}

/// Configuration and channel of zone failover.
pub struct ZoneFailover {
    /// Configuration of zone failover.
    pub config: FailoverConfig,
    /// Receives this front's observations, one each report interval.
    pub observations: async_channel::Sender<ZoneObservation>,
}

impl ManagementChannels {
    /// Connects the router with the management server.
    pub(super) fn attach(self, router: RequestRouter, shared: &Shared) -> RequestRouter {
        let router = router.with_desired_state(self.desired_state, self.notifications);
        shared.executor.spawn(forward(self.calls, shared.events.clone(), RouterEvent::Management)).detach();
        router
    }
}

impl FleetChannels {
    /// Connects the router with the fleet. The fleet has granted nothing yet. The router's first events therefore
    /// set the quota to zero if the fronts share it, and take every engine out of service if there is maintenance.
    pub(super) fn attach(self, mut router: RequestRouter, shared: &Shared) -> RequestRouter {
        if self.shares_quota {
            let _ =
                shared.events.try_send(RouterEvent::Control(ControlUpdate::SlowStartQuota(QuotaShare::NONE)));
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

/// Forwards messages to the router's event queue, in order, until either channel closes.
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
