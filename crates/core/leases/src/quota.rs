//! Quota slots: equal shares of a fleet-wide quota. Each slot is a lease, so no two fronts count on the same share. A
//! front without a slot has no share, and a slot that nobody holds is used by nobody.

use crate::{LeaseClient, LeaseConfig, LeaseState, OutboundMessage, Task};
use std::time::Duration;

/// What the name of each slot's task begins with.
const TASK_PREFIX: &str = "seat.";

/// The share of the quota, from 0 to 1, that a front may use with `held` of `total` slots.
pub fn quota_share(held: usize, total: u32) -> f64 {
    held as f64 / f64::from(total.max(1))
}

/// Which quota slots a front asks for. It goes on to the next slot when it finds one held by another.
#[derive(Debug, Clone)]
pub struct QuotaSlots {
    total: u32,
    wanted: usize,
    next: u32,
}

impl QuotaSlots {
    /// A front that wants `wanted` of `total` slots and asks for `first_slot` first: its own number, where it has one, so
    /// that few fronts ask for the same slot.
    pub fn new(total: u32, wanted: usize, first_slot: u32) -> QuotaSlots {
        QuotaSlots { total, wanted: wanted.min(total as usize), next: first_slot % total.max(1) }
    }

    /// The name of the task that stands for a slot.
    pub fn task_name(slot: u32) -> Task {
        format!("{TASK_PREFIX}{slot}")
    }

    /// The slots whose shares this front may use now. A slot counts only after [`LeaseConfig::max_action_time`], which
    /// must cover the time for which the last holder's use of the share still has effect.
    pub fn held(&self, now: Duration, client: &LeaseClient) -> Vec<u32> {
        let is_held = |slot: &u32| client.active_lease(now, &Self::task_name(*slot)).is_some();
        tracked_slots(client).filter(is_held).collect()
    }

    /// Asks for as many slots as are wanted, and gives up those that others hold.
    pub fn poll(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        client: &mut LeaseClient,
    ) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        let tracked: Vec<u32> = tracked_slots(client).collect();
        let mut active = 0;
        for slot in tracked {
            match client.state(now, &Self::task_name(slot)) {
                LeaseState::Wanted { other: Some(_) } => {
                    messages.extend(client.release(now, config, &Self::task_name(slot), false));
                }
                LeaseState::Unwanted => {}
                LeaseState::Wanted { other: None } | LeaseState::Held { .. } => active += 1,
            }
        }
        for _ in 0..self.total {
            if active >= self.wanted {
                break;
            }
            let task = Self::task_name(self.next);
            if !client.is_tracking(&task) {
                client.acquire(now, &task, false);
                active += 1;
            }
            self.next = (self.next + 1) % self.total;
        }
        messages
    }
}

/// The slots that a client asks for, holds, or asked for lately.
fn tracked_slots(client: &LeaseClient) -> impl Iterator<Item = u32> + '_ {
    client.tasks().filter_map(|task| task.strip_prefix(TASK_PREFIX)?.parse().ok())
}
