//! The failure detector: its cost for each front, and how often it reports a live front as lost.

use crate::error::MeasureError;
use crate::fleet::{Meter, Run, Setup, Simulation, resident_bytes};
use crate::limits::Limits;
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, Sample, metric};
use crate::watch::Preemption;
use lemonusher_fleet::MessageKind;
use std::time::Duration;

/// Measured datagram loss rates, in percent.
pub const LOSSES: [u32; 3] = [0, 1, 20];
/// Warm-up in which all fronts start and discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(60);
const WINDOW: Duration = Duration::from_secs(120);
const QUICK_WINDOW: Duration = Duration::from_secs(10);
/// A run counts as disturbed if its thread is off its core for more than this share of the wall time, from 0 to 1.
const PREEMPTED_SHARE: f64 = 0.6;
/// Upper limit of the memory of a simulated front, in bytes, without its records of other fronts.
const BYTES_PER_FRONT: u64 = 64 * 1024;
const BYTES_PER_PAIR: u64 = 512;

/// The number of live fronts that one front reported as lost, per hour.
const FALSE_ALARMS: Metric = Metric::new("false_alarms_a_front", "1/h");
/// Other fronts that a front sees, as a share of all others.
const SEEN: Metric = Metric::new("members_seen", "%");
/// Bytes sent and received by the front with the most traffic.
const BYTES_MOST: Metric = Metric::new("bytes_busiest_front", "B/s");

/// Measures the failure detector in simulated fleets.
pub struct FailureDetector {
    options: Options,
    /// Resident memory of this process before any fleet ran in it, in bytes.
    resident: f64,
}

impl FailureDetector {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Result<Self, MeasureError> {
        Ok(FailureDetector { options: options.clone(), resident: resident_bytes()? })
    }

    fn run(&self, size: u32, loss: u32, seed: u64) -> Result<Vec<Sample>, MeasureError> {
        let fronts = size as usize;
        let preemption = Preemption::start(PREEMPTED_SHARE);
        let mut simulation = Simulation::new(Setup::detector(fronts, f64::from(loss) / 100.0, seed));
        let (warm_up, span) =
            if self.options.quick { (QUICK_WINDOW, QUICK_WINDOW) } else { (SETTLE_TIME, WINDOW) };
        simulation.run_for(warm_up);
        let meter = Meter::start(&simulation, 0..fronts, &[MessageKind::FailureDetector]);
        simulation.run_for(span);
        let cost = meter.finish(&simulation);
        let memory = (resident_bytes()? - self.resident).max(0.0) / f64::from(size) / 1e6;
        let lateness = preemption.finish().lateness;
        let run = Run {
            role: Role::FailureDetector,
            case: format!("loss={loss}"),
            size,
            disturbed: lateness.disturbed(),
        };
        let mut samples = run.cost(&cost);
        samples.push(run.sample(metric::MEMORY, memory));
        let calm = Run { disturbed: false, ..run };
        samples.push(calm.sample(BYTES_MOST, cost.max_bytes));
        samples.push(calm.sample(FALSE_ALARMS, cost.members_lost_per_hour));
        samples.push(calm.sample(SEEN, 100.0 * cost.members / f64::from(size - 1)));
        Ok(samples)
    }
}

impl Measurement for FailureDetector {
    fn role(&self) -> Role {
        Role::FailureDetector
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![40, 130, 260, 520, 1_040]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        check_limits(size)?;
        let mut samples = Vec::new();
        for loss in LOSSES.into_iter().filter(|loss| self.options.wants(&format!("loss={loss}"))) {
            for repeat in 0..self.options.repeats {
                progress.step(format!("{size} fronts, {loss} percent lost, run {}", repeat + 1));
                samples.extend(self.run(size, loss, self.options.seed + u64::from(repeat))?);
            }
        }
        Ok(samples)
    }
}

/// Rejects a simulated fleet that exceeds the limits of the machine or has fewer fronts than the minimum.
pub fn check_limits(size: u32) -> Result<(), MeasureError> {
    if size < MIN_FRONTS {
        return Err(MeasureError::Failed(format!("a fleet needs at least {MIN_FRONTS} fronts, got {size}")));
    }
    let fronts = u64::from(size);
    let memory_bytes = fronts * BYTES_PER_FRONT + fronts * fronts * BYTES_PER_PAIR;
    let need = Need { memory_bytes, ..Need::default() };
    let limits = Limits::of_this_machine().map_err(|cause| MeasureError::Figures(cause.to_string()))?;
    if limits.hold(&need) { Ok(()) } else { Err(MeasureError::DoesNotFit { size, need }) }
}

/// The smallest fleet. Voters are fronts, of which there are up to seven, and at least one front must not vote.
const MIN_FRONTS: u32 = 8;
