//! Registers at a front: what is followed, what is proposed, and who is told of the outcome.

use super::Node;
use crate::frame::Body;
use crate::sites::{NAME as SITES, Sites};
use crate::works::{self, Works};
use lemonusher_maintenance::{FleetCapacity, MAX_REQUESTS, MachineCapacity};
use lemonusher_registers::{self as registers, Operation, ProposalOutcome};
use lemonusher_routing::ZoneObservation;
use std::time::Duration;

impl Node {
    pub(super) fn turn_registers(&mut self, now: Duration) {
        let terms = self.terms.leases;
        if let Some(keeper) = &mut self.keeper {
            let posts = keeper.poll(now, &terms);
            let state = keeper.state(now);
            if self.stood.replace(state) != Some(state) {
                tracing::info!(era = keeper.epoch(), "fleet: as a voter on registers it is {state}");
            }
            self.post_registers(posts);
        }
        let rng = &mut self.chance;
        let posts = self.proposer.poll(now, &terms, &mut || rng.f64());
        let asks = self.follower.poll(now, &mut || rng.f64());
        self.post_registers(posts);
        self.post_registers(asks);
        for outcome in self.proposer.take_outcomes() {
            // Nobody here has asked for what is proposed anew.
            if self.reproposed.take_if(|name| name == outcome.name()).is_none() {
                self.heed(now, &outcome);
            }
            self.learn(now, outcome);
        }
        self.repropose(now);
    }

    /// Proposes what a new epoch has begun with, one register after the other, so that those who follow it know it settled.
    fn repropose(&mut self, now: Duration) {
        let left_over = self.keeper.as_ref().and_then(|keeper| keeper.unproposed_register(now));
        let Some(name) = left_over.filter(|name| self.reproposed.is_none() && !self.proposer.is_busy(name))
        else {
            return;
        };
        let name = name.clone();
        let posts = self.proposer.propose(now, &name, Operation::Read);
        self.reproposed = Some(name);
        self.post_registers(posts);
    }

    /// What a change has shown of a register need not be asked for.
    fn learn(&mut self, now: Duration, outcome: ProposalOutcome) {
        match outcome {
            ProposalOutcome::Committed { name, entry: Some(entry) } => {
                tracing::info!(name, version = entry.version.counter, "fleet: a register is settled");
                self.follower.observe_committed(now, &name, &entry);
            }
            ProposalOutcome::Committed { .. } => {}
            ProposalOutcome::Conflict { name, entry } => {
                tracing::warn!(name, "fleet: a register had been changed by another");
                if let Some(entry) = entry {
                    self.follower.observe_committed(now, &name, &entry);
                }
            }
            ProposalOutcome::Unknown { name } => {
                tracing::warn!(name, "fleet: too few voters answered on a register");
            }
        }
    }

    /// What came of a change goes to whoever wanted it.
    fn heed(&mut self, now: Duration, outcome: &ProposalOutcome) {
        let name = outcome.name();
        if name == SITES
            && let Some(sites) = &mut self.sites
        {
            sites.outcome(now, outcome);
        }
        if let Some(works) = &mut self.works {
            works.outcome(now, name, outcome);
        }
    }

    pub(super) fn turn_sites(&mut self, now: Duration) {
        let Some(mut sites) = self.sites.take() else { return };
        if let Some((told, seen)) = sites.told() {
            self.send_to_voters(&told);
            if let Some(works) = &mut self.works {
                count_machines(&sites, works, seen);
            }
        }
        let number = self.may_act(now, SITES);
        if !self.proposer.is_busy(SITES)
            && let Some(change) = sites.wants(now, number)
        {
            let posts = self.proposer.propose(now, SITES, change);
            self.post_registers(posts);
        }
        if let Some(word) = sites.word(now, &self.follower) {
            self.say(word);
        }
        self.sites = Some(sites);
    }

    pub(super) fn turn_works(&mut self, now: Duration) {
        let Some(mut works) = self.works.take() else { return };
        if let Some(word) = works.follow(now, &self.follower) {
            self.say(word);
        }
        if let Some(told) = works.told(now) {
            self.acts_told.extend(told.released);
            if !told.let_go.is_empty() {
                self.send_to_voters(&Body::DrainConfirmations(told.let_go));
            }
        }
        let number = self.may_act(now, works::NAME);
        // Guards against a round that takes the place of one under way, whose unknown end would be taken for its own: a
        // coordinator that lost its lease and got it back would begin over and over.
        let busy = (0..MAX_REQUESTS as u8).any(|work| self.proposer.is_busy(&works::register(work)));
        if !busy && let Some((name, change)) = works.wants(now, number) {
            let posts = self.proposer.propose(now, &name, change);
            self.post_registers(posts);
        }
        self.works = Some(works);
    }

    pub(super) fn post_registers(&mut self, posts: Vec<registers::OutboundMessage>) {
        for registers::OutboundMessage { voter, request: ask } in posts {
            if let Some(address) = self.terms.voters.get(voter).copied() {
                self.send(Body::RegisterRequest(ask), address);
            }
        }
    }
}

/// Hands what the front sees of machines on to the works.
fn count_machines(sites: &Sites, works: &mut Works, seen: ZoneObservation) {
    // What is not tried counts as answering: only a machine that fails is out by itself.
    let bears = |cores: u32| f64::from(cores) * sites.safe();
    let machines = seen.engines.iter().map(|seen| {
        (
            seen.engine,
            MachineCapacity {
                zone: seen.zone,
                work: bears(seen.cores),
                answers: seen.answers.unwrap_or(true),
            },
        )
    });
    let fleet = FleetCapacity { machines: machines.collect(), classes: Vec::new() };
    works.counted(seen.maintenance_version, seen.in_flight, fleet, &seen.local);
    if let Some((groups, worse, down)) = sites.load() {
        works.load(groups, worse, down);
    }
}
