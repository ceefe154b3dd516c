//! Admission of requests by the plan.
//!
//! Of each request class the share that the plan allows is admitted, evenly spaced: each arrival earns its class that
//! share as credit, and an admitted request costs a credit of one. Rejected requests get a Retry-After between once and
//! twice the plan's, spread evenly, so that requests rejected together do not return together.

use crate::PlanEffect;
use std::time::Duration;

/// Multiples of the golden ratio's fractional part spread evenly over 0 to 1, however many there are.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Credit of a class at the start, in requests.
const INITIAL_CREDIT: f64 = 0.5;
/// Credit that a class can save up at most, in requests.
const MAX_CREDIT: f64 = 1.5;
/// An admitted share from here on admits all: the plan's shares are rounded.
const ADMIT_ALL_SHARE: f64 = 0.995;

#[derive(Debug, Clone)]
struct ClassAdmission {
    /// From 0 to 1.
    admitted_share: f64,
    /// In requests.
    credit: f64,
    rejected: u64,
}

/// Admits requests by class, as the plan in force allows.
#[derive(Debug, Clone)]
pub struct PlanAdmission {
    classes: Vec<ClassAdmission>,
    retry_after: Duration,
}

impl PlanAdmission {
    /// Admits everything until a plan says otherwise.
    pub fn new(request_classes: usize) -> PlanAdmission {
        let class = ClassAdmission { admitted_share: 1.0, credit: INITIAL_CREDIT, rejected: 0 };
        PlanAdmission { classes: vec![class; request_classes], retry_after: Duration::ZERO }
    }

    /// Takes over the shares and the Retry-After of a new plan.
    pub fn apply(&mut self, effect: &PlanEffect) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            let admitted = effect.admitted_shares.get(index).copied().unwrap_or(1.0).clamp(0.0, 1.0);
            class.admitted_share = if admitted >= ADMIT_ALL_SHARE { 1.0 } else { admitted };
        }
        self.retry_after = effect.retry_after;
    }

    /// Decides on an arrival; the error is its Retry-After.
    pub fn admit(&mut self, request_class: usize) -> Result<(), Duration> {
        let Some(class) = self.classes.get_mut(request_class) else { return Ok(()) };
        class.credit = (class.credit + class.admitted_share).min(MAX_CREDIT);
        if class.credit >= 1.0 || class.admitted_share >= 1.0 {
            class.credit = (class.credit - 1.0).max(0.0);
            return Ok(());
        }
        class.rejected += 1;
        Err(self.retry_after.mul_f64(1.0 + (class.rejected as f64 * GOLDEN_RATIO_FRACTION).fract()))
    }

    /// Requests of a class rejected so far.
    pub fn rejected(&self, request_class: usize) -> u64 {
        self.classes.get(request_class).map_or(0, |class| class.rejected)
    }
}
