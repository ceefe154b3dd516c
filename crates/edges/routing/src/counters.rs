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
    names: Vec<String>,
    counts: RefCell<BTreeMap<(Counter, Option<usize>), u64>>,
    /// Time that the gateway has taken to decide.
    gateway: Cell<Duration>,
    /// Requests, attempts and engines in the tables now.
    held: Cell<[usize; 3]>,
}

impl Counters {
    pub fn new(service_groups: Vec<String>) -> Self {
        Counters { names: service_groups, ..Counters::default() }
    }

    pub fn add(&self, kind: Counter, service_group: Option<usize>) {
        *self.counts.borrow_mut().entry((kind, service_group)).or_default() += 1;
    }

    pub fn holds(&self, sizes: [usize; 3]) {
        self.held.set(sizes);
    }

    /// Every count, in the order of the line.
    pub fn all(&self) -> Vec<(Counter, Option<usize>, u64)> {
        self.counts.borrow().iter().map(|((kind, group), count)| (*kind, *group, *count)).collect()
    }

    /// The request classes' names.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Time that the gateway has taken to decide.
    pub fn gateway(&self) -> Duration {
        self.gateway.get()
    }

    pub fn gateway_took(&self, span: Duration) {
        self.gateway.set(self.gateway.get() + span);
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
            match group.and_then(|g| self.names.get(g)) {
                Some(name) => write!(f, " {name}={count}")?,
                None => write!(f, " {count}")?,
            }
        }
        let [requests, attempts, engines] = self.held.get();
        write!(f, "; holds {requests} batches, {attempts} dispatches, {engines} engines")?;
        write!(f, "; gateway decided for {} ms", self.gateway.get().as_millis())
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
pub fn name(outcome: AttemptOutcome) -> &'static str {
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
