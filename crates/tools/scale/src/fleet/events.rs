//! What happens to leases when holders, voters or a whole region are lost, in a fleet whose fronts want a quota slot each and one
//! task that all are willing to hold.

use super::network::Place;
use super::setup::TASK;
use super::simulation::Simulation;
use lemonusher_fleet::MessageKind;
use std::time::Duration;

/// Resolution of the spans.
const STEP: Duration = Duration::from_millis(50);
/// How long anything is waited for.
const MAX_WAIT: Duration = Duration::from_secs(120);
/// Between two losses of a holder.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// How long a task was without a working holder, by loss; at most `MAX_WAIT`.
#[derive(Debug, Clone, Default)]
pub struct Replacement {
    /// The holder was killed.
    pub killed: Vec<Duration>,
    /// It was stopped gracefully.
    pub stopped: Vec<Duration>,
}

/// Ends the task's holder so many times each way; it returns as a new incarnation.
pub fn replacements(simulation: &mut Simulation, trials: usize) -> Replacement {
    let mut all = Replacement::default();
    for _ in 0..trials {
        all.killed.extend(replace(simulation, Simulation::kill));
        all.stopped.extend(replace(simulation, Simulation::stop));
    }
    all
}

fn replace(simulation: &mut Simulation, end: impl Fn(&mut Simulation, usize)) -> Option<Duration> {
    let held = |simulation: &Simulation| !simulation.holders(TASK).is_empty();
    simulation.run_until_holds(STEP, MAX_WAIT, held)?;
    let holder = simulation.holders(TASK).first().copied()?;
    end(simulation, holder);
    let without = simulation.run_until_holds(STEP, MAX_WAIT, held).unwrap_or(MAX_WAIT);
    simulation.start_at(holder, simulation.now() + Duration::from_secs(1));
    simulation.run_for(SETTLE_TIME);
    Some(without)
}

/// What follows when all voters lose their memory at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct ThunderingHerd {
    /// Until nine in ten quota slots were held again; at most `MAX_WAIT`.
    pub nine_tenths: Duration,
    /// Until 99 of 100 were.
    pub nearly_all: Duration,
    /// Messages that one voter received in its busiest second, at most.
    pub peak_messages: u64,
}

/// Kills all voters, and starts them a second later.
pub fn herd(simulation: &mut Simulation, voters: usize) -> ThunderingHerd {
    let quota_slots = simulation.leases_held(0..simulation.fronts());
    (0..voters).for_each(|voter| simulation.kill(voter));
    let restart = simulation.now() + Duration::from_secs(1);
    (0..voters).for_each(|voter| simulation.start_at(voter, restart));
    simulation.run_until(restart);
    let mut herd = ThunderingHerd { nine_tenths: MAX_WAIT, nearly_all: MAX_WAIT, peak_messages: 0 };
    // Leases that had been granted before run out first.
    let mut lowest = quota_slots;
    while simulation.now() < restart + MAX_WAIT && herd.nearly_all == MAX_WAIT {
        let before: Vec<u64> = (0..voters).map(|voter| received(simulation, voter)).collect();
        simulation.run_for(Duration::from_secs(1));
        let second = (0..voters).map(|voter| received(simulation, voter).saturating_sub(before[voter]));
        herd.peak_messages = herd.peak_messages.max(second.max().unwrap_or(0));
        let held = simulation.leases_held(0..simulation.fronts());
        lowest = lowest.min(held);
        let since = simulation.now() - restart;
        if lowest * 2 < quota_slots && held * 10 >= quota_slots * 9 {
            herd.nine_tenths = herd.nine_tenths.min(since);
        }
        if lowest * 2 < quota_slots && held * 100 >= quota_slots * 99 {
            herd.nearly_all = since;
        }
    }
    herd
}

fn received(simulation: &Simulation, front: usize) -> u64 {
    let kinds =
        [MessageKind::FailureDetector, MessageKind::Leases, MessageKind::Registers, MessageKind::Reports];
    simulation.traffic(front).received(&kinds).messages
}

/// What each side of a partition between the regions could do, and what followed its end.
#[derive(Debug, Clone, Copy, Default)]
pub struct Partition {
    /// The share of its fronts' quota slots that the side with a majority of the voters held at the end, in percent.
    pub held_with_majority: f64,
    /// The same of the other side.
    pub held_without: f64,
    /// Fronts that could act on the task, by side.
    pub holders_with_majority: usize,
    /// The same of the other side.
    pub holders_without: usize,
    /// After the partition's end: until 99 of 100 quota slots were held.
    pub slots_recovered_after: Duration,
    /// After the partition's end: until every front saw all others.
    pub members_recovered_after: Duration,
}

/// Partitions the regions for so long. The first region has a majority of the voters.
pub fn partition_regions(simulation: &mut Simulation, span: Duration) -> Partition {
    let fronts = simulation.fronts();
    let side = |region: u32| (0..fronts).filter(move |front| Place::of(*front).region == region);
    let before = simulation.leases_held(0..fronts);
    simulation.network.partitioned = true;
    simulation.run_for(span);
    let holders = simulation.holders(TASK);
    let of = |region: u32| holders.iter().filter(|front| Place::of(**front).region == region).count();
    let held = |simulation: &Simulation, region: u32| {
        let quota_slots = simulation.leases_held(side(region)) - of(region);
        100.0 * quota_slots as f64 / side(region).count().max(1) as f64
    };
    let mut partitioned = Partition {
        held_with_majority: held(simulation, 0),
        held_without: held(simulation, 1),
        holders_with_majority: of(0),
        holders_without: of(1),
        ..Partition::default()
    };
    simulation.network.partitioned = false;
    let began = simulation.now();
    let again = |simulation: &Simulation| simulation.leases_held(0..fronts) * 100 >= before * 99;
    partitioned.slots_recovered_after =
        simulation.run_until_holds(STEP * 5, MAX_WAIT, again).unwrap_or(MAX_WAIT);
    let all = |simulation: &Simulation| simulation.fewest_members() + 1 >= fronts;
    let more = simulation.run_until_holds(STEP * 5, MAX_WAIT, all);
    partitioned.members_recovered_after = if more.is_some() { simulation.now() - began } else { MAX_WAIT };
    partitioned
}
