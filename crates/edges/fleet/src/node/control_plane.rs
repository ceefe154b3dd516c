//! Zone failover and maintenance at a front: sends the front's observations to the voters, proposes the
//! operations of its coordinators, and updates its router.

use super::Node;
use crate::body::Body;
use crate::maintenance::{self, Maintenance, Proposal};
use crate::zone_failover::{self, ZoneFailover};
use lemonusher_maintenance::{FleetCapacity, MAX_REQUESTS, MachineCapacity};
use lemonusher_registers::Operation;
use lemonusher_routing::ZoneObservation;
use std::time::Duration;

impl Node {
    pub(super) fn poll_zone_failover(&mut self, now: Duration) {
        let Some(mut zone_failover) = self.zone_failover.take() else { return };
        if let Some(observation) = zone_failover.take_observation() {
            self.send_to_voters(&Body::FrontReport(observation.report.clone()));
            if let Some(maintenance) = &mut self.maintenance {
                observe_machines(&zone_failover, maintenance, observation);
            }
        }
        let fencing_token = self.fencing_token(now, zone_failover::NAME);
        if !self.proposer.is_busy(zone_failover::NAME)
            && let Some(operation) = zone_failover.poll(now, fencing_token)
        {
            self.propose(now, zone_failover::NAME, operation);
        }
        if let Some(update) = zone_failover.poll_effect(now, &self.learner) {
            self.update_router(update);
        }
        self.zone_failover = Some(zone_failover);
    }

    pub(super) fn poll_maintenance(&mut self, now: Duration) {
        let Some(mut maintenance) = self.maintenance.take() else { return };
        if let Some(update) = maintenance.poll_update(now, &self.learner) {
            self.update_router(update);
        }
        // One token for the whole poll: what follows is done under the lease that this front holds now.
        let fencing_token = self.fencing_token(now, maintenance::LEASE);
        if let Some(report) = maintenance.poll_report(now, fencing_token) {
            self.outgoing_actions.extend(report.released);
            if !report.confirmations.is_empty() {
                self.send_to_voters(&Body::DrainConfirmations(report.confirmations));
            }
        }
        // Waits until no proposal on a maintenance register is running. A new proposal on the same register would end
        // a running one with an unknown outcome, and that outcome would be taken for the new proposal's: a coordinator
        // that lost its lease and reacquired it would restart again and again.
        let is_busy = (0..MAX_REQUESTS as u8)
            .any(|request| self.proposer.is_busy(&maintenance::register_name(request)));
        if !is_busy && let Some(Proposal { register, operation }) = maintenance.poll(now, fencing_token) {
            self.propose(now, &register, operation);
        }
        self.maintenance = Some(maintenance);
    }

    fn propose(&mut self, now: Duration, register: &str, operation: Operation) {
        let messages = self.proposer.propose(now, register, operation);
        self.send_register_requests(messages);
    }
}

/// Passes the router's observation of machines to maintenance. An engine to which nothing was sent lately counts as
/// replying: only an engine that was observed to fail counts as lost capacity.
fn observe_machines(
    zone_failover: &ZoneFailover,
    maintenance: &mut Maintenance,
    observation: ZoneObservation,
) {
    let max_utilization = zone_failover.max_utilization();
    let machines = observation.engines.iter().map(|engine| {
        let capacity = MachineCapacity {
            zone: engine.zone,
            work: f64::from(engine.cores) * max_utilization,
            answers: engine.answers.unwrap_or(true),
        };
        (engine.engine, capacity)
    });
    let capacity = FleetCapacity { machines: machines.collect(), classes: Vec::new() };
    let ZoneObservation { maintenance_version, in_flight, local, .. } = observation;
    maintenance.observe_machines(maintenance_version, in_flight, capacity, &local);
    if let Some(load) = zone_failover.fleet_load() {
        maintenance.observe_load(load);
    }
}
