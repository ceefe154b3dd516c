//! Routing decisions: processor time and memory of one [`Gateway`] in virtual time, at the request rate of one front.
//!
//! Short requests are dispatched at once. In the cases with queued requests, a share of the same request rate belongs
//! to a second class that needs more threads than any engine admits: such a request stays queued, is considered in one
//! decision after another, and is rejected after a quarter of its latency objective, as happens under overload. Only
//! the gateway's own processor time is counted. The last case sends the same request rate to a real front process.

mod driver;
mod real;

use crate::error::MeasureError;
use crate::limits::Limits;
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::process::{allocated_bytes, thread_time};
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, MetricValue, Sample, metric};
use crate::watch::Preemption;
use driver::{GatewayDriver, LoadReports, TABLE_GROUPS, TICK, Traffic};
use std::time::Duration;

/// Processor time of the gateway for each arriving request.
pub const DECISION: Metric = Metric::new("decision", "µs a request");
/// Processor time of the longest tick, for which everything else on the front's one core waits.
pub const MAX_TICK: Metric = Metric::new("longest_tick", "ms");
/// Additional processor time for the replacement of one engine, until every table group has been requested once.
/// Measured only without queued requests and with all load reports fresh, where ticks vary little enough.
pub const LIST_CHANGE: Metric = Metric::new("list_change", "ms");
/// Mean number of queued requests over the run.
pub const HELD: Metric = Metric::new("held", "requests");

/// Target numbers of queued requests.
const HELD_CASES: [u32; 3] = [0, 100, 1_000];
const REPORT_CASES: [LoadReports; 4] =
    [LoadReports::Never, LoadReports::WithResponses, LoadReports::WithProbes, LoadReports::AllFresh];
/// The largest share of the wall time, from 0 to 1, that an undisturbed run is off its core. Since processor time is
/// measured, a preemption distorts a run only by cold caches.
const PREEMPTED_SHARE: f64 = 0.25;
/// The most additional runs that replace disturbed ones. The samples of a disturbed run are kept and marked.
const MAX_RERUNS: u32 = 3;
/// Virtual time after which a run of at least `MIN_TICKS` ticks ends.
const MAX_WINDOW: Duration = Duration::from_secs(4);
/// Processor time after which a run of at least `MIN_TICKS` ticks ends.
const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(4);
/// Processor time after which a run ends even if it has fewer than `MIN_TICKS` ticks.
const MAX_RUN_TIME: Duration = Duration::from_secs(30);
/// Load reports are valid for three seconds, so all are still valid throughout this window.
const FRESH_WINDOW: Duration = Duration::from_secs(2);
const QUICK_WINDOW: Duration = Duration::from_millis(100);
/// The fewest ticks of a run, unless they take `MAX_RUN_TIME`.
const MIN_TICKS: u32 = 10;

/// Upper limit of the memory of an engine, in bytes, without its entry in each table group's order.
const BYTES_PER_ENGINE: u64 = 4 * 1024;
const BYTES_PER_ORDER_ENTRY: u64 = 4;

/// Measures one gateway in virtual time.
pub struct Decision {
    options: Options,
}

/// The resources that a size needs.
fn need(engines: u32) -> Need {
    let bytes = u64::from(engines) * (BYTES_PER_ENGINE + TABLE_GROUPS * BYTES_PER_ORDER_ENTRY);
    Need { memory_bytes: bytes, ..Need::default() }
}

impl Decision {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Self {
        Decision { options: options.clone() }
    }

    /// Runs one case until there are enough undisturbed runs, or the limit of reruns is reached.
    fn repeat(&self, engines: u32, load_reports: LoadReports, held: u32, case: &str) -> Vec<Sample> {
        let mut samples = Vec::new();
        let (mut undisturbed, mut runs) = (0, 0);
        while undisturbed < self.options.repeats && runs < self.options.repeats + MAX_RERUNS {
            let run = self.run(engines, load_reports, held, self.options.seed + u64::from(undisturbed));
            runs += 1;
            undisturbed += u32::from(!run.disturbed);
            samples.extend(run.samples(case, engines));
        }
        samples
    }

    fn run(&self, engines: u32, load_reports: LoadReports, held: u32, seed: u64) -> Run {
        let mut driver = GatewayDriver::new(Traffic { engines, load_reports, held, seed });
        driver.warm_up();
        let longest = match load_reports {
            _ if self.options.quick => QUICK_WINDOW,
            LoadReports::AllFresh => FRESH_WINDOW,
            LoadReports::Never | LoadReports::WithResponses | LoadReports::WithProbes => MAX_WINDOW,
        };
        let preemption = Preemption::start(PREEMPTED_SHARE);
        let mut window = Window::default();
        let begun = thread_time();
        while window.continues(longest, thread_time().saturating_sub(begun)) {
            let arrived = driver.arrived();
            let spent = driver.tick();
            window.add(spent, driver.arrived() - arrived, driver.held());
        }
        let list_change = (load_reports == LoadReports::AllFresh && held == 0).then(|| {
            let cost = driver.replace_one();
            cost.processor.saturating_sub(window.processor * cost.ticks / window.ticks)
        });
        let lateness = preemption.finish().lateness;
        let before = allocated_bytes();
        drop(driver);
        let bytes = before.saturating_sub(allocated_bytes());
        Run { window, list_change, bytes, disturbed: lateness.disturbed() }
    }
}

/// Sums over the ticks of a run.
#[derive(Default)]
struct Window {
    ticks: u32,
    processor: Duration,
    longest: Duration,
    arrived: u64,
    held: u64,
}

impl Window {
    fn continues(&self, longest: Duration, spent: Duration) -> bool {
        if self.ticks < MIN_TICKS {
            return self.ticks == 0 || spent < MAX_RUN_TIME;
        }
        TICK * self.ticks < longest && spent < MAX_PROCESSOR_TIME
    }

    fn add(&mut self, spent: Duration, arrived: u64, held: usize) {
        self.ticks += 1;
        self.processor += spent;
        self.longest = self.longest.max(spent);
        self.arrived += arrived;
        self.held += held as u64;
    }
}

/// The results of one run.
struct Run {
    window: Window,
    list_change: Option<Duration>,
    /// Heap bytes of the gateway and its simulated clients and engines.
    bytes: usize,
    disturbed: bool,
}

impl Run {
    fn samples(&self, case: &str, engines: u32) -> impl Iterator<Item = Sample> {
        self.values().into_iter().map(move |MetricValue { metric, value }| Sample {
            role: Role::Decision,
            case: case.to_string(),
            size: engines,
            metric,
            value,
            disturbed: self.disturbed,
        })
    }

    fn values(&self) -> Vec<MetricValue> {
        let window = &self.window;
        let (seconds, arrived) = (window.processor.as_secs_f64(), window.arrived.max(1) as f64);
        let virtual_seconds = (TICK * window.ticks).as_secs_f64();
        let mut values = vec![
            DECISION.of(seconds / arrived * 1e6),
            metric::PROCESSOR.of(seconds / virtual_seconds * 100.0),
            metric::MEMORY.of(self.bytes as f64 / f64::from(1 << 20)),
            MAX_TICK.of(window.longest.as_secs_f64() * 1e3),
            HELD.of(window.held as f64 / f64::from(window.ticks)),
        ];
        values.extend(self.list_change.map(|spent| LIST_CHANGE.of(spent.as_secs_f64() * 1e3)));
        values
    }
}

fn name(load_reports: LoadReports) -> &'static str {
    match load_reports {
        LoadReports::Never => "none",
        LoadReports::WithResponses => "with-answers",
        LoadReports::WithProbes => "when-probed",
        LoadReports::AllFresh => "all-fresh",
    }
}

impl Measurement for Decision {
    fn role(&self) -> Role {
        Role::Decision
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![20, 80, 320, 1_300, 2_600]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        Limits::of_this_machine()?.check(size, &need(size))?;
        let mut samples = Vec::new();
        for load_reports in REPORT_CASES {
            for held in HELD_CASES {
                let case = format!("reports={} held={held}", name(load_reports));
                if self.options.wants(&case) {
                    progress.step(format!("{size} engines, {case}"));
                    samples.extend(self.repeat(size, load_reports, held, &case));
                }
            }
        }
        let repeats = if self.options.wants(real::CASE) { self.options.repeats } else { 0 };
        for repeat in 0..repeats {
            progress.step(format!("{size} engines, {}, run {}", real::CASE, repeat + 1));
            samples.extend(real::run(size, &self.options)?);
        }
        Ok(samples)
    }
}
