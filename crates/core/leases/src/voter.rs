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
struct Slot {
    promised: Ballot,
    granted: Option<Grant>,
    /// The highest number that was ever granted here, or that somebody has told of.
    number: u64,
    /// When it was last asked about.
    asked: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Voter {
    /// It has forgotten what it granted and promised before; by then all of it has run out.
    silent_until: Duration,
    /// No number under this is granted; from a folder, where there is one.
    floor: u64,
    slots: BTreeMap<Task, Slot>,
}

impl Voter {
    /// A voter that starts, and knows nothing. It is silent until whatever it granted in an earlier incarnation, and whatever
    /// attempt it let in, must be over for whoever held it: an attempt ends with the lease that it asks for.
    pub fn new(now: Duration, terms: &LeaseConfig, floor: u64) -> Voter {
        Voter { silent_until: now + terms.voter_hold_time(), floor, slots: BTreeMap::new() }
    }

    pub fn is_silent(&self, now: Duration) -> bool {
        now < self.silent_until
    }

    /// The highest number of all, to be kept where a folder lasts.
    pub fn highest_token(&self) -> u64 {
        self.slots.values().map(|slot| slot.number).max().unwrap_or_default().max(self.floor)
    }

    /// What is held, as far as this voter knows.
    pub fn grants(&self, now: Duration) -> impl Iterator<Item = (&Task, &Grant)> {
        self.slots.iter().filter_map(move |(task, slot)| {
            slot.granted.as_ref().filter(|granted| granted.until > now).map(|granted| (task, granted))
        })
    }

    /// Answers an ask; a release has no answer.
    pub fn handle_request(
        &mut self,
        now: Duration,
        terms: &LeaseConfig,
        ask: LeaseRequest,
    ) -> Option<LeaseReply> {
        let mute = self.silent_until.saturating_sub(now);
        let (task, ballot) = match &ask {
            LeaseRequest::Prepare { task, ballot, .. } | LeaseRequest::Accept { task, ballot, .. } => {
                (task.clone(), *ballot)
            }
            LeaseRequest::Release { task, client: who, fencing_token: number } => {
                let slot = self.slots.get_mut(task)?;
                slot.granted.take_if(|granted| granted.holder == *who && granted.fencing_token <= *number);
                return None;
            }
        };
        // Guards against two holders after a loss of memory: what was promised before is not known here.
        if !mute.is_zero() || task.is_empty() || task.len() > MAX_NAME_BYTES {
            return Some(LeaseReply::Silent { task, ballot, remaining: mute });
        }
        if !self.slots.contains_key(&task) && !self.room(now, terms) {
            return Some(LeaseReply::Silent { task, ballot, remaining: terms.voter_hold_time() });
        }
        let floor = self.floor;
        let slot =
            self.slots.entry(task.clone()).or_insert_with(|| Slot { number: floor, ..Slot::default() });
        slot.asked = now;
        slot.granted.take_if(|granted| granted.until <= now);
        let (LeaseRequest::Prepare { client: who, .. }
        | LeaseRequest::Accept { client: who, .. }
        | LeaseRequest::Release { client: who, .. }) = &ask;
        // A prepare that can't succeed must not raise what is promised, or many who want a task would keep its holder
        // from renewing it.
        if let Some(other) = slot.granted.as_ref().filter(|granted| granted.holder != *who) {
            let (who, number, left) =
                (other.holder.clone(), other.fencing_token, other.until.saturating_sub(now));
            return Some(LeaseReply::Held {
                task,
                ballot,
                holder: who,
                fencing_token: number,
                remaining: left,
            });
        }
        if ballot < slot.promised {
            return Some(LeaseReply::StaleBallot { task, ballot, round: slot.promised.round });
        }
        slot.promised = ballot;
        match ask {
            LeaseRequest::Accept { client: who, fencing_token: number, .. } => {
                slot.number = slot.number.max(number);
                slot.granted =
                    Some(Grant { holder: who, fencing_token: number, until: now + terms.voter_hold_time() });
                Some(LeaseReply::Accepted { task, ballot })
            }
            _ => Some(LeaseReply::Promise { task, ballot, fencing_token: slot.number }),
        }
    }

    /// Makes room by forgetting the task that was asked about longest ago, once nothing of it can matter any more.
    fn room(&mut self, now: Duration, terms: &LeaseConfig) -> bool {
        if self.slots.len() < MAX_TASKS {
            return true;
        }
        let oldest = self.slots.iter().min_by_key(|(_, slot)| slot.asked);
        let Some((task, number)) = oldest
            .filter(|(_, slot)| slot.asked + terms.voter_hold_time() <= now)
            .map(|(task, slot)| (task.clone(), slot.number))
        else {
            return false;
        };
        self.floor = self.floor.max(number);
        self.slots.remove(&task).is_some()
    }
}
