//! The plan that all fronts follow, and how it is built from the zones' states, the demand and the supply.
//!
//! A zone supplies its cores, times the share of its engines that answer, times the share that its state opens, times
//! the configured utilization. While all zones are up and answer, the plan admits everything: what engines bear is then
//! known better to each front's admission control than to any plan.
//!
//! [`FailoverPlan`] stands in a register as postcard, states and overrides are shown to operators as JSON and text: order
//! and types of fields and variants must stay, and so must the names in `serde(rename)` and `Display`.

use crate::{
    Allocation, ClassLoad, FULLY_OPEN, FailoverConfig, MAX_CLASSES, MAX_ZONES, Zone, ZoneCapacity,
    ZoneStateMachine, allocate,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The share of a zone's engines that must answer, below which the plan rations even with all zones up.
const MIN_ANSWERING_SHARE: f64 = 0.6;

/// The state of a zone, as the fleet has committed it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ZoneState {
    /// In use by all fronts.
    #[default]
    Up,
    /// Evidence speaks against it, not yet for long enough: still in use.
    #[serde(rename = "Doubt")]
    Suspected,
    /// Nothing is sent there.
    Lost,
    /// Its own fronts use it, the others can't reach it.
    #[serde(rename = "Cut")]
    Partitioned,
    /// Its own fronts and one other front probe it.
    #[serde(rename = "Trial")]
    Probing,
    /// It is opened step by step.
    #[serde(rename = "Returning")]
    Recovering,
    /// Drained by an operator.
    #[serde(rename = "Out")]
    Disabled,
}

impl fmt::Display for ZoneState {
    /// The name in logs and in what operators are shown.
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

/// What an operator wants of a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum OperatorOverride {
    /// Nothing: the zone follows the evidence.
    #[default]
    Auto,
    /// Drained in steps, and kept out.
    #[serde(rename = "Out")]
    Disable,
    /// The same, but ended by itself if outcomes elsewhere degrade.
    Drill,
    /// A lost zone is not probed.
    #[serde(rename = "HoldReturn")]
    HoldRecovery,
    /// Recovers at twice the pace.
    #[serde(rename = "Hurry")]
    FastRecovery,
}

impl fmt::Display for OperatorOverride {
    /// The name in what operators are shown.
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

/// A zone in the plan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePlan {
    /// Its state.
    pub state: ZoneState,
    /// The share of its engines that is open, in thousandths; not over [`FULLY_OPEN`].
    pub open_permille: u16,
    /// A bit for each request class that may not go there yet.
    pub blocked_classes: u64,
    /// Losses in a row; each doubles the recovery backoff.
    pub consecutive_losses: u8,
}

impl ZonePlan {
    /// The share of the zone's engines that serves the fleet, from 0 to 1. A partitioned zone serves its own fronts.
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

/// What all fronts follow. Its version is that of the register's entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverPlan {
    /// By zone; [`MAX_ZONES`] at most.
    pub zones: Vec<ZonePlan>,
    /// By request class: the share that is admitted, in thousandths; [`MAX_CLASSES`] at most.
    pub admitted_permille: Vec<u16>,
    /// The least Retry-After of rejected requests, in milliseconds.
    pub retry_after_ms: u32,
    /// The front that probes zones from elsewhere, by its incarnation.
    pub prober: u64,
}

impl FailoverPlan {
    /// The register's value, in postcard.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// None for bytes that are no plan, or one beyond the limits.
    pub fn from_bytes(bytes: &[u8]) -> Option<FailoverPlan> {
        let plan: FailoverPlan = postcard::from_bytes(bytes).ok()?;
        let fits = plan.zones.len() <= MAX_ZONES && plan.admitted_permille.len() <= MAX_CLASSES;
        (fits && plan.zones.iter().all(|zone| zone.open_permille <= FULLY_OPEN)).then_some(plan)
    }
}

/// What a zone has to offer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneSupply {
    /// Cores listed there.
    pub cores: u32,
    /// The share of its engines that answers, slow ones counted for less; from 0 to 1.
    pub answering_share: f64,
}

/// A plan, with the allocation that it was built from.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedAllocation {
    /// What the fronts are to follow.
    pub plan: FailoverPlan,
    /// Who is served where.
    pub allocation: Allocation,
}

/// Builds the plan for zones in these states. `prober` is the incarnation of the front that probes zones.
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

/// The classes that may not go yet to a recovering zone, a bit each: short work warms it up. The first step admits the
/// half of the classes with the shortest work, the second three quarters, later steps all.
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
