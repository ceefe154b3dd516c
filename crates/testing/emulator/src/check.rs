//! The seven rules, checked on what both sides see.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

/// What happens, as the checker is told.
#[derive(Clone)]
pub enum Observation {
    /// A client asks a front: a try, of a request.
    TryArrived { front: usize, id: u64, request: u64, group: usize, key: Option<u64>, limit: Duration },
    /// The one answer to a try.
    TryAnswered { id: u64 },
    /// The client left before its answer.
    ClientGone { id: u64 },
    /// A front sends a request to an engine.
    AttemptSent { front: usize, id: u64, number: u32, engine: usize, work: f64 },
    /// An attempt is over for its front; `may_have_run` as far as the front can know.
    AttemptEnded { id: u64, may_have_run: bool },
    /// The engine really began to run it.
    RequestRan { request: u64 },
    /// An engine drains, as one front has been told, or as all have to know.
    EngineDraining { engine: usize, front: Option<usize> },
    /// An engine started, cold, with so many cores.
    EngineStarted { engine: usize, cores: f64, location: u32 },
    /// A front knows nothing any more of what it had.
    FrontRestarted { front: usize },
}

/// The text of which a run's digest is made. It has the names of earlier versions, so that digests stay comparable.
impl fmt::Debug for Observation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Observation::TryArrived { front, id, request, group, key, limit } => f
                .debug_struct("Asked")
                .field("front", front)
                .field("id", id)
                .field("request", request)
                .field("group", group)
                .field("key", key)
                .field("limit", limit)
                .finish(),
            Observation::TryAnswered { id } => f.debug_struct("Answered").field("id", id).finish(),
            Observation::ClientGone { id } => f.debug_struct("Left").field("id", id).finish(),
            Observation::AttemptSent { front, id, number, engine, work } => f
                .debug_struct("Sent")
                .field("front", front)
                .field("id", id)
                .field("number", number)
                .field("engine", engine)
                .field("work", work)
                .finish(),
            Observation::AttemptEnded { id, may_have_run } => {
                f.debug_struct("Over").field("id", id).field("may_have_run", may_have_run).finish()
            }
            Observation::RequestRan { request } => f.debug_struct("Ran").field("request", request).finish(),
            Observation::EngineDraining { engine, front } => {
                f.debug_struct("Draining").field("engine", engine).field("front", front).finish()
            }
            Observation::EngineStarted { engine, cores, location } => f
                .debug_struct("Started")
                .field("engine", engine)
                .field("cores", cores)
                .field("location", location)
                .finish(),
            Observation::FrontRestarted { front } => f.debug_struct("Forgot").field("front", front).finish(),
        }
    }
}

/// A rule that was broken, and what broke it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: u8,
    pub at: Duration,
    pub message: String,
}

/// What the rules depend on.
#[derive(Debug, Clone, Default)]
pub struct RuleConfig {
    pub drain_grace: Duration,
    pub cold_for: Duration,
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub fall_after: Duration,
    pub once_only: Vec<bool>,
    /// Locations that a request class may go to, and where each engine stands.
    pub locations: Vec<Option<Vec<u32>>>,
    pub places: Vec<u32>,
    pub budget: Option<(f64, f64)>,
    pub slack: Duration,
}

#[derive(Debug)]
struct Try {
    front: usize,
    group: usize,
    key: Option<u64>,
    limit: Duration,
    answered: bool,
    out: u32,
    may_have_run: bool,
}

/// When an engine started, its cores, and work sent there lately.
type SlowStart = (Duration, f64, VecDeque<(Duration, f64)>);

/// Hears everything, in order, and keeps what is broken.
#[derive(Debug, Default)]
pub struct Checker {
    terms: RuleConfig,
    tries: BTreeMap<u64, Try>,
    /// By request: its request class, and how often it was run.
    groups: BTreeMap<u64, usize>,
    ran: BTreeMap<u64, u32>,
    /// Since when an engine drains, by the front that was told or for all.
    draining: BTreeMap<(usize, Option<usize>), Duration>,
    cold: BTreeMap<usize, SlowStart>,
    /// By front: arrivals and retries lately.
    budgets: BTreeMap<usize, (VecDeque<Duration>, VecDeque<Duration>)>,
    /// By front and key: tries in the order taken.
    key_queues: BTreeMap<(usize, u64), VecDeque<u64>>,
    pub violations: Vec<Violation>,
}

const BUDGET_WINDOW: Duration = Duration::from_secs(10);

impl Checker {
    pub fn new(terms: RuleConfig) -> Checker {
        Checker { terms, ..Checker::default() }
    }

    fn report(&mut self, rule: u8, at: Duration, what: String) {
        if self.violations.len() < 100 {
            self.violations.push(Violation { rule, at, message: what });
        }
    }

    pub fn observe(&mut self, now: Duration, seen: Observation) {
        match seen {
            Observation::TryArrived { front, id, request, group, key, limit } => {
                self.budgets.entry(front).or_default().0.push_back(now);
                if let Some(key) = key {
                    self.key_queues.entry((front, key)).or_default().push_back(id);
                }
                self.groups.insert(request, group);
                let held = Try { front, group, key, limit, answered: false, out: 0, may_have_run: false };
                self.tries.insert(id, held);
            }
            Observation::TryAnswered { id } => {
                let Some(held) = self.tries.get_mut(&id) else {
                    return self.report(1, now, format!("an answer to nothing asked, {id}"));
                };
                let (again, late) =
                    (std::mem::replace(&mut held.answered, true), now > held.limit + self.terms.slack);
                if again {
                    self.report(1, now, format!("try {id} is answered again"));
                } else if late {
                    self.report(1, now, format!("try {id} is answered late"));
                }
                self.leave_key_queue(id);
            }
            Observation::ClientGone { id } => {
                if let Some(held) = self.tries.get_mut(&id) {
                    held.answered = true;
                }
                self.leave_key_queue(id);
            }
            Observation::AttemptSent { front, id, number, engine, work } => {
                self.check_sent(now, front, id, number, engine, work)
            }
            Observation::AttemptEnded { id, may_have_run } => {
                if let Some(held) = self.tries.get_mut(&id) {
                    held.out = held.out.saturating_sub(1);
                    held.may_have_run |= may_have_run;
                }
            }
            Observation::RequestRan { request } => {
                let count = self.ran.entry(request).or_default();
                *count += 1;
                let again = *count > 1;
                if again && self.groups.get(&request).is_some_and(|group| self.terms.once_only[*group]) {
                    self.report(2, now, format!("batch {request} runs again"));
                }
            }
            Observation::EngineDraining { engine, front } => drop(self.draining.insert((engine, front), now)),
            Observation::EngineStarted { engine, cores, location } => {
                if self.terms.places.len() <= engine {
                    self.terms.places.resize(engine + 1, location);
                }
                self.terms.places[engine] = location;
                self.draining.retain(|(drains, _), _| *drains != engine);
                self.cold.insert(engine, (now, cores, VecDeque::new()));
            }
            Observation::FrontRestarted { front } => {
                self.key_queues.retain(|(held, _), _| *held != front);
                self.tries
                    .values_mut()
                    .filter(|held| held.front == front)
                    .for_each(|held| held.answered = true);
            }
        }
    }

    fn leave_key_queue(&mut self, id: u64) {
        let Some(held) = self.tries.get(&id) else { return };
        if let Some(key_queue) = held.key.and_then(|key| self.key_queues.get_mut(&(held.front, key))) {
            key_queue.retain(|other| *other != id);
        }
    }

    fn check_sent(&mut self, now: Duration, front: usize, id: u64, number: u32, engine: usize, work: f64) {
        let Some(held) = self.tries.get_mut(&id) else {
            return self.report(1, now, format!("{id} is sent and was not asked"));
        };
        let mut found: Vec<(u8, String)> = Vec::new();
        if held.answered {
            found.push((1, format!("try {id} is sent after its answer")));
        }
        if self.terms.once_only[held.group] && (held.may_have_run || held.out > 0) {
            found.push((2, format!("try {id} must run once and is sent again")));
        }
        if held.out > 0 {
            found.push((2, format!("try {id} is out twice at once")));
        }
        held.out += 1;
        let (group, key) = (held.group, held.key);
        let notified = self.draining.get(&(engine, Some(front)));
        if let Some(at) = self.draining.get(&(engine, None)).or(notified)
            && now > *at + self.terms.drain_grace + self.terms.slack
        {
            found.push((3, format!("engine {engine} drains and is sent {id}")));
        }
        if let Some((started, cores, sent)) = self.cold.get_mut(&engine)
            && now < *started + self.terms.cold_for
        {
            {
                while sent.front().is_some_and(|(at, _)| *at + self.terms.fall_after <= now) {
                    sent.pop_front();
                }
                sent.push_back((now, work));
                let bears = self.terms.fall_multiple
                    * self.terms.cold_from
                    * *cores
                    * self.terms.fall_after.as_secs_f64();
                let all: f64 = sent.iter().map(|(_, work)| work).sum();
                // One request alone may be more than it bears; that is nobody's doing.
                if all > bears && sent.len() > 1 {
                    found
                        .push((4, format!("engine {engine} is cold, bears {bears:.1} and is sent {all:.1}")));
                }
            }
        }
        if let Some(key) = key
            && let Some(first) = self.key_queues.get(&(front, key)).and_then(|key_queue| key_queue.front())
            && *first != id
        {
            found.push((5, format!("{id} of key {key} overtakes {first}")));
        }
        let place = self.terms.places[engine];
        if self.terms.locations[group].as_ref().is_some_and(|allowed| !allowed.contains(&place)) {
            found.push((6, format!("{id} goes to location {place}")));
        }
        if number > 0
            && let Some((free, share)) = self.terms.budget
        {
            let (arrivals, further) = self.budgets.entry(front).or_default();
            for dates in [&mut *arrivals, &mut *further] {
                while dates.front().is_some_and(|at| *at + BUDGET_WINDOW < now) {
                    dates.pop_front();
                }
            }
            further.push_back(now);
            let allowed = free + share * arrivals.len() as f64;
            let count = further.len() as f64;
            if count > allowed + 1.0 {
                found.push((7, format!("front {front} sends {count} further ones of {allowed:.1}")));
            }
        }
        for (rule, what) in found {
            self.report(rule, now, what);
        }
    }

    /// All is over: every try had its answer.
    pub fn finish(&mut self, now: Duration) {
        let open: Vec<u64> = (self.tries.iter())
            .filter(|(_, held)| !held.answered && held.limit + self.terms.slack < now)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.report(1, now, format!("try {id} had no answer"));
        }
    }
}
