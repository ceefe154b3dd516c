//! Fenced actions. While this front holds a task, it begins the task's action at most once per interval. It
//! notifies the resource of the begin and end of each action by a datagram with the fencing token. An action that
//! would outlast the lease is not begun.

use crate::{Datagram, TaskConfig};
use lemonusher_leases::LeaseClient;
use std::net::SocketAddr;
use std::time::Duration;

/// An action that has begun and not ended.
#[derive(Clone, Copy)]
struct RunningAction {
    fencing_token: u64,
    ends: Duration,
}

struct Action {
    task: TaskConfig,
    /// Earliest time at which the next action begins.
    next_start: Duration,
    running: Option<RunningAction>,
}

pub(crate) struct FencedActions {
    actions: Vec<Action>,
}

/// The lease under which a notification is true.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequiredLease {
    pub(crate) task: String,
    pub(crate) fencing_token: u64,
}

impl RequiredLease {
    fn is_active(&self, now: Duration, lease_client: &LeaseClient) -> bool {
        let lease = lease_client.active_lease(now, &self.task);
        lease.is_some_and(|lease| lease.fencing_token == self.fencing_token)
    }
}

/// A notification that waits to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Notification {
    pub(crate) datagram: Datagram,
    /// None if it is true whatever has become of the lease.
    pub(crate) lease: Option<RequiredLease>,
}

impl Notification {
    /// Returns whether it may be sent now. This front may have stood still since it was queued.
    pub(crate) fn may_be_sent(&self, now: Duration, lease_client: &LeaseClient) -> bool {
        self.lease.as_ref().is_none_or(|lease| lease.is_active(now, lease_client))
    }
}

/// A resource's report that it has seen a higher fencing token for a task and rejects the older one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRejection {
    /// The task's name.
    pub task: String,
    /// The highest token that the resource has seen.
    pub highest_token: u64,
}

impl TokenRejection {
    /// Parses a resource's datagram, a JSON object with the keys `task` and `seen`; none for anything else.
    pub fn parse(bytes: &[u8]) -> Option<TokenRejection> {
        let message = serde_json::from_slice::<serde_json::Value>(bytes).ok()?;
        let task = message["task"].as_str()?.to_owned();
        let highest_token = message["seen"].as_u64()?;
        Some(TokenRejection { task, highest_token })
    }
}

impl FencedActions {
    pub(crate) fn new(tasks: &[TaskConfig]) -> FencedActions {
        let action =
            |task: &TaskConfig| Action { task: task.clone(), next_start: Duration::ZERO, running: None };
        FencedActions { actions: tasks.iter().map(action).collect() }
    }

    /// Begins the actions that are due and allowed, and ends those whose time is over. Returns the
    /// notifications of both.
    pub(crate) fn poll(&mut self, now: Duration, lease_client: &LeaseClient) -> Vec<Notification> {
        self.actions.iter_mut().filter_map(|action| action.poll(now, lease_client)).collect()
    }
}

impl Action {
    fn poll(&mut self, now: Duration, lease_client: &LeaseClient) -> Option<Notification> {
        let to = self.task.notify?;
        if let Some(running) = self.running {
            if running.ends > now {
                return None;
            }
            self.running = None;
            let datagram = self.datagram(to, lease_client, running.fencing_token, "end");
            return Some(Notification { datagram, lease: None });
        }
        let lease = lease_client.active_lease(now, &self.task.name)?;
        let ends = now + self.task.action_time;
        if self.next_start > now || ends >= lease.until {
            return None;
        }
        let fencing_token = lease.fencing_token;
        self.next_start = now + self.task.interval;
        self.running = Some(RunningAction { fencing_token, ends });
        let datagram = self.datagram(to, lease_client, fencing_token, "begin");
        let lease = RequiredLease { task: self.task.name.clone(), fencing_token };
        Some(Notification { datagram, lease: Some(lease) })
    }

    fn datagram(
        &self,
        to: SocketAddr,
        lease_client: &LeaseClient,
        fencing_token: u64,
        step: &str,
    ) -> Datagram {
        let who = lease_client.incarnation().to_string();
        let message =
            serde_json::json!({"task": self.task.name, "number": fencing_token, "who": who, "step": step});
        Datagram { to, bytes: message.to_string().into_bytes() }
    }
}
