//! A voter: it promises, grants and forgets. It needs no disk, as a grant means nothing once it has run out.

use crate::{Ballot, Incarnation, LeaseConfig, LeaseReply, LeaseRequest, MAX_NAME_BYTES, MAX_TASKS, Task};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is granted as this voter knows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    pub holder: Incarnation,
    pub fencing_token: u64,
    /// Until then, on the voter's clock, it counts as held.
    pub until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct TaskState {
    promised: Ballot,
    grant: Option<Grant>,
    /// The highest number that was ever granted here, or that somebody has told of.
    highest_token: u64,
    /// When it was last asked about.
    last_request: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Voter {
    /// It has forgotten what it granted and promised before; by then all of it has run out.
    silent_until: Duration,
    /// No number under this is granted; from a folder, where there is one.
    floor: u64,
    tasks: BTreeMap<Task, TaskState>,
}

impl Voter {
    /// A voter that starts, and knows nothing. It is silent until whatever it granted in an earlier incarnation, and whatever
    /// attempt it let in, must be over for whoever held it: an attempt ends with the lease that it asks for.
    pub fn new(now: Duration, config: &LeaseConfig, floor: u64) -> Voter {
        Voter { silent_until: now + config.voter_hold_time(), floor, tasks: BTreeMap::new() }
    }

    pub fn is_silent(&self, now: Duration) -> bool {
        now < self.silent_until
    }

    /// The highest number of all, to be kept where a folder lasts.
    pub fn highest_token(&self) -> u64 {
        self.tasks.values().map(|state| state.highest_token).max().unwrap_or_default().max(self.floor)
    }

    /// What is held, as far as this voter knows.
    pub fn grants(&self, now: Duration) -> impl Iterator<Item = (&Task, &Grant)> {
        self.tasks.iter().filter_map(move |(task, state)| {
            state.grant.as_ref().filter(|grant| grant.until > now).map(|grant| (task, grant))
        })
    }

    /// Answers an ask; a release has no answer.
    pub fn handle_request(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        request: LeaseRequest,
    ) -> Option<LeaseReply> {
        let silent_for = self.silent_until.saturating_sub(now);
        let (task, ballot) = match &request {
            LeaseRequest::Prepare { task, ballot, .. } | LeaseRequest::Accept { task, ballot, .. } => {
                (task.clone(), *ballot)
            }
            LeaseRequest::Release { task, client, fencing_token: highest_token } => {
                let state = self.tasks.get_mut(task)?;
                state.grant.take_if(|grant| grant.holder == *client && grant.fencing_token <= *highest_token);
                return None;
            }
        };
        // Guards against two holders after a loss of memory: what was promised before is not known here.
        if !silent_for.is_zero() || task.is_empty() || task.len() > MAX_NAME_BYTES {
            return Some(LeaseReply::Silent { task, ballot, remaining: silent_for });
        }
        if !self.tasks.contains_key(&task) && !self.make_room(now, config) {
            return Some(LeaseReply::Silent { task, ballot, remaining: config.voter_hold_time() });
        }
        let floor = self.floor;
        let state = self
            .tasks
            .entry(task.clone())
            .or_insert_with(|| TaskState { highest_token: floor, ..TaskState::default() });
        state.last_request = now;
        state.grant.take_if(|grant| grant.until <= now);
        let (LeaseRequest::Prepare { client, .. }
        | LeaseRequest::Accept { client, .. }
        | LeaseRequest::Release { client, .. }) = &request;
        // A prepare that can't succeed must not raise what is promised, or many who want a task would keep its holder
        // from renewing it.
        if let Some(grant) = state.grant.as_ref().filter(|grant| grant.holder != *client) {
            let (client, highest_token, remaining) =
                (grant.holder.clone(), grant.fencing_token, grant.until.saturating_sub(now));
            return Some(LeaseReply::Held {
                task,
                ballot,
                holder: client,
                fencing_token: highest_token,
                remaining,
            });
        }
        if ballot < state.promised {
            return Some(LeaseReply::StaleBallot { task, ballot, round: state.promised.round });
        }
        state.promised = ballot;
        match request {
            LeaseRequest::Accept { client, fencing_token: highest_token, .. } => {
                state.highest_token = state.highest_token.max(highest_token);
                state.grant = Some(Grant {
                    holder: client,
                    fencing_token: highest_token,
                    until: now + config.voter_hold_time(),
                });
                Some(LeaseReply::Accepted { task, ballot })
            }
            _ => Some(LeaseReply::Promise { task, ballot, fencing_token: state.highest_token }),
        }
    }

    /// Makes room by forgetting the task that was asked about longest ago, once nothing of it can matter any more.
    fn make_room(&mut self, now: Duration, config: &LeaseConfig) -> bool {
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
        self.floor = self.floor.max(highest_token);
        self.tasks.remove(&task).is_some()
    }
}
