//! What a proposer does with each kind of reply. A reply that belongs to no running attempt changes nothing.

use super::decision::decide;
use super::{Attempt, Proposer, attempt_timeout, to_all};
use crate::{
    AcceptedEntry, Name, OutboundMessage, ProposalOutcome, RegisterReply, RegisterRequest, majority,
};
use lemonusher_leases::{Ballot, LeaseConfig};
use std::time::Duration;

impl Proposer {
    /// Takes in a voter's reply, and returns the requests that follow from it. `voter` is its index; `chance` yields
    /// numbers from 0 up to 1, and an attempt that fails by a rejection draws one.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        voter: usize,
        reply: RegisterReply,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        match reply {
            RegisterReply::Promise { name, ballot, epoch, accepted } => {
                if self.is_current(now, config, voter, &name, ballot) {
                    return self.handle_promise(name, ballot, voter, epoch, accepted);
                }
            }
            RegisterReply::Accepted { name, ballot } => {
                if self.is_current(now, config, voter, &name, ballot) {
                    self.handle_accepted(voter, &name);
                }
            }
            RegisterReply::StaleBallot { name, ballot, round } => {
                if self.is_current(now, config, voter, &name, ballot) {
                    self.round = self.round.max(round);
                    self.handle_rejection(now, config, voter, &name, chance);
                }
            }
            RegisterReply::Silent { name, ballot } => {
                if self.is_current(now, config, voter, &name, ballot) {
                    self.handle_rejection(now, config, voter, &name, chance);
                }
            }
            RegisterReply::Value { .. }
            | RegisterReply::NotFound { .. }
            | RegisterReply::StateCopy { .. }
            | RegisterReply::Changes(_) => {}
        }
        Vec::new()
    }

    /// Whether a reply belongs to a running attempt. One that arrives after the attempt's timeout must not count: the
    /// rule for voters without memory depends on that bound.
    fn is_current(
        &self,
        now: Duration,
        config: &LeaseConfig,
        voter: usize,
        name: &Name,
        ballot: Ballot,
    ) -> bool {
        let Some(attempt) = self.attempts.get(name) else { return false };
        let is_over = attempt.started + attempt_timeout(config) <= now || attempt.retry_at.is_some();
        attempt.ballot == ballot && !is_over && voter < self.voters
    }

    /// Once a majority has promised, asks all voters to accept what follows from what they had accepted.
    fn handle_promise(
        &mut self,
        name: Name,
        ballot: Ballot,
        voter: usize,
        epoch: u64,
        accepted: Option<AcceptedEntry>,
    ) -> Vec<OutboundMessage> {
        let voters = self.voters;
        let Some(attempt) = self.attempts.get_mut(&name) else { return Vec::new() };
        if attempt.decision.is_some() {
            return Vec::new();
        }
        attempt.promises.insert(voter);
        attempt.epoch = attempt.epoch.max(epoch);
        let ballot_of = |accepted: &Option<AcceptedEntry>| accepted.as_ref().map(|accepted| accepted.ballot);
        if ballot_of(&accepted) > ballot_of(&attempt.last_accepted) {
            attempt.last_accepted = accepted;
        }
        if attempt.promises.len() < majority(voters) {
            return Vec::new();
        }
        let last = attempt.last_accepted.as_ref().map(|accepted| accepted.entry.clone());
        let decision = decide(&attempt.operation, last, attempt.epoch);
        let entry = decision.entry.clone();
        attempt.decision = Some(decision);
        // A value that was there before is also committed before anybody is notified of it.
        match entry {
            Some(entry) => to_all(voters, &RegisterRequest::Accept { name, ballot, entry }),
            None => {
                self.finish(name);
                Vec::new()
            }
        }
    }

    /// Once a majority has accepted, the change has ended.
    fn handle_accepted(&mut self, voter: usize, name: &Name) {
        let Some(attempt) = self.attempts.get_mut(name) else { return };
        attempt.acceptances.insert(voter);
        if attempt.acceptances.len() >= majority(self.voters) {
            self.finish(name.clone());
        }
    }

    /// Once no majority is left, the attempt has failed and waits for its retry.
    fn handle_rejection(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        voter: usize,
        name: &Name,
        chance: &mut impl FnMut() -> f64,
    ) {
        let Some(attempt) = self.attempts.get_mut(name) else { return };
        attempt.rejections.insert(voter);
        if attempt.rejections.len() + majority(self.voters) > self.voters {
            attempt.retry_at = Some(now + attempt_timeout(config).mul_f64(chance()));
        }
    }

    fn finish(&mut self, name: Name) {
        let Some(Attempt { decision: Some(decision), .. }) = self.attempts.remove(&name) else { return };
        let entry = decision.entry;
        self.outcomes.push(if decision.is_success {
            ProposalOutcome::Committed { name, entry }
        } else {
            ProposalOutcome::Conflict { name, entry }
        });
    }
}
