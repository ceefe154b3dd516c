//! Load probes: decides which engines are probed, and when.
//!
//! Each probe costs one unit of a credit. Each arriving request adds to the credit, which is limited to the
//! number of engines.
//!
//! - **Few fronts**: a request adds [`ROUND_ROBIN_PROBES_PER_REQUEST`] probes. The engine whose last probe is
//!   oldest is probed next, each engine at most once per connect timeout.
//! - **Many fronts** ([`Gateway::many_fronts`]): an engine is probed before a request is sent there, unless
//!   its last report is younger than [`FRESH_REPORT_AGE`] × the shortest latency objective, it was probed
//!   within the last connect timeout, or the credit does not suffice. A request adds
//!   [`MAX_LOAD_PROBES_PER_REQUEST`] probes, or as many as cost [`MAX_PROBE_COST_SHARE`] of its priority
//!   weight if that is less. Requests of much work may spend the whole credit; others leave a reserve for
//!   them.
//!
//! This guards against sending to engines that other fronts have filled. It costs the probe and a delay of
//! one or two ticks.

use crate::deployment::LoadReporting;
use crate::endpoint::{EngineId, EngineState};
use crate::gateway::Gateway;
use std::time::Duration;

/// Few fronts: credit per arriving request, in probes.
const ROUND_ROBIN_PROBES_PER_REQUEST: f64 = 0.2;
/// Many fronts: the highest credit per arriving request, in probes.
const MAX_LOAD_PROBES_PER_REQUEST: f64 = 1.2;
/// Many fronts: the highest cost of the probes per request, as a share of its priority weight.
const MAX_PROBE_COST_SHARE: f64 = 0.0135;
/// A request may spend the whole credit if its class's mean work is above this share of the mean over all
/// classes.
const LARGE_REQUEST_SHARE: f64 = 0.7;
/// Upper limit of the reserve, in probes.
const MAX_PROBE_RESERVE: f64 = 8.0;
/// The reserve is the number of engines divided by this.
const PROBE_RESERVE_DIVISOR: f64 = 3.0;
/// A report is fresh for this share of the shortest latency objective.
const FRESH_REPORT_AGE: f64 = 0.4;

/// The probe credit, and the probes that are due.
#[derive(Default)]
pub(crate) struct ProbeScheduler {
    credit: f64,
    due: Vec<EngineId>,
}

impl ProbeScheduler {
    /// Takes the probes that are due, in order.
    pub(crate) fn take_due(&mut self) -> Vec<EngineId> {
        std::mem::take(&mut self.due)
    }

    fn spend(&mut self, engine: EngineId) {
        self.credit -= 1.0;
        self.due.push(engine);
    }
}

impl Gateway {
    /// Adds the credit of an arriving request.
    pub(crate) fn add_probe_credit(&mut self) {
        let earned =
            if self.many_fronts() { self.probes_per_request() } else { ROUND_ROBIN_PROBES_PER_REQUEST };
        self.probes.credit = (self.probes.credit + earned).min(self.engines.len() as f64);
    }

    /// The credit per arriving request in many-front mode, in probes.
    fn probes_per_request(&self) -> f64 {
        let cost = self.deployment.probe_cost.max(f64::MIN_POSITIVE);
        MAX_LOAD_PROBES_PER_REQUEST.min(MAX_PROBE_COST_SHARE / cost)
    }

    /// Whether engines report their load in reply to probes.
    pub(crate) fn can_probe_load(&self) -> bool {
        self.deployment.capabilities.probes && self.deployment.load_reporting == LoadReporting::WithProbes
    }

    /// Few fronts: spends the credit on the engines whose last probe is oldest.
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

    /// The credit that is required for a probe on behalf of a request.
    pub(crate) fn probe_reserve(&self, sequence: u64) -> f64 {
        let class = &self.classes[self.requests[sequence].class];
        if class.work.mean() > self.mean_class_work() * LARGE_REQUEST_SHARE {
            return 1.0;
        }
        (self.engines.len() as f64 / PROBE_RESERVE_DIVISOR).clamp(1.0, MAX_PROBE_RESERVE)
    }

    /// Whether a request has to wait for a load report of the engine; false if the known state has to
    /// suffice. Schedules a probe if the last report is not fresh, no probe was sent within the connect
    /// timeout, and the credit is at least `reserve`.
    pub(crate) fn probe_first(&mut self, now: Duration, id: EngineId, reserve: f64) -> bool {
        let can_probe = self.can_probe_load();
        let Some(engine) = self.engines.get_mut(&id).filter(|_| can_probe) else { return false };
        let fresh_for = self.derived_times.min_objective.mul_f64(FRESH_REPORT_AGE);
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
