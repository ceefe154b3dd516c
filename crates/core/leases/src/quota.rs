//! Quota slots: equal shares of a fleet-wide quota. Each slot is a lease, so no two fronts use the same share. A
//! front without a slot has no share, and the share of a slot that no front holds is not used.

use crate::{LeaseClient, LeaseConfig, LeaseState, OutboundMessage, Task};
use std::time::Duration;

/// Prefix of the name of each slot's task; the slot's number follows.
const TASK_PREFIX: &str = "seat.";

/// The share of the quota, from 0 to 1, that a front may use with `held` of `total` slots.
pub fn quota_share(held: usize, total: u32) -> f64 {
    held as f64 / f64::from(total.max(1))
}

/// Chooses the quota slots that a front tries to acquire. If another front holds a slot, the front tries the next
/// slot.
#[derive(Debug, Clone)]
pub struct QuotaSlots {
    total: u32,
    wanted: usize,
    /// The slot to try next.
    next_slot: u32,
}

impl QuotaSlots {
    /// Creates the slots of a front that wants `wanted` of `total` slots and tries `first_slot` first.
    /// `first_slot` should be the front's own number, if it has one, so that few fronts try the same slot.
    pub fn new(total: u32, wanted: usize, first_slot: u32) -> QuotaSlots {
        QuotaSlots { total, wanted: wanted.min(total as usize), next_slot: first_slot % total.max(1) }
    }

    /// The name of the task that represents a slot.
    pub fn task_name(slot: u32) -> Task {
        format!("{TASK_PREFIX}{slot}")
    }

    /// The slots whose shares this front may use now. A newly acquired slot counts only after
    /// [`LeaseConfig::max_action_time`], extended for the clock drift. The previous holder's use
    /// of the share must have no effect any more by then.
    pub fn held(&self, now: Duration, client: &LeaseClient) -> Vec<u32> {
        let is_held = |slot: &u32| client.active_lease(now, &Self::task_name(*slot)).is_some();
        tracked_slots(client).filter(is_held).collect()
    }

    /// Acquires slots until the wanted number is held or being acquired, and stops asking for slots that other fronts
    /// hold. Returns the messages to send.
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
                LeaseState::Wanted { observed_holder: Some(_) } => {
                    messages.extend(client.release(now, config, &Self::task_name(slot), false));
                }
                LeaseState::Unwanted => {}
                LeaseState::Wanted { observed_holder: None } | LeaseState::Held { .. } => active += 1,
            }
        }
        for _ in 0..self.total {
            if active >= self.wanted {
                break;
            }
            let task = Self::task_name(self.next_slot);
            if !client.is_tracking(&task) {
                client.acquire(now, &task, false);
                active += 1;
            }
            self.next_slot = (self.next_slot + 1) % self.total;
        }
        messages
    }
}

/// The slots that a client holds or tries to acquire, or did so recently.
fn tracked_slots(client: &LeaseClient) -> impl Iterator<Item = u32> + '_ {
    client.tasks().filter_map(|task| task.strip_prefix(TASK_PREFIX)?.parse().ok())
}
