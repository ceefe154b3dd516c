//! A voter's part of the registers: it promises, accepts, and, where its memory is lost, gets it back from the others
//! before it says anything.

use crate::{
    Accepted, ChangedRegister, Changes, Entry, MAX_REGISTERS, NOBODY, Name, OutboundMessage, PAGE, ROW,
    RegisterReply, RegisterRequest, RegisterState, majority,
};
use lemonusher_leases::{Ballot, LeaseConfig, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

const AGAIN: u32 = 8; // Who copies asks again after this part of a lease.

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
struct Told {
    born: u64,
    blank: bool,
    /// All its rows have been taken in, or the last name of those that have.
    whole: bool,
    after: Name,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Copying {
    from: Duration,
    next: Duration,
    round: u64,
    told: BTreeMap<usize, Told>,
    /// Who was blank in the round before, and in which incarnation.
    blank_before: BTreeMap<usize, u64>,
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
    recovery: Option<Copying>,
}

impl Acceptor {
    /// One that knows nothing. It says nothing for as long as an attempt that it answered in an earlier incarnation may last;
    /// then it copies.
    pub fn without_memory(
        now: Duration,
        terms: &LeaseConfig,
        voters: usize,
        place: usize,
        born: u64,
        founding: u64,
    ) -> Acceptor {
        let from = now + terms.voter_hold_time();
        let copying =
            Copying { from, next: from, round: 0, told: BTreeMap::new(), blank_before: BTreeMap::new() };
        let slots = BTreeMap::new();
        Acceptor {
            voters,
            index: place,
            incarnation: born,
            epoch: 0,
            first_epoch: founding,
            slots,
            revision: 0,
            recovery: Some(copying),
        }
    }

    /// One whose folder has kept all that it ever said.
    pub fn restored(voters: usize, place: usize, born: u64, kept: PersistentState) -> Acceptor {
        let mut revision = 0;
        let mut slots = BTreeMap::new();
        for RegisterState { name, promised, accepted } in kept.registers {
            revision += u64::from(accepted.is_some());
            let at = if accepted.is_some() { revision } else { 0 };
            slots.insert(name, Slot { promised, accepted, revision: at });
        }
        Acceptor {
            voters,
            index: place,
            incarnation: born,
            epoch: kept.epoch,
            first_epoch: 0,
            slots,
            revision,
            recovery: None,
        }
    }

    pub fn persistent_state(&self) -> PersistentState {
        let rows = self.slots.iter().map(|(name, slot)| row(name, slot));
        PersistentState { epoch: self.epoch, registers: rows.collect() }
    }

    pub fn state(&self, now: Duration) -> AcceptorState {
        match &self.recovery {
            None => AcceptorState::Voting,
            Some(copying) if now < copying.from => AcceptorState::Silent,
            Some(_) => AcceptorState::Recovering,
        }
    }

    pub fn era(&self) -> u64 {
        self.epoch
    }

    /// What it has accepted; that alone does not make it settled.
    pub fn accepted(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.slots.iter().filter_map(|(name, slot)| Some((name, &slot.accepted.as_ref()?.1)))
    }

    /// When `turn` has something to do again.
    pub fn next_timeout(&self) -> Option<Duration> {
        self.recovery.as_ref().map(|copying| copying.next)
    }

    /// Asks for what is missing of the copy.
    pub fn poll(&mut self, now: Duration, terms: &LeaseConfig) -> Vec<OutboundMessage> {
        let (voters, place) = (self.voters, self.index);
        let Some(copying) = self.recovery.as_mut().filter(|copying| copying.next <= now) else {
            return Vec::new();
        };
        copying.next = now + terms.duration / AGAIN;
        let others = (0..voters).filter(|voter| *voter != place);
        let missing =
            others.filter(|voter| copying.told.get(voter).is_none_or(|told| !told.whole && !told.blank));
        let asks = missing.map(|voter| {
            let after = copying.told.get(&voter).map(|told| told.after.clone()).unwrap_or_default();
            OutboundMessage { voter, request: RegisterRequest::CopyState { round: copying.round, after } }
        });
        asks.collect()
    }

    /// Takes in what another voter says when asked for a copy.
    pub fn handle_copy(&mut self, now: Duration, from: usize, reply: RegisterReply) -> Vec<OutboundMessage> {
        let RegisterReply::StateCopy {
            round,
            incarnation: born,
            without_memory: blank,
            epoch: era,
            registers: rows,
            more,
        } = reply
        else {
            return Vec::new();
        };
        let Some(copying) = self.recovery.as_mut().filter(|copying| copying.round == round) else {
            return Vec::new();
        };
        if from == self.index || from >= self.voters || now < copying.from {
            return Vec::new();
        }
        let fresh = Told { born, blank, whole: false, after: Name::new() };
        let told = copying.told.entry(from).or_insert_with(|| fresh.clone());
        if told.born != born || told.blank != blank {
            *told = fresh; // It has started anew, or got its memory back: what it said before is void.
        }
        if blank {
            return self.settle(now);
        }
        self.epoch = self.epoch.max(era);
        if rows.first().is_some_and(|row| row.name <= told.after) {
            return Vec::new(); // A repeat of a page that is in already.
        }
        if let Some(last) = rows.last() {
            told.after = last.name.clone();
        }
        told.whole = !more;
        for row in rows {
            let slot = self.slots.entry(row.name).or_default();
            slot.promised = slot.promised.max(row.promised);
            if row.accepted.as_ref().map(|(ballot, _)| ballot)
                > slot.accepted.as_ref().map(|(ballot, _)| ballot)
            {
                self.revision += 1;
                (slot.accepted, slot.revision) = (row.accepted, self.revision);
            }
        }
        if more {
            let after = told.after.clone();
            return vec![OutboundMessage {
                voter: from,
                request: RegisterRequest::CopyState { round, after },
            }];
        }
        self.settle(now)
    }

    /// It votes again once a majority of voters, itself not counted, has given it all that they know: whatever a
    /// majority with this acceptor in it has settled, one of those knows too.
    ///
    /// Where a majority has lost its memory there is no such majority any more. Only if **all** voters have been heard
    /// from, and the same incarnations of a majority were blank in two rounds on end, so that they were so all at once at the
    /// time between, is a new epoch begun with what is left. Values may have gone back then, and the epoch shows it.
    fn settle(&mut self, now: Duration) -> Vec<OutboundMessage> {
        let Some(copying) = &mut self.recovery else { return Vec::new() };
        let whole = copying.told.values().filter(|told| told.whole).count();
        if whole >= majority(self.voters) {
            self.recovery = None;
            return Vec::new();
        }
        let all = copying.told.len() + 1 == self.voters;
        if !all || copying.told.values().any(|told| !told.whole && !told.blank) {
            return Vec::new();
        }
        let blank: BTreeMap<usize, u64> = (copying.told.iter())
            .filter(|(_, told)| told.blank)
            .map(|(voter, told)| (*voter, told.born))
            .collect();
        let both = blank.iter().filter(|(voter, born)| copying.blank_before.get(voter) == Some(born));
        if both.count() + 1 >= majority(self.voters) {
            self.recovery = None;
            self.begin_era();
            return Vec::new();
        }
        copying.blank_before = blank;
        copying.round += 1;
        copying.told.clear();
        copying.next = now;
        let round = copying.round;
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
    fn begin_era(&mut self) {
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
    pub fn handle_request(&mut self, now: Duration, ask: RegisterRequest) -> Option<RegisterReply> {
        if let RegisterRequest::CopyState { round, after } = ask {
            return Some(self.copy(round, &after));
        }
        let voting = self.state(now) == AcceptorState::Voting;
        let (name, ballot) = match &ask {
            RegisterRequest::Prepare { name, ballot } | RegisterRequest::Accept { name, ballot, .. } => {
                (name.clone(), *ballot)
            }
            RegisterRequest::Read { name, known } => return Some(self.peek(name, *known)).filter(|_| voting),
            RegisterRequest::ChangesSince { incarnation: born, revision: since } => {
                return Some(self.changes(*born, *since)).filter(|_| voting);
            }
            RegisterRequest::CopyState { .. } => return None,
        };
        let room = self.slots.contains_key(&name) || self.slots.len() < MAX_REGISTERS;
        let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES && ballot > Ballot::default();
        let small = !matches!(&ask, RegisterRequest::Accept { entry, .. } if entry.value.len() > crate::MAX_VALUE_BYTES);
        if !voting || !room || !fits || !small {
            return Some(RegisterReply::Silent { name, ballot });
        }
        let era = self.epoch;
        let slot = self.slots.entry(name.clone()).or_default();
        // Guards against what was asked before a majority forgot and comes only now: nobody counts it any more but who
        // follows, and another value may have stood under its stamp.
        let older = matches!(&ask, RegisterRequest::Accept { entry, .. } if entry.version.epoch < era);
        if ballot < slot.promised || older {
            return Some(RegisterReply::StaleBallot { name, ballot, round: slot.promised.round });
        }
        slot.promised = ballot;
        match ask {
            RegisterRequest::Accept { entry, .. } => {
                self.epoch = era.max(entry.version.epoch);
                self.revision += 1;
                (slot.accepted, slot.revision) = (Some((ballot, entry)), self.revision);
                Some(RegisterReply::Accepted { name, ballot })
            }
            _ => Some(RegisterReply::Promise { name, ballot, epoch: era, accepted: slot.accepted.clone() }),
        }
    }

    fn peek(&self, name: &Name, known: Option<crate::EntryVersion>) -> RegisterReply {
        let Some((ballot, entry)) = self.slots.get(name).and_then(|slot| slot.accepted.as_ref()) else {
            return RegisterReply::NotFound { name: name.clone() };
        };
        let stamp = entry.version;
        let entry = (known != Some(stamp)).then(|| entry.clone());
        RegisterReply::Value { name: name.clone(), ballot: *ballot, version: stamp, entry }
    }

    /// What was accepted since a revision, in the order of revisions, as much as fits one page.
    fn changes(&self, born: u64, since: u64) -> RegisterReply {
        let since = if born == self.incarnation { since.min(self.revision) } else { 0 };
        let mut changed: Vec<(&Name, &Slot)> =
            self.slots.iter().filter(|(_, slot)| slot.revision > since).collect();
        changed.sort_by_key(|(_, slot)| slot.revision);
        let (mut rows, mut bytes, mut revision) = (Vec::new(), 0, self.revision);
        let mut shown_up_to = since;
        for (name, slot) in &changed {
            let Some((ballot, entry)) = &slot.accepted else { continue };
            bytes += name.len() + entry.value.len() + ROW;
            if !rows.is_empty() && bytes > PAGE {
                revision = shown_up_to;
                break;
            }
            shown_up_to = slot.revision;
            rows.push(ChangedRegister { name: (*name).clone(), ballot: *ballot, entry: entry.clone() });
        }
        let more = revision < self.revision;
        RegisterReply::Changes(Changes {
            incarnation: self.incarnation,
            since,
            revision,
            registers: rows,
            more,
        })
    }

    fn copy(&self, round: u64, after: &Name) -> RegisterReply {
        let (born, era, blank) = (self.incarnation, self.epoch, self.recovery.is_some());
        if blank {
            return RegisterReply::StateCopy {
                round,
                incarnation: born,
                without_memory: blank,
                epoch: era,
                registers: Vec::new(),
                more: false,
            };
        }
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (name, slot) in self.slots.iter().filter(|(name, _)| *name > after) {
            bytes += name.len() + slot.accepted.as_ref().map_or(0, |(_, entry)| entry.value.len()) + ROW;
            if !rows.is_empty() && bytes > PAGE {
                more = true;
                break;
            }
            rows.push(row(name, slot));
        }
        RegisterReply::StateCopy {
            round,
            incarnation: born,
            without_memory: blank,
            epoch: era,
            registers: rows,
            more,
        }
    }
}

fn row(name: &Name, slot: &Slot) -> RegisterState {
    RegisterState { name: name.clone(), promised: slot.promised, accepted: slot.accepted.clone() }
}
