//! One attempt to acquire or renew a lease: how it begins, what it has received, and how it ends without a grant.

use super::{TaskState, attempt_timeout};
use crate::{Ballot, Incarnation, LeaseConfig, LeaseRequest, Task};
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Attempt {
    pub(super) ballot: Ballot,
    /// Before any message of it was sent: a lease is counted from here.
    pub(super) started: Duration,
    /// Voters by index, as in the two sets below.
    pub(super) promises: BTreeSet<usize>,
    pub(super) acceptances: BTreeSet<usize>,
    pub(super) rejections: BTreeSet<usize>,
    /// The highest token among the promises and what was known before.
    pub(super) highest_promised_token: u64,
    /// The token asked for, once a majority has promised.
    pub(super) fencing_token: Option<u64>,
    /// It renews a lease that is held, without a prepare.
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

    /// Ends a lease that has run out, with the attempt to renew it; its token.
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

    /// Gives up an attempt that takes too long.
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

    /// The next attempt begins after `delay` and a random part of the attempt timeout.
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
