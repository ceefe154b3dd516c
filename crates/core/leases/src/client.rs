//! A lease client: acquires, renews and releases leases. Only its own clock decides whether it still holds a task.
//!
//! Events are [`LeaseClient::acquire`], [`LeaseClient::release`], replies and [`LeaseClient::poll`]; outputs are the
//! returned messages and [`LeaseClient::take_changes`].

mod attempt;
mod reply;

use crate::{Incarnation, LeaseConfig, LeaseRequest, Task};
use attempt::Attempt;
use std::collections::BTreeMap;
use std::time::Duration;

/// The timeout of an attempt is the lease duration divided by this.
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 6;
/// Number of lease durations after a release in which the client begins no attempt for the task, so that another front
/// can acquire it.
const RELEASE_BACKOFF_LEASES: u32 = 2;

/// A request to one voter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutboundMessage {
    /// Index of the receiving voter in the configured list of voters.
    pub voter: usize,
    /// The request to send.
    pub request: LeaseRequest,
}

/// Another front that holds a task, as a voter reported it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObservedHolder {
    /// The incarnation of the front that holds the task.
    pub holder: Incarnation,
    /// The fencing token under which it holds the task.
    pub fencing_token: u64,
}

/// A lease under which an action may begin now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActiveLease {
    /// Sent with each action, so that the resource can refuse actions under an older token.
    pub fencing_token: u64,
    /// Time at which the lease ends. Each action must have ended by then.
    pub until: Duration,
}

/// The state of a task at this front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseState {
    /// The front neither holds the task nor tries to acquire it.
    Unwanted,
    /// The front tries to acquire the task.
    Wanted {
        /// The holder that a voter last reported, if any.
        observed_holder: Option<ObservedHolder>,
    },
    /// The front holds the task.
    Held {
        /// The token under which this front acts.
        fencing_token: u64,
        /// Time before which no action may begin.
        from: Duration,
        /// Time by which each action must have ended.
        until: Duration,
    },
}

/// A change of a lease at this front.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseChange {
    /// The lease was granted.
    Acquired {
        /// The task that this front now holds.
        task: Task,
        /// The token of the new lease.
        fencing_token: u64,
    },
    /// The lease was not renewed in time.
    Expired {
        /// The task that this front no longer holds.
        task: Task,
        /// The token of the expired lease.
        fencing_token: u64,
    },
    /// The lease, or an attempt that might still be granted, was ended by [`LeaseClient::release`].
    Released {
        /// The task that this front no longer holds.
        task: Task,
        /// The highest token that was released.
        fencing_token: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HeldLease {
    fencing_token: u64,
    /// No action begins before this time, because an action of the previous holder may still be running.
    from: Duration,
    /// End of the lease on this front's clock. It is counted from the start of the granted attempt, before any
    /// message was sent, so the lease ends here before it ends at any voter.
    until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct TaskState {
    wanted: bool,
    fenced: bool,
    lease: Option<HeldLease>,
    attempt: Option<Attempt>,
    /// Time before which no attempt begins.
    next_attempt: Duration,
    /// The holder that a voter last reported; none while this front holds the task.
    observed_holder: Option<ObservedHolder>,
    /// The highest known token of the task; the token of a new lease is above it.
    highest_token: u64,
    /// The round of the latest ballot used or reported; the next attempt uses a higher one.
    round: u64,
}

/// The leases that one front holds or tries to acquire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseClient {
    incarnation: Incarnation,
    /// The number of voters in the fleet.
    voters: usize,
    tasks: BTreeMap<Task, TaskState>,
    changes: Vec<LeaseChange>,
}

impl LeaseClient {
    /// Creates a client that acquires no task yet, for a fleet with `voters` voters.
    pub fn new(incarnation: Incarnation, voters: usize) -> LeaseClient {
        LeaseClient { incarnation, voters, tasks: BTreeMap::new(), changes: Vec::new() }
    }

    /// The incarnation under which this client acquires leases.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Tries to acquire a task from now on. `fenced` means that the resource refuses an older token, so a new
    /// lease need not wait for the end of an action of the previous holder.
    pub fn acquire(&mut self, now: Duration, task: &str, fenced: bool) {
        let state = self.tasks.entry(task.to_owned()).or_default();
        if !state.wanted {
            state.wanted = true;
            state.fenced = fenced;
            state.next_attempt = state.next_attempt.max(now);
        }
    }

    /// Records a token of a task that a resource, or any other source, has reported. The token of the next lease
    /// is above it. Has no effect on a task that is not tracked.
    pub fn observe_token(&mut self, task: &str, fencing_token: u64) {
        if let Some(state) = self.tasks.get_mut(task) {
            state.highest_token = state.highest_token.max(fencing_token);
        }
    }

    /// Releases a task and returns the messages for the voters. The release takes effect at once at this front, and
    /// for other fronts when the voters receive the messages. With `keep_wanted` the front tries to acquire the task
    /// again, but only after other fronts have had time to acquire it.
    pub fn release(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        task: &str,
        keep_wanted: bool,
    ) -> Vec<OutboundMessage> {
        let Some(state) = self.tasks.get_mut(task) else { return Vec::new() };
        state.wanted = keep_wanted;
        state.next_attempt = now + config.duration * RELEASE_BACKOFF_LEASES;
        // A running attempt may still be granted, so its token is released too.
        let attempt_token = state.attempt.take().and_then(|attempt| attempt.fencing_token);
        let held_token = state.lease.take().map(|lease| lease.fencing_token);
        let Some(fencing_token) = held_token.max(attempt_token) else { return Vec::new() };
        self.changes.push(LeaseChange::Released { task: task.to_owned(), fencing_token });
        let client = self.incarnation.clone();
        to_all(self.voters, &LeaseRequest::Release { task: task.to_owned(), client, fencing_token })
    }

    /// The lease under which an action may begin now, if there is one.
    pub fn active_lease(&self, now: Duration, task: &str) -> Option<ActiveLease> {
        let lease = self.tasks.get(task)?.lease.as_ref()?;
        let is_active = lease.from <= now && now < lease.until;
        is_active.then_some(ActiveLease { fencing_token: lease.fencing_token, until: lease.until })
    }

    /// The state of a task at this front.
    pub fn state(&self, now: Duration, task: &str) -> LeaseState {
        let Some(state) = self.tasks.get(task).filter(|state| state.wanted || state.lease.is_some()) else {
            return LeaseState::Unwanted;
        };
        match &state.lease {
            Some(lease) if now < lease.until => {
                LeaseState::Held { fencing_token: lease.fencing_token, from: lease.from, until: lease.until }
            }
            _ => LeaseState::Wanted { observed_holder: state.observed_holder.clone() },
        }
    }

    /// Whether the client holds this task or tries to acquire it, or did so recently.
    pub fn is_tracking(&self, task: &str) -> bool {
        self.tasks.contains_key(task)
    }

    /// The tasks that the client holds or tries to acquire, or did so recently.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.keys()
    }

    /// The changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }

    /// The next time at which [`LeaseClient::poll`] has something to do.
    pub fn next_timeout(&self, config: &LeaseConfig) -> Option<Duration> {
        let timeouts = self.tasks.values().flat_map(|state| {
            let attempt = state.attempt.as_ref().map(|attempt| attempt.started + attempt_timeout(config));
            let next = (state.wanted && state.attempt.is_none()).then_some(state.next_attempt);
            [attempt, next, state.lease.as_ref().map(|lease| lease.until)]
        });
        timeouts.flatten().min()
    }

    /// Ends expired leases and attempts, and begins attempts that are due. `chance` returns random numbers from 0
    /// to 1. Each attempt that ends draws one for its retry time, so that fronts retry at different times.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        chance: &mut impl FnMut() -> f64,
    ) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        for (task, state) in &mut self.tasks {
            if let Some(fencing_token) = state.expire_lease(now, config, chance) {
                self.changes.push(LeaseChange::Expired { task: task.clone(), fencing_token });
            }
            state.expire_attempt(now, config, chance);
            if state.wanted && state.attempt.is_none() && state.next_attempt <= now {
                let request = state.begin_attempt(now, task, &self.incarnation);
                messages.extend(to_all(self.voters, &request));
            }
        }
        self.tasks.retain(|_, state| {
            state.wanted || state.lease.is_some() || state.attempt.is_some() || state.next_attempt > now
        });
        messages
    }
}

/// Timeout of an attempt, from its start to the acceptance by a majority.
fn attempt_timeout(config: &LeaseConfig) -> Duration {
    config.duration / ATTEMPT_TIMEOUT_DIVISOR
}

fn to_all(voters: usize, request: &LeaseRequest) -> Vec<OutboundMessage> {
    (0..voters).map(|voter| OutboundMessage { voter, request: request.clone() }).collect()
}
