//! The fleet's plan for the loss of a whole zone (docs/site-loss.md); pure: time is an argument, nothing is random.
//!
//! 1. Every front observes the zones by its ordinary attempts and probes ([`Observer`]) and sends a [`FrontReport`] to
//!    the voters each report interval.
//! 2. The voter that holds the lease ([`Coordinator`]) weighs the reports ([`HealthEvaluator`]), moves each zone through
//!    its states ([`ZoneStateMachine`]), allocates the demand to what is left ([`allocate`]) and writes a
//!    [`FailoverPlan`] to a register.
//! 3. Every front follows the committed plan ([`PlanFollower`], [`PlanAdmission`]). A front that can't learn it follows
//!    a rule that is safe if all fronts do the same (module `follower`).

#![warn(missing_docs)]

mod admission;
mod allocation;
mod config;
mod coordinator;
mod follower;
mod health;
mod observer;
mod plan;
mod report;
mod state_machine;
mod transition;

pub use admission::PlanAdmission;
pub use allocation::{Allocation, ClassLoad, ZoneCapacity, allocate, with_demand};
pub use config::{FailoverConfig, FailoverConfigError};
pub use coordinator::{Coordinator, PlanPreview, RegisterAction, ZonePreview, ZoneTransition};
pub use follower::{PlanEffect, PlanFollower, ZoneRestriction};
pub use health::{Evidence, HealthEvaluator, ZoneHealth};
pub use observer::{AttemptResult, EngineObservation, Observation, Observer};
pub use plan::{
    FailoverPlan, OperatorOverride, PlannedAllocation, ZonePlan, ZoneState, ZoneSupply, build_plan,
};
pub use report::{Demand, FrontReport, LocalView, LocalZone, ZoneStats};
pub use state_machine::{ZoneInput, ZoneStateMachine};
pub use transition::{Transition, TransitionReason};

/// A zone, by its number in the deployment.
pub type Zone = u32;
/// Zones at most; those beyond are no part of any plan.
pub const MAX_ZONES: usize = 16;
/// Request classes at most; those beyond are no part of any plan.
pub const MAX_CLASSES: usize = 64;
/// All of a zone's engines are open, or all of a class is admitted; in thousandths.
pub const FULLY_OPEN: u16 = 1000;
