//! Endpoint updates from three sources: the endpoint list of the discovery channel, the zone failover plan,
//! and maintenance. The endpoint table merges them, and the gateway receives the resulting changes.

use super::{InFlightAttempt, RequestRouter};
use crate::counters::Counter;
use crate::log_text::LoggedRestrictions;
use crate::management::EngineNotification;
use crate::messages::{Endpoint, EngineCommand, Token};
use lemonusher::{EndpointUpdateKind, EngineEntry, EngineId, EngineState, Event};
use lemonusher_membership::{EndpointChange, ZoneRestriction};
use lemonusher_zone_failover::PlanEffect;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

impl RequestRouter {
    /// Handles a full endpoint list, or a change to it, from the discovery channel.
    pub(super) fn handle_endpoints(
        &mut self,
        now: Duration,
        kind: EndpointUpdateKind,
        listed: Vec<Endpoint>,
    ) {
        self.counters.add(Counter::EndpointUpdates, None);
        if kind != EndpointUpdateKind::Delta {
            self.addresses.clear();
        }
        let entries: Vec<EngineEntry> =
            listed.iter().map(|endpoint| self.engine_entry(now, endpoint)).collect();
        for (entry, endpoint) in entries.iter().zip(&listed) {
            log::info!(
                engine = entry.engine;
                "engine {:08x} is {} in zone {}, uptime {:?}",
                entry.engine,
                state_label(entry.state),
                entry.zone,
                (!entry.started_at.is_zero()).then(|| now.saturating_sub(entry.started_at))
            );
            match entry.state {
                EngineState::Removed => self.addresses.remove(&entry.engine),
                _ => self.addresses.insert(entry.engine, endpoint.address),
            };
        }
        if let Some(zone_monitor) = &mut self.zone_monitor {
            zone_monitor.handle_endpoints(&self.deployment, kind, &entries);
        }
        self.queue_command(EngineCommand::Endpoints(kind, listed));
        let change = self.endpoints.apply_list(kind, entries);
        self.apply_endpoint_change(now, kind, change);
    }

    fn engine_entry(&self, now: Duration, endpoint: &Endpoint) -> EngineEntry {
        let slow_start_window = self.deployment.safety_rules.slow_start_window;
        let started_at = endpoint
            .started_at
            .map_or(Duration::ZERO, |unix| self.clock.engine_start(unix, now, slow_start_window));
        EngineEntry {
            engine: endpoint.engine,
            zone: endpoint.zone,
            cell: endpoint.cell,
            machine_kind: endpoint.machine_kind,
            state: endpoint.state,
            started_at,
            blocked_classes: 0,
        }
    }

    /// Applies the part of the zone failover plan that concerns this front.
    pub(super) fn handle_zone_plan(&mut self, now: Duration, effect: &PlanEffect) {
        let Some(zone_monitor) = &mut self.zone_monitor else { return };
        zone_monitor.handle_plan(effect);
        log::info!(
            "sites: epoch {:?}{}, closed in part: {:?}, let in: {:?}",
            effect.version.map(|version| (version.epoch, version.counter)),
            if effect.isolated { ", goes by itself" } else { "" },
            LoggedRestrictions(&effect.restrictions),
            effect.admitted_shares
        );
        let restrictions = effect.restrictions.iter().map(|restriction| ZoneRestriction {
            zone: restriction.zone,
            open_permille: restriction.open_permille,
            blocked_classes: restriction.blocked_classes,
        });
        let change = self.endpoints.apply_restrictions(restrictions.collect());
        self.apply_endpoint_change(now, EndpointUpdateKind::Delta, change);
    }

    /// Sets the engines that are out of service for maintenance. If `complete` is false, every engine is
    /// treated as out of service.
    pub(super) fn handle_maintenance(
        &mut self,
        now: Duration,
        version: u64,
        complete: bool,
        closed: Arc<BTreeSet<EngineId>>,
    ) {
        let Some(zone_monitor) = &mut self.zone_monitor else { return };
        log::info!(
            "maintenance: version {version}, {}engines out of service: {closed:x?}",
            if complete { "" } else { "incomplete, " }
        );
        zone_monitor.set_out_of_service(version, closed.clone());
        let change = self.endpoints.set_out_of_service(closed, !complete);
        self.apply_endpoint_change(now, EndpointUpdateKind::Delta, change);
    }

    /// Notifies management clients and the gateway of a change, cancels the attempts that the change recalls, and
    /// withdraws those on engines that may get no more.
    pub(super) fn apply_endpoint_change(
        &mut self,
        now: Duration,
        kind: EndpointUpdateKind,
        change: EndpointChange,
    ) {
        if self.notifications.is_some() {
            change.entries.iter().for_each(|entry| self.notify(entry));
        }
        for engine in &change.recalled {
            self.recall_attempts(*engine);
        }
        self.withdraw_attempts(&change.entries);
        if kind != EndpointUpdateKind::Delta || !change.entries.is_empty() {
            self.gateway.handle_event(now, Event::Endpoints(kind, change.entries));
        }
    }

    /// Withdraws the attempts on engines that, by these entries, may no longer get them. Those that have been written, or
    /// that a proxy has been told to send, go on.
    fn withdraw_attempts(&mut self, entries: &[EngineEntry]) {
        let closed: BTreeMap<EngineId, &EngineEntry> = (entries.iter())
            .filter(|entry| entry.state != EngineState::Active || entry.blocked_classes != 0)
            .map(|entry| (entry.engine, entry))
            .collect();
        let is_withdrawn = |attempt: &InFlightAttempt| {
            let entry = closed.get(&attempt.engine);
            entry.is_some_and(|entry| {
                entry.state != EngineState::Active || entry.blocks(attempt.request_class)
            })
        };
        let withdrawn = self.attempts.iter().filter(|(_, attempt)| is_withdrawn(attempt));
        let tokens: Vec<Token> = withdrawn.map(|(token, _)| *token).collect();
        for token in tokens {
            self.queue_command(EngineCommand::Withdraw(token));
        }
    }

    /// Cancels those attempts on an engine that its administrative state recalls.
    fn recall_attempts(&mut self, engine: EngineId) {
        let admin = self.endpoints.get(engine).map(|status| status.admin).unwrap_or_default();
        let recalled = |class: usize| {
            let config = self.deployment.request_classes.get(class);
            config.is_some_and(|config| admin.recalls(config.idempotency))
        };
        let tokens: Vec<Token> = (self.attempts.iter())
            .filter(|(_, attempt)| attempt.engine == engine && recalled(attempt.request_class))
            .map(|(token, _)| *token)
            .collect();
        for token in tokens {
            self.queue_command(EngineCommand::Cancel(token));
        }
    }

    fn notify(&mut self, entry: &EngineEntry) {
        let admin = self.endpoints.get(entry.engine).map(|status| status.admin).unwrap_or_default();
        let notification = EngineNotification {
            engine: entry.engine,
            state: entry.state,
            admin,
            blocked_classes: entry.blocked_classes,
        };
        if let Some(notifications) = &self.notifications
            && notifications.try_send(notification).is_err()
        {
            self.dropped_notifications += 1;
        }
    }
}

/// Label of an engine's state in log lines.
fn state_label(state: EngineState) -> &'static str {
    match state {
        EngineState::Active => "Active",
        EngineState::Draining => "Leaving",
        EngineState::Removed => "Left",
    }
}
