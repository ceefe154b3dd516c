//! Leases, quota slots and registers: their cost for each front and voter, and the recovery times after failures.

use super::failure_detector::{LOSSES, check_limits};
use crate::error::MeasureError;
use crate::fleet::{
    Account, Cost, Meter, Registers, Run, Setup, Simulation, herd, partition_regions, replacements,
    resident_bytes, side_by_side,
};
use crate::measurement::{Measurement, Options};
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, Sample, metric};
use crate::watch::Preemption;
use lemonusher_fleet::MessageKind;
use std::time::Duration;

const VOTERS: usize = 3;
const SETTLE_TIME: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(30);
const QUICK_WINDOW: Duration = Duration::from_secs(5);
/// Duration of the partition between the regions.
const PARTITION_TIME: Duration = Duration::from_secs(3_600);
const QUICK_PARTITION_TIME: Duration = Duration::from_secs(20);
/// The largest fleet of the comparison over loopback, in which a single thread drives all simulated fronts.
const MAX_LOOPBACK_FRONTS: u32 = 40;
/// The lateness of the loopback driver above which a comparison counts as disturbed.
const MAX_LATENESS: Duration = Duration::from_millis(100);
/// The number of kills of a lease holder, and the number of graceful stops.
const TRIALS: usize = 10;
/// A run counts as disturbed if its thread is off its core for more than this share of the wall time, from 0 to 1.
const PREEMPTED_SHARE: f64 = 0.6;

/// The parts of the fleet protocol that are measured, with their message kinds.
const PARTS: [(&str, &[MessageKind]); 4] = [
    ("leases", &[MessageKind::Leases]),
    ("registers", &[MessageKind::Registers]),
    ("reports", &[MessageKind::Reports]),
    (
        "all",
        &[MessageKind::FailureDetector, MessageKind::Leases, MessageKind::Registers, MessageKind::Reports],
    ),
];

const REPLACEMENT_MEDIAN: Metric = Metric::new("replacement_p50", "s");
/// Time from a graceful stop of the holder until another one may act.
const REPLACEMENT_STOPPED: Metric = Metric::new("replacement_after_stop", "s");
const HERD_90_PERCENT: Metric = Metric::new("seats_nine_tenths_again", "s");
const HERD_99_PERCENT: Metric = Metric::new("seats_99_percent_again", "s");
const HERD_PEAK: Metric = Metric::new("voter_busiest_second", "messages");
const HELD_WITH: Metric = Metric::new("seats_held_with_majority", "%");
const HELD_WITHOUT: Metric = Metric::new("seats_held_without_majority", "%");
const HOLDERS_WITH: Metric = Metric::new("task_holders_with_majority", "1");
const HOLDERS_WITHOUT: Metric = Metric::new("task_holders_without_majority", "1");
const SLOTS_RECOVERED: Metric = Metric::new("seats_99_percent_after_return", "s");
const MEMBERS_RECOVERED: Metric = Metric::new("all_members_seen_after_return", "s");

/// The load of a voter.
const VOTER: [Metric; 5] = [
    Metric::new("voter_messages_in", "1/s"),
    Metric::new("voter_messages_out", "1/s"),
    Metric::new("voter_bytes_in", "B/s"),
    Metric::new("voter_bytes_out", "B/s"),
    Metric::new("voter_processor", "% of a core"),
];

/// Measures leases and registers in simulated fleets.
pub struct Leases {
    options: Options,
    resident: f64,
}

/// A fleet with quota slots, a task and all registers.
pub fn full_fleet(fronts: usize, voters: usize, loss: u32, seed: u64) -> Setup {
    let setup = Setup::detector(fronts, f64::from(loss) / 100.0, seed);
    Setup { voters, quota_slots: true, task: true, registers: Registers::ZonesAndWorks, ..setup }
}

/// A fleet with quota slots and a task, but no registers.
pub fn with_quota_slots(fronts: usize, voters: usize, loss: u32, seed: u64) -> Setup {
    Setup { registers: Registers::None, ..full_fleet(fronts, voters, loss, seed) }
}

/// Samples of a voter's load.
pub fn voter_samples(run: &Run, cost: &Cost) -> Vec<Sample> {
    let values = [cost.messages_in, cost.messages_out, cost.bytes_in, cost.bytes_out, cost.processor];
    VOTER.into_iter().zip(values).map(|(metric, value)| run.sample(metric, value)).collect()
}

impl Leases {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Result<Self, MeasureError> {
        Ok(Leases { options: options.clone(), resident: resident_bytes()? })
    }

    fn run(&self, case: String, size: u32, disturbed: bool) -> Run {
        Run { role: Role::Leases, case, size, disturbed }
    }

    /// Measures a fleet without failures.
    fn steady(&self, size: u32, loss: u32, seed: u64) -> Result<Vec<Sample>, MeasureError> {
        let fronts = size as usize;
        let preemption = Preemption::start(PREEMPTED_SHARE);
        let mut simulation = Simulation::new(full_fleet(fronts, VOTERS, loss, seed));
        let (warm_up, span) =
            if self.options.quick { (QUICK_WINDOW, QUICK_WINDOW) } else { (SETTLE_TIME, WINDOW) };
        simulation.run_for(warm_up);
        let meters = PARTS.map(|(part, kinds)| {
            let front = Meter::start(&simulation, VOTERS..fronts, kinds);
            (part, front, Meter::start(&simulation, 0..VOTERS, kinds))
        });
        simulation.run_for(span);
        let memory = (resident_bytes()? - self.resident).max(0.0) / f64::from(size) / 1e6;
        let disturbed = preemption.finish().lateness.disturbed();
        let mut samples = Vec::new();
        for (part, front, voter) in meters {
            let run = self.run(format!("part={part},loss={loss}"), size, disturbed);
            let all = run.cost(&front.finish(&simulation));
            // State and processor time cover the whole front, so they are reported for the part `all` only.
            let is_of_whole_front =
                |sample: &Sample| [metric::STATE, metric::PROCESSOR].contains(&sample.metric);
            samples.extend(all.into_iter().filter(|sample| part == "all" || !is_of_whole_front(sample)));
            let voter = voter_samples(&run, &voter.finish(&simulation));
            samples.extend(voter.into_iter().filter(|sample| part == "all" || sample.metric != VOTER[4]));
        }
        let run = self.run(format!("part=all,loss={loss}"), size, disturbed);
        samples.push(run.sample(metric::MEMORY, memory));
        Ok(samples)
    }

    /// Measures the loss of a lease holder and the restart of all voters.
    fn events(&self, size: u32, loss: u32, seed: u64) -> Vec<Sample> {
        let fronts = size as usize;
        let trials = if self.options.quick { 1 } else { TRIALS };
        let mut simulation = Simulation::new(with_quota_slots(fronts, VOTERS, loss, seed));
        simulation.run_for(SETTLE_TIME);
        let run = self.run(format!("event=holder-lost,loss={loss}"), size, false);
        let lost = replacements(&mut simulation, trials);
        let mut samples = vec![
            run.sample(metric::REPLACEMENT, max_seconds(&lost.killed)),
            run.sample(REPLACEMENT_MEDIAN, median(&lost.killed)),
            run.sample(REPLACEMENT_STOPPED, max_seconds(&lost.stopped)),
        ];
        let run = self.run(format!("event=all-voters-restart,loss={loss}"), size, false);
        let herd = herd(&mut simulation, VOTERS);
        samples.push(run.sample(HERD_90_PERCENT, herd.nine_tenths.as_secs_f64()));
        samples.push(run.sample(HERD_99_PERCENT, herd.nearly_all.as_secs_f64()));
        samples.push(run.sample(HERD_PEAK, herd.peak_messages as f64));
        samples
    }

    /// Compares real and simulated fronts in one fleet over loopback, with quota slots, a task and all registers.
    fn side_by_side(&self, size: u32, seed: u64) -> Result<Vec<Sample>, MeasureError> {
        let setup = full_fleet(size as usize, VOTERS, 0, seed);
        let compared = side_by_side(&setup, SETTLE_TIME, WINDOW)
            .map_err(|cause| MeasureError::Io { what: "a fleet over loopback".into(), cause })?;
        let disturbed = compared.lateness > MAX_LATENESS;
        let samples = |front: &str, of: &dyn Fn(fn(&Account) -> f64) -> f64| {
            let run = self.run(format!("side-by-side={front}"), size, disturbed);
            let seconds = WINDOW.as_secs_f64();
            vec![
                run.sample(metric::MESSAGES_OUT, of(|account| account.sent.messages as f64) / seconds),
                run.sample(metric::MESSAGES_IN, of(|account| account.received.messages as f64) / seconds),
                run.sample(metric::BYTES_OUT, of(|account| account.sent.bytes as f64) / seconds),
                run.sample(metric::BYTES_IN, of(|account| account.received.bytes as f64) / seconds),
                run.sample(metric::STATE, of(|account| account.state_bytes as f64)),
                run.sample(
                    metric::PROCESSOR,
                    100.0 * of(|account| account.processor.as_secs_f64()) / seconds,
                ),
            ]
        };
        let mut all = samples("real", &|figure| compared.real_mean(figure));
        all.extend(samples("hollow", &|figure| compared.hollow_mean(figure)));
        Ok(all)
    }

    fn partition(&self, size: u32, seed: u64) -> Vec<Sample> {
        let span = if self.options.quick { QUICK_PARTITION_TIME } else { PARTITION_TIME };
        let mut simulation = Simulation::new(with_quota_slots(size as usize, VOTERS, 0, seed));
        simulation.run_for(SETTLE_TIME);
        let partition = partition_regions(&mut simulation, span);
        let run = self.run("event=regions-cut-an-hour,loss=0".into(), size, false);
        vec![
            run.sample(HELD_WITH, partition.held_with_majority),
            run.sample(HELD_WITHOUT, partition.held_without),
            run.sample(HOLDERS_WITH, partition.holders_with_majority as f64),
            run.sample(HOLDERS_WITHOUT, partition.holders_without as f64),
            run.sample(SLOTS_RECOVERED, partition.slots_recovered_after.as_secs_f64()),
            run.sample(MEMBERS_RECOVERED, partition.members_recovered_after.as_secs_f64()),
        ]
    }
}

/// The longest duration, in seconds; zero for none.
pub fn max_seconds(spans: &[Duration]) -> f64 {
    spans.iter().max().map_or(0.0, Duration::as_secs_f64)
}

fn median(spans: &[Duration]) -> f64 {
    let mut sorted = spans.to_vec();
    sorted.sort();
    sorted.get(sorted.len() / 2).map_or(0.0, Duration::as_secs_f64)
}

impl Measurement for Leases {
    fn role(&self) -> Role {
        Role::Leases
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![40, 130, 260, 520, 1_040]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        check_limits(size)?;
        let mut samples = Vec::new();
        for repeat in 0..self.options.repeats {
            let seed = self.options.seed + u64::from(repeat);
            for loss in LOSSES {
                progress.step(format!("{size} fronts, {loss} percent lost, run {}", repeat + 1));
                if self.options.wants(&format!("part=all,loss={loss}")) {
                    samples.extend(self.steady(size, loss, seed)?);
                }
                if self.options.wants(&format!("event=holder-lost,loss={loss}")) {
                    samples.extend(self.events(size, loss, seed));
                }
            }
        }
        if size <= MAX_LOOPBACK_FRONTS && !self.options.quick && self.options.wants("side-by-side=real") {
            progress.step(format!("{size} fronts over loopback, some of them real"));
            samples.extend(self.side_by_side(size, self.options.seed)?);
        }
        if self.options.wants("event=regions-cut-an-hour,loss=0") {
            progress.step(format!("{size} fronts, the regions partitioned"));
            samples.extend(self.partition(size, self.options.seed));
        }
        Ok(samples)
    }
}
