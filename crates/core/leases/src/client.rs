//! A lease client: asks for leases, holds, renews and releases them. Whether it holds a task is decided by its own clock
//! alone. Events are [`LeaseClient::acquire`], [`LeaseClient::release`], replies and [`LeaseClient::poll`]; outputs are
//! the returned messages and [`LeaseClient::take_changes`].

mod attempt;
mod reply;

use crate::{Incarnation, LeaseConfig, LeaseRequest, Task};
use attempt::Attempt;
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt is given up after the lease's duration divided by this.
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 6;
/// After a release nothing is asked for during so many lease durations, so that others can acquire the task.
const RELEASE_BACKOFF_LEASES: u32 = 2;

/// A request and the voter, by its index in the configured list, that it is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutboundMessage {
    /// Index of the voter.
    pub voter: usize,
    /// What it is asked.
    pub request: LeaseRequest,
}

/// Another front that holds a task, as a voter reported it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObservedHolder {
    /// Who holds it.
    pub holder: Incarnation,
    /// Its token.
    pub fencing_token: u64,
}

/// A lease under which an action may begin now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActiveLease {
    /// Goes with each action, so that the resource can refuse an older one.
    pub fencing_token: u64,
    /// An action must have ended by then.
    pub until: Duration,
}

/// The state of a task at this front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseState {
    /// It is neither asked for nor held.
    Unwanted,
    /// It is asked for.
    Wanted {
        /// The holder that a voter last reported.
        other: Option<ObservedHolder>,
    },
    /// It is held.
    Held {
        /// The token under which this front acts.
        fencing_token: u64,
        /// No action may begin before.
        from: Duration,
        /// No action may go on after.
        until: Duration,
    },
}

/// What has changed at this front.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseChange {
    /// The lease was granted.
    Acquired {
        /// The task.
        task: Task,
        /// Under this token.
        fencing_token: u64,
    },
    /// The lease was not renewed in time.
    Expired {
        /// The task.
        task: Task,
        /// The token that it had.
        fencing_token: u64,
    },
    /// The lease was given up by [`LeaseClient::release`].
    Released {
        /// The task.
        task: Task,
        /// The token that it had.
        fencing_token: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HeldLease {
    fencing_token: u64,
    /// No action begins before: the last holder's action may still be running.
    from: Duration,
    /// On this front's clock, counted from before the granted attempt began, so it is before the end at any voter.
    until: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct TaskState {
    wanted: bool,
    fenced: bool,
    lease: Option<HeldLease>,
    attempt: Option<Attempt>,
    /// No attempt begins before.
    next_attempt: Duration,
    /// The holder that a voter last reported; none while this front holds the task.
    other: Option<ObservedHolder>,
    /// The highest token that is known of; a new grant is above it.
    highest_token: u64,
    /// The round of the latest ballot used or reported; the next attempt uses a higher one.
    round: u64,
}

/// The leases that one front asks for and holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseClient {
    incarnation: Incarnation,
    /// How many voters there are.
    voters: usize,
    tasks: BTreeMap<Task, TaskState>,
    changes: Vec<LeaseChange>,
}

impl LeaseClient {
    /// A client that asks for nothing yet, of a fleet with so many voters.
    pub fn new(incarnation: Incarnation, voters: usize) -> LeaseClient {
        LeaseClient { incarnation, voters, tasks: BTreeMap::new(), changes: Vec::new() }
    }

    /// Which incarnation asks.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Asks for a task from now on. `fenced`: the resource refuses an older token, so an action of the last holder need
    /// not be waited for.
    pub fn acquire(&mut self, now: Duration, task: &str, fenced: bool) {
        let state = self.tasks.entry(task.to_owned()).or_default();
        if !state.wanted {
            state.wanted = true;
            state.fenced = fenced;
            state.next_attempt = state.next_attempt.max(now);
        }
    }

    /// A resource, or anybody else, has reported a token of this task; what is granted next is above it.
    pub fn observe_token(&mut self, task: &str, fencing_token: u64) {
        if let Some(state) = self.tasks.get_mut(task) {
            state.highest_token = state.highest_token.max(fencing_token);
        }
    }

    /// Releases a task: at once for this front, for others when the voters receive it. With `keep_wanted` it asks for
    /// the task again, but only after others had time to acquire it.
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

    /// The lease under which an action may begin now, if the task is held.
    pub fn active_lease(&self, now: Duration, task: &str) -> Option<ActiveLease> {
        let lease = self.tasks.get(task)?.lease.as_ref()?;
        let is_active = lease.from <= now && now < lease.until;
        is_active.then_some(ActiveLease { fencing_token: lease.fencing_token, until: lease.until })
    }

    /// The state of a task.
    pub fn state(&self, now: Duration, task: &str) -> LeaseState {
        let Some(state) = self.tasks.get(task).filter(|state| state.wanted || state.lease.is_some()) else {
            return LeaseState::Unwanted;
        };
        match &state.lease {
            Some(lease) if now < lease.until => {
                LeaseState::Held { fencing_token: lease.fencing_token, from: lease.from, until: lease.until }
            }
            _ => LeaseState::Wanted { other: state.other.clone() },
        }
    }

    /// Whether it asks for this task, holds it, or did so lately.
    pub fn is_tracking(&self, task: &str) -> bool {
        self.tasks.contains_key(task)
    }

    /// The tasks that it asks for, holds, or did so lately.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.keys()
    }

    /// The changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }

    /// When [`LeaseClient::poll`] has something to do next.
    pub fn next_timeout(&self, config: &LeaseConfig) -> Option<Duration> {
        let timeouts = self.tasks.values().flat_map(|state| {
            let attempt = state.attempt.as_ref().map(|attempt| attempt.started + attempt_timeout(config));
            let next = (state.wanted && state.attempt.is_none()).then_some(state.next_attempt);
            [attempt, next, state.lease.as_ref().map(|lease| lease.until)]
        });
        timeouts.flatten().min()
    }

    /// Ends expired leases and attempts, and begins attempts that are due. `chance` yields numbers from 0 up to 1; each
    /// ended attempt draws one, to be tried again at another time than by other fronts.
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

/// How long an attempt may take.
fn attempt_timeout(config: &LeaseConfig) -> Duration {
    config.duration / ATTEMPT_TIMEOUT_DIVISOR
}

fn to_all(voters: usize, request: &LeaseRequest) -> Vec<OutboundMessage> {
    (0..voters).map(|voter| OutboundMessage { voter, request: request.clone() }).collect()
}
