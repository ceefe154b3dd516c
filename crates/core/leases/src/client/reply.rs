//! Handles the replies of voters at a lease client. A reply that belongs to no running attempt changes nothing.

use super::{HeldLease, LeaseChange, LeaseClient, ObservedHolder, OutboundMessage, TaskState, to_all};
use crate::{Ballot, LeaseConfig, LeaseReply, LeaseRequest, Task};
use std::time::Duration;

/// A renewal begins once the lease duration divided by this has passed since the lease was granted or renewed.
const RENEWAL_DIVISOR: u32 = 3;
/// Clients that wait for the end of another client's lease retry at random times within this many lease durations
/// after that end.
const RETRY_SPREAD_LEASES: u32 = 1;
/// Additional retry delay, in lease durations, for each lease that the client holds. Clients with fewer leases are
/// therefore likely to retry first, so that tasks spread over the fronts.
const RETRY_DELAY_PER_HELD_LEASE: f64 = 0.25;

impl LeaseClient {
    /// Handles a reply and returns the requests that follow from it. `voter` is the index of the voter that sent it.
    /// `chance` returns random numbers from 0 to 1; an attempt that ends by a rejection draws one for its retry time.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        voter: usize,
        reply: LeaseReply,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let (task, ballot) = (reply.task().clone(), reply.ballot());
        let (voters, held_leases) = (self.voters, self.held_leases());
        let Some(state) = self.tasks.get_mut(&task) else { return Vec::new() };
        if state.attempt.as_ref().is_none_or(|attempt| attempt.ballot != ballot) {
            return Vec::new();
        }
        match reply {
            LeaseReply::Promise { fencing_token, .. } => {
                return self.handle_promise(task, ballot, voter, fencing_token);
            }
            LeaseReply::Accepted { .. } => self.handle_accepted(now, config, task, voter),
            LeaseReply::Held { holder, fencing_token, remaining, .. } => {
                state.observe_holder(ObservedHolder { holder, fencing_token });
                if state.handle_rejection(voter, voters) {
                    let spread = config.duration * RETRY_SPREAD_LEASES;
                    let held_delay = held_leases as f64 * RETRY_DELAY_PER_HELD_LEASE;
                    state.next_attempt = now + remaining + spread.mul_f64(chance() + held_delay);
                }
            }
            LeaseReply::StaleBallot { round, .. } => {
                state.round = state.round.max(round);
                if state.handle_rejection(voter, voters) {
                    state.retry_after(now, Duration::ZERO, config, chance);
                }
            }
            LeaseReply::Silent { remaining, .. } => {
                if state.handle_rejection(voter, voters) {
                    state.retry_after(now, remaining.min(config.duration), config, chance);
                }
            }
        }
        Vec::new()
    }

    fn held_leases(&self) -> usize {
        self.tasks.values().filter(|state| state.lease.is_some()).count()
    }

    /// Counts a promise. Once a majority has promised, returns an accept request to all voters, under a token
    /// above every token that the majority reported.
    fn handle_promise(
        &mut self,
        task: Task,
        ballot: Ballot,
        voter: usize,
        promised_token: u64,
    ) -> Vec<OutboundMessage> {
        let Some(state) = self.tasks.get_mut(&task) else { return Vec::new() };
        let Some(attempt) = state.attempt.as_mut() else { return Vec::new() };
        if attempt.fencing_token.is_some() {
            return Vec::new();
        }
        attempt.highest_promised_token = attempt.highest_promised_token.max(promised_token);
        attempt.promises.insert(voter);
        if attempt.promises.len() < majority(self.voters) {
            return Vec::new();
        }
        state.highest_token = state.highest_token.max(attempt.highest_promised_token);
        let fencing_token = attempt.highest_promised_token + 1;
        attempt.fencing_token = Some(fencing_token);
        let client = self.incarnation.clone();
        to_all(self.voters, &LeaseRequest::Accept { task, ballot, client, fencing_token })
    }

    /// Counts an acceptance. Once a majority has accepted, the lease is acquired or renewed.
    fn handle_accepted(&mut self, now: Duration, config: &LeaseConfig, task: Task, voter: usize) {
        let needed = majority(self.voters);
        let Some(state) = self.tasks.get_mut(&task) else { return };
        let Some(attempt) = state.attempt.as_mut() else { return };
        attempt.acceptances.insert(voter);
        let Some(fencing_token) = attempt.fencing_token.filter(|_| attempt.acceptances.len() >= needed)
        else {
            return;
        };
        // If the lease expired before its renewal was accepted, another client may hold the task under a higher
        // token.
        let is_held = state.lease.as_ref().is_some_and(|lease| now < lease.until);
        if attempt.is_renewal && !is_held {
            return;
        }
        let until = attempt.started + config.duration;
        state.attempt = None;
        state.next_attempt = now + config.duration / RENEWAL_DIVISOR;
        state.highest_token = state.highest_token.max(fencing_token);
        if until <= now {
            return;
        }
        if state.hold(now, config, fencing_token, until) {
            self.changes.push(LeaseChange::Acquired { task, fencing_token });
        }
    }
}

impl TaskState {
    /// Records a granted lease or extends the held one to `until`. Returns whether the lease is new.
    fn hold(&mut self, now: Duration, config: &LeaseConfig, fencing_token: u64, until: Duration) -> bool {
        self.observed_holder = None;
        if let Some(lease) = self.lease.as_mut().filter(|lease| lease.fencing_token == fencing_token) {
            lease.until = lease.until.max(until);
            return false;
        }
        // If the resource can't refuse an older token, an action of the previous holder may still run for this long.
        let wait = if self.fenced { Duration::ZERO } else { config.with_drift(config.max_action_time) };
        self.lease = Some(HeldLease { fencing_token, from: now + wait, until });
        true
    }

    fn observe_holder(&mut self, observed: ObservedHolder) {
        self.highest_token = self.highest_token.max(observed.fencing_token);
        if self.lease.is_none() {
            self.observed_holder = Some(observed);
        }
    }

    /// Counts a rejection. Ends the attempt if the remaining voters are no majority, and returns whether it did.
    fn handle_rejection(&mut self, voter: usize, voters: usize) -> bool {
        let Some(attempt) = self.attempt.as_mut() else { return false };
        attempt.rejections.insert(voter);
        let is_lost = attempt.rejections.len() + majority(voters) > voters;
        if is_lost {
            self.attempt = None;
        }
        is_lost
    }
}

/// The number of voters that form a majority.
fn majority(voters: usize) -> usize {
    voters / 2 + 1
}
