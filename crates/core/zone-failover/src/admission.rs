//! Lets in the part of each request class that the plan allows, evenly spaced, and tells the rest when to come again.

use crate::PlanEffect;
use std::time::Duration;

/// The golden section spreads dates evenly, whatever their number.
const SECTION: f64 = 0.618_033_988_749_895;

#[derive(Debug, Clone, Default)]
struct Lane {
    admitted: f64,
    credit: f64,
    refused: u64,
}

#[derive(Debug, Clone)]
pub struct PlanAdmission {
    classes: Vec<Lane>,
    retry_after: Duration,
}

impl PlanAdmission {
    pub fn new(service_groups: usize) -> PlanAdmission {
        let lane = Lane { admitted: 1.0, credit: 0.5, refused: 0 };
        PlanAdmission { classes: vec![lane; service_groups], retry_after: Duration::ZERO }
    }

    pub fn set(&mut self, effect: &PlanEffect) {
        for (group, lane) in self.classes.iter_mut().enumerate() {
            let admitted = effect.admitted_shares.get(group).copied().unwrap_or(1.0).clamp(0.0, 1.0);
            lane.admitted = if admitted >= 0.995 { 1.0 } else { admitted };
        }
        self.retry_after = effect.retry_after;
    }

    /// One wants in: it may, or is to come again after this span.
    pub fn admit(&mut self, service_group: usize) -> Result<(), Duration> {
        let back = self.retry_after;
        let Some(lane) = self.classes.get_mut(service_group) else { return Ok(()) };
        lane.credit = (lane.credit + lane.admitted).min(1.5);
        if lane.credit >= 1.0 || lane.admitted >= 1.0 {
            lane.credit = (lane.credit - 1.0).max(0.0);
            return Ok(());
        }
        lane.refused += 1;
        // Spread, so that those who were refused together don't come together again.
        Err(back.mul_f64(1.0 + (lane.refused as f64 * SECTION).fract()))
    }

    pub fn rejected(&self, service_group: usize) -> u64 {
        self.classes.get(service_group).map_or(0, |lane| lane.refused)
    }
}
