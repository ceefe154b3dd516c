//! Failover of whole zones (docs/site-loss.md). The crate does no I/O, takes the time as an argument and uses no
//! random numbers.
//!
//! 1. Every front observes the zones through its ordinary attempts and probes ([`Observer`]) and sends a
//!    [`FrontReport`] to the voters each report interval.
//! 2. The voter that holds the lease ([`Coordinator`]) derives each zone's health from the reports
//!    ([`HealthEvaluator`]), runs a state machine for each zone ([`ZoneStateMachine`]), allocates the demand to the
//!    remaining capacity ([`allocate`]) and writes a [`FailoverPlan`] to a register.
//! 3. Every front follows the committed plan ([`PlanFollower`], [`PlanAdmission`]). A front that can't read the plan
//!    is isolated and follows a rule that is safe if all fronts follow it at once (module `follower`).

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

/// The number of a zone in the deployment, from 0.
pub type Zone = u32;
/// The maximum number of zones. Plans ignore zones with higher numbers.
pub const MAX_ZONES: usize = 16;
/// The maximum number of request classes. Plans ignore classes with higher numbers.
pub const MAX_CLASSES: usize = 64;
/// The open share of a zone whose engines are all open, in thousandths; also the admitted share of a class of which
/// every request is admitted.
pub const FULLY_OPEN: u16 = 1000;
