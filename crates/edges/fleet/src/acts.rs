//! Acts: what a holder does with its task, told by datagrams to whoever is acted upon.

use crate::{Datagram, Task};
use lemonusher_leases::LeaseClient;
use std::time::Duration;

struct Act {
    task: Task,
    next: Duration,
    /// The number under which one is under way, and when it is done.
    under_way: Option<(u64, Duration)>,
}

pub(crate) struct Acts {
    acts: Vec<Act>,
}

/// What was acted upon has seen a higher number of this task, and refuses an older one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    pub task: String,
    pub seen: u64,
}

impl Refusal {
    /// None for what is no refusal.
    pub fn read(bytes: &[u8]) -> Option<Refusal> {
        let said = serde_json::from_slice::<serde_json::Value>(bytes).ok()?;
        Some(Refusal { task: said["task"].as_str()?.to_owned(), seen: said["seen"].as_u64()? })
    }
}

impl Acts {
    pub(crate) fn new(tasks: &[Task]) -> Acts {
        let act = |task: &Task| Act { task: task.clone(), next: Duration::ZERO, under_way: None };
        Acts { acts: tasks.iter().map(act).collect() }
    }

    /// Begins acts that are due and may begin, and ends those that are done; what is to be told of them.
    pub(crate) fn turn(&mut self, now: Duration, asker: &LeaseClient) -> Vec<Datagram> {
        let mut told = Vec::new();
        for Act { task, next, under_way } in &mut self.acts {
            let Some(to) = task.tell else { continue };
            let mut tell = |number: u64, step: &str| {
                let who = asker.incarnation().to_string();
                let said = serde_json::json!({"task": task.name, "number": number, "who": who, "step": step});
                told.push(Datagram { to, bytes: said.to_string().into_bytes() });
            };
            if let Some((number, done)) = *under_way {
                if done <= now {
                    tell(number, "end");
                    *under_way = None;
                }
                continue;
            }
            let held = asker.active_lease(now, &task.name);
            // What can't be done before the lease ends is not begun.
            if let Some(lease) = held.filter(|lease| *next <= now && now + task.takes < lease.until) {
                let number = lease.fencing_token;
                tell(number, "begin");
                (*next, *under_way) = (now + task.every, Some((number, now + task.takes)));
            }
        }
        told
    }
}
