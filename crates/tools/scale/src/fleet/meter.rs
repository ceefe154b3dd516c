//! Measures the traffic, processor time and state of simulated fronts over an interval of virtual time.

use super::simulation::Simulation;
use super::traffic::{Flow, Traffic};
use crate::error::MeasureError;
use crate::process;
use crate::role::Role;
use crate::sample::{Metric, Sample, metric};
use lemonusher_fleet::MessageKind;
use std::ops::Range;
use std::time::Duration;

/// Counters of a front at the start or the end of an interval.
struct Reading {
    traffic: Traffic,
    processor: Duration,
    members_lost: u64,
}

/// Measures a range of fronts over an interval.
pub struct Meter {
    fronts: Range<usize>,
    kinds: Vec<MessageKind>,
    began: Duration,
    before: Vec<Reading>,
}

/// The cost of one front, as the mean over the measured fronts except for `max_bytes`. Messages and bytes sent or
/// received are per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Messages received.
    pub messages_in: f64,
    /// Messages sent.
    pub messages_out: f64,
    /// Bytes received.
    pub bytes_in: f64,
    /// Bytes sent.
    pub bytes_out: f64,
    /// Bytes sent and received by the front with the most of both together.
    pub max_bytes: f64,
    /// Processor time in percent of a core. Covers all work of the front's state machine, whatever message kinds are
    /// measured.
    pub processor: f64,
    /// Bytes of a front's state at the end of the interval.
    pub state_bytes: f64,
    /// The number of fronts that one front reported as lost, per hour.
    pub members_lost_per_hour: f64,
    /// Other fronts that a front sees at the end of the interval.
    pub members: f64,
}

fn readings(simulation: &Simulation, fronts: Range<usize>) -> Vec<Reading> {
    let reading = |front| Reading {
        traffic: simulation.traffic(front),
        processor: simulation.front(front).map(|hollow| hollow.processor).unwrap_or_default(),
        members_lost: simulation.census(front).members_lost,
    };
    fronts.map(reading).collect()
}

impl Meter {
    /// Starts to measure messages of these kinds.
    pub fn start(simulation: &Simulation, fronts: Range<usize>, kinds: &[MessageKind]) -> Meter {
        let before = readings(simulation, fronts.clone());
        Meter { fronts, kinds: kinds.to_vec(), began: simulation.now(), before }
    }

    /// Ends the interval and returns the mean cost.
    pub fn finish(self, simulation: &Simulation) -> Cost {
        let seconds = (simulation.now() - self.began).as_secs_f64();
        let after = readings(simulation, self.fronts.clone());
        let mut cost = Cost::default();
        let mut members = 0;
        let fronts = after.len().max(1) as f64;
        for ((after, before), front) in after.iter().zip(&self.before).zip(self.fronts.clone()) {
            let received = after.traffic.received(&self.kinds) - before.traffic.received(&self.kinds);
            let sent = after.traffic.sent(&self.kinds) - before.traffic.sent(&self.kinds);
            let per_second = |count: u64| count as f64 / seconds;
            cost.messages_in += per_second(received.messages) / fronts;
            cost.messages_out += per_second(sent.messages) / fronts;
            cost.bytes_in += per_second(received.bytes) / fronts;
            cost.bytes_out += per_second(sent.bytes) / fronts;
            cost.max_bytes = cost.max_bytes.max(per_second(total_flow(received, sent).bytes));
            let processor = after.processor.saturating_sub(before.processor).as_secs_f64();
            cost.processor += 100.0 * processor / seconds / fronts;
            cost.members_lost_per_hour +=
                per_second(after.members_lost - before.members_lost) * SECONDS_PER_HOUR / fronts;
            let census = simulation.census(front);
            cost.state_bytes += census.bytes as f64 / fronts;
            members += census.members;
        }
        cost.members = members as f64 / fronts;
        cost
    }
}

const SECONDS_PER_HOUR: f64 = 3_600.0;

fn total_flow(received: Flow, sent: Flow) -> Flow {
    received + sent
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> Result<f64, MeasureError> {
    Ok(process::own()?.resident_bytes as f64)
}

/// Labels shared by the samples of one run.
pub struct Run {
    /// The measured role.
    pub role: Role,
    /// The other fixed conditions, such as `loss=20`.
    pub case: String,
    /// The size along the role's axis.
    pub size: u32,
    /// True if the lateness of the harness exceeded its limit.
    pub disturbed: bool,
}

impl Run {
    /// A sample of this run.
    pub fn sample(&self, metric: Metric, value: f64) -> Sample {
        Sample {
            role: self.role,
            case: self.case.clone(),
            size: self.size,
            metric,
            value,
            disturbed: self.disturbed,
        }
    }

    /// The samples of a front's cost. Only processor time can be disturbed: everything else runs in virtual time.
    pub fn cost(&self, cost: &Cost) -> Vec<Sample> {
        let virtual_run = Run { role: self.role, case: self.case.clone(), size: self.size, disturbed: false };
        vec![
            virtual_run.sample(metric::STATE, cost.state_bytes),
            virtual_run.sample(metric::MESSAGES_IN, cost.messages_in),
            virtual_run.sample(metric::MESSAGES_OUT, cost.messages_out),
            virtual_run.sample(metric::BYTES_IN, cost.bytes_in),
            virtual_run.sample(metric::BYTES_OUT, cost.bytes_out),
            virtual_run.sample(metric::BYTES_CONTROL, cost.bytes_in + cost.bytes_out),
            self.sample(metric::PROCESSOR, cost.processor),
        ]
    }
}
