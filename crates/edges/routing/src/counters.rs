use lemonusher::AttemptOutcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    Received,
    Attempts,
    Returned,
    Rejected,
    Failed,
    ClientGone,
    Cancels,
    Retries,
    AttemptOutcome(&'static str),
    Probes,
    ProbeFailures,
    ClientConnections,
    FaultyLines,
    LinesWithoutRoom,
    EngineConnections,
    StrayAnswers,
    SpoiltConnections,
    ChannelEvents,
    Panics,
}

/// Counts since the start, by request class where that applies.
#[derive(Default)]
pub struct Counters {
    request_classes: Vec<String>,
    counts: RefCell<BTreeMap<(Counter, Option<usize>), u64>>,
    decision_time: Cell<Duration>,
    table_sizes: Cell<TableSizes>,
}

/// How much the router's tables hold.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableSizes {
    /// Requests that are owed a response.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
    /// Engines in the endpoint table.
    pub engines: usize,
}

/// One counter's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CounterValue {
    /// What is counted.
    pub counter: Counter,
    /// The number of the request class, where the counter has one.
    pub request_class: Option<usize>,
    /// The count since the start.
    pub value: u64,
}

impl Counters {
    pub fn new(request_classes: Vec<String>) -> Self {
        Counters { request_classes, ..Counters::default() }
    }

    pub fn add(&self, kind: Counter, request_class: Option<usize>) {
        *self.counts.borrow_mut().entry((kind, request_class)).or_default() += 1;
    }

    /// States how much the router's tables hold now.
    pub fn set_table_sizes(&self, sizes: TableSizes) {
        self.table_sizes.set(sizes);
    }

    /// Every count, in the order of the log line.
    pub fn values(&self) -> Vec<CounterValue> {
        let counts = self.counts.borrow();
        counts
            .iter()
            .map(|((counter, request_class), value)| CounterValue {
                counter: *counter,
                request_class: *request_class,
                value: *value,
            })
            .collect()
    }

    /// The request classes' names, by number.
    pub fn request_classes(&self) -> &[String] {
        &self.request_classes
    }

    /// Time that the gateway has taken to decide since the start.
    pub fn decision_time(&self) -> Duration {
        self.decision_time.get()
    }

    /// Adds the time of one decision.
    pub fn add_decision_time(&self, elapsed: Duration) {
        self.decision_time.set(self.decision_time.get() + elapsed);
    }
}

impl fmt::Display for Counters {
    /// One line: `taken look-up=12 report=3; ...`.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut last = None;
        for ((kind, group), count) in &*self.counts.borrow() {
            if last != Some(*kind) {
                let gap = if last.is_some() { "; " } else { "" };
                write!(f, "{gap}{kind}")?;
                last = Some(*kind);
            }
            match group.and_then(|g| self.request_classes.get(g)) {
                Some(name) => write!(f, " {name}={count}")?,
                None => write!(f, " {count}")?,
            }
        }
        let TableSizes { requests, attempts, engines } = self.table_sizes.get();
        write!(f, "; holds {requests} batches, {attempts} dispatches, {engines} engines")?;
        write!(f, "; gateway decided for {} ms", self.decision_time.get().as_millis())
    }
}

impl fmt::Display for Counter {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Counter::Received => "taken",
            Counter::Attempts => "dispatched",
            Counter::Returned => "returned",
            Counter::Rejected => "pushed back",
            Counter::Failed => "errored",
            Counter::ClientGone => "left",
            Counter::Cancels => "cancels",
            Counter::Retries => "further dispatches",
            Counter::AttemptOutcome(name) => return write!(f, "dispatch ended {name}"),
            Counter::Probes => "probes",
            Counter::ProbeFailures => "probes failed",
            Counter::ClientConnections => "client connections",
            Counter::FaultyLines => "faulty lines",
            Counter::LinesWithoutRoom => "lines with no room",
            Counter::EngineConnections => "engine connections",
            Counter::StrayAnswers => "stray answers",
            Counter::SpoiltConnections => "engine connections spoilt",
            Counter::ChannelEvents => "channel events",
            Counter::Panics => "panics",
        })
    }
}

/// An outcome's name in counts and log lines.
pub fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Returned => "returned",
        AttemptOutcome::Errored => "errored",
        AttemptOutcome::Rejected => "full",
        AttemptOutcome::TimedOut => "timed out",
        AttemptOutcome::ConnectFailed => "no connection",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "not sent",
    }
}
