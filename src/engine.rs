//! What the gateway keeps of each engine and each request class. Nothing here decides.

use crate::interface::{EngineEntry, LoadReport, RequestClassConfig};
use crate::statistics::DecayingMean;
use std::collections::BTreeMap;
use std::time::Duration;

/// What is stated and learned of one request class (request class).
pub(crate) struct RequestClass {
    pub(crate) config: RequestClassConfig,
    /// The priority its attempts are given: 0 is the lowest.
    pub(crate) priority: u8,
    /// Work of a request, in seconds on one thread.
    pub(crate) work: DecayingMean,
    /// Time from attempt to return: the logarithm of seconds, whose mean tells the usual.
    pub(crate) log_latency: DecayingMean,
    /// Memory that a request needs, in MB, as answers tell.
    pub(crate) memory: DecayingMean,
    /// The time that clients give a first try, and the votes for it.
    pub(crate) first_try_timeout: (Duration, f64),
}

/// What is known of one engine, and what this front has there.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) entry: EngineEntry,
    /// Threads of this front's attempts there.
    pub(crate) own_threads: f64,
    /// The same, by priority.
    pub(crate) threads_by_priority: [f64; 4],
    /// Attempts of this front there, by request class.
    pub(crate) attempts_by_class: Vec<u32>,
    /// Attempts of this front there.
    pub(crate) in_flight: u32,
    /// Loads of this front there, by table group, and what must not run beside them.
    pub(crate) bulk_loads: BTreeMap<u64, u32>,
    pub(crate) readers: BTreeMap<u64, u32>,
    /// Until when a load of another front is taken to hold a table group.
    pub(crate) foreign_bulk_loads: BTreeMap<u64, Duration>,
    /// When how many seconds of work were sent lately while it was cold.
    pub(crate) sent_while_warming_up: Vec<(Duration, f64)>,
    /// Work of this front sent there, in seconds, fading with the requests that the front sends anywhere.
    pub(crate) sent_work: Option<DecayingMean>,
    /// When it last gave a sign of life.
    pub(crate) last_seen: Duration,
    pub(crate) report: Option<Report>,
    pub(crate) congestion: Option<Congestion>,
    pub(crate) last_probe: Duration,
    /// The shortest time that a probe has taken there.
    pub(crate) fastest_probe: Duration,
    pub(crate) consecutive_failures: u32,
    pub(crate) ejected_until: Duration,
    /// Threads that this front may run there: the mark, moved by pressure.
    pub(crate) concurrency_limit: f64,
    /// When the pool last shrank.
    pub(crate) limit_decreased_at: Duration,
}

/// The last sign of how much an engine has to do.
#[derive(Clone, Copy)]
pub(crate) struct Congestion {
    pub(crate) at: Duration,
    pub(crate) threads_per_core: f64,
    /// Whether an outcome or a report told it, and not only silence.
    pub(crate) observed: bool,
}

/// An engine's load as last reported, and what this front had there then.
pub(crate) struct Report {
    pub(crate) at: Duration,
    pub(crate) load: LoadReport,
    pub(crate) own_threads: f64,
    pub(crate) own_in_flight: u32,
    /// How many times its quickest the probe took that brought it.
    pub(crate) probe_slowdown: f64,
}

impl Engine {
    /// Whether it started less than the stated time ago.
    pub(crate) fn is_warming_up(&self, now: Duration, cold_for: Duration) -> bool {
        let started = self.entry.started_at;
        started > Duration::ZERO && now < started + cold_for
    }

    /// Whether the last sign of congestion was more than silence.
    pub(crate) fn congestion_was_observed(&self) -> bool {
        self.congestion.is_some_and(|congestion| congestion.observed)
    }

    /// Counts an attempt from when it goes out until its outcome is known.
    pub(crate) fn count_attempt(&mut self, index: usize, class: &RequestClass, tables: u64, begins: bool) {
        let threads = if begins { class.config.threads } else { -class.config.threads };
        self.own_threads += threads;
        self.threads_by_priority[usize::from(class.priority)] += threads;
        let step = |count: &mut u32| *count = if begins { *count + 1 } else { count.saturating_sub(1) };
        step(&mut self.in_flight);
        step(&mut self.attempts_by_class[index]);
        if class.config.bulk_load || class.config.waits_for_bulk_loads {
            let groups = if class.config.bulk_load { &mut self.bulk_loads } else { &mut self.readers };
            step(groups.entry(tables).or_default());
            groups.retain(|_, count| *count > 0);
        }
    }
}
