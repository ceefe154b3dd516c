//! Learns which values are committed: it believes a value once a majority of voters reports the same ballot, and never
//! goes back to an older one. The package's documentation says why that is safe. Events are replies and
//! [`Learner::poll`]; outputs are the returned requests.

use crate::{
    ChangedRegister, Changes, Entry, EntryVersion, NOBODY, Name, OutboundMessage, RegisterReply,
    RegisterRequest, majority,
};
use lemonusher_leases::Ballot;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a voter reports of a register counts for so many poll intervals.
const REPORT_LIFETIME_POLLS: u32 = 2;
/// A voter that has replied to one kind of request is taken to support it for so many poll intervals.
const CAPABILITY_LIFETIME_POLLS: u32 = 8;
/// A poll follows the last one after at least this part of the poll interval, and a random part of up to
/// [`POLL_JITTER`] more.
const MIN_POLL_INTERVAL_PART: f64 = 0.75;
/// The random part of the poll interval.
const POLL_JITTER: f64 = 0.5;

/// A value that is known to be committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedEntry<'a> {
    /// The value.
    pub entry: &'a Entry,
    /// When a majority last confirmed that it is the newest.
    pub confirmed_at: Duration,
}

/// What one voter last reported of a register.
#[derive(Debug, Clone, Copy)]
struct Report {
    ballot: Ballot,
    version: EntryVersion,
    reported_at: Duration,
}

#[derive(Debug, Clone, Default)]
struct WatchedRegister {
    committed: Option<Entry>,
    /// When a majority last confirmed `committed`; set whenever that is.
    confirmed_at: Option<Duration>,
    /// By the voter's index.
    reports: BTreeMap<usize, Report>,
    /// Reported entries newer than `committed`, by ballot: until one is committed, two of a version may differ.
    candidates: BTreeMap<Ballot, Entry>,
    /// Voters that have reported that nothing was accepted.
    empty: BTreeSet<usize>,
}

/// How far the changes of one voter are known, and which requests it supports.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// The voter's incarnation; 0 before any is known.
    incarnation: u64,
    /// The last revision of that incarnation that is known.
    revision: u64,
    /// When it last replied with changes.
    last_changes_reply: Option<Duration>,
    /// When it last replied to a read of one register.
    last_read_reply: Option<Duration>,
}

/// Watches a few registers by polling the voters.
#[derive(Debug, Clone)]
pub struct Learner {
    poll_interval: Duration,
    registers: BTreeMap<Name, WatchedRegister>,
    /// By the voter's index.
    sources: Vec<Source>,
    next_poll: Duration,
}

impl Learner {
    /// A learner that watches nothing yet, of a fleet with so many voters.
    pub fn new(voters: usize, poll_interval: Duration) -> Learner {
        let sources = vec![Source::default(); voters];
        Learner { poll_interval, registers: BTreeMap::new(), sources, next_poll: Duration::ZERO }
    }

    /// Watches a register from now on. Voters report a change once, so all registers are asked for anew.
    pub fn watch(&mut self, name: &str) {
        self.registers.entry(name.to_owned()).or_default();
        for source in &mut self.sources {
            source.incarnation = 0;
            source.revision = 0;
        }
        self.next_poll = Duration::ZERO;
    }

    /// The newest value known to be committed.
    pub fn committed(&self, name: &str) -> Option<CommittedEntry<'_>> {
        let register = self.registers.get(name)?;
        let (entry, confirmed_at) = register.committed.as_ref().zip(register.confirmed_at)?;
        Some(CommittedEntry { entry, confirmed_at })
    }

    /// All values that are known to be committed.
    pub fn all_committed(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.registers.iter().filter_map(|(name, register)| Some((name, register.committed.as_ref()?)))
    }

    /// Whether a majority has reported that nothing was accepted there when this learner began to ask.
    pub fn is_known_empty(&self, name: &str) -> bool {
        let is_empty = |register: &WatchedRegister| register.empty.len() >= majority(self.sources.len());
        self.registers.get(name).is_some_and(is_empty)
    }

    /// When [`Learner::poll`] has something to do next.
    pub fn next_timeout(&self) -> Option<Duration> {
        (!self.registers.is_empty()).then_some(self.next_poll)
    }

    /// Asks all voters for changes once that is due. `chance` yields numbers from 0 up to 1; each poll draws one, so that
    /// fronts poll at different times.
    ///
    /// A voter of an earlier version does not support requests for changes. A voter that does not reply to them is also
    /// sent a read of one register, and once it has replied to that, a read of each.
    pub fn poll(&mut self, now: Duration, chance: &mut impl FnMut() -> f64) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        if now < self.next_poll || self.registers.is_empty() {
            return messages;
        }
        self.next_poll = now + self.poll_interval.mul_f64(MIN_POLL_INTERVAL_PART + POLL_JITTER * chance());
        let lifetime = self.poll_interval * CAPABILITY_LIFETIME_POLLS;
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| at + lifetime > now);
        for (voter, source) in self.sources.iter().enumerate() {
            messages.push(source.changes_request(voter));
            let reads = match (is_recent(source.last_changes_reply), is_recent(source.last_read_reply)) {
                (true, _) => 0,
                (false, true) => self.registers.len(),
                (false, false) => 1,
            };
            for (name, register) in self.registers.iter().take(reads) {
                let known = register.committed.as_ref().map(|entry| entry.version);
                let request = RegisterRequest::Read { name: name.clone(), known };
                messages.push(OutboundMessage { voter, request });
            }
        }
        messages
    }

    /// This front has itself committed a value, or read it, and need not ask for it.
    pub fn observe_committed(&mut self, now: Duration, name: &str, entry: &Entry) {
        if let Some(register) = self.registers.get_mut(name) {
            register.commit(now, entry);
        }
    }

    /// Takes in a voter's reply, and returns the request for the next page, if there is one. `voter` is its index.
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
        if let Some(register) = self.registers.get_mut(name) {
            register.empty.insert(voter);
        }
    }

    fn handle_changes(&mut self, now: Duration, voter: usize, changes: Changes) -> Vec<OutboundMessage> {
        let Changes { incarnation, since, revision, registers, more } = changes;
        let source = &mut self.sources[voter];
        source.last_changes_reply = Some(now);
        let is_new_incarnation = incarnation != source.incarnation;
        let known_revision = if is_new_incarnation { 0 } else { source.revision };
        if since != known_revision {
            return Vec::new(); // Late or repeated.
        }
        source.incarnation = incarnation;
        source.revision = revision;
        let next_page = source.changes_request(voter);
        if is_new_incarnation {
            self.forget_reports(voter);
        }
        for ChangedRegister { name, ballot, entry } in registers {
            let report = Report { ballot, version: entry.version, reported_at: now };
            self.record_report(voter, &name, report, Some(entry));
        }
        if more {
            return vec![next_page];
        }
        self.handle_last_page(now, voter);
        Vec::new()
    }

    /// All of a voter's registers are known as they are now: those without a change are reported anew.
    fn handle_last_page(&mut self, now: Duration, voter: usize) {
        for register in self.registers.values_mut() {
            match register.reports.get_mut(&voter) {
                Some(report) => report.reported_at = now,
                None => drop(register.empty.insert(voter)),
            }
        }
        self.confirm(now, voter);
    }

    /// A voter may have lost what it reported in an earlier incarnation.
    fn forget_reports(&mut self, voter: usize) {
        for register in self.registers.values_mut() {
            register.reports.remove(&voter);
        }
    }

    fn record_report(&mut self, voter: usize, name: &str, report: Report, entry: Option<Entry>) {
        let Some(register) = self.registers.get_mut(name) else { return };
        register.reports.insert(voter, report);
        let known = register.committed.as_ref().map(|entry| entry.version);
        if let Some(entry) = entry.filter(|entry| Some(entry.version) > known) {
            register.candidates.insert(report.ballot, entry);
        }
        let reported: BTreeSet<Ballot> = register.reports.values().map(|report| report.ballot).collect();
        register.candidates.retain(|ballot, _| reported.contains(ballot));
    }

    /// Commits or confirms what a voter has just reported, where a majority reports the same ballot.
    fn confirm(&mut self, now: Duration, voter: usize) {
        let needed = majority(self.sources.len());
        let lifetime = self.poll_interval * REPORT_LIFETIME_POLLS;
        for register in self.registers.values_mut() {
            register.confirm(now, voter, needed, lifetime);
        }
    }
}

impl Source {
    fn changes_request(&self, voter: usize) -> OutboundMessage {
        let request =
            RegisterRequest::ChangesSince { incarnation: self.incarnation, revision: self.revision };
        OutboundMessage { voter, request }
    }
}

impl WatchedRegister {
    /// `needed`: how many voters must report the same ballot within `lifetime`.
    fn confirm(&mut self, now: Duration, voter: usize, needed: usize, lifetime: Duration) {
        let is_proposed = |report: &Report| report.reported_at == now && report.ballot.proposer != NOBODY;
        let Some(report) = self.reports.get(&voter).copied().filter(is_proposed) else { return };
        let agrees = |other: &&Report| {
            other.ballot == report.ballot
                && other.version == report.version
                && other.reported_at + lifetime > now
        };
        if self.reports.values().filter(agrees).count() < needed {
            return;
        }
        if self.committed.as_ref().is_some_and(|entry| entry.version == report.version) {
            self.confirmed_at = Some(now);
        } else if let Some(entry) = self.candidates.get(&report.ballot).cloned() {
            self.commit(now, &entry);
        }
    }

    /// Takes a committed value. An older one that arrives late changes nothing.
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
        self.candidates.retain(|_, candidate| candidate.version > entry.version);
    }
}
