//! Handles the replies of voters at a proposer. A reply that belongs to no running attempt changes nothing.

use super::decision::decide;
use super::{Attempt, Proposer, attempt_timeout, to_all};
use crate::{
    AcceptedEntry, Name, OutboundMessage, ProposalOutcome, RegisterReply, RegisterRequest, majority,
};
use lemonusher_leases::{Ballot, LeaseConfig};
use std::time::Duration;

impl Proposer {
    /// Handles a reply and returns the requests that follow from it. `voter` is the index of the voter that sent
    /// it. `chance` returns random numbers from 0 to 1; an attempt that fails by a rejection draws one for its
    /// retry time.
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

    /// Whether a reply belongs to a running attempt. A reply that arrives after the attempt's timeout must not count,
    /// because the time for which a voter without memory does not vote is derived from that limit.
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

    /// Counts a promise. Once a majority has promised, chooses the entry to propose from the entries accepted
    /// before, and returns an accept request to all voters.
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
        // A value that was accepted before is also proposed again, so it is committed before the outcome reports it.
        match entry {
            Some(entry) => to_all(voters, &RegisterRequest::Accept { name, ballot, entry }),
            None => {
                self.finish(name);
                Vec::new()
            }
        }
    }

    /// Counts an acceptance. Once a majority has accepted, the change has ended.
    fn handle_accepted(&mut self, voter: usize, name: &Name) {
        let Some(attempt) = self.attempts.get_mut(name) else { return };
        attempt.acceptances.insert(voter);
        if attempt.acceptances.len() >= majority(self.voters) {
            self.finish(name.clone());
        }
    }

    /// Counts a rejection. Once the remaining voters are no majority, the attempt has failed and waits for its retry.
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
