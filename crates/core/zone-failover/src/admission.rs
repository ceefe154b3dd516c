//! Admits the share of each request class that the plan allows.
//!
//! Admitted requests are evenly spaced among the arrivals: each arrival adds the class's admitted share to a credit,
//! and an admitted request takes a credit of one. The Retry-After of rejected requests is spread evenly between once
//! and twice the plan's value, so that requests rejected together are not retried together.

use crate::PlanEffect;
use std::time::Duration;

/// The fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over 0 to 1, for
/// any number of multiples.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Credit of a class at the start, in requests.
const INITIAL_CREDIT: f64 = 0.5;
/// The most credit that a class can accumulate, in requests.
const MAX_CREDIT: f64 = 1.5;
/// An admitted share of at least this admits every request, as the plan's shares are rounded.
const ADMIT_ALL_SHARE: f64 = 0.995;

#[derive(Debug, Clone)]
struct ClassAdmission {
    /// The share of the arrivals that is admitted, from 0 to 1.
    admitted_share: f64,
    /// The credit left, in requests.
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
    /// Admits every request until the first plan is applied.
    pub fn new(request_classes: usize) -> PlanAdmission {
        let class = ClassAdmission { admitted_share: 1.0, credit: INITIAL_CREDIT, rejected: 0 };
        PlanAdmission { classes: vec![class; request_classes], retry_after: Duration::ZERO }
    }

    /// Applies the admitted shares and the Retry-After of the plan in force.
    pub fn apply(&mut self, effect: &PlanEffect) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            let admitted = effect.admitted_shares.get(index).copied().unwrap_or(1.0).clamp(0.0, 1.0);
            class.admitted_share = if admitted >= ADMIT_ALL_SHARE { 1.0 } else { admitted };
        }
        self.retry_after = effect.retry_after;
    }

    /// Admits or rejects an arrival. The error is the Retry-After of the rejected request.
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

    /// The number of requests of a class rejected so far.
    pub fn rejected(&self, request_class: usize) -> u64 {
        self.classes.get(request_class).map_or(0, |class| class.rejected)
    }
}
