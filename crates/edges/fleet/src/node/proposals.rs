//! Registers at a front: polls the acceptor, the learner and the proposer, and passes outcomes to the
//! coordinators.

use super::Node;
use crate::zone_failover;
use lemonusher_registers::{Operation, ProposalOutcome};
use std::time::Duration;

impl Node {
    pub(super) fn poll_registers(&mut self, now: Duration) {
        self.poll_acceptor(now);
        let random = &mut self.rng;
        let proposals = self.proposer.poll(now, &self.config.leases, &mut || random.f64());
        let polls = self.learner.poll(now, &mut || random.f64());
        self.send_register_requests(proposals);
        self.send_register_requests(polls);
        for outcome in self.proposer.take_outcomes() {
            // No coordinator requested the proposal that commits a value again after a new epoch.
            if self.reproposed.take_if(|name| name == outcome.name()).is_none() {
                self.route_outcome(now, &outcome);
            }
            self.observe_outcome(now, outcome);
        }
        self.repropose(now);
    }

    fn poll_acceptor(&mut self, now: Duration) {
        let Some(acceptor) = &mut self.acceptor else { return };
        let messages = acceptor.poll(now, &self.config.leases);
        let state = acceptor.state(now);
        if self.acceptor_state.replace(state) != Some(state) {
            tracing::info!(era = acceptor.epoch(), "fleet: state of the register voter: {state}");
        }
        self.send_register_requests(messages);
    }

    /// Proposes again the values with which a new epoch began, one register after the other, so that learners
    /// see them as committed.
    fn repropose(&mut self, now: Duration) {
        let unproposed = self.acceptor.as_ref().and_then(|acceptor| acceptor.unproposed_register(now));
        let Some(name) = unproposed.filter(|name| self.reproposed.is_none() && !self.proposer.is_busy(name))
        else {
            return;
        };
        let name = name.clone();
        let messages = self.proposer.propose(now, &name, Operation::Read);
        self.reproposed = Some(name);
        self.send_register_requests(messages);
    }

    /// Logs an outcome, unless it is a read of an empty register. Passes its entry, if any, to the learner, which then
    /// knows the entry before the next poll.
    fn observe_outcome(&mut self, now: Duration, outcome: ProposalOutcome) {
        match outcome {
            ProposalOutcome::Committed { name, entry: Some(entry) } => {
                tracing::info!(name, version = entry.version.counter, "fleet: a register value is committed");
                self.learner.observe_committed(now, &name, &entry);
            }
            ProposalOutcome::Committed { .. } => {}
            ProposalOutcome::Conflict { name, entry } => {
                tracing::warn!(name, "fleet: a register proposal conflicts with an earlier change");
                if let Some(entry) = entry {
                    self.learner.observe_committed(now, &name, &entry);
                }
            }
            ProposalOutcome::Unknown { name } => {
                tracing::warn!(
                    name,
                    "fleet: the outcome of a register proposal is unknown: too few acceptances, or superseded"
                );
            }
        }
    }

    /// Passes an outcome to the coordinator that proposed the change.
    fn route_outcome(&mut self, now: Duration, outcome: &ProposalOutcome) {
        let name = outcome.name();
        if name == zone_failover::NAME
            && let Some(zone_failover) = &mut self.zone_failover
        {
            zone_failover.handle_outcome(now, outcome);
        }
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.handle_outcome(now, name, outcome);
        }
    }
}
