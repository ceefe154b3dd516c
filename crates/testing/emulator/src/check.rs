//! Checks the seven rules on the observations of clients and engines:
//!
//! 1. Each try gets one response, in time, unless its client disconnects or its front restarts. No attempt is sent
//!    after the response, the disconnection or the restart.
//! 2. A try has one attempt in flight at most, and a non-idempotent request runs at most once.
//! 3. No attempt is sent to a draining engine after the drain grace.
//! 4. An engine that warms up is not sent more work within the overload window than its overload limit, unless by a
//!    single request. The work of a request counts as its class's mean.
//! 5. A front sends requests of one key in order of their arrival.
//! 6. A request is sent only to its class's allowed zones.
//! 7. A front's retries exceed the retry budget by one at most.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

/// An event of a simulation, as the checker observes it.
#[derive(Clone)]
pub enum Observation {
    /// A try of a client's request arrived at a front.
    TryArrived {
        front: usize,
        id: u64,
        request: u64,
        request_class: usize,
        key: Option<u64>,
        limit: Duration,
    },
    /// A try got its response.
    ResponseSent { id: u64 },
    /// The client disconnected before the response.
    ClientDisconnected { id: u64 },
    /// A front sent an attempt of a try to an engine.
    AttemptSent { front: usize, id: u64, number: u32, engine: usize, work: f64 },
    /// An attempt ended for its front; `may_have_run` states whether it may have run as far as the front can know.
    AttemptEnded { id: u64, may_have_run: bool },
    /// An engine accepted an attempt of the request, to run it at once or from its queue.
    RequestRan { request: u64 },
    /// An engine drains, and this front has been notified, or all fronts if `None`.
    EngineDraining { engine: usize, front: Option<usize> },
    /// An engine has started.
    EngineStarted { engine: usize, cores: f64, zone: u32 },
    /// A front has restarted and lost its state.
    FrontRestarted { front: usize },
}

/// Text from which a run's digest is computed. It uses the names of earlier versions, so that digests stay comparable.
impl fmt::Debug for Observation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Observation::TryArrived { front, id, request, request_class, key, limit } => f
                .debug_struct("Asked")
                .field("front", front)
                .field("id", id)
                .field("request", request)
                .field("group", request_class)
                .field("key", key)
                .field("limit", limit)
                .finish(),
            Observation::ResponseSent { id } => f.debug_struct("Answered").field("id", id).finish(),
            Observation::ClientDisconnected { id } => f.debug_struct("Left").field("id", id).finish(),
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
            Observation::EngineStarted { engine, cores, zone } => f
                .debug_struct("Started")
                .field("engine", engine)
                .field("cores", cores)
                .field("location", zone)
                .finish(),
            Observation::FrontRestarted { front } => f.debug_struct("Forgot").field("front", front).finish(),
        }
    }
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Number of the rule, from 1 to 7.
    pub rule: u8,
    /// Time of the violation, on the simulation's clock.
    pub at: Duration,
    /// What broke it.
    pub message: String,
}

/// Retries that a front may send within the budget's window.
#[derive(Debug, Clone, Copy)]
pub struct RetryAllowance {
    /// Retries that are allowed in any case.
    pub free: f64,
    /// Further retries for each try that arrived at the front.
    pub share: f64,
}

/// Parameters of the rules.
#[derive(Debug, Clone, Default)]
pub struct RuleConfig {
    /// Time during which attempts may still begin at a draining engine.
    pub drain_grace: Duration,
    /// Time from an engine's start until full speed.
    pub slow_start_window: Duration,
    /// Speed of an engine at its start, as a share of full speed.
    pub slow_start_share: f64,
    /// Overload limit of an engine that warms up, as a multiple of what it can do at starting speed within the
    /// overload window.
    pub overload_factor: f64,
    /// Window over which the work sent to an engine that warms up is summed.
    pub overload_window: Duration,
    /// Whether requests must not run twice, by request class.
    pub non_idempotent: Vec<bool>,
    /// Zones that a request may be sent to, by request class; `None` for all.
    pub allowed_zones: Vec<Option<Vec<u32>>>,
    /// Zone of each engine.
    pub engine_zones: Vec<u32>,
    /// Retry budget of each front; `None` for no budget.
    pub retry_budget: Option<RetryAllowance>,
    /// Lateness of an event that is allowed.
    pub slack: Duration,
}

/// One arrival of a request at a front; it may lead to several attempts.
#[derive(Debug)]
struct Try {
    front: usize,
    class: usize,
    key: Option<u64>,
    limit: Duration,
    ended: bool,
    /// Attempts in flight.
    in_flight: u32,
    may_have_run: bool,
}

#[derive(Debug)]
struct SentWork {
    at: Duration,
    /// In seconds on one thread.
    work: f64,
}

/// An engine that has started, and the work that it was sent within the overload window.
#[derive(Debug)]
struct SlowStart {
    started: Duration,
    cores: f64,
    sent: VecDeque<SentWork>,
}

/// A front's arrivals and retries within the budget's window.
#[derive(Debug, Default)]
struct Budget {
    arrivals: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// Checks the rules on a sequence of observations.
#[derive(Debug, Default)]
pub struct Checker {
    config: RuleConfig,
    tries: BTreeMap<u64, Try>,
    /// Request class of each request.
    classes: BTreeMap<u64, usize>,
    /// Number of times that each request was run.
    runs: BTreeMap<u64, u32>,
    /// Start of an engine's drain, by engine and by notified front; `None` stands for all fronts.
    draining: BTreeMap<(usize, Option<usize>), Duration>,
    slow_starts: BTreeMap<usize, SlowStart>,
    budgets: BTreeMap<usize, Budget>,
    /// Tries that have not ended, oldest first, by front and the request's key (rule 5).
    key_queues: BTreeMap<(usize, u64), VecDeque<u64>>,
    /// Violations so far; the first hundred.
    pub violations: Vec<Violation>,
}

/// Maximum number of violations that are recorded.
const MAX_VIOLATIONS: usize = 100;
/// The window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

impl Checker {
    /// A checker without observations.
    pub fn new(config: RuleConfig) -> Checker {
        Checker { config, ..Checker::default() }
    }

    fn report(&mut self, rule: u8, at: Duration, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { rule, at, message: what });
        }
    }

    /// Handles the next observation.
    pub fn observe(&mut self, now: Duration, observation: Observation) {
        match observation {
            Observation::TryArrived { front, id, request, request_class, key, limit } => {
                self.budgets.entry(front).or_default().arrivals.push_back(now);
                if let Some(key) = key {
                    self.key_queues.entry((front, key)).or_default().push_back(id);
                }
                self.classes.insert(request, request_class);
                let arrived = Try {
                    front,
                    class: request_class,
                    key,
                    limit,
                    ended: false,
                    in_flight: 0,
                    may_have_run: false,
                };
                self.tries.insert(id, arrived);
            }
            Observation::ResponseSent { id } => self.check_response(now, id),
            Observation::ClientDisconnected { id } => {
                if let Some(known) = self.tries.get_mut(&id) {
                    known.ended = true;
                }
                self.leave_key_queue(id);
            }
            Observation::AttemptSent { front, id, number, engine, work } => {
                self.check_attempt(now, front, id, number, engine, work);
            }
            Observation::AttemptEnded { id, may_have_run } => {
                if let Some(known) = self.tries.get_mut(&id) {
                    known.in_flight = known.in_flight.saturating_sub(1);
                    known.may_have_run |= may_have_run;
                }
            }
            Observation::RequestRan { request } => self.check_run(now, request),
            Observation::EngineDraining { engine, front } => {
                self.draining.insert((engine, front), now);
            }
            Observation::EngineStarted { engine, cores, zone } => {
                self.start_engine(now, engine, cores, zone);
            }
            Observation::FrontRestarted { front } => {
                self.key_queues.retain(|(queue_front, _), _| *queue_front != front);
                let of_front = self.tries.values_mut().filter(|known| known.front == front);
                of_front.for_each(|known| known.ended = true);
            }
        }
    }

    fn check_response(&mut self, now: Duration, id: u64) {
        let Some(known) = self.tries.get_mut(&id) else {
            return self.report(1, now, format!("response to unknown try {id}"));
        };
        let is_second = std::mem::replace(&mut known.ended, true);
        let is_late = now > known.limit + self.config.slack;
        if is_second {
            self.report(1, now, format!("second response to try {id}"));
        } else if is_late {
            self.report(1, now, format!("late response to try {id}"));
        }
        self.leave_key_queue(id);
    }

    fn check_run(&mut self, now: Duration, request: u64) {
        let count = self.runs.entry(request).or_default();
        *count += 1;
        let again = *count > 1;
        let class = self.classes.get(&request);
        if again && class.is_some_and(|class| self.config.non_idempotent[*class]) {
            self.report(2, now, format!("non-idempotent request {request} runs again"));
        }
    }

    fn start_engine(&mut self, now: Duration, engine: usize, cores: f64, zone: u32) {
        if self.config.engine_zones.len() <= engine {
            self.config.engine_zones.resize(engine + 1, zone);
        }
        self.config.engine_zones[engine] = zone;
        self.draining.retain(|(draining, _), _| *draining != engine);
        self.slow_starts.insert(engine, SlowStart { started: now, cores, sent: VecDeque::new() });
    }

    fn leave_key_queue(&mut self, id: u64) {
        let Some(known) = self.tries.get(&id) else { return };
        if let Some(queue) = known.key.and_then(|key| self.key_queues.get_mut(&(known.front, key))) {
            queue.retain(|other| *other != id);
        }
    }

    fn check_attempt(&mut self, now: Duration, front: usize, id: u64, number: u32, engine: usize, work: f64) {
        let Some(known) = self.tries.get_mut(&id) else {
            return self.report(1, now, format!("attempt of unknown try {id}"));
        };
        let had_ended = known.ended;
        let in_flight = known.in_flight;
        let must_not_run =
            self.config.non_idempotent[known.class] && (known.may_have_run || known.in_flight > 0);
        known.in_flight += 1;
        let (class, key) = (known.class, known.key);
        if had_ended {
            self.report(1, now, format!("attempt of try {id} that has already ended"));
        }
        if must_not_run {
            self.report(
                2,
                now,
                format!("non-idempotent try {id} is sent again although it may have run or is in flight"),
            );
        }
        if in_flight > 0 {
            self.report(2, now, format!("try {id} has two attempts in flight"));
        }
        self.check_draining(now, front, id, engine);
        self.check_slow_start(now, engine, work);
        if let Some(key) = key {
            self.check_key_order(now, front, id, key);
        }
        self.check_placement(now, id, engine, class);
        if number > 0 {
            self.check_retry_budget(now, front);
        }
    }

    fn check_draining(&mut self, now: Duration, front: usize, id: u64, engine: usize) {
        let since = self.draining.get(&(engine, None)).or_else(|| self.draining.get(&(engine, Some(front))));
        let grace = self.config.drain_grace + self.config.slack;
        if since.is_some_and(|since| now > *since + grace) {
            self.report(3, now, format!("draining engine {engine} is sent try {id}"));
        }
    }

    fn check_slow_start(&mut self, now: Duration, engine: usize, work: f64) {
        let Some(start) = self.slow_starts.get_mut(&engine) else { return };
        let config = &self.config;
        if now >= start.started + config.slow_start_window {
            return;
        }
        while start.sent.front().is_some_and(|sent| sent.at + config.overload_window <= now) {
            start.sent.pop_front();
        }
        start.sent.push_back(SentWork { at: now, work });
        let overload_limit = config.overload_factor
            * config.slow_start_share
            * start.cores
            * config.overload_window.as_secs_f64();
        let all: f64 = start.sent.iter().map(|sent| sent.work).sum();
        // A single request may exceed the limit alone, which no front can prevent.
        if all > overload_limit && start.sent.len() > 1 {
            self.report(
                4,
                now,
                format!(
                    "cold engine {engine} with an overload limit of {overload_limit:.1} s of work is sent {all:.1} s"
                ),
            );
        }
    }

    fn check_key_order(&mut self, now: Duration, front: usize, id: u64, key: u64) {
        let first = self.key_queues.get(&(front, key)).and_then(|queue| queue.front()).copied();
        if let Some(first) = first.filter(|first| *first != id) {
            self.report(5, now, format!("try {id} of key {key} is sent before try {first}"));
        }
    }

    fn check_placement(&mut self, now: Duration, id: u64, engine: usize, class: usize) {
        let zone = self.config.engine_zones[engine];
        if self.config.allowed_zones[class].as_ref().is_some_and(|allowed| !allowed.contains(&zone)) {
            self.report(6, now, format!("try {id} is sent to zone {zone}, which its class does not allow"));
        }
    }

    fn check_retry_budget(&mut self, now: Duration, front: usize) {
        let Some(RetryAllowance { free, share }) = self.config.retry_budget else { return };
        let Budget { arrivals, retries } = self.budgets.entry(front).or_default();
        for times in [&mut *arrivals, &mut *retries] {
            while times.front().is_some_and(|at| *at + BUDGET_WINDOW < now) {
                times.pop_front();
            }
        }
        retries.push_back(now);
        let allowed = free + share * arrivals.len() as f64;
        let count = retries.len() as f64;
        if count > allowed + 1.0 {
            self.report(
                7,
                now,
                format!("front {front} sent {count} retries, its retry budget allows {allowed:.1}"),
            );
        }
    }

    /// Checks at the end that every try whose limit has passed got a response, unless its client disconnected or its
    /// front restarted.
    pub fn finish(&mut self, now: Duration) {
        let open: Vec<u64> = (self.tries.iter())
            .filter(|(_, known)| !known.ended && known.limit + self.config.slack < now)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.report(1, now, format!("try {id} got no response"));
        }
    }
}
