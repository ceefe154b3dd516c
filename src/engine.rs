//! What the gateway knows of each engine, and what this front has in flight there. Nothing here decides.

use crate::decaying_mean::DecayingMean;
use crate::endpoint::EngineEntry;
use crate::event::LoadReport;
use crate::request_class::RequestClass;
use std::collections::BTreeMap;
use std::time::Duration;

/// Priorities that an attempt may have, from 0.
pub(crate) const PRIORITIES: usize = 4;

/// What is known of one engine, and what this front has there.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) entry: EngineEntry,
    /// Threads of this front's attempts there.
    pub(crate) own_threads: f64,
    /// The same, by priority.
    pub(crate) threads_by_priority: [f64; PRIORITIES],
    /// Attempts of this front there, by request class.
    pub(crate) attempts_by_class: Vec<u32>,
    /// Attempts of this front there.
    pub(crate) in_flight: u32,
    /// Bulk loads of this front there, by table group.
    pub(crate) bulk_loads: BTreeMap<u64, u32>,
    /// Requests of this front there that stand still while a bulk load holds their table group, by table group.
    pub(crate) readers: BTreeMap<u64, u32>,
    /// Until when a bulk load of another front is taken to hold a table group.
    pub(crate) foreign_bulk_loads: BTreeMap<u64, Duration>,
    /// What this front has sent there while it warmed up.
    pub(crate) sent_while_warming_up: Vec<SentWork>,
    /// Work of this front sent there, in seconds, decaying with the requests that the front sends anywhere.
    pub(crate) sent_work: Option<DecayingMean>,
    /// When it last gave a sign of life.
    pub(crate) last_seen: Duration,
    pub(crate) report: Option<Report>,
    pub(crate) congestion: Option<Congestion>,
    /// When it was last probed.
    pub(crate) last_probe: Duration,
    /// The shortest time that a probe has taken there.
    pub(crate) fastest_probe: Duration,
    /// Failures without a response between them, counted up to a bound.
    pub(crate) consecutive_failures: u32,
    /// Nothing is sent there before this time.
    pub(crate) ejected_until: Duration,
    /// Threads that this front may run there before admission control begins to refuse.
    pub(crate) concurrency_limit: f64,
    /// When the concurrency limit was last decreased.
    pub(crate) limit_decreased_at: Duration,
}

/// Work sent to an engine at a time.
#[derive(Clone, Copy)]
pub(crate) struct SentWork {
    pub(crate) at: Duration,
    /// Seconds on one thread.
    pub(crate) work: f64,
}

/// The last sign of how congested an engine is.
#[derive(Clone, Copy)]
pub(crate) struct Congestion {
    pub(crate) at: Duration,
    pub(crate) threads_per_core: f64,
    /// Whether an outcome or a report showed it, and not only silence.
    pub(crate) observed: bool,
}

/// An engine's load as last reported, and what this front had there then.
pub(crate) struct Report {
    pub(crate) at: Duration,
    pub(crate) load: LoadReport,
    pub(crate) own_threads: f64,
    pub(crate) own_in_flight: u32,
    /// How many times the fastest probe the probe took that brought it; one without a probe.
    pub(crate) probe_slowdown: f64,
}

/// Whether an attempt begins or ends.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptEdge {
    Begins,
    Ends,
}

impl Engine {
    /// Whether it started less than the stated time ago.
    pub(crate) fn is_warming_up(&self, now: Duration, slow_start_window: Duration) -> bool {
        let started = self.entry.started_at;
        started > Duration::ZERO && now < started + slow_start_window
    }

    /// Whether the last sign of congestion was more than silence.
    pub(crate) fn congestion_was_observed(&self) -> bool {
        self.congestion.is_some_and(|congestion| congestion.observed)
    }

    /// Counts an attempt in when it begins and out when it ends. `index` is that of its class.
    pub(crate) fn count_attempt(
        &mut self,
        index: usize,
        class: &RequestClass,
        table_group: u64,
        edge: AttemptEdge,
    ) {
        let begins = edge == AttemptEdge::Begins;
        let threads = if begins { class.config.threads } else { -class.config.threads };
        self.own_threads += threads;
        self.threads_by_priority[usize::from(class.priority)] += threads;
        let step = |count: &mut u32| *count = if begins { *count + 1 } else { count.saturating_sub(1) };
        step(&mut self.in_flight);
        step(&mut self.attempts_by_class[index]);
        if class.config.bulk_load || class.config.waits_for_bulk_loads {
            let groups = if class.config.bulk_load { &mut self.bulk_loads } else { &mut self.readers };
            step(groups.entry(table_group).or_default());
            groups.retain(|_, count| *count > 0);
        }
    }
}
