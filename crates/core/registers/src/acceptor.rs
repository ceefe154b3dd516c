//! A voter's part of the registers: it promises, accepts, and, where its memory is lost, gets it back from the others
//! before it says anything.

use crate::{
    Accepted, ChangedRegister, Changes, Entry, MAX_PAGE_BYTES, MAX_REGISTER_OVERHEAD_BYTES, MAX_REGISTERS,
    NOBODY, Name, OutboundMessage, RegisterReply, RegisterRequest, RegisterState, majority,
};
use lemonusher_leases::{Ballot, LeaseConfig, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

const COPY_RETRY_DIVISOR: u32 = 8; // Who copies asks again after this part of a lease.

/// What an acceptor must never forget, as a folder keeps it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct PersistentState {
    pub epoch: u64,
    pub registers: Vec<RegisterState>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct Slot {
    promised: Ballot,
    accepted: Accepted,
    /// The acceptor's revision when this was accepted, from 1 on; 0 while nothing is.
    revision: u64,
}

/// How an acceptor stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AcceptorState {
    /// Attempts that it may have answered before it lost its memory can still be under way.
    Silent,
    /// It copies what the others know.
    Recovering,
    Voting,
}

impl fmt::Display for AcceptorState {
    /// The name in logs.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            AcceptorState::Silent => "Mute",
            AcceptorState::Recovering => "Copying",
            AcceptorState::Voting => "Voting",
        })
    }
}

/// What one of the others has said in a round of copying.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PeerCopy {
    incarnation: u64,
    without_memory: bool,
    /// All its rows have been taken in, or the last name of those that have.
    complete: bool,
    after: Name,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Recovery {
    from: Duration,
    next: Duration,
    round: u64,
    replies: BTreeMap<usize, PeerCopy>,
    /// Who was blank in the round before, and in which incarnation.
    without_memory_before: BTreeMap<usize, u64>,
}

/// A voter's registers. `born` is a number drawn at its start; `place` its own in the list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    voters: usize,
    index: usize,
    incarnation: u64,
    epoch: u64,
    /// An epoch begins at this at least, where no voter remembers one: by the date, where there is no folder.
    first_epoch: u64,
    slots: BTreeMap<Name, Slot>,
    /// Counts what has been accepted in this incarnation.
    revision: u64,
    recovery: Option<Recovery>,
}

impl Acceptor {
    /// One that knows nothing. It says nothing for as long as an attempt that it answered in an earlier incarnation may last;
    /// then it copies.
    pub fn without_memory(
        now: Duration,
        config: &LeaseConfig,
        voters: usize,
        index: usize,
        incarnation: u64,
        first_epoch: u64,
    ) -> Acceptor {
        let from = now + config.voter_hold_time();
        let recovery = Recovery {
            from,
            next: from,
            round: 0,
            replies: BTreeMap::new(),
            without_memory_before: BTreeMap::new(),
        };
        let slots = BTreeMap::new();
        Acceptor {
            voters,
            index,
            incarnation,
            epoch: 0,
            first_epoch,
            slots,
            revision: 0,
            recovery: Some(recovery),
        }
    }

    /// One whose folder has kept all that it ever said.
    pub fn restored(voters: usize, index: usize, incarnation: u64, stored: PersistentState) -> Acceptor {
        let mut revision = 0;
        let mut slots = BTreeMap::new();
        for RegisterState { name, promised, accepted } in stored.registers {
            revision += u64::from(accepted.is_some());
            let revision_at = if accepted.is_some() { revision } else { 0 };
            slots.insert(name, Slot { promised, accepted, revision: revision_at });
        }
        Acceptor {
            voters,
            index,
            incarnation,
            epoch: stored.epoch,
            first_epoch: 0,
            slots,
            revision,
            recovery: None,
        }
    }

    pub fn persistent_state(&self) -> PersistentState {
        let registers = self.slots.iter().map(|(name, slot)| register(name, slot));
        PersistentState { epoch: self.epoch, registers: registers.collect() }
    }

    pub fn state(&self, now: Duration) -> AcceptorState {
        match &self.recovery {
            None => AcceptorState::Voting,
            Some(recovery) if now < recovery.from => AcceptorState::Silent,
            Some(_) => AcceptorState::Recovering,
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// What it has accepted; that alone does not make it settled.
    pub fn accepted(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.slots.iter().filter_map(|(name, slot)| Some((name, &slot.accepted.as_ref()?.1)))
    }

    /// When `turn` has something to do again.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.recovery.as_ref().map(|recovery| recovery.next)
    }

    /// Asks for what is missing of the copy.
    pub fn poll(&mut self, now: Duration, config: &LeaseConfig) -> Vec<OutboundMessage> {
        let (voters, index) = (self.voters, self.index);
        let Some(recovery) = self.recovery.as_mut().filter(|recovery| recovery.next <= now) else {
            return Vec::new();
        };
        recovery.next = now + config.duration / COPY_RETRY_DIVISOR;
        let others = (0..voters).filter(|voter| *voter != index);
        let missing = others.filter(|voter| {
            recovery.replies.get(voter).is_none_or(|replies| !replies.complete && !replies.without_memory)
        });
        let messages = missing.map(|voter| {
            let after = recovery.replies.get(&voter).map(|replies| replies.after.clone()).unwrap_or_default();
            OutboundMessage { voter, request: RegisterRequest::CopyState { round: recovery.round, after } }
        });
        messages.collect()
    }

    /// Takes in what another voter says when asked for a copy.
    pub fn handle_copy(&mut self, now: Duration, from: usize, reply: RegisterReply) -> Vec<OutboundMessage> {
        let RegisterReply::StateCopy { round, incarnation, without_memory, epoch, registers, more } = reply
        else {
            return Vec::new();
        };
        let Some(recovery) = self.recovery.as_mut().filter(|recovery| recovery.round == round) else {
            return Vec::new();
        };
        if from == self.index || from >= self.voters || now < recovery.from {
            return Vec::new();
        }
        let fresh = PeerCopy { incarnation, without_memory, complete: false, after: Name::new() };
        let replies = recovery.replies.entry(from).or_insert_with(|| fresh.clone());
        if replies.incarnation != incarnation || replies.without_memory != without_memory {
            *replies = fresh; // It has started anew, or got its memory back: what it said before is void.
        }
        if without_memory {
            return self.try_finish_recovery(now);
        }
        self.epoch = self.epoch.max(epoch);
        if registers.first().is_some_and(|register| register.name <= replies.after) {
            return Vec::new(); // A repeat of a page that is in already.
        }
        if let Some(last) = registers.last() {
            replies.after = last.name.clone();
        }
        replies.complete = !more;
        for register in registers {
            let slot = self.slots.entry(register.name).or_default();
            slot.promised = slot.promised.max(register.promised);
            if register.accepted.as_ref().map(|(ballot, _)| ballot)
                > slot.accepted.as_ref().map(|(ballot, _)| ballot)
            {
                self.revision += 1;
                (slot.accepted, slot.revision) = (register.accepted, self.revision);
            }
        }
        if more {
            let after = replies.after.clone();
            return vec![OutboundMessage {
                voter: from,
                request: RegisterRequest::CopyState { round, after },
            }];
        }
        self.try_finish_recovery(now)
    }

    /// It votes again once a majority of voters, itself not counted, has given it all that they know: whatever a
    /// majority with this acceptor in it has settled, one of those knows too.
    ///
    /// Where a majority has lost its memory there is no such majority any more. Only if **all** voters have been heard
    /// from, and the same incarnations of a majority were blank in two rounds on end, so that they were so all at once at the
    /// time between, is a new epoch begun with what is left. Values may have gone back then, and the epoch shows it.
    fn try_finish_recovery(&mut self, now: Duration) -> Vec<OutboundMessage> {
        let Some(recovery) = &mut self.recovery else { return Vec::new() };
        let complete = recovery.replies.values().filter(|replies| replies.complete).count();
        if complete >= majority(self.voters) {
            self.recovery = None;
            return Vec::new();
        }
        let all_replied = recovery.replies.len() + 1 == self.voters;
        if !all_replied
            || recovery.replies.values().any(|replies| !replies.complete && !replies.without_memory)
        {
            return Vec::new();
        }
        let without_memory: BTreeMap<usize, u64> = (recovery.replies.iter())
            .filter(|(_, replies)| replies.without_memory)
            .map(|(voter, replies)| (*voter, replies.incarnation))
            .collect();
        let in_both_rounds = without_memory
            .iter()
            .filter(|(voter, incarnation)| recovery.without_memory_before.get(voter) == Some(incarnation));
        if in_both_rounds.count() + 1 >= majority(self.voters) {
            self.recovery = None;
            self.begin_epoch();
            return Vec::new();
        }
        recovery.without_memory_before = without_memory;
        recovery.round += 1;
        recovery.replies.clear();
        recovery.next = now;
        let round = recovery.round;
        let others = (0..self.voters).filter(|voter| *voter != self.index);
        others
            .map(|voter| OutboundMessage {
                voter,
                request: RegisterRequest::CopyState { round, after: Name::new() },
            })
            .collect()
    }

    /// What is left gets stamps of the new epoch, as another value may have been settled under the stamp that it had, and
    /// a ballot of nobody above the one it had, so that it is not taken for settled where it is copied on.
    fn begin_epoch(&mut self) {
        self.epoch = (self.epoch + 1).max(self.first_epoch);
        for slot in self.slots.values_mut() {
            let Some((ballot, entry)) = &mut slot.accepted else { continue };
            *ballot = Ballot { round: ballot.round + 1, proposer: NOBODY };
            entry.version.epoch = self.epoch;
            slot.promised = slot.promised.max(*ballot);
        }
    }

    /// A register that a new epoch has begun with and that nobody has proposed since; somebody must, if only by reading it.
    pub fn unproposed_register(&self, now: Duration) -> Option<&Name> {
        let unproposed =
            |slot: &Slot| matches!(&slot.accepted, Some((ballot, _)) if ballot.proposer == NOBODY);
        let left = self.slots.iter().find(|(_, slot)| unproposed(slot)).map(|(name, _)| name);
        left.filter(|_| self.state(now) == AcceptorState::Voting)
    }

    /// Answers an ask. What it says must last, where there is a folder, before the answer goes out.
    pub fn handle_request(&mut self, now: Duration, request: RegisterRequest) -> Option<RegisterReply> {
        if let RegisterRequest::CopyState { round, after } = request {
            return Some(self.copy_state(round, &after));
        }
        let voting = self.state(now) == AcceptorState::Voting;
        let (name, ballot) = match &request {
            RegisterRequest::Prepare { name, ballot } | RegisterRequest::Accept { name, ballot, .. } => {
                (name.clone(), *ballot)
            }
            RegisterRequest::Read { name, known } => return Some(self.read(name, *known)).filter(|_| voting),
            RegisterRequest::ChangesSince { incarnation, revision: since } => {
                return Some(self.changes(*incarnation, *since)).filter(|_| voting);
            }
            RegisterRequest::CopyState { .. } => return None,
        };
        let has_room = self.slots.contains_key(&name) || self.slots.len() < MAX_REGISTERS;
        let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && ballot > Ballot::default();
        let fits_limit = !matches!(&request, RegisterRequest::Accept { entry, .. } if entry.value.len() > crate::MAX_VALUE_BYTES);
        if !voting || !has_room || !is_valid || !fits_limit {
            return Some(RegisterReply::Silent { name, ballot });
        }
        let epoch = self.epoch;
        let slot = self.slots.entry(name.clone()).or_default();
        // Guards against what was asked before a majority forgot and comes only now: nobody counts it any more but who
        // follows, and another value may have stood under its stamp.
        let is_older_epoch =
            matches!(&request, RegisterRequest::Accept { entry, .. } if entry.version.epoch < epoch);
        if ballot < slot.promised || is_older_epoch {
            return Some(RegisterReply::StaleBallot { name, ballot, round: slot.promised.round });
        }
        slot.promised = ballot;
        match request {
            RegisterRequest::Accept { entry, .. } => {
                self.epoch = epoch.max(entry.version.epoch);
                self.revision += 1;
                (slot.accepted, slot.revision) = (Some((ballot, entry)), self.revision);
                Some(RegisterReply::Accepted { name, ballot })
            }
            _ => Some(RegisterReply::Promise { name, ballot, epoch, accepted: slot.accepted.clone() }),
        }
    }

    fn read(&self, name: &Name, known: Option<crate::EntryVersion>) -> RegisterReply {
        let Some((ballot, entry)) = self.slots.get(name).and_then(|slot| slot.accepted.as_ref()) else {
            return RegisterReply::NotFound { name: name.clone() };
        };
        let version = entry.version;
        let entry = (known != Some(version)).then(|| entry.clone());
        RegisterReply::Value { name: name.clone(), ballot: *ballot, version, entry }
    }

    /// What was accepted since a revision, in the order of revisions, as much as fits one page.
    fn changes(&self, incarnation: u64, since: u64) -> RegisterReply {
        let since = if incarnation == self.incarnation { since.min(self.revision) } else { 0 };
        let mut changed: Vec<(&Name, &Slot)> =
            self.slots.iter().filter(|(_, slot)| slot.revision > since).collect();
        changed.sort_by_key(|(_, slot)| slot.revision);
        let (mut registers, mut page_bytes, mut revision) = (Vec::new(), 0, self.revision);
        let mut last_revision = since;
        for (name, slot) in &changed {
            let Some((ballot, entry)) = &slot.accepted else { continue };
            page_bytes += name.len() + entry.value.len() + MAX_REGISTER_OVERHEAD_BYTES;
            if !registers.is_empty() && page_bytes > MAX_PAGE_BYTES {
                revision = last_revision;
                break;
            }
            last_revision = slot.revision;
            registers.push(ChangedRegister { name: (*name).clone(), ballot: *ballot, entry: entry.clone() });
        }
        let more = revision < self.revision;
        RegisterReply::Changes(Changes { incarnation: self.incarnation, since, revision, registers, more })
    }

    fn copy_state(&self, round: u64, after: &Name) -> RegisterReply {
        let (incarnation, epoch, without_memory) = (self.incarnation, self.epoch, self.recovery.is_some());
        if without_memory {
            return RegisterReply::StateCopy {
                round,
                incarnation,
                without_memory,
                epoch,
                registers: Vec::new(),
                more: false,
            };
        }
        let (mut registers, mut page_bytes, mut more) = (Vec::new(), 0, false);
        for (name, slot) in self.slots.iter().filter(|(name, _)| *name > after) {
            page_bytes += name.len()
                + slot.accepted.as_ref().map_or(0, |(_, entry)| entry.value.len())
                + MAX_REGISTER_OVERHEAD_BYTES;
            if !registers.is_empty() && page_bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            registers.push(register(name, slot));
        }
        RegisterReply::StateCopy { round, incarnation, without_memory, epoch, registers, more }
    }
}

fn register(name: &Name, slot: &Slot) -> RegisterState {
    RegisterState { name: name.clone(), promised: slot.promised, accepted: slot.accepted.clone() }
}
