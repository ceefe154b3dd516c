//! The fleet's plan for the loss of a whole zone (docs/zone-loss.md).
//!
//! Each front tells what it sees ([`Report`]). Whoever holds the lease weighs it ([`Judge`]), moves each zone through
//! its states ([`Course`]), works out who is served where and who is refused ([`allocate`]), and has the [`Plan`]
//! settled in a register. Every front follows it ([`Follow`]); one that hears nothing goes by a rule that is safe if
//! all do the same. Nothing here opens sockets, reads clocks or draws chance.

mod admission;
mod allocation;
mod coordinator;
mod follower;
mod health;
mod observer;
mod state_machine;

pub use admission::PlanAdmission;
pub use allocation::{Allocation, ClassLoad, ZoneCapacity, allocate};
pub use coordinator::{Coordinator, PlanPreview, RegisterAction};
pub use follower::{LocalView, PlanEffect, PlanFollower, ZoneRestriction, build_plan};
pub use health::{Evidence, HealthEvaluator, ZoneHealth};
pub use observer::{AttemptResult, Observer, with_demand};
pub use state_machine::{Transition, ZoneStateMachine};

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A zone is a zone, by its number in the deployment.
pub type Zone = u32;
/// Zones and request classes at most; what lies beyond is no part of any plan.
pub const MAX_ZONES: usize = 16;
pub const MAX_CLASSES: usize = 64;
/// All of a zone's engines are open.
pub const FULLY_OPEN: u16 = 1000;

/// What an operator states of zone loss, alike at every front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverConfig {
    /// How often a front tells what it sees.
    pub report_interval: Duration,
    /// For how long the evidence must last before a zone counts as lost.
    pub confirmation_time: Duration,
    /// For how long a zone that is tried out must answer before it returns.
    pub probation: Duration,
    /// The least time between two steps of a return.
    pub ramp_interval: Duration,
    /// How long a lost zone is left alone before it is tried out; doubled with each loss in a row, 16-fold at most.
    pub recovery_backoff: Duration,
    /// The part of a zone's cores that a plan fills.
    pub max_utilization: f64,
    /// The part of each request class's demand that no plan refuses, as far as it can run at all.
    pub admission_floor: f64,
    /// A front that has not been sure of the plan for so long goes by itself.
    pub plan_timeout: Duration,
}

impl FailoverConfig {
    /// What is wrong with them, if anything.
    pub fn wrong(&self) -> Option<&'static str> {
        if self.report_interval.is_zero() || self.confirmation_time < self.report_interval * 2 {
            return Some("a loss is confirmed over two periods at least");
        }
        // What is no number lies in no range.
        if !(f64::MIN_POSITIVE..=1.0).contains(&self.max_utilization)
            || !(0.0..=0.5).contains(&self.admission_floor)
        {
            return Some("the safe part goes up to 1, the floor up to 0.5");
        }
        (self.plan_timeout < self.report_interval * 4)
            .then_some("a plan is stale after four periods at least")
    }
}

/// What one front saw of one zone over the last period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStats {
    pub zone: Zone,
    /// Engines that the list names as ready, and the cores of these.
    pub listed: u16,
    pub cores: u32,
    /// Of those that it has tried lately: how many answer, and how many do not.
    pub answering: u16,
    pub silent: u16,
    /// Attempts that returned, that took far longer than their work, and that failed.
    pub returned: u32,
    pub slow: u32,
    pub failed: u32,
}

/// How much of a request class one front is asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second, also those that were refused.
    pub rate: f32,
    /// Work of one, in seconds on one thread; zero where no answer has told any yet.
    pub work: f32,
}

/// What a front tells, each period.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FrontReport {
    /// Where the front stands.
    pub zone: Zone,
    pub zones: Vec<ZoneStats>,
    /// In the order of the request classes.
    pub demand: Vec<Demand>,
}

/// How a zone stands, as the fleet has settled it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ZoneState {
    #[default]
    Up,
    /// Evidence speaks against it, not yet for long enough; nothing is moved yet, and no return goes on.
    #[serde(rename = "Doubt")]
    Suspected,
    /// Nothing is sent there.
    Lost,
    /// Its own fronts use it, the others can't reach it.
    #[serde(rename = "Cut")]
    Partitioned,
    /// One front tries it out.
    #[serde(rename = "Trial")]
    Probing,
    /// It is opened step by step.
    #[serde(rename = "Returning")]
    Recovering,
    /// An operator has it out.
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
    #[default]
    Auto,
    /// Taken out in steps, and kept out.
    #[serde(rename = "Out")]
    Disable,
    /// The same, and given back by itself if outcomes worsen.
    Drill,
    /// Not returned until told.
    #[serde(rename = "HoldReturn")]
    HoldRecovery,
    /// Returned at twice the pace.
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
    pub state: ZoneState,
    /// The part of its engines that is open, in thousandths.
    pub open_permille: u16,
    /// A bit for each request class that may not go there yet.
    pub blocked_classes: u64,
    /// Losses in a row, which make the next wait longer.
    pub consecutive_losses: u8,
}

/// What all fronts follow. Its epoch is the stamp of the register that holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverPlan {
    pub zones: Vec<ZonePlan>,
    /// By request class: the part that is let in, in thousandths.
    pub admitted_permille: Vec<u16>,
    /// When what is refused may hope for more, in ms from now.
    pub retry_after_ms: u32,
    /// The front that tries zones out, by its incarnation.
    pub prober: u64,
}

impl FailoverPlan {
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// None for what is no plan.
    pub fn from_bytes(bytes: &[u8]) -> Option<FailoverPlan> {
        let plan: FailoverPlan = postcard::from_bytes(bytes).ok()?;
        let fits = plan.zones.len() <= MAX_ZONES && plan.admitted_permille.len() <= MAX_CLASSES;
        (fits && plan.zones.iter().all(|zone| zone.open_permille <= FULLY_OPEN)).then_some(plan)
    }
}
