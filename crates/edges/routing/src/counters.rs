//! Counters since the start of the process, and the log line that prints them. Operators' tools parse this
//! line, so its labels stay as they are when names in the code change.

use lemonusher::AttemptOutcome;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A counted event. The variants are in the order of the log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests received.
    Received,
    /// Attempts begun, including those that end as not sent.
    Attempts,
    /// Requests that got a result.
    Returned,
    /// Requests rejected without effect.
    Rejected,
    /// Requests that got a response stating failure.
    Failed,
    /// Requests whose client disconnected or cancelled before a response.
    ClientDisconnected,
    /// Attempts cancelled.
    Cancels,
    /// Attempts after the first of their request.
    Retries,
    /// Attempts that ended with this outcome.
    AttemptEnded(OutcomeLabel),
    /// Probes that got a reply stating that the engine is healthy.
    Probes,
    /// Probes that failed.
    ProbeFailures,
    /// Client connections accepted.
    ClientConnections,
    /// Lines from clients that are not a valid message.
    InvalidLines,
    /// Lines from clients that exceeded the memory limit.
    LinesOverMemoryLimit,
    /// Connections to engines opened.
    EngineConnections,
    /// Unmatched replies: no attempt or probe in flight expects them.
    UnmatchedReplies,
    /// Connections to engines that ended because a reply was malformed, incomplete, too long, too slow or over
    /// the memory limit.
    EngineReadErrors,
    /// Endpoint updates received from discovery.
    EndpointUpdates,
    /// Panics that were caught.
    Panics,
}

/// An attempt's outcome under its label in counters and log lines. The variants are in the alphabetical order
/// of their labels, which is their order in the counters' log line.
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

/// All counters; some are kept per request class.
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

/// Numbers of entries in the router's tables.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableSizes {
    /// Open requests: admitted, and without a final response so far.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
    /// Engines in the endpoint table.
    pub engines: usize,
}

/// One counter's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CounterValue {
    /// The counter.
    pub counter: Counter,
    /// Index of the request class, for a counter that is kept per class.
    pub request_class: Option<usize>,
    /// The count since the start of the process.
    pub value: u64,
}

impl Counters {
    /// Creates counters for request classes with these names, in the order of the deployment.
    pub fn new(request_classes: Vec<String>) -> Self {
        Counters { request_classes, ..Counters::default() }
    }

    /// Adds one to a counter. `request_class` is the index of the class, for a counter that is kept per class.
    pub fn add(&self, counter: Counter, request_class: Option<usize>) {
        *self.values.borrow_mut().entry(CounterKey { counter, request_class }).or_default() += 1;
    }

    /// Sets the current sizes of the router's tables.
    pub fn set_table_sizes(&self, sizes: TableSizes) {
        self.table_sizes.set(sizes);
    }

    /// All counter values, in the order of the log line.
    pub fn values(&self) -> Vec<CounterValue> {
        let values = self.values.borrow();
        let entry = |(key, value): (&CounterKey, &u64)| CounterValue {
            counter: key.counter,
            request_class: key.request_class,
            value: *value,
        };
        values.iter().map(entry).collect()
    }

    /// Names of the request classes, by index.
    pub fn request_classes(&self) -> &[String] {
        &self.request_classes
    }

    /// Total time that the gateway has spent on decisions since the start of the process.
    pub fn decision_time(&self) -> Duration {
        self.decision_time.get()
    }

    /// Adds the time spent on one decision.
    pub fn add_decision_time(&self, elapsed: Duration) {
        self.decision_time.set(self.decision_time.get() + elapsed);
    }
}

impl fmt::Display for Counters {
    /// Formats all counters as one line, such as `taken look-up=12 report=3; ...`.
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
        // Requests, attempts and the total decision time, in the words that operators' tools parse.
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
            Counter::ClientDisconnected => "left",
            Counter::Cancels => "cancels",
            Counter::Retries => "further dispatches",
            Counter::AttemptEnded(outcome) => return write!(f, "dispatch ended {outcome}"),
            Counter::Probes => "probes",
            Counter::ProbeFailures => "probes failed",
            Counter::ClientConnections => "client connections",
            Counter::InvalidLines => "faulty lines",
            Counter::LinesOverMemoryLimit => "lines with no room",
            Counter::EngineConnections => "engine connections",
            Counter::UnmatchedReplies => "stray answers",
            Counter::EngineReadErrors => "engine connections spoilt",
            Counter::EndpointUpdates => "channel events",
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
