//! Counters since the start, and the log line that prints them. The wording of the line is read by operators: it stays.

use lemonusher::AttemptOutcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What is counted, in the order of the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests received.
    Received,
    /// Attempts sent.
    Attempts,
    /// Requests answered with a result.
    Returned,
    /// Requests rejected without effect.
    Rejected,
    /// Requests answered as failed.
    Failed,
    /// Requests whose client stopped waiting.
    ClientGone,
    /// Attempts cancelled.
    Cancels,
    /// Attempts after the first of their request.
    Retries,
    /// Attempts that ended in this way.
    AttemptEnded(OutcomeLabel),
    /// Probes answered.
    Probes,
    /// Probes that failed.
    ProbeFailures,
    /// Client connections accepted.
    ClientConnections,
    /// Client lines that are no message.
    FaultyLines,
    /// Client lines for which there was no memory.
    LinesWithoutRoom,
    /// Connections to engines opened.
    EngineConnections,
    /// Answers of engines that belong to nothing in flight.
    StrayAnswers,
    /// Connections to engines that broke the protocol.
    SpoiltConnections,
    /// Updates of the endpoint list.
    ChannelEvents,
    /// Panics caught.
    Panics,
}

/// An attempt's outcome as counters and log lines name it. The variants are in the alphabetical order of their labels,
/// which is their order in the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeLabel {
    /// `cancelled`
    Cancelled,
    /// `errored`
    Errored,
    /// `full`
    Rejected,
    /// `no connection`
    ConnectFailed,
    /// `not sent`
    NotSent,
    /// `reset`
    Reset,
    /// `returned`
    Returned,
    /// `timed out`
    TimedOut,
}

/// All counters, by request class where that applies.
#[derive(Default)]
pub struct Counters {
    request_classes: Vec<String>,
    values: RefCell<BTreeMap<CounterKey, u64>>,
    decision_time: Cell<Duration>,
    table_sizes: Cell<TableSizes>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    counter: Counter,
    request_class: Option<usize>,
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
    /// Counters of a deployment with request classes of these names.
    pub fn new(request_classes: Vec<String>) -> Self {
        Counters { request_classes, ..Counters::default() }
    }

    /// Adds one to a counter, of a request class where that applies.
    pub fn add(&self, counter: Counter, request_class: Option<usize>) {
        *self.values.borrow_mut().entry(CounterKey { counter, request_class }).or_default() += 1;
    }

    /// States how much the router's tables hold now.
    pub fn set_table_sizes(&self, sizes: TableSizes) {
        self.table_sizes.set(sizes);
    }

    /// Every count, in the order of the log line.
    pub fn values(&self) -> Vec<CounterValue> {
        let values = self.values.borrow();
        let entry = |(key, value): (&CounterKey, &u64)| CounterValue {
            counter: key.counter,
            request_class: key.request_class,
            value: *value,
        };
        values.iter().map(entry).collect()
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
        for (CounterKey { counter, request_class }, count) in &*self.values.borrow() {
            if last != Some(*counter) {
                let separator = if last.is_some() { "; " } else { "" };
                write!(f, "{separator}{counter}")?;
                last = Some(*counter);
            }
            match request_class.and_then(|class| self.request_classes.get(class)) {
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
            Counter::AttemptEnded(outcome) => return write!(f, "dispatch ended {outcome}"),
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

impl fmt::Display for OutcomeLabel {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            OutcomeLabel::Cancelled => "cancelled",
            OutcomeLabel::Errored => "errored",
            OutcomeLabel::Rejected => "full",
            OutcomeLabel::ConnectFailed => "no connection",
            OutcomeLabel::NotSent => "not sent",
            OutcomeLabel::Reset => "reset",
            OutcomeLabel::Returned => "returned",
            OutcomeLabel::TimedOut => "timed out",
        })
    }
}

impl From<AttemptOutcome> for OutcomeLabel {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Returned => OutcomeLabel::Returned,
            AttemptOutcome::Errored => OutcomeLabel::Errored,
            AttemptOutcome::Rejected => OutcomeLabel::Rejected,
            AttemptOutcome::TimedOut => OutcomeLabel::TimedOut,
            AttemptOutcome::ConnectFailed => OutcomeLabel::ConnectFailed,
            AttemptOutcome::Reset => OutcomeLabel::Reset,
            AttemptOutcome::Cancelled => OutcomeLabel::Cancelled,
            AttemptOutcome::NotSent => OutcomeLabel::NotSent,
        }
    }
}
