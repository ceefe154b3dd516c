//! The state of each engine, and this front's attempts in flight there. No decisions are made here.

use crate::decaying_mean::DecayingMean;
use crate::endpoint::EngineEntry;
use crate::event::LoadReport;
use crate::request_class::RequestClass;
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of priorities; they are numbered from 0.
pub(crate) const PRIORITIES: usize = 4;

/// The state of one engine as known to this front.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) entry: EngineEntry,
    /// Threads of this front's attempts in flight there.
    pub(crate) own_threads: f64,
    /// Threads of this front's attempts in flight there, by priority.
    pub(crate) threads_by_priority: [f64; PRIORITIES],
    /// This front's attempts in flight there, by request class.
    pub(crate) attempts_by_class: Vec<u32>,
    /// This front's attempts in flight there.
    pub(crate) in_flight: u32,
    /// This front's bulk loads in flight there, by table group.
    pub(crate) bulk_loads: BTreeMap<u64, u32>,
    /// This front's requests in flight there that wait while a bulk load holds their table group, by table
    /// group.
    pub(crate) readers: BTreeMap<u64, u32>,
    /// The time until which another front's bulk load is assumed to hold a table group, by table group.
    pub(crate) other_fronts_bulk_loads: BTreeMap<u64, Duration>,
    /// Work that this front has sent to the engine, for the slow-start quota. Entries older than the overload
    /// window and one tick are removed with the next attempt.
    pub(crate) slow_start_work: Vec<SentWork>,
    /// Work that this front has sent there, in seconds on one thread; decays by the number of attempts that
    /// the front sends to any engine. `None` before the first attempt at this engine.
    pub(crate) sent_work: Option<DecayingMean>,
    /// Time of its last response or report.
    pub(crate) last_seen: Duration,
    pub(crate) report: Option<Report>,
    pub(crate) congestion: Option<Congestion>,
    /// When it was last probed.
    pub(crate) last_probe: Duration,
    /// The duration of the fastest probe.
    pub(crate) fastest_probe: Duration,
    /// Failures since the last response to an attempt or restart of the engine, up to the counted maximum. In
    /// many-front mode one counts for several; a failure while the engine is ejected is not counted (`ejection`).
    pub(crate) consecutive_failures: u32,
    /// Nothing is sent there before this time.
    pub(crate) ejected_until: Duration,
    /// Threads that this front may run there before admission control starts to refuse requests.
    pub(crate) concurrency_limit: f64,
    /// When the concurrency limit was last decreased.
    pub(crate) limit_decreased_at: Duration,
}

/// Work sent to an engine, with its time.
#[derive(Clone, Copy)]
pub(crate) struct SentWork {
    pub(crate) at: Duration,
    /// Seconds on one thread.
    pub(crate) work: f64,
}

/// A sign of congestion (`congestion`).
#[derive(Clone, Copy)]
pub(crate) struct Congestion {
    pub(crate) at: Duration,
    pub(crate) threads_per_core: f64,
    /// Whether an outcome or a report showed it; false if the engine was only silent.
    pub(crate) observed: bool,
}

/// An engine's last load report, and this front's attempts there at that time.
pub(crate) struct Report {
    pub(crate) at: Duration,
    pub(crate) load: LoadReport,
    pub(crate) own_threads: f64,
    pub(crate) own_in_flight: u32,
    /// Duration of the probe that returned the report, as a multiple of the fastest one; 1 without a probe.
    pub(crate) probe_slowdown: f64,
}

/// Whether an attempt begins or ends.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptTransition {
    Begins,
    Ends,
}

impl Engine {
    /// Whether it started less than `slow_start_window` ago.
    pub(crate) fn is_warming_up(&self, now: Duration, slow_start_window: Duration) -> bool {
        let started = self.entry.started_at;
        started > Duration::ZERO && now < started + slow_start_window
    }

    /// Whether an outcome or a report showed the kept sign of congestion.
    pub(crate) fn congestion_was_observed(&self) -> bool {
        self.congestion.is_some_and(|congestion| congestion.observed)
    }

    /// Updates the counters when an attempt begins or ends. `index` is that of its class.
    pub(crate) fn count_attempt(
        &mut self,
        index: usize,
        class: &RequestClass,
        table_group: u64,
        transition: AttemptTransition,
    ) {
        let begins = transition == AttemptTransition::Begins;
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
