//! Who only follows registers: it believes a value once a majority of voters shows the same, and never goes back.

use crate::{
    ChangedRegister, Changes, Entry, EntryVersion, NOBODY, Name, OutboundMessage, RegisterReply,
    RegisterRequest, majority,
};
use lemonusher_leases::Ballot;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a voter shows of a register counts for so many periods.
const REPORT_LIFETIME_POLLS: u32 = 2;
/// Who has replied to an ask of one kind is taken to read it for so many periods.
const CAPABILITY_LIFETIME_POLLS: u32 = 8;

/// What one voter last showed of a register.
#[derive(Debug, Clone, Copy)]
struct Report {
    ballot: Ballot,
    version: EntryVersion,
    reported_at: Duration,
}

#[derive(Debug, Clone, Default)]
struct WatchedRegister {
    committed: Option<Entry>,
    /// When a majority last showed that what is settled here still stands.
    confirmed_at: Option<Duration>,
    reported: BTreeMap<usize, Report>,
    /// Entries that were shown and are newer than what is settled, by the round in which they were accepted: until one
    /// is settled, two of a stamp may differ.
    candidates: BTreeMap<Ballot, Entry>,
    /// Voters that have shown nothing there.
    empty: BTreeSet<usize>,
}

/// How far the changes of one voter are known.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// The voter's incarnation; 0 before any is known.
    incarnation: u64,
    revision: u64,
    /// When it last replied with changes.
    last_changes_reply: Option<Duration>,
    /// When it last replied on a register asked for by name.
    last_read_reply: Option<Duration>,
}

/// Follows a few registers by asking the voters now and then.
#[derive(Debug, Clone)]
pub struct Learner {
    poll_interval: Duration,
    registers: BTreeMap<Name, WatchedRegister>,
    sources: Vec<Source>,
    /// When all are asked again.
    next_poll: Duration,
}

impl Learner {
    pub fn new(voters: usize, poll_interval: Duration) -> Learner {
        let sources = vec![Source::default(); voters];
        Learner { poll_interval, registers: BTreeMap::new(), sources, next_poll: Duration::ZERO }
    }

    /// Follows a register from now on. Voters tell changes once, so all is asked for anew.
    pub fn watch(&mut self, name: &str) {
        self.registers.entry(name.to_owned()).or_default();
        self.sources.iter_mut().for_each(|source| (source.incarnation, source.revision) = (0, 0));
        self.next_poll = Duration::ZERO;
    }

    /// The newest value known to be settled, and when a majority last showed it.
    pub fn committed(&self, name: &str) -> Option<(&Entry, Duration)> {
        let registers = self.registers.get(name)?;
        registers.committed.as_ref().zip(registers.confirmed_at)
    }

    /// All values that are known to be settled.
    pub fn all_committed(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.registers
            .iter()
            .filter_map(|(name, registers)| registers.committed.as_ref().map(|entry| (name, entry)))
    }

    /// Whether a majority has shown that nothing was settled there when this follower began to ask.
    pub fn is_known_empty(&self, name: &str) -> bool {
        self.registers
            .get(name)
            .is_some_and(|registers| registers.empty.len() >= majority(self.sources.len()))
    }

    pub fn next_timeout(&self) -> Option<Duration> {
        (!self.registers.is_empty()).then_some(self.next_poll)
    }

    /// Asks all voters for changes once that is due, `chance` (from 0 up to 1) apart from other fronts.
    ///
    /// A voter of an earlier version reads no ask for changes. Who does not reply to it is asked for one register by
    /// name as well, and only one that replies to this, for all.
    pub fn poll(&mut self, now: Duration, chance: &mut impl FnMut() -> f64) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        if now < self.next_poll || self.registers.is_empty() {
            return messages;
        }
        self.next_poll = now + self.poll_interval.mul_f64(0.75 + 0.5 * chance());
        let recently = |reported_at: Option<Duration>| {
            reported_at
                .is_some_and(|reported_at| reported_at + self.poll_interval * CAPABILITY_LIFETIME_POLLS > now)
        };
        for (voter, source) in self.sources.iter().enumerate() {
            messages.push(source.changes_request(voter));
            let reads = match (recently(source.last_changes_reply), recently(source.last_read_reply)) {
                (true, _) => 0,
                (false, true) => self.registers.len(),
                (false, false) => 1,
            };
            for (name, registers) in self.registers.iter().take(reads) {
                let known = registers.committed.as_ref().map(|entry| entry.version);
                messages.push(OutboundMessage {
                    voter,
                    request: RegisterRequest::Read { name: name.clone(), known },
                });
            }
        }
        messages
    }

    /// Who has settled a value itself need not ask.
    pub fn observe_committed(&mut self, now: Duration, name: &str, entry: &Entry) {
        if let Some(registers) = self.registers.get_mut(name) {
            registers.commit(now, entry);
        }
    }

    /// Takes in what a voter shows; what is to be asked at once, where there is more.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        voter: usize,
        reply: RegisterReply,
    ) -> Vec<OutboundMessage> {
        if voter >= self.sources.len() {
            return Vec::new();
        }
        match reply {
            RegisterReply::NotFound { name } => self.handle_not_found(now, voter, &name),
            RegisterReply::Value { name, ballot, version, entry } => {
                self.sources[voter].last_read_reply = Some(now);
                self.record_report(voter, &name, Report { ballot, version, reported_at: now }, entry);
                self.confirm(now, voter);
            }
            RegisterReply::Changes(changes) => return self.handle_changes(now, voter, changes),
            _ => {}
        }
        Vec::new()
    }

    fn handle_not_found(&mut self, now: Duration, voter: usize, name: &str) {
        self.sources[voter].last_read_reply = Some(now);
        if let Some(registers) = self.registers.get_mut(name) {
            registers.empty.insert(voter);
        }
    }

    fn handle_changes(&mut self, now: Duration, voter: usize, changes: Changes) -> Vec<OutboundMessage> {
        let Changes { incarnation, since, revision, registers: changed, more } = changes;
        let source = &mut self.sources[voter];
        source.last_changes_reply = Some(now);
        let is_new_incarnation = incarnation != source.incarnation;
        // A reply that does not go on from what is known is late, or repeated.
        let is_contiguous = since == if is_new_incarnation { 0 } else { source.revision };
        if !is_contiguous {
            return Vec::new();
        }
        (source.incarnation, source.revision) = (incarnation, revision);
        let next = source.changes_request(voter);
        if is_new_incarnation {
            self.forget_reports(voter);
        }
        for ChangedRegister { name, ballot, entry } in changed {
            self.record_report(
                voter,
                &name,
                Report { ballot, version: entry.version, reported_at: now },
                Some(entry),
            );
        }
        if more {
            return vec![next];
        }
        self.handle_complete(now, voter);
        Vec::new()
    }

    /// All of a voter's registers are known as they are now.
    fn handle_complete(&mut self, now: Duration, voter: usize) {
        for registers in self.registers.values_mut() {
            match registers.reported.get_mut(&voter) {
                Some(reported) => reported.reported_at = now,
                None => drop(registers.empty.insert(voter)),
            }
        }
        self.confirm(now, voter);
    }

    /// What a voter showed in an earlier incarnation it may have lost.
    fn forget_reports(&mut self, voter: usize) {
        self.registers.values_mut().for_each(|registers| {
            registers.reported.remove(&voter);
        });
    }

    fn record_report(&mut self, voter: usize, name: &str, reported: Report, entry: Option<Entry>) {
        let Some(registers) = self.registers.get_mut(name) else { return };
        registers.reported.insert(voter, reported);
        let known = registers.committed.as_ref().map(|entry| entry.version);
        if let Some(entry) = entry.filter(|entry| Some(entry.version) > known) {
            registers.candidates.insert(reported.ballot, entry);
        }
        let reported: BTreeSet<Ballot> =
            registers.reported.values().map(|reported| reported.ballot).collect();
        registers.candidates.retain(|ballot, _| reported.contains(ballot));
    }

    /// Believes what a voter has just shown if a majority shows what was accepted in one and the same round: it is
    /// settled.
    fn confirm(&mut self, now: Duration, voter: usize) {
        let (majority_size, report_lifetime) =
            (majority(self.sources.len()), self.poll_interval * REPORT_LIFETIME_POLLS);
        for registers in self.registers.values_mut() {
            let is_current_proposal =
                |reported: &Report| reported.reported_at == now && reported.ballot.proposer != NOBODY;
            let Some(report) = registers.reported.get(&voter).copied().filter(is_current_proposal) else {
                continue;
            };
            let agrees = |other: &&Report| {
                (other.ballot, other.version) == (report.ballot, report.version)
                    && other.reported_at + report_lifetime > now
            };
            if registers.reported.values().filter(agrees).count() < majority_size {
                continue;
            }
            if registers.committed.as_ref().is_some_and(|entry| entry.version == report.version) {
                registers.confirmed_at = Some(now);
            } else if let Some(entry) = registers.candidates.get(&report.ballot).cloned() {
                registers.commit(now, &entry);
            }
        }
    }
}

impl Source {
    fn changes_request(&self, voter: usize) -> OutboundMessage {
        OutboundMessage {
            voter,
            request: RegisterRequest::ChangesSince { incarnation: self.incarnation, revision: self.revision },
        }
    }
}

impl WatchedRegister {
    /// Guards against going back: an older value that comes late changes nothing.
    fn commit(&mut self, now: Duration, entry: &Entry) {
        let known = self.committed.as_ref().map(|entry| entry.version);
        if Some(entry.version) < known {
            return;
        }
        self.confirmed_at = Some(now);
        if Some(entry.version) == known {
            return;
        }
        self.committed = Some(entry.clone());
        self.candidates.retain(|_, candidates| candidates.version > entry.version);
    }
}
