//! Zone failover and maintenance in virtual time: the report of one front, and the computation of the coordinators.
//! All fronts, zones and replies of voters are simulated in one process. Registers reply at once, so that only
//! computation is measured.

mod machines;
mod zones;

use crate::budget;
use crate::error::MeasureError;
use crate::limits::Limits;
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::process::{allocated_bytes, thread_time};
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, MetricValue, Sample, metric};
use crate::watch::Preemption;
use std::time::Duration;

/// Processor time of the longest poll.
pub const MAX_POLL: Metric = Metric::new("longest_turn", "ms");
/// Size of one front's encoded report.
pub const REPORT: Metric = Metric::new("report", "B");
/// Time from the loss of a zone until the coordinator writes the plan that closes it.
pub const PLANNED_AFTER: Metric = Metric::new("planned_after", "s");
/// Time from a maintenance request until its last machine is done; the work on each machine takes no time.
pub const DONE_AFTER: Metric = Metric::new("done_after", "s");

/// Time between two polls of a measured component.
const PERIOD: Duration = Duration::from_millis(500);
/// The largest share of the wall time, from 0 to 1, that an undisturbed run is off its core.
const PREEMPTED_SHARE: f64 = 0.25;
/// Upper limit of the memory of a machine over all components, in bytes.
const BYTES_PER_MACHINE: u64 = 8 * 1024;
/// Cores of a machine.
const CORES: u32 = 16;
/// The share of all cores that the demand uses, from 0 to 1.
const UTILIZATION: f64 = 0.5;

/// The zone of a machine.
fn zone(machine: u32) -> u32 {
    machine % budget::ZONES
}

/// The components that are measured separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Case {
    /// A front that observes all machines and reports each period.
    Front,
    /// The coordinator of zone failover: it receives all reports and plans; a zone is lost during the run.
    Planner,
    /// The maintenance coordinator: it completes a request of the maximum size.
    Maintenance,
}

impl Case {
    const ALL: [Case; 3] = [Case::Front, Case::Planner, Case::Maintenance];

    fn name(self) -> &'static str {
        match self {
            Case::Front => "front",
            Case::Planner => "planner",
            Case::Maintenance => "maintenance",
        }
    }
}

/// Processor time of the polls of one component.
#[derive(Debug, Default)]
struct PollTimes {
    count: u32,
    sum: Duration,
    longest: Duration,
}

impl PollTimes {
    /// Runs one poll and adds its processor time.
    fn time<T>(&mut self, poll: impl FnOnce() -> T) -> T {
        let begun = thread_time();
        let result = poll();
        let spent = thread_time().saturating_sub(begun);
        self.count += 1;
        self.sum += spent;
        self.longest = self.longest.max(spent);
        result
    }

    /// Processor time in percent of a core, with one poll a period.
    fn percent(&self) -> f64 {
        self.sum.as_secs_f64() / (PERIOD * self.count.max(1)).as_secs_f64() * 100.0
    }
}

/// The results of a case.
struct CaseResult {
    poll_times: PollTimes,
    /// Heap bytes of the measured component.
    bytes: usize,
    /// Other metrics.
    more: Vec<MetricValue>,
}

/// Drops a component and returns the heap bytes that this frees.
fn freed_bytes<T>(part: T) -> usize {
    let before = allocated_bytes();
    drop(part);
    before.saturating_sub(allocated_bytes())
}

/// Measures zone failover and maintenance.
pub struct Maintenance {
    options: Options,
}

impl Maintenance {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Self {
        Maintenance { options: options.clone() }
    }

    fn run(&self, size: u32, case: Case) -> Result<Vec<Sample>, MeasureError> {
        let preemption = Preemption::start(PREEMPTED_SHARE);
        let result = match case {
            Case::Front => zones::front(size, self.options.quick)?,
            Case::Planner => zones::planner(size)?,
            Case::Maintenance => machines::request(size, self.options.quick)?,
        };
        let lateness = preemption.finish().lateness;
        let mut values = vec![
            metric::PROCESSOR.of(result.poll_times.percent()),
            MAX_POLL.of(result.poll_times.longest.as_secs_f64() * 1e3),
            metric::MEMORY.of(result.bytes as f64 / f64::from(1 << 20)),
        ];
        values.extend(result.more);
        let samples = values.into_iter().map(|MetricValue { metric, value }| Sample {
            role: Role::Maintenance,
            case: case.name().to_string(),
            size,
            metric,
            value,
            disturbed: lateness.disturbed(),
        });
        Ok(samples.collect())
    }
}

impl Measurement for Maintenance {
    fn role(&self) -> Role {
        Role::Maintenance
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![80, 320, 1_300, 2_600]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        let need = Need { memory_bytes: u64::from(size) * BYTES_PER_MACHINE, ..Need::default() };
        Limits::of_this_machine()?.check(size, &need)?;
        let mut samples = Vec::new();
        for case in Case::ALL {
            for repeat in 0..self.options.repeats {
                progress.step(format!("{size} machines, {}, run {}", case.name(), repeat + 1));
                samples.extend(self.run(size, case)?);
            }
        }
        Ok(samples)
    }
}
