//! Load probes: when an engine's load is asked for, at a price.
//!
//! Probes are paid from a credit that each arriving request adds to, bounded by the number of engines.
//!
//! - **Few fronts**: [`ROUND_PROBES_PER_REQUEST`] probes a request go round the engines, the one probed longest ago first, at most one probe
//!   of an engine in a connect timeout.
//! - **Many fronts**: an engine is probed before a request goes there, unless it has reported within [`FRESH_REPORT_AGE`] of the shortest
//!   latency objective. A request adds [`MAX_LOAD_PROBES_PER_REQUEST`] probes, or as many as cost [`MAX_PROBE_COST_SHARE`] of its priority
//!   weight. Requests of much work may spend all of the credit; others leave a reserve for them. This guards
//!   against engines that others have filled; it costs the probe, and a tick or two.

use crate::deployment::LoadReporting;
use crate::endpoint::{EngineId, EngineState};
use crate::gateway::Gateway;
use std::time::Duration;

/// Probes for each arriving request, with few fronts.
const ROUND_PROBES_PER_REQUEST: f64 = 0.2;
/// Probes for each arriving request at most, with many fronts,
const MAX_LOAD_PROBES_PER_REQUEST: f64 = 1.2;
/// and the share of the request's priority weight that they may cost.
const MAX_PROBE_COST_SHARE: f64 = 0.0135;
/// Requests of more than this share of the mean work of all classes may spend all of the credit.
const LARGE_REQUEST_SHARE: f64 = 0.7;
/// Other requests leave as many probes as a third of the engines, but no more than this.
const MAX_PROBE_RESERVE: f64 = 8.0;
/// The reserve is the number of engines divided by this.
const PROBE_RESERVE_DIVISOR: f64 = 3.0;
/// A report is fresh for this share of the shortest latency objective.
const FRESH_REPORT_AGE: f64 = 0.4;

/// Probes that may be sent, and those that are to be sent now.
#[derive(Default)]
pub(crate) struct ProbeScheduler {
    credit: f64,
    due: Vec<EngineId>,
}

impl ProbeScheduler {
    /// The probes to be sent now, in order.
    pub(crate) fn take_due(&mut self) -> Vec<EngineId> {
        std::mem::take(&mut self.due)
    }

    fn spend(&mut self, engine: EngineId) {
        self.credit -= 1.0;
        self.due.push(engine);
    }
}

impl Gateway {
    /// A request has arrived: it pays for probes.
    pub(crate) fn earn_probe_credit(&mut self) {
        let earned = if self.many_fronts() { self.probes_per_request() } else { ROUND_PROBES_PER_REQUEST };
        self.probes.credit = (self.probes.credit + earned).min(self.engines.len() as f64);
    }

    /// Probes for each arriving request in many-front mode.
    fn probes_per_request(&self) -> f64 {
        let cost = self.deployment.probe_cost.max(f64::MIN_POSITIVE);
        MAX_LOAD_PROBES_PER_REQUEST.min(MAX_PROBE_COST_SHARE / cost)
    }

    /// Whether engines tell their load when they are probed.
    pub(crate) fn can_probe_load(&self) -> bool {
        self.deployment.capabilities.probes && self.deployment.load_reporting == LoadReporting::WithProbes
    }

    /// Spends the credit on the round, with few fronts.
    pub(crate) fn schedule_probes(&mut self, now: Duration) {
        if !self.can_probe_load() || self.many_fronts() {
            return;
        }
        let interval = self.deployment.capabilities.connect_timeout;
        while self.probes.credit >= 1.0 {
            let stalest = (self.engines.values_mut())
                .filter(|engine| engine.entry.state == EngineState::Active)
                .filter(|engine| engine.last_probe + interval <= now)
                .min_by_key(|engine| engine.last_probe);
            let Some(engine) = stalest else { return };
            engine.last_probe = now;
            self.probes.spend(engine.entry.engine);
        }
    }

    /// Credit that has to be there for a probe on behalf of a request.
    pub(crate) fn probe_reserve(&self, sequence: u64) -> f64 {
        let class = &self.classes[self.requests[sequence].class];
        if class.work.mean() > self.mean_class_work() * LARGE_REQUEST_SHARE {
            return 1.0;
        }
        (self.engines.len() as f64 / PROBE_RESERVE_DIVISOR).clamp(1.0, MAX_PROBE_RESERVE)
    }

    /// Whether a report of the engine is to be awaited before a request goes there; sends the probe if none is under way.
    /// False if what is known must do.
    pub(crate) fn probe_first(&mut self, now: Duration, id: EngineId, reserve: f64) -> bool {
        let can_probe = self.can_probe_load();
        let Some(engine) = self.engines.get_mut(&id).filter(|_| can_probe) else { return false };
        let fresh_for = self.spans.min_objective.mul_f64(FRESH_REPORT_AGE);
        let fresh = engine.report.as_ref().is_some_and(|report| report.at + fresh_for > now);
        let probed = engine.last_probe + self.deployment.capabilities.connect_timeout > now;
        if fresh || probed || self.probes.credit < reserve {
            let answered = engine.report.as_ref().is_some_and(|report| report.at >= engine.last_probe);
            return !fresh && probed && !answered;
        }
        engine.last_probe = now;
        self.probes.spend(id);
        true
    }
}
