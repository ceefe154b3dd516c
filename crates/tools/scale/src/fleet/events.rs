//! What happens to leases when holders, voters or a whole region go, in a fleet whose fronts want a seat each and one
//! task that all are willing to hold.

use super::network::Place;
use super::setup::TASK;
use super::simulation::Simulation;
use lemonusher_fleet::MessageKind;
use std::time::Duration;

/// Spans are told to this step.
const STEP: Duration = Duration::from_millis(50);
/// Nothing is waited for longer.
const LONGEST: Duration = Duration::from_secs(120);
/// Between two losses of a holder.
const CALM: Duration = Duration::from_secs(10);

/// How long a task was without a working holder, by loss; [`LONGEST`] where it had none by then.
#[derive(Debug, Clone, Default)]
pub struct Replacement {
    /// The holder was killed without a word.
    pub killed: Vec<Duration>,
    /// It was stopped in order.
    pub stopped: Vec<Duration>,
}

/// Ends the task's holder so many times each way; it comes back as a new life.
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
    simulation.run_until_holds(STEP, LONGEST, held)?;
    let holder = simulation.holders(TASK).first().copied()?;
    end(simulation, holder);
    let without = simulation.run_until_holds(STEP, LONGEST, held).unwrap_or(LONGEST);
    simulation.start_at(holder, simulation.now() + Duration::from_secs(1));
    simulation.run_for(CALM);
    Some(without)
}

/// What follows when all voters lose their memory at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct Herd {
    /// Until so many seats were held again; [`LONGEST`] if they were not by then.
    pub nine_tenths: Duration,
    /// Until 99 of 100 were.
    pub nearly_all: Duration,
    /// Messages that one voter heard in its busiest second, at most.
    pub peak_messages: u64,
}

/// Kills all voters, and starts them a second later.
pub fn herd(simulation: &mut Simulation, voters: usize) -> Herd {
    let seats = simulation.leases_held(0..simulation.fronts());
    (0..voters).for_each(|voter| simulation.kill(voter));
    let restart = simulation.now() + Duration::from_secs(1);
    (0..voters).for_each(|voter| simulation.start_at(voter, restart));
    simulation.run_until(restart);
    let mut herd = Herd { nine_tenths: LONGEST, nearly_all: LONGEST, peak_messages: 0 };
    // Leases that had been granted before run out first.
    let mut lowest = seats;
    while simulation.now() < restart + LONGEST && herd.nearly_all == LONGEST {
        let before: Vec<u64> = (0..voters).map(|voter| heard(simulation, voter)).collect();
        simulation.run_for(Duration::from_secs(1));
        let second = (0..voters).map(|voter| heard(simulation, voter).saturating_sub(before[voter]));
        herd.peak_messages = herd.peak_messages.max(second.max().unwrap_or(0));
        let held = simulation.leases_held(0..simulation.fronts());
        lowest = lowest.min(held);
        let since = simulation.now() - restart;
        if lowest * 2 < seats && held * 10 >= seats * 9 {
            herd.nine_tenths = herd.nine_tenths.min(since);
        }
        if lowest * 2 < seats && held * 100 >= seats * 99 {
            herd.nearly_all = since;
        }
    }
    herd
}

fn heard(simulation: &Simulation, front: usize) -> u64 {
    let kinds =
        [MessageKind::FailureDetector, MessageKind::Leases, MessageKind::Registers, MessageKind::Reports];
    simulation.traffic(front).heard(&kinds).messages
}

/// What each side of a cut between the regions could do, and what followed its end.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cut {
    /// The share of its fronts' seats that the side with a majority of the voters held at the cut's end, and the other.
    pub held_with_majority: f64,
    pub held_without: f64,
    /// Fronts that could act on the task, by side.
    pub holders_with_majority: usize,
    pub holders_without: usize,
    /// After the cut's end: until 99 of 100 seats were held, and until every front saw all others.
    pub seats_again: Duration,
    pub members_again: Duration,
}

/// Cuts the regions off from each other for so long. The first region has a majority of the voters.
pub fn cut_regions(simulation: &mut Simulation, span: Duration) -> Cut {
    let fronts = simulation.fronts();
    let side = |region: u32| (0..fronts).filter(move |front| Place::of(*front).region == region);
    let before = simulation.leases_held(0..fronts);
    simulation.network.cut = true;
    simulation.run_for(span);
    let holders = simulation.holders(TASK);
    let of = |region: u32| holders.iter().filter(|front| Place::of(**front).region == region).count();
    let held = |simulation: &Simulation, region: u32| {
        let seats = simulation.leases_held(side(region)) - of(region);
        100.0 * seats as f64 / side(region).count().max(1) as f64
    };
    let mut cut = Cut {
        held_with_majority: held(simulation, 0),
        held_without: held(simulation, 1),
        holders_with_majority: of(0),
        holders_without: of(1),
        ..Cut::default()
    };
    simulation.network.cut = false;
    let began = simulation.now();
    let again = |simulation: &Simulation| simulation.leases_held(0..fronts) * 100 >= before * 99;
    cut.seats_again = simulation.run_until_holds(STEP * 5, LONGEST, again).unwrap_or(LONGEST);
    let all = |simulation: &Simulation| simulation.fewest_members() + 1 >= fronts;
    let more = simulation.run_until_holds(STEP * 5, LONGEST, all);
    cut.members_again = if more.is_some() { simulation.now() - began } else { LONGEST };
    cut
}
