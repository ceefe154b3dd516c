//! One attempt to acquire or renew a lease: its start, the replies received, and its end without a grant.

use super::{TaskState, attempt_timeout};
use crate::{Ballot, Incarnation, LeaseConfig, LeaseRequest, Task};
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Attempt {
    pub(super) ballot: Ballot,
    /// Start of the attempt, before its first message was sent. The duration of the lease is counted from here.
    pub(super) started: Duration,
    /// Indices of the voters that promised; the next two sets also hold indices of voters.
    pub(super) promises: BTreeSet<usize>,
    pub(super) acceptances: BTreeSet<usize>,
    pub(super) rejections: BTreeSet<usize>,
    /// The highest token among the promises received and the tokens known when the attempt began.
    pub(super) highest_promised_token: u64,
    /// The token of the accept request: that of the held lease in a renewal, else set once a majority has promised.
    pub(super) fencing_token: Option<u64>,
    /// Whether the attempt renews a held lease, without a prepare.
    pub(super) is_renewal: bool,
}

impl TaskState {
    /// Begins an attempt and returns its first request. A holder needs no promise to renew: while its lease lasts, a
    /// majority rejects all others.
    pub(super) fn begin_attempt(&mut self, now: Duration, task: &Task, client: &Incarnation) -> LeaseRequest {
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: client.id };
        let held_token = self.lease.as_ref().map(|lease| lease.fencing_token);
        self.attempt = Some(Attempt {
            ballot,
            started: now,
            promises: BTreeSet::new(),
            acceptances: BTreeSet::new(),
            rejections: BTreeSet::new(),
            highest_promised_token: self.highest_token,
            fencing_token: held_token,
            is_renewal: held_token.is_some(),
        });
        let (task, client) = (task.clone(), client.clone());
        match held_token {
            Some(fencing_token) => LeaseRequest::Accept { task, ballot, client, fencing_token },
            None => LeaseRequest::Prepare { task, ballot, client },
        }
    }

    /// Ends an expired lease and the attempt to renew it, and returns the token of that lease.
    pub(super) fn expire_lease(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) -> Option<u64> {
        let lease = self.lease.take_if(|lease| lease.until <= now)?;
        if self.attempt.take_if(|attempt| attempt.is_renewal).is_some() {
            self.retry_after(now, Duration::ZERO, config, chance);
        }
        Some(lease.fencing_token)
    }

    /// Gives up an attempt that has timed out, and schedules its retry.
    pub(super) fn expire_attempt(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) {
        let timeout = attempt_timeout(config);
        if self.attempt.take_if(|attempt| attempt.started + timeout <= now).is_some() {
            self.retry_after(now, Duration::ZERO, config, chance);
        }
    }

    /// Schedules the next attempt after `delay` and a random share, from 0 to 1, of the attempt timeout.
    pub(super) fn retry_after(
        &mut self,
        now: Duration,
        delay: Duration,
        config: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) {
        self.next_attempt = now + delay + attempt_timeout(config).mul_f64(chance());
    }
}
