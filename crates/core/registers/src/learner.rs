//! The learner, which polls the voters for changes. A value counts as committed once a majority of voters reports
//! it in the same ballot, and is never replaced by an older one. The crate's documentation says why that is safe.
//! Events are replies and [`Learner::poll`]; outputs are the returned requests.

use crate::{
    ChangedRegister, Changes, Entry, EntryVersion, NO_PROPOSER, Name, OutboundMessage, RegisterReply,
    RegisterRequest, majority,
};
use lemonusher_leases::Ballot;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of poll intervals for which a voter's report of a register counts.
const REPORT_LIFETIME_POLLS: u32 = 2;
/// Number of poll intervals after a reply for which a voter is assumed to support that kind of request.
const CAPABILITY_LIFETIME_POLLS: u32 = 8;
/// Minimum time between two polls, as a share of the poll interval. A random share of up to [`POLL_JITTER_SHARE`]
/// is added.
const MIN_POLL_INTERVAL_SHARE: f64 = 0.75;
/// Maximum random time added between two polls, as a share of the poll interval.
const POLL_JITTER_SHARE: f64 = 0.5;

/// A committed value of a register, as a learner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedEntry<'a> {
    /// The committed entry.
    pub entry: &'a Entry,
    /// Time at which a majority last confirmed that the entry is the newest.
    pub confirmed_at: Duration,
}

/// The last report of one voter about a register.
#[derive(Debug, Clone, Copy)]
struct Report {
    ballot: Ballot,
    version: EntryVersion,
    reported_at: Duration,
}

#[derive(Debug, Clone, Default)]
struct WatchedRegister {
    committed: Option<Entry>,
    /// Time at which a majority last confirmed `committed`; set whenever `committed` is.
    confirmed_at: Option<Duration>,
    /// By the index of the voter.
    reports: BTreeMap<usize, Report>,
    /// Reported entries newer than `committed`, by ballot. Two of them may have the same version and different values
    /// until one is committed.
    candidates: BTreeMap<Ballot, Entry>,
    /// Indices of the voters that have reported that nothing was accepted.
    empty: BTreeSet<usize>,
}

/// The last known revision of one voter, and the kinds of requests that it supports.
#[derive(Debug, Clone, Copy, Default)]
struct VoterCursor {
    /// The voter's incarnation; 0 while unknown.
    incarnation: u64,
    /// The last known revision of that incarnation.
    revision: u64,
    /// Time at which the voter last replied with changes.
    last_changes_reply: Option<Duration>,
    /// Time at which the voter last replied to a read of one register.
    last_read_reply: Option<Duration>,
}

/// Watches a few registers by polling the voters.
#[derive(Debug, Clone)]
pub struct Learner {
    poll_interval: Duration,
    registers: BTreeMap<Name, WatchedRegister>,
    /// By the index of the voter.
    cursors: Vec<VoterCursor>,
    next_poll: Duration,
}

impl Learner {
    /// Creates a learner that watches no register yet, for a fleet with `voters` voters.
    pub fn new(voters: usize, poll_interval: Duration) -> Learner {
        let cursors = vec![VoterCursor::default(); voters];
        Learner { poll_interval, registers: BTreeMap::new(), cursors, next_poll: Duration::ZERO }
    }

    /// Watches a register from now on. Voters report each change only once, so the learner requests all registers
    /// again from the first revision.
    pub fn watch(&mut self, name: &str) {
        self.registers.entry(name.to_owned()).or_default();
        for cursor in &mut self.cursors {
            cursor.incarnation = 0;
            cursor.revision = 0;
        }
        self.next_poll = Duration::ZERO;
    }

    /// The newest value of a register that is known to be committed.
    pub fn committed(&self, name: &str) -> Option<CommittedEntry<'_>> {
        let register = self.registers.get(name)?;
        let (entry, confirmed_at) = register.committed.as_ref().zip(register.confirmed_at)?;
        Some(CommittedEntry { entry, confirmed_at })
    }

    /// The newest committed values of all watched registers that have one.
    pub fn all_committed(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.registers.iter().filter_map(|(name, register)| Some((name, register.committed.as_ref()?)))
    }

    /// Whether a majority has reported, at some time since this learner began to poll, that the register was empty.
    pub fn is_known_empty(&self, name: &str) -> bool {
        let is_empty = |register: &WatchedRegister| register.empty.len() >= majority(self.cursors.len());
        self.registers.get(name).is_some_and(is_empty)
    }

    /// The next time at which [`Learner::poll`] has something to do.
    pub fn next_timeout(&self) -> Option<Duration> {
        (!self.registers.is_empty()).then_some(self.next_poll)
    }

    /// Once a poll is due, returns requests for changes to all voters. `chance` returns random numbers from 0 to
    /// 1; each poll draws one, so that fronts poll at different times.
    ///
    /// A voter of an earlier software version does not support requests for changes. A voter that does not reply
    /// to them is also sent a read of one register and, once it has replied to that, a read of each register.
    pub fn poll(&mut self, now: Duration, chance: &mut impl FnMut() -> f64) -> Vec<OutboundMessage> {
        let mut messages = Vec::new();
        if now < self.next_poll || self.registers.is_empty() {
            return messages;
        }
        self.next_poll =
            now + self.poll_interval.mul_f64(MIN_POLL_INTERVAL_SHARE + POLL_JITTER_SHARE * chance());
        let lifetime = self.poll_interval * CAPABILITY_LIFETIME_POLLS;
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| at + lifetime > now);
        for (voter, cursor) in self.cursors.iter().enumerate() {
            messages.push(cursor.changes_request(voter));
            let reads = match (is_recent(cursor.last_changes_reply), is_recent(cursor.last_read_reply)) {
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

    /// Records a value that this front has committed or read itself, so that it is known before the next poll.
    pub fn observe_committed(&mut self, now: Duration, name: &str, entry: &Entry) {
        if let Some(register) = self.registers.get_mut(name) {
            register.record_committed(now, entry);
        }
    }

    /// Handles a reply and returns the request for the next page, if there is one. `voter` is the index of the
    /// voter that sent the reply.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        voter: usize,
        reply: RegisterReply,
    ) -> Vec<OutboundMessage> {
        if voter >= self.cursors.len() {
            return Vec::new();
        }
        match reply {
            RegisterReply::NotFound { name } => self.handle_not_found(now, voter, &name),
            RegisterReply::Value { name, ballot, version, entry } => {
                self.cursors[voter].last_read_reply = Some(now);
                self.record_report(voter, &name, Report { ballot, version, reported_at: now }, entry);
                self.confirm(now, voter);
            }
            RegisterReply::Changes(changes) => return self.handle_changes(now, voter, changes),
            _ => {}
        }
        Vec::new()
    }

    fn handle_not_found(&mut self, now: Duration, voter: usize, name: &str) {
        self.cursors[voter].last_read_reply = Some(now);
        if let Some(register) = self.registers.get_mut(name) {
            register.empty.insert(voter);
        }
    }

    fn handle_changes(&mut self, now: Duration, voter: usize, changes: Changes) -> Vec<OutboundMessage> {
        let Changes { incarnation, since, revision, registers, more } = changes;
        let cursor = &mut self.cursors[voter];
        cursor.last_changes_reply = Some(now);
        let is_new_incarnation = incarnation != cursor.incarnation;
        let known_revision = if is_new_incarnation { 0 } else { cursor.revision };
        if since != known_revision {
            return Vec::new(); // A delayed or repeated reply.
        }
        cursor.incarnation = incarnation;
        cursor.revision = revision;
        let next_page = cursor.changes_request(voter);
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

    /// Handles the end of a voter's changes. All of its registers are known as of now, so the reports of unchanged
    /// registers are renewed, and a register without a report is empty at that voter.
    fn handle_last_page(&mut self, now: Duration, voter: usize) {
        for register in self.registers.values_mut() {
            match register.reports.get_mut(&voter) {
                Some(report) => report.reported_at = now,
                None => drop(register.empty.insert(voter)),
            }
        }
        self.confirm(now, voter);
    }

    /// Drops a voter's reports of an earlier incarnation, because it may have lost that state.
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

    /// Marks as committed, or confirms, each entry that a voter has just reported and that a majority reports in the
    /// same ballot.
    fn confirm(&mut self, now: Duration, voter: usize) {
        let needed = majority(self.cursors.len());
        let lifetime = self.poll_interval * REPORT_LIFETIME_POLLS;
        for register in self.registers.values_mut() {
            register.confirm(now, voter, needed, lifetime);
        }
    }
}

impl VoterCursor {
    fn changes_request(&self, voter: usize) -> OutboundMessage {
        let request =
            RegisterRequest::ChangesSince { incarnation: self.incarnation, revision: self.revision };
        OutboundMessage { voter, request }
    }
}

impl WatchedRegister {
    /// Marks as committed, or confirms, the entry that `voter` has just reported. `needed` is the number of voters that
    /// must report the same ballot within `lifetime`.
    fn confirm(&mut self, now: Duration, voter: usize, needed: usize, lifetime: Duration) {
        let is_proposed =
            |report: &Report| report.reported_at == now && report.ballot.proposer != NO_PROPOSER;
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
            self.record_committed(now, &entry);
        }
    }

    /// Records a committed value. An older one that arrives late changes nothing.
    fn record_committed(&mut self, now: Duration, entry: &Entry) {
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
