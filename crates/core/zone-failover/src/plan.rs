//! The plan that all fronts follow, built from the zones' states, the demand and the supply.
//!
//! A zone's capacity is its cores, times the share of its engines that answer, times the share of its engines that
//! its state opens, times the configured utilization. While every zone is up or suspected and has an answering
//! share of at least 0.6, the plan admits every request, as each front's admission control then knows the capacity
//! of the engines better than a plan does.
//!
//! [`FailoverPlan`] is stored in a register in postcard, and operators' commands print states and overrides as JSON
//! and text. The order and types of fields and variants must stay, and so must the names in `serde(rename)` and
//! `Display`.

use crate::{
    Allocation, ClassLoad, FULLY_OPEN, FailoverConfig, MAX_CLASSES, MAX_ZONES, Zone, ZoneCapacity,
    ZoneStateMachine, allocate,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// If the answering share of any zone is below this, the plan limits admission even while all zones are up.
const MIN_ANSWERING_SHARE: f64 = 0.6;

/// The committed state of a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ZoneState {
    /// The plan opens the zone to all fronts.
    #[default]
    Up,
    /// The zone is unreachable or partitioned, but not yet for the confirmation time. The plan still opens it to all
    /// fronts.
    #[serde(rename = "Doubt")]
    Suspected,
    /// The plan opens the zone to no front.
    Lost,
    /// The plan opens the zone only to its own fronts, as those of other zones can't reach it.
    #[serde(rename = "Cut")]
    Partitioned,
    /// The plan opens the zone only to its own fronts and to [`FailoverPlan::prober`], whose requests show whether
    /// the zone answers.
    #[serde(rename = "Trial")]
    Probing,
    /// The plan opens the zone's engines in steps.
    #[serde(rename = "Returning")]
    Recovering,
    /// An operator drains the zone, or has drained it.
    #[serde(rename = "Out")]
    Disabled,
}

impl fmt::Display for ZoneState {
    /// The name in logs and in the output of commands.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ZoneState::Up => "Up",
            ZoneState::Suspected => "Doubt",
            ZoneState::Lost => "Lost",
            ZoneState::Partitioned => "Cut",
            ZoneState::Probing => "Trial",
            ZoneState::Recovering => "Returning",
            ZoneState::Disabled => "Out",
        })
    }
}

/// An operator's override of a zone's state machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OperatorOverride {
    /// No override: the zone follows the evidence.
    #[default]
    Auto,
    /// The zone is drained in steps and stays unused.
    #[serde(rename = "Out")]
    Disable,
    /// Like `Disable`, but the drain ends by itself if outcomes in another zone degrade.
    Drill,
    /// A lost or partitioned zone keeps its state and is not probed.
    #[serde(rename = "HoldReturn")]
    HoldRecovery,
    /// The steps of a recovery are taken at half the ramp interval.
    #[serde(rename = "Hurry")]
    FastRecovery,
}

impl fmt::Display for OperatorOverride {
    /// The name in the output of commands.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            OperatorOverride::Auto => "Auto",
            OperatorOverride::Disable => "Out",
            OperatorOverride::Drill => "Drill",
            OperatorOverride::HoldRecovery => "HoldReturn",
            OperatorOverride::FastRecovery => "Hurry",
        })
    }
}

/// The plan for one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePlan {
    /// The zone's state.
    pub state: ZoneState,
    /// The share of its engines that is open, in thousandths; not over [`FULLY_OPEN`].
    pub open_permille: u16,
    /// A bit for each request class that may not be sent there yet.
    pub blocked_classes: u64,
    /// Consecutive losses; each after the first doubles the recovery backoff.
    pub consecutive_losses: u8,
}

impl ZonePlan {
    /// The share of the zone's engines that counts as capacity, from 0 to 1. A partitioned zone counts in full, as it
    /// serves its own fronts; a probed zone does not count yet.
    fn open_share(&self) -> f64 {
        match self.state {
            ZoneState::Up | ZoneState::Suspected | ZoneState::Partitioned => 1.0,
            ZoneState::Lost | ZoneState::Probing => 0.0,
            ZoneState::Recovering | ZoneState::Disabled => {
                f64::from(self.open_permille) / f64::from(FULLY_OPEN)
            }
        }
    }
}

/// The plan that all fronts follow. Its version is the version of the register's entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverPlan {
    /// The zones by number; [`MAX_ZONES`] at most.
    pub zones: Vec<ZonePlan>,
    /// The share of the arrivals that is admitted, by request class, in thousandths; [`MAX_CLASSES`] at most.
    pub admitted_permille: Vec<u16>,
    /// The least Retry-After of rejected requests, in milliseconds.
    pub retry_after_ms: u32,
    /// The incarnation of the front that probes zones other than its own.
    pub prober: u64,
}

impl FailoverPlan {
    /// Encodes the plan as the register's value.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes the register's value; none if it is corrupt or exceeds the limits.
    pub fn from_bytes(bytes: &[u8]) -> Option<FailoverPlan> {
        let plan: FailoverPlan = postcard::from_bytes(bytes).ok()?;
        let fits = plan.zones.len() <= MAX_ZONES && plan.admitted_permille.len() <= MAX_CLASSES;
        (fits && plan.zones.iter().all(|zone| zone.open_permille <= FULLY_OPEN)).then_some(plan)
    }
}

/// The engines of a zone, as far as they count for its capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneSupply {
    /// The cores of the engines that the endpoint list names there.
    pub cores: u32,
    /// The share of its engines that answers, from 0 to 1; less if attempts there are slow.
    pub answering_share: f64,
}

/// A plan, with the allocation that it was built from.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedAllocation {
    /// The plan for the fronts to follow.
    pub plan: FailoverPlan,
    /// The work of each request class in each zone.
    pub allocation: Allocation,
}

/// Builds the plan from the zones' states, the demand and the supply. `prober` is the incarnation of the front that
/// probes zones other than its own.
pub fn build_plan(
    state_machines: &[ZoneStateMachine],
    classes: &[ClassLoad],
    supply: &[ZoneSupply],
    config: &FailoverConfig,
    prober: u64,
) -> PlannedAllocation {
    let mut zones: Vec<ZonePlan> = state_machines.iter().map(|state_machine| state_machine.plan).collect();
    for zone in zones.iter_mut().filter(|zone| zone.state == ZoneState::Recovering) {
        zone.blocked_classes = blocked_classes(zone.open_permille, classes);
    }
    let capacities: Vec<ZoneCapacity> = zones
        .iter()
        .zip(supply)
        .enumerate()
        .map(|(zone, (plan, supply))| {
            let answering_share = supply.answering_share.clamp(0.0, 1.0);
            let usable = f64::from(supply.cores) * answering_share * config.max_utilization;
            ZoneCapacity { zone: zone as Zone, work: usable * plan.open_share() }
        })
        .collect();
    let allocation = allocate(classes, &capacities);
    let all_up = zones.iter().all(|zone| matches!(zone.state, ZoneState::Up | ZoneState::Suspected));
    let admits_all = all_up && supply.iter().all(|zone| zone.answering_share >= MIN_ANSWERING_SHARE);
    let retry_after = if admits_all { config.ramp_interval / 4 } else { config.ramp_interval };
    let plan = FailoverPlan {
        zones,
        admitted_permille: admitted_permille(&allocation, admits_all),
        retry_after_ms: retry_after.as_millis() as u32,
        prober,
    };
    PlannedAllocation { plan, allocation }
}

fn admitted_permille(allocation: &Allocation, admits_all: bool) -> Vec<u16> {
    let permille = |share: &f64| match admits_all {
        true => FULLY_OPEN,
        false => (share * f64::from(FULLY_OPEN)).round() as u16,
    };
    allocation.served_shares.iter().map(permille).collect()
}

/// A bit for each class that may not be sent to a recovering zone yet. The zone warms up with short work: the first
/// step admits the half of the classes with the least work, the second step three quarters, later steps all.
fn blocked_classes(open_permille: u16, classes: &[ClassLoad]) -> u64 {
    let mut by_work: Vec<usize> = (0..classes.len()).collect();
    by_work.sort_by(|a, b| classes[*a].work.total_cmp(&classes[*b].work).then(a.cmp(b)));
    let admitted = match open_permille {
        0..=125 => classes.len().div_ceil(2),
        126..=250 => (classes.len() * 3).div_ceil(4),
        _ => classes.len(),
    };
    let blocked = by_work.iter().skip(admitted);
    blocked.fold(0, |bits, class| bits | 1u64.checked_shl(*class as u32).unwrap_or(0))
}
