//! The decision: processor time and memory of one [`Gateway`] in virtual time, at the request rate of one front.
//!
//! Short requests find a place at once. Where requests are to be held, a part of the same request rate is of a second
//! class, so wide that no engine lets it in: it is held, drawn again and again, and pushed back at a quarter of its
//! latency objective, as happens under overload. Only the gateway's own processor time is counted. A last case offers the
//! same rate to a real front process.

mod host;
mod real;

use crate::error::MeasureError;
use crate::limits::Limits;
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::process::{allocated_bytes, thread_time};
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, Sample, metric};
use crate::watch::Preemption;
use host::{Host, TABLE_GROUPS, TICK, Telling, Traffic};
use std::time::Duration;

/// Processor time of the gateway for each request that arrives.
pub const DECISION: Metric = Metric::new("decision", "µs a request");
/// The longest tick: what everything else on the front's one core waits for.
pub const LONGEST_TICK: Metric = Metric::new("longest_tick", "ms");
/// Processor time beyond the usual that the replacement of one engine costs, until every table group was asked of.
/// Only in the case that is steady enough to tell.
pub const LIST_CHANGE: Metric = Metric::new("list_change", "ms");
/// Requests held, on the average over the run.
pub const HELD: Metric = Metric::new("held", "requests");

/// Requests held that are aimed at.
const HELD_CASES: [u32; 3] = [0, 100, 1_000];
const REPORT_CASES: [Telling; 4] =
    [Telling::Never, Telling::WithAnswers, Telling::WhenProbed, Telling::AllFresh];
/// Of the wall time, the most that a run may be kept off its core. Processor time is counted, so what is left of a
/// preemption is cold caches.
const PREEMPTED_SHARE: f64 = 0.25;
/// A run that was disturbed is kept as such and run again, so often at most.
const MOST_AGAIN: u32 = 3;
/// A run ends at the first of these, but after [`FEWEST_TICKS`] at least, unless these take [`MOST_OF_ALL`].
const LONGEST_WINDOW: Duration = Duration::from_secs(4);
const MOST_PROCESSOR: Duration = Duration::from_secs(4);
const MOST_OF_ALL: Duration = Duration::from_secs(30);
/// Reports count for three seconds: all are fresh for so long.
const FRESH_WINDOW: Duration = Duration::from_secs(2);
const QUICK_WINDOW: Duration = Duration::from_millis(100);
const FEWEST_TICKS: u32 = 10;

/// What an engine takes at most, in bytes, beside its place in each table group's order.
const BYTES_AN_ENGINE: u64 = 4 * 1024;
const BYTES_A_PLACE: u64 = 4;

/// Drives one gateway in virtual time.
pub struct Decision {
    options: Options,
}

/// What a size takes of the machine.
fn need(engines: u32) -> Need {
    let bytes = u64::from(engines) * (BYTES_AN_ENGINE + TABLE_GROUPS * BYTES_A_PLACE);
    Need { memory_bytes: bytes, ..Need::default() }
}

impl Decision {
    pub fn new(options: &Options) -> Self {
        Decision { options: options.clone() }
    }

    /// Runs one case until there are enough undisturbed runs.
    fn repeat(&self, engines: u32, telling: Telling, held: u32, case: &str) -> Vec<Sample> {
        let mut samples = Vec::new();
        let (mut good, mut runs) = (0, 0);
        while good < self.options.repeats && runs < self.options.repeats + MOST_AGAIN {
            let run = self.run(engines, telling, held, self.options.seed + u64::from(good));
            runs += 1;
            good += u32::from(!run.disturbed);
            samples.extend(run.samples(case, engines));
        }
        samples
    }

    fn run(&self, engines: u32, telling: Telling, held: u32, seed: u64) -> Run {
        let mut host = Host::new(Traffic { engines, telling, held, seed });
        host.warm_up();
        let longest = match telling {
            _ if self.options.quick => QUICK_WINDOW,
            Telling::AllFresh => FRESH_WINDOW,
            Telling::Never | Telling::WithAnswers | Telling::WhenProbed => LONGEST_WINDOW,
        };
        let preemption = Preemption::start(PREEMPTED_SHARE);
        let mut window = Window::default();
        let begun = thread_time();
        while window.goes_on(longest, thread_time().saturating_sub(begun)) {
            let arrived = host.arrived();
            let spent = host.tick();
            window.add(spent, host.arrived() - arrived, host.held());
        }
        let list_change = (telling == Telling::AllFresh && held == 0).then(|| {
            let (spent, ticks) = host.replace_one();
            spent.saturating_sub(window.processor * ticks / window.ticks)
        });
        let (_, lateness) = preemption.finish();
        let before = allocated_bytes();
        drop(host);
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
    fn goes_on(&self, longest: Duration, spent: Duration) -> bool {
        if self.ticks < FEWEST_TICKS {
            return self.ticks == 0 || spent < MOST_OF_ALL;
        }
        TICK * self.ticks < longest && spent < MOST_PROCESSOR
    }

    fn add(&mut self, spent: Duration, arrived: u64, held: usize) {
        self.ticks += 1;
        self.processor += spent;
        self.longest = self.longest.max(spent);
        self.arrived += arrived;
        self.held += held as u64;
    }
}

/// What one run has shown.
struct Run {
    window: Window,
    list_change: Option<Duration>,
    /// Heap of the gateway and of the requests it holds.
    bytes: usize,
    disturbed: bool,
}

impl Run {
    fn samples(&self, case: &str, engines: u32) -> impl Iterator<Item = Sample> {
        self.values().into_iter().map(move |(metric, value)| Sample {
            role: Role::Decision,
            case: case.to_string(),
            size: engines,
            metric,
            value,
            disturbed: self.disturbed,
        })
    }

    fn values(&self) -> Vec<(Metric, f64)> {
        let window = &self.window;
        let (seconds, arrived) = (window.processor.as_secs_f64(), window.arrived.max(1) as f64);
        let virtual_seconds = (TICK * window.ticks).as_secs_f64();
        let mut values = vec![
            (DECISION, seconds / arrived * 1e6),
            (metric::PROCESSOR, seconds / virtual_seconds * 100.0),
            (metric::MEMORY, self.bytes as f64 / f64::from(1 << 20)),
            (LONGEST_TICK, window.longest.as_secs_f64() * 1e3),
            (HELD, window.held as f64 / f64::from(window.ticks)),
        ];
        values.extend(self.list_change.map(|spent| (LIST_CHANGE, spent.as_secs_f64() * 1e3)));
        values
    }
}

fn name(telling: Telling) -> &'static str {
    match telling {
        Telling::Never => "none",
        Telling::WithAnswers => "with-answers",
        Telling::WhenProbed => "when-probed",
        Telling::AllFresh => "all-fresh",
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
        for telling in REPORT_CASES {
            for held in HELD_CASES {
                let case = format!("reports={} held={held}", name(telling));
                if self.options.wants(&case) {
                    progress.step(format!("{size} engines, {case}"));
                    samples.extend(self.repeat(size, telling, held, &case));
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
