//! Quota slots: the parts into which what fronts share is cut. Each is a lease, so that no two fronts count on one part; a
//! front without a quota slot has no part, and what nobody holds is taken by nobody.

use crate::{LeaseClient, LeaseConfig, LeaseState, OutboundMessage, Task};
use std::time::Duration;

/// The part of what is shared that a front may use by its quota slots.
pub fn quota(held: usize, all: u32) -> f64 {
    held as f64 / f64::from(all.max(1))
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
    pub fn new(all: u32, wants: usize, number: u32) -> QuotaSlots {
        QuotaSlots { total: all, wanted: wants.min(all as usize), next: number % all.max(1) }
    }

    pub fn task(seat: u32) -> Task {
        format!("seat.{seat}")
    }

    /// The quota slots whose parts this front may use now. A quota slot taken over counts only after the bound on an act, which
    /// must cover the span over which what was used of a part still weighs, such as what a cold engine was sent.
    pub fn held(&self, now: Duration, asker: &LeaseClient) -> Vec<u32> {
        let number = |task: &Task| task.strip_prefix("seat.")?.parse::<u32>().ok();
        let holds = |seat: &u32| asker.may_act(now, &Self::task(*seat)).is_some();
        asker.tasks().filter_map(number).filter(holds).collect()
    }

    /// Asks for as many as it wants and no more, and gives up asking for those that others hold.
    pub fn poll(
        &mut self,
        now: Duration,
        terms: &LeaseConfig,
        asker: &mut LeaseClient,
    ) -> Vec<OutboundMessage> {
        let mut posts = Vec::new();
        let mine: Vec<u32> =
            asker.tasks().filter_map(|task| task.strip_prefix("seat.")?.parse().ok()).collect();
        let mut on_the_way = 0;
        for seat in mine {
            match asker.state(now, &Self::task(seat)) {
                LeaseState::Wanted { other: Some(_) } => {
                    posts.extend(asker.release(now, terms, &Self::task(seat), false));
                }
                LeaseState::Unwanted => {}
                _ => on_the_way += 1,
            }
        }
        for _ in 0..self.total {
            if on_the_way >= self.wanted {
                break;
            }
            let task = Self::task(self.next);
            if !asker.is_tracking(&task) {
                asker.acquire(now, &task, false);
                on_the_way += 1;
            }
            self.next = (self.next + 1) % self.total;
        }
        posts
    }
}
