//! The machines set aside for control: the load of each of 3, 5 or 7 voters, and the leases held after the loss of two
//! of them. The fleet allows up to seven voters, so one of the eight machines is spare.

use super::failure_detector::check_limits;
use super::leases::{full_fleet, max_seconds, voter_samples, with_quota_slots};
use crate::error::MeasureError;
use crate::fleet::{Meter, Run, Simulation, TASK, replacements, resident_bytes};
use crate::measurement::{Measurement, Options};
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, Sample, metric};
use crate::watch::Preemption;
use lemonusher_fleet::MessageKind;
use std::time::Duration;

const VOTERS: [usize; 3] = [3, 5, 7];
const LOST_VOTERS: usize = 2;
const SETTLE_TIME: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(20);
const QUICK_WINDOW: Duration = Duration::from_secs(5);
/// Time after the loss of the voters; longer than any lease that was granted before.
const AFTER_LOSS: Duration = Duration::from_secs(10);
const TRIALS: usize = 5;
/// A run counts as disturbed if its thread is off its core for more than this share of the wall time, from 0 to 1.
const PREEMPTED_SHARE: f64 = 0.6;

const ALL: [MessageKind; 4] =
    [MessageKind::FailureDetector, MessageKind::Leases, MessageKind::Registers, MessageKind::Reports];
/// Share of the remaining fronts that hold a quota slot after the loss of two voters.
const HELD: Metric = Metric::new("seats_held", "%");
const HOLDERS: Metric = Metric::new("task_holders", "1");

/// Simulates fleets with 3, 5 and 7 voters.
pub struct ControlMachines {
    options: Options,
    resident: f64,
}

impl ControlMachines {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Result<Self, MeasureError> {
        Ok(ControlMachines { options: options.clone(), resident: resident_bytes()? })
    }

    fn steady(&self, size: u32, voters: usize, seed: u64) -> Result<Vec<Sample>, MeasureError> {
        let fronts = size as usize;
        let preemption = Preemption::start(PREEMPTED_SHARE);
        let mut simulation = Simulation::new(full_fleet(fronts, voters, 0, seed));
        let (warm_up, span) =
            if self.options.quick { (QUICK_WINDOW, QUICK_WINDOW) } else { (SETTLE_TIME, WINDOW) };
        simulation.run_for(warm_up);
        let front = Meter::start(&simulation, voters..fronts, &ALL);
        let voter = Meter::start(&simulation, 0..voters, &ALL);
        simulation.run_for(span);
        let memory = (resident_bytes()? - self.resident).max(0.0) / f64::from(size) / 1e6;
        let disturbed = preemption.finish().lateness.disturbed();
        let run = Run { role: Role::ControlMachines, case: format!("voters={voters}"), size, disturbed };
        let mut samples = run.cost(&front.finish(&simulation));
        samples.extend(voter_samples(&run, &voter.finish(&simulation)));
        samples.push(run.sample(metric::MEMORY, memory));
        Ok(samples)
    }

    fn two_voters_lost(&self, size: u32, voters: usize, seed: u64) -> Vec<Sample> {
        let fronts = size as usize;
        let mut simulation = Simulation::new(with_quota_slots(fronts, voters, 0, seed));
        simulation.run_for(SETTLE_TIME);
        // The voters with the highest indices are lost, so that voter 0, which is in the first region, remains.
        (voters - LOST_VOTERS..voters).for_each(|voter| simulation.kill(voter));
        simulation.run_for(AFTER_LOSS);
        let case = format!("voters={voters},gone={LOST_VOTERS}");
        let run = Run { role: Role::ControlMachines, case, size, disturbed: false };
        let left = (fronts - LOST_VOTERS) as f64;
        let holders = simulation.holders(TASK).len();
        let held = 100.0 * (simulation.leases_held(0..fronts) - holders) as f64 / left;
        let mut samples = vec![run.sample(HELD, held), run.sample(HOLDERS, holders as f64)];
        if holders > 0 {
            let trials = if self.options.quick { 1 } else { TRIALS };
            let lost = replacements(&mut simulation, trials);
            samples.push(run.sample(metric::REPLACEMENT, max_seconds(&lost.killed)));
        }
        samples
    }
}

impl Measurement for ControlMachines {
    fn role(&self) -> Role {
        Role::ControlMachines
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![40, 130, 260, 520, 1_040]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        check_limits(size)?;
        let mut samples = Vec::new();
        for repeat in 0..self.options.repeats {
            let seed = self.options.seed + u64::from(repeat);
            for voters in VOTERS {
                progress.step(format!("{size} fronts, {voters} voters, run {}", repeat + 1));
                samples.extend(self.steady(size, voters, seed)?);
                samples.extend(self.two_voters_lost(size, voters, seed));
            }
        }
        Ok(samples)
    }
}
