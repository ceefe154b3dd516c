//! Recovery of an acceptor without memory: it copies the state of the other voters by the rule in this crate's
//! documentation.

use super::Acceptor;
use crate::{
    AcceptedEntry, NO_PROPOSER, Name, OutboundMessage, RegisterReply, RegisterRequest, RegisterState,
    majority,
};
use lemonusher_leases::{Ballot, LeaseConfig};
use std::collections::BTreeMap;
use std::time::Duration;

/// A copy request without a reply is sent again after the lease duration divided by this.
const COPY_RETRY_DIVISOR: u32 = 8;

/// The progress of copying another voter's state in this round.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PeerCopy {
    incarnation: u64,
    without_memory: bool,
    /// Whether all of that voter's registers have been merged.
    complete: bool,
    /// The name of the last register that has been merged; the next page begins after it.
    after: Name,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Recovery {
    /// Time by which all attempts from before the loss of memory have ended.
    silent_until: Duration,
    next_request: Duration,
    round: u64,
    /// By the index of the other voter.
    copies: BTreeMap<usize, PeerCopy>,
    /// Index and incarnation of the voters that were without memory in the previous round.
    without_memory_before: BTreeMap<usize, u64>,
}

impl Recovery {
    pub(super) fn new(silent_until: Duration) -> Recovery {
        Recovery {
            silent_until,
            next_request: silent_until,
            round: 0,
            copies: BTreeMap::new(),
            without_memory_before: BTreeMap::new(),
        }
    }

    pub(super) fn is_silent(&self, now: Duration) -> bool {
        now < self.silent_until
    }

    pub(super) fn next_request(&self) -> Duration {
        self.next_request
    }

    /// Once the next requests are due, returns a request to each voter whose copy is missing or incomplete.
    pub(super) fn poll(
        &mut self,
        now: Duration,
        config: &LeaseConfig,
        voters: usize,
        index: usize,
    ) -> Vec<OutboundMessage> {
        if self.next_request > now {
            return Vec::new();
        }
        self.next_request = now + config.duration / COPY_RETRY_DIVISOR;
        let others = (0..voters).filter(|voter| *voter != index);
        let is_missing =
            |voter: &usize| self.copies.get(voter).is_none_or(|copy| !copy.complete && !copy.without_memory);
        let after = |voter: usize| self.copies.get(&voter).map(|copy| copy.after.clone()).unwrap_or_default();
        others.filter(is_missing).map(|voter| self.request(voter, after(voter))).collect()
    }

    fn request(&self, voter: usize, after: Name) -> OutboundMessage {
        OutboundMessage { voter, request: RegisterRequest::CopyState { round: self.round, after } }
    }

    fn is_complete(&self, voters: usize) -> bool {
        self.copies.values().filter(|copy| copy.complete).count() >= majority(voters)
    }

    /// Whether every other voter has sent all of its state or reported that it has no memory.
    fn all_replied(&self, voters: usize) -> bool {
        self.copies.len() + 1 == voters
            && self.copies.values().all(|copy| copy.complete || copy.without_memory)
    }

    /// Index and incarnation of the voters without memory in this round.
    fn without_memory(&self) -> BTreeMap<usize, u64> {
        let copies = self.copies.iter().filter(|(_, copy)| copy.without_memory);
        copies.map(|(voter, copy)| (*voter, copy.incarnation)).collect()
    }

    /// Whether a majority, this voter included, was without memory in this round and in the previous one.
    fn majority_lost_memory(&self, without_memory: &BTreeMap<usize, u64>, voters: usize) -> bool {
        let in_both_rounds = without_memory
            .iter()
            .filter(|(voter, incarnation)| self.without_memory_before.get(voter) == Some(incarnation));
        in_both_rounds.count() + 1 >= majority(voters)
    }

    /// Begins another round of requests to all other voters, to find out whether the same ones are still without
    /// memory.
    fn begin_round(
        &mut self,
        now: Duration,
        without_memory: BTreeMap<usize, u64>,
        voters: usize,
        index: usize,
    ) -> Vec<OutboundMessage> {
        self.without_memory_before = without_memory;
        self.round += 1;
        self.copies.clear();
        self.next_request = now;
        let others = (0..voters).filter(|voter| *voter != index);
        others.map(|voter| self.request(voter, Name::new())).collect()
    }
}

impl Acceptor {
    /// During recovery, handles a page of another voter's state and returns the requests that follow from it.
    /// `from` is the index of that voter. Any other reply changes nothing.
    pub fn handle_copy(&mut self, now: Duration, from: usize, reply: RegisterReply) -> Vec<OutboundMessage> {
        let RegisterReply::StateCopy { round, incarnation, without_memory, epoch, registers, more } = reply
        else {
            return Vec::new();
        };
        let Some(recovery) = self.recovery.as_mut().filter(|recovery| recovery.round == round) else {
            return Vec::new();
        };
        if from == self.index || from >= self.voters || recovery.is_silent(now) {
            return Vec::new();
        }
        let new_copy = PeerCopy { incarnation, without_memory, complete: false, after: Name::new() };
        let copy = recovery.copies.entry(from).or_insert_with(|| new_copy.clone());
        if copy.incarnation != incarnation || copy.without_memory != without_memory {
            *copy = new_copy; // The other voter has restarted or recovered, so its earlier pages do not count.
        }
        if without_memory {
            return self.try_finish_recovery(now);
        }
        self.epoch = self.epoch.max(epoch);
        if registers.first().is_some_and(|register| register.name <= copy.after) {
            return Vec::new(); // A repeated page.
        }
        if let Some(last) = registers.last() {
            copy.after = last.name.clone();
        }
        copy.complete = !more;
        let after = copy.after.clone();
        let next_page = more.then(|| recovery.request(from, after));
        registers.into_iter().for_each(|register| self.merge(register));
        match next_page {
            Some(request) => vec![request],
            None => self.try_finish_recovery(now),
        }
    }

    /// Adopts a promise and an accepted entry of another voter if their ballots are higher than this acceptor's.
    fn merge(&mut self, copied: RegisterState) {
        let register = self.registers.entry(copied.name).or_default();
        register.promised = register.promised.max(copied.promised);
        let ballot = |accepted: &Option<AcceptedEntry>| accepted.as_ref().map(|accepted| accepted.ballot);
        if ballot(&copied.accepted) > ballot(&register.accepted) {
            self.revision += 1;
            register.revision = self.revision;
            register.accepted = copied.accepted;
        }
    }

    /// Ends the recovery if the copies of a majority are complete, or if a majority has lost its memory, in which
    /// case a new epoch begins. If all voters have replied and neither holds, begins another round.
    fn try_finish_recovery(&mut self, now: Duration) -> Vec<OutboundMessage> {
        let Some(recovery) = &mut self.recovery else { return Vec::new() };
        if recovery.is_complete(self.voters) {
            self.recovery = None;
            return Vec::new();
        }
        if !recovery.all_replied(self.voters) {
            return Vec::new();
        }
        let without_memory = recovery.without_memory();
        if recovery.majority_lost_memory(&without_memory, self.voters) {
            self.recovery = None;
            self.begin_epoch();
            return Vec::new();
        }
        recovery.begin_round(now, without_memory, self.voters, self.index)
    }

    /// Begins a new epoch with the entries that are left. Each gets a version of the new epoch, because another
    /// value may have been committed under its old version. Each also gets a higher ballot without a proposer, so
    /// that learners do not count its copies as committed.
    fn begin_epoch(&mut self) {
        self.epoch = (self.epoch + 1).max(self.first_epoch);
        for register in self.registers.values_mut() {
            let Some(AcceptedEntry { ballot, entry }) = &mut register.accepted else { continue };
            *ballot = Ballot { round: ballot.round + 1, proposer: NO_PROPOSER };
            entry.version.epoch = self.epoch;
            register.promised = register.promised.max(*ballot);
        }
    }
}
