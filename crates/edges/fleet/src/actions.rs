//! Acts: what a holder does with its task, told by datagrams to whoever is acted upon.

use crate::{Datagram, TaskConfig};
use lemonusher_leases::LeaseClient;
use std::time::Duration;

struct Action {
    task: TaskConfig,
    next_start: Duration,
    /// The number under which one is under way, and when it is done.
    running: Option<(u64, Duration)>,
}

pub(crate) struct FencedActions {
    actions: Vec<Action>,
}

/// What was acted upon has seen a higher number of this task, and refuses an older one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRejection {
    pub task: String,
    pub highest_token: u64,
}

impl TokenRejection {
    /// None for what is no refusal.
    pub fn parse(bytes: &[u8]) -> Option<TokenRejection> {
        let message = serde_json::from_slice::<serde_json::Value>(bytes).ok()?;
        Some(TokenRejection {
            task: message["task"].as_str()?.to_owned(),
            highest_token: message["seen"].as_u64()?,
        })
    }
}

impl FencedActions {
    pub(crate) fn new(tasks: &[TaskConfig]) -> FencedActions {
        let action =
            |task: &TaskConfig| Action { task: task.clone(), next_start: Duration::ZERO, running: None };
        FencedActions { actions: tasks.iter().map(action).collect() }
    }

    /// Begins acts that are due and may begin, and ends those that are done; what is to be told of them.
    pub(crate) fn poll(&mut self, now: Duration, lease_client: &LeaseClient) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        for Action { task, next_start, running } in &mut self.actions {
            let Some(to) = task.notify else { continue };
            let mut notify = |number: u64, step: &str| {
                let who = lease_client.incarnation().to_string();
                let message =
                    serde_json::json!({"task": task.name, "number": number, "who": who, "step": step});
                datagrams.push(Datagram { to, bytes: message.to_string().into_bytes() });
            };
            if let Some((number, done)) = *running {
                if done <= now {
                    notify(number, "end");
                    *running = None;
                }
                continue;
            }
            let lease = lease_client.active_lease(now, &task.name);
            // What can't be done before the lease ends is not begun.
            if let Some(lease) =
                lease.filter(|lease| *next_start <= now && now + task.action_time < lease.until)
            {
                let number = lease.fencing_token;
                notify(number, "begin");
                (*next_start, *running) = (now + task.interval, Some((number, now + task.action_time)));
            }
        }
        datagrams
    }
}
