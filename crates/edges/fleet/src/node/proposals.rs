//! Registers at a front: what is followed, what is proposed, and who is told of the outcome.

use super::Node;
use crate::frame::Body;
use crate::maintenance::{self, Maintenance};
use crate::zone_failover::{NAME as ZONE_PLAN_REGISTER, ZoneFailover};
use lemonusher_maintenance::{FleetCapacity, MAX_REQUESTS, MachineCapacity};
use lemonusher_registers::{self as registers, Operation, ProposalOutcome};
use lemonusher_routing::ZoneObservation;
use std::time::Duration;

impl Node {
    pub(super) fn poll_registers(&mut self, now: Duration) {
        let config = self.config.leases;
        if let Some(acceptor) = &mut self.acceptor {
            let messages = acceptor.poll(now, &config);
            let state = acceptor.state(now);
            if self.acceptor_state.replace(state) != Some(state) {
                tracing::info!(era = acceptor.epoch(), "fleet: as a voter on registers it is {state}");
            }
            self.send_register_requests(messages);
        }
        let random = &mut self.chance;
        let messages = self.proposer.poll(now, &config, &mut || random.f64());
        let asks = self.learner.poll(now, &mut || random.f64());
        self.send_register_requests(messages);
        self.send_register_requests(asks);
        for outcome in self.proposer.take_outcomes() {
            // Nobody here has asked for what is proposed anew.
            if self.reproposed.take_if(|name| name == outcome.name()).is_none() {
                self.route_outcome(now, &outcome);
            }
            self.observe_outcome(now, outcome);
        }
        self.repropose(now);
    }

    /// Proposes what a new epoch has begun with, one register after the other, so that those who follow it know it settled.
    fn repropose(&mut self, now: Duration) {
        let left_over = self.acceptor.as_ref().and_then(|acceptor| acceptor.unproposed_register(now));
        let Some(name) = left_over.filter(|name| self.reproposed.is_none() && !self.proposer.is_busy(name))
        else {
            return;
        };
        let name = name.clone();
        let messages = self.proposer.propose(now, &name, Operation::Read);
        self.reproposed = Some(name);
        self.send_register_requests(messages);
    }

    /// What a change has shown of a register need not be asked for.
    fn observe_outcome(&mut self, now: Duration, outcome: ProposalOutcome) {
        match outcome {
            ProposalOutcome::Committed { name, entry: Some(entry) } => {
                tracing::info!(name, version = entry.version.counter, "fleet: a register is settled");
                self.learner.observe_committed(now, &name, &entry);
            }
            ProposalOutcome::Committed { .. } => {}
            ProposalOutcome::Conflict { name, entry } => {
                tracing::warn!(name, "fleet: a register had been changed by another");
                if let Some(entry) = entry {
                    self.learner.observe_committed(now, &name, &entry);
                }
            }
            ProposalOutcome::Unknown { name } => {
                tracing::warn!(name, "fleet: too few voters answered on a register");
            }
        }
    }

    /// What came of a change goes to whoever wanted it.
    fn route_outcome(&mut self, now: Duration, outcome: &ProposalOutcome) {
        let name = outcome.name();
        if name == ZONE_PLAN_REGISTER
            && let Some(zone_failover) = &mut self.zone_failover
        {
            zone_failover.handle_outcome(now, outcome);
        }
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.handle_outcome(now, name, outcome);
        }
    }

    pub(super) fn poll_zone_failover(&mut self, now: Duration) {
        let Some(mut zone_failover) = self.zone_failover.take() else { return };
        if let Some((report, seen)) = zone_failover.take_report() {
            self.send_to_voters(&report);
            if let Some(maintenance) = &mut self.maintenance {
                observe_machines(&zone_failover, maintenance, seen);
            }
        }
        let number = self.fencing_token(now, ZONE_PLAN_REGISTER);
        if !self.proposer.is_busy(ZONE_PLAN_REGISTER)
            && let Some(change) = zone_failover.poll(now, number)
        {
            let messages = self.proposer.propose(now, ZONE_PLAN_REGISTER, change);
            self.send_register_requests(messages);
        }
        if let Some(update) = zone_failover.poll_effect(now, &self.learner) {
            self.update_front(update);
        }
        self.zone_failover = Some(zone_failover);
    }

    pub(super) fn poll_maintenance(&mut self, now: Duration) {
        let Some(mut maintenance) = self.maintenance.take() else { return };
        if let Some(update) = maintenance.poll_update(now, &self.learner) {
            self.update_front(update);
        }
        if let Some(report) = maintenance.poll_report(now) {
            self.outgoing_actions.extend(report.released);
            if !report.confirmations.is_empty() {
                self.send_to_voters(&Body::DrainConfirmations(report.confirmations));
            }
        }
        let number = self.fencing_token(now, maintenance::LEASE);
        // Guards against a round that takes the place of one under way, whose unknown end would be taken for its own: a
        // coordinator that lost its lease and got it back would begin over and over.
        let busy =
            (0..MAX_REQUESTS as u8).any(|work| self.proposer.is_busy(&maintenance::register_name(work)));
        if !busy && let Some((name, change)) = maintenance.poll(now, number) {
            let messages = self.proposer.propose(now, &name, change);
            self.send_register_requests(messages);
        }
        self.maintenance = Some(maintenance);
    }

    pub(super) fn send_register_requests(&mut self, messages: Vec<registers::OutboundMessage>) {
        for registers::OutboundMessage { voter, request } in messages {
            if let Some(address) = self.config.voters.get(voter).copied() {
                self.send(Body::RegisterRequest(request), address);
            }
        }
    }
}

/// Hands what the front sees of machines on to the works.
fn observe_machines(zone_failover: &ZoneFailover, maintenance: &mut Maintenance, seen: ZoneObservation) {
    // What is not tried counts as answering: only a machine that fails is out by itself.
    let capacity_of = |cores: u32| f64::from(cores) * zone_failover.max_utilization();
    let machines = seen.engines.iter().map(|seen| {
        (
            seen.engine,
            MachineCapacity {
                zone: seen.zone,
                work: capacity_of(seen.cores),
                answers: seen.answers.unwrap_or(true),
            },
        )
    });
    let fleet = FleetCapacity { machines: machines.collect(), classes: Vec::new() };
    maintenance.observe_machines(seen.maintenance_version, seen.in_flight, fleet, &seen.local);
    if let Some((classes, degraded_share, zones_down)) = zone_failover.fleet_load() {
        maintenance.observe_load(classes, degraded_share, zones_down);
    }
}
