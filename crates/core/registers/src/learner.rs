//! Who only follows registers: it believes a value once a majority of voters shows the same, and never goes back.

use crate::{
    ChangedRegister, Changes, Entry, EntryVersion, NOBODY, Name, OutboundMessage, RegisterReply,
    RegisterRequest, majority,
};
use lemonusher_leases::Ballot;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a voter shows of a register counts for so many periods.
const SHOWN_FOR: u32 = 2;
/// Who has replied to an ask of one kind is taken to read it for so many periods.
const READS_FOR: u32 = 8;

/// What one voter last showed of a register.
#[derive(Debug, Clone, Copy)]
struct Shown {
    ballot: Ballot,
    stamp: EntryVersion,
    at: Duration,
}

#[derive(Debug, Clone, Default)]
struct Followed {
    settled: Option<Entry>,
    /// When a majority last showed that what is settled here still stands.
    sure: Option<Duration>,
    shown: BTreeMap<usize, Shown>,
    /// Entries that were shown and are newer than what is settled, by the round in which they were accepted: until one
    /// is settled, two of a stamp may differ.
    seen: BTreeMap<Ballot, Entry>,
    /// Voters that have shown nothing there.
    empty: BTreeSet<usize>,
}

/// How far the changes of one voter are known.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// The voter's incarnation; 0 before any is known.
    born: u64,
    revision: u64,
    /// When it last replied with changes.
    told_changes: Option<Duration>,
    /// When it last replied on a register asked for by name.
    told_names: Option<Duration>,
}

/// Follows a few registers by asking the voters now and then.
#[derive(Debug, Clone)]
pub struct Learner {
    poll_interval: Duration,
    followed: BTreeMap<Name, Followed>,
    sources: Vec<Source>,
    /// When all are asked again.
    next_poll: Duration,
}

impl Learner {
    pub fn new(voters: usize, every: Duration) -> Learner {
        let sources = vec![Source::default(); voters];
        Learner { poll_interval: every, followed: BTreeMap::new(), sources, next_poll: Duration::ZERO }
    }

    /// Follows a register from now on. Voters tell changes once, so all is asked for anew.
    pub fn watch(&mut self, name: &str) {
        self.followed.entry(name.to_owned()).or_default();
        self.sources.iter_mut().for_each(|source| (source.born, source.revision) = (0, 0));
        self.next_poll = Duration::ZERO;
    }

    /// The newest value known to be settled, and when a majority last showed it.
    pub fn committed(&self, name: &str) -> Option<(&Entry, Duration)> {
        let followed = self.followed.get(name)?;
        followed.settled.as_ref().zip(followed.sure)
    }

    /// All values that are known to be settled.
    pub fn all_committed(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.followed
            .iter()
            .filter_map(|(name, followed)| followed.settled.as_ref().map(|entry| (name, entry)))
    }

    /// Whether a majority has shown that nothing was settled there when this follower began to ask.
    pub fn is_known_empty(&self, name: &str) -> bool {
        self.followed.get(name).is_some_and(|followed| followed.empty.len() >= majority(self.sources.len()))
    }

    pub fn next_timeout(&self) -> Option<Duration> {
        (!self.followed.is_empty()).then_some(self.next_poll)
    }

    /// Asks all voters for changes once that is due, `chance` (from 0 up to 1) apart from other fronts.
    ///
    /// A voter of an earlier version reads no ask for changes. Who does not reply to it is asked for one register by
    /// name as well, and only one that replies to this, for all.
    pub fn poll(&mut self, now: Duration, chance: &mut impl FnMut() -> f64) -> Vec<OutboundMessage> {
        let mut posts = Vec::new();
        if now < self.next_poll || self.followed.is_empty() {
            return posts;
        }
        self.next_poll = now + self.poll_interval.mul_f64(0.75 + 0.5 * chance());
        let lately = |at: Option<Duration>| at.is_some_and(|at| at + self.poll_interval * READS_FOR > now);
        for (voter, source) in self.sources.iter().enumerate() {
            posts.push(source.ask(voter));
            let by_name = match (lately(source.told_changes), lately(source.told_names)) {
                (true, _) => 0,
                (false, true) => self.followed.len(),
                (false, false) => 1,
            };
            for (name, followed) in self.followed.iter().take(by_name) {
                let known = followed.settled.as_ref().map(|entry| entry.version);
                posts.push(OutboundMessage {
                    voter,
                    request: RegisterRequest::Read { name: name.clone(), known },
                });
            }
        }
        posts
    }

    /// Who has settled a value itself need not ask.
    pub fn observe_committed(&mut self, now: Duration, name: &str, entry: &Entry) {
        if let Some(followed) = self.followed.get_mut(name) {
            followed.take(now, entry);
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
            RegisterReply::NotFound { name } => self.hear_empty(now, voter, &name),
            RegisterReply::Value { name, ballot, version: stamp, entry } => {
                self.sources[voter].told_names = Some(now);
                self.show(voter, &name, Shown { ballot, stamp, at: now }, entry);
                self.confirm(now, voter);
            }
            RegisterReply::Changes(changes) => return self.hear_changes(now, voter, changes),
            _ => {}
        }
        Vec::new()
    }

    fn hear_empty(&mut self, now: Duration, voter: usize, name: &str) {
        self.sources[voter].told_names = Some(now);
        if let Some(followed) = self.followed.get_mut(name) {
            followed.empty.insert(voter);
        }
    }

    fn hear_changes(&mut self, now: Duration, voter: usize, changes: Changes) -> Vec<OutboundMessage> {
        let Changes { incarnation: born, since, revision, registers: rows, more } = changes;
        let source = &mut self.sources[voter];
        source.told_changes = Some(now);
        let another_life = born != source.born;
        // A reply that does not go on from what is known is late, or repeated.
        let goes_on = since == if another_life { 0 } else { source.revision };
        if !goes_on {
            return Vec::new();
        }
        (source.born, source.revision) = (born, revision);
        let next = source.ask(voter);
        if another_life {
            self.forget(voter);
        }
        for ChangedRegister { name, ballot, entry } in rows {
            self.show(voter, &name, Shown { ballot, stamp: entry.version, at: now }, Some(entry));
        }
        if more {
            return vec![next];
        }
        self.hear_whole(now, voter);
        Vec::new()
    }

    /// All of a voter's registers are known as they are now.
    fn hear_whole(&mut self, now: Duration, voter: usize) {
        for followed in self.followed.values_mut() {
            match followed.shown.get_mut(&voter) {
                Some(shown) => shown.at = now,
                None => drop(followed.empty.insert(voter)),
            }
        }
        self.confirm(now, voter);
    }

    /// What a voter showed in an earlier incarnation it may have lost.
    fn forget(&mut self, voter: usize) {
        self.followed.values_mut().for_each(|followed| {
            followed.shown.remove(&voter);
        });
    }

    fn show(&mut self, voter: usize, name: &str, shown: Shown, entry: Option<Entry>) {
        let Some(followed) = self.followed.get_mut(name) else { return };
        followed.shown.insert(voter, shown);
        let known = followed.settled.as_ref().map(|entry| entry.version);
        if let Some(entry) = entry.filter(|entry| Some(entry.version) > known) {
            followed.seen.insert(shown.ballot, entry);
        }
        let shown: BTreeSet<Ballot> = followed.shown.values().map(|shown| shown.ballot).collect();
        followed.seen.retain(|ballot, _| shown.contains(ballot));
    }

    /// Believes what a voter has just shown if a majority shows what was accepted in one and the same round: it is
    /// settled.
    fn confirm(&mut self, now: Duration, voter: usize) {
        let (most, counts_for) = (majority(self.sources.len()), self.poll_interval * SHOWN_FOR);
        for followed in self.followed.values_mut() {
            let proposed = |shown: &Shown| shown.at == now && shown.ballot.proposer != NOBODY;
            let Some(one) = followed.shown.get(&voter).copied().filter(proposed) else {
                continue;
            };
            let same = |other: &&Shown| {
                (other.ballot, other.stamp) == (one.ballot, one.stamp) && other.at + counts_for > now
            };
            if followed.shown.values().filter(same).count() < most {
                continue;
            }
            if followed.settled.as_ref().is_some_and(|entry| entry.version == one.stamp) {
                followed.sure = Some(now);
            } else if let Some(entry) = followed.seen.get(&one.ballot).cloned() {
                followed.take(now, &entry);
            }
        }
    }
}

impl Source {
    fn ask(&self, voter: usize) -> OutboundMessage {
        OutboundMessage {
            voter,
            request: RegisterRequest::ChangesSince { incarnation: self.born, revision: self.revision },
        }
    }
}

impl Followed {
    /// Guards against going back: an older value that comes late changes nothing.
    fn take(&mut self, now: Duration, entry: &Entry) {
        let known = self.settled.as_ref().map(|entry| entry.version);
        if Some(entry.version) < known {
            return;
        }
        self.sure = Some(now);
        if Some(entry.version) == known {
            return;
        }
        self.settled = Some(entry.clone());
        self.seen.retain(|_, seen| seen.version > entry.version);
    }
}
