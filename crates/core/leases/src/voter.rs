//! A voter: promises ballots and grants leases, in memory only. A grant has no effect once it has expired, so after a
//! restart the voter does not vote until everything that it may have granted before has expired.

use crate::{Ballot, Incarnation, LeaseConfig, LeaseReply, LeaseRequest, MAX_NAME_BYTES, MAX_TASKS, Task};
use std::collections::BTreeMap;
use std::time::Duration;

/// A lease that this voter has granted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// The incarnation of the front that holds the task.
    pub holder: Incarnation,
    /// The token under which the holder acts.
    pub fencing_token: u64,
    /// Time on the voter's clock until which the task counts as held.
    pub until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct TaskState {
    /// The highest promised ballot; lower ones are rejected.
    promised: Ballot,
    granted: Option<Grant>,
    /// The highest token that this voter granted for the task; initially the token floor.
    highest_token: u64,
    last_request: Duration,
}

/// A voter's state. Its events are the requests given to [`Voter::handle_request`], which returns the replies.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Voter {
    /// Time by which the unknown grants and promises of earlier incarnations of this voter have expired.
    silent_until: Duration,
    /// A lower limit of the tokens of new leases: at least the highest token of every task that is not in `tasks`.
    token_floor: u64,
    tasks: BTreeMap<Task, TaskState>,
}

impl Voter {
    /// Creates a voter without memory, which does not vote for [`LeaseConfig::voter_hold_time`]. Tokens of new
    /// leases are above `token_floor`, which comes from stored state or a clock and must be at least the highest
    /// token granted before.
    pub fn new(now: Duration, config: &LeaseConfig, token_floor: u64) -> Voter {
        Voter { silent_until: now + config.voter_hold_time(), token_floor, tasks: BTreeMap::new() }
    }

    /// Whether the voter does not vote yet after its start.
    pub fn is_silent(&self, now: Duration) -> bool {
        now < self.silent_until
    }

    /// The highest token of all tasks, and at least the token floor. A front with a state folder stores a limit there
    /// that is not below this token.
    pub fn highest_token(&self) -> u64 {
        let highest = self.tasks.values().map(|state| state.highest_token).max();
        highest.unwrap_or_default().max(self.token_floor)
    }

    /// The leases granted by this voter that have not expired.
    pub fn grants(&self, now: Duration) -> impl Iterator<Item = (&Task, &Grant)> {
        self.tasks.iter().filter_map(move |(task, state)| {
            state.granted.as_ref().filter(|grant| grant.until > now).map(|grant| (task, grant))
        })
    }

    /// Handles a request and returns the reply; a release has none.
    pub fn handle_request(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        request: LeaseRequest,
    ) -> Option<LeaseReply> {
        match request {
            LeaseRequest::Release { task, client, fencing_token } => {
                self.handle_release(&task, &client, fencing_token);
                None
            }
            LeaseRequest::Prepare { task, ballot, client } => {
                let reply = match self.admit(now, config, &task, ballot, &client) {
                    Ok(state) => LeaseReply::Promise { task, ballot, fencing_token: state.highest_token },
                    Err(rejection) => rejection,
                };
                Some(reply)
            }
            LeaseRequest::Accept { task, ballot, client, fencing_token } => {
                let until = now + config.voter_hold_time();
                let reply = match self.admit(now, config, &task, ballot, &client) {
                    Ok(state) => {
                        state.highest_token = state.highest_token.max(fencing_token);
                        state.granted = Some(Grant { holder: client, fencing_token, until });
                        LeaseReply::Accepted { task, ballot }
                    }
                    Err(rejection) => rejection,
                };
                Some(reply)
            }
        }
    }

    fn handle_release(&mut self, task: &Task, client: &Incarnation, fencing_token: u64) {
        if let Some(state) = self.tasks.get_mut(task) {
            state.granted.take_if(|grant| grant.holder == *client && grant.fencing_token <= fencing_token);
        }
    }

    /// Checks whether this voter may promise or accept a ballot. If so, records the ballot as promised and
    /// returns the state of the task; else returns the rejection.
    fn admit(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        task: &Task,
        ballot: Ballot,
        client: &Incarnation,
    ) -> Result<&mut TaskState, LeaseReply> {
        let task_name = || task.clone();
        let silent_for = self.silent_until.saturating_sub(now);
        if !silent_for.is_zero() || task.is_empty() || task.len() > MAX_NAME_BYTES {
            return Err(LeaseReply::Silent { task: task_name(), ballot, remaining: silent_for });
        }
        if !self.tasks.contains_key(task) && !self.ensure_capacity(now, config) {
            let remaining = config.voter_hold_time();
            return Err(LeaseReply::Silent { task: task_name(), ballot, remaining });
        }
        let highest_token = self.token_floor;
        let new_state = || TaskState { highest_token, ..TaskState::default() };
        let state = self.tasks.entry(task.clone()).or_insert_with(new_state);
        state.last_request = now;
        state.granted.take_if(|grant| grant.until <= now);
        // A prepare that can't succeed must not raise the promised ballot, or the prepares of many waiting
        // clients would prevent the holder from renewing its lease.
        if let Some(grant) = state.granted.as_ref().filter(|grant| grant.holder != *client) {
            return Err(LeaseReply::Held {
                task: task_name(),
                ballot,
                holder: grant.holder.clone(),
                fencing_token: grant.fencing_token,
                remaining: grant.until.saturating_sub(now),
            });
        }
        if ballot < state.promised {
            return Err(LeaseReply::StaleBallot { task: task_name(), ballot, round: state.promised.round });
        }
        state.promised = ballot;
        Ok(state)
    }

    /// Ensures that another task can be tracked, and returns whether it can. At the limit, drops the least recently
    /// requested task if none of its grants and promises can still be in effect.
    fn ensure_capacity(&mut self, now: Duration, config: &LeaseConfig) -> bool {
        if self.tasks.len() < MAX_TASKS {
            return true;
        }
        let oldest = self.tasks.iter().min_by_key(|(_, state)| state.last_request);
        let Some((task, highest_token)) = oldest
            .filter(|(_, state)| state.last_request + config.voter_hold_time() <= now)
            .map(|(task, state)| (task.clone(), state.highest_token))
        else {
            return false;
        };
        self.token_floor = self.token_floor.max(highest_token);
        self.tasks.remove(&task).is_some()
    }
}
