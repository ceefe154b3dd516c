//! Measures how leases recover after the loss of a holder, of all voters or of the link between the regions. Each
//! front of the fleet requests one quota slot, and every front is a candidate for the lease of one task.

use super::network::Place;
use super::setup::TASK;
use super::simulation::Simulation;
use lemonusher_fleet::MessageKind;
use std::time::Duration;

/// Resolution of the measured recovery times.
const STEP: Duration = Duration::from_millis(50);
/// Upper limit of every wait; a recovery that takes longer is reported as this value.
const MAX_WAIT: Duration = Duration::from_secs(120);
/// Virtual time between two losses of a holder.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The times for which the task had no working holder, one entry a loss; each at most `MAX_WAIT`.
#[derive(Debug, Clone, Default)]
pub struct Replacement {
    /// After the holder was killed.
    pub killed: Vec<Duration>,
    /// After the holder was stopped gracefully, which releases its lease.
    pub stopped: Vec<Duration>,
}

/// Kills the task's holder `trials` times and stops it gracefully as often; it restarts as a new incarnation each
/// time.
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

/// The recovery after all voters restart at once and lose their state.
#[derive(Debug, Clone, Copy, Default)]
pub struct ThunderingHerd {
    /// Time until 90 percent of the quota slots were held again; at most `MAX_WAIT`.
    pub nine_tenths: Duration,
    /// Time until 99 percent of the quota slots were held again; at most `MAX_WAIT`.
    pub nearly_all: Duration,
    /// The most messages that any one voter received within a second.
    pub peak_messages: u64,
}

/// Kills all voters, restarts them a second later and measures the recovery.
pub fn herd(simulation: &mut Simulation, voters: usize) -> ThunderingHerd {
    let quota_slots = simulation.leases_held(0..simulation.fronts());
    (0..voters).for_each(|voter| simulation.kill(voter));
    let restart = simulation.now() + Duration::from_secs(1);
    (0..voters).for_each(|voter| simulation.start_at(voter, restart));
    simulation.run_until(restart);
    let mut herd = ThunderingHerd { nine_tenths: MAX_WAIT, nearly_all: MAX_WAIT, peak_messages: 0 };
    // Leases granted before the restart are held until they expire. Recovery counts only once fewer than half of the
    // quota slots have been held.
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

/// Leases held on each side of a partition between the regions, and the recovery after it ends.
#[derive(Debug, Clone, Copy, Default)]
pub struct Partition {
    /// Quota slots held at the end on the side with a majority of the voters, in percent of that side's fronts.
    pub held_with_majority: f64,
    /// The same for the side without a majority.
    pub held_without: f64,
    /// Fronts on the side with a majority of the voters that could act on the task.
    pub holders_with_majority: usize,
    /// The same for the side without a majority.
    pub holders_without: usize,
    /// Time from the partition's end until 99 percent of the leases held before it were held again; at most
    /// `MAX_WAIT`.
    pub slots_recovered_after: Duration,
    /// Time from the partition's end until every front saw all others. The check for that starts only when the wait
    /// for the leases has ended; if it then lasts longer than `MAX_WAIT`, the value is `MAX_WAIT`.
    pub members_recovered_after: Duration,
}

/// Partitions the regions for `span`. The first region has a majority of the voters.
pub fn partition_regions(simulation: &mut Simulation, span: Duration) -> Partition {
    let fronts = simulation.fronts();
    let side = |region: u32| (0..fronts).filter(move |front| Place::of(*front).region == region);
    let before = simulation.leases_held(0..fronts);
    simulation.network.partitioned = true;
    simulation.run_for(span);
    let holders = simulation.holders(TASK);
    let holders_in = |region: u32| holders.iter().filter(|front| Place::of(**front).region == region).count();
    let held = |simulation: &Simulation, region: u32| {
        let quota_slots = simulation.leases_held(side(region)) - holders_in(region);
        100.0 * quota_slots as f64 / side(region).count().max(1) as f64
    };
    let mut partitioned = Partition {
        held_with_majority: held(simulation, 0),
        held_without: held(simulation, 1),
        holders_with_majority: holders_in(0),
        holders_without: holders_in(1),
        ..Partition::default()
    };
    simulation.network.partitioned = false;
    let began = simulation.now();
    let slots_recovered = |simulation: &Simulation| simulation.leases_held(0..fronts) * 100 >= before * 99;
    partitioned.slots_recovered_after =
        simulation.run_until_holds(STEP * 5, MAX_WAIT, slots_recovered).unwrap_or(MAX_WAIT);
    let all_members_seen = |simulation: &Simulation| simulation.fewest_members() + 1 >= fronts;
    let members_wait = simulation.run_until_holds(STEP * 5, MAX_WAIT, all_members_seen);
    partitioned.members_recovered_after =
        if members_wait.is_some() { simulation.now() - began } else { MAX_WAIT };
    partitioned
}
