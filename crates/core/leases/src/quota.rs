//! Quota slots: the parts into which what fronts share is cut. Each is a lease, so that no two fronts count on one part; a
//! front without a quota slot has no part, and what nobody holds is taken by nobody.

use crate::{LeaseClient, LeaseConfig, LeaseState, OutboundMessage, Task};
use std::time::Duration;

/// The part of what is shared that a front may use by its quota slots.
pub fn quota(held: usize, total: u32) -> f64 {
    held as f64 / f64::from(total.max(1))
}

/// Which quota slots a front wants. There are `all`; it goes on to the next that it does not hold when it finds one taken.
#[derive(Debug, Clone)]
pub struct QuotaSlots {
    total: u32,
    wanted: usize,
    next: u32,
}

impl QuotaSlots {
    /// `number` is where it begins to look: a front's own number, where it has one, so that few meet.
    pub fn new(total: u32, wanted: usize, first_slot: u32) -> QuotaSlots {
        QuotaSlots { total, wanted: wanted.min(total as usize), next: first_slot % total.max(1) }
    }

    pub fn task(slot: u32) -> Task {
        format!("seat.{slot}")
    }

    /// The quota slots whose parts this front may use now. A quota slot taken over counts only after the bound on an act, which
    /// must cover the span over which what was used of a part still weighs, such as what a cold engine was sent.
    pub fn held(&self, now: Duration, client: &LeaseClient) -> Vec<u32> {
        let slot = |task: &Task| task.strip_prefix("seat.")?.parse::<u32>().ok();
        let holds = |slot: &u32| client.may_act(now, &Self::task(*slot)).is_some();
        client.tasks().filter_map(slot).filter(holds).collect()
    }

    /// Asks for as many as it wants and no more, and gives up asking for those that others hold.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        client: &mut LeaseClient,
    ) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        let tracked: Vec<u32> =
            client.tasks().filter_map(|task| task.strip_prefix("seat.")?.parse().ok()).collect();
        let mut active = 0;
        for slot in tracked {
            match client.state(now, &Self::task(slot)) {
                LeaseState::Wanted { other: Some(_) } => {
                    messages.extend(client.release(now, config, &Self::task(slot), false));
                }
                LeaseState::Unwanted => {}
                _ => active += 1,
            }
        }
        for _ in 0..self.total {
            if active >= self.wanted {
                break;
            }
            let task = Self::task(self.next);
            if !client.is_tracking(&task) {
                client.acquire(now, &task, false);
                active += 1;
            }
            self.next = (self.next + 1) % self.total;
        }
        messages
    }
}
