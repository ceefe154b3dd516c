//! Admission control: decides whether an engine is sent a request that placement offers it.
//!
//! The admission probability falls linearly from 1 at a first threshold to 0 at a second one. Inputs and
//! units:
//! - **Few fronts**: this front's own threads at the engine, weighted by how they compete with the request's
//!   priority, divided by the adaptive concurrency limit there. Thresholds: 1 and
//!   [`ADMIT_NONE_AT_LIMIT_MULTIPLE`], no unit.
//! - **Many fronts** ([`Gateway::many_fronts`]): the estimated threads per core, including those that the
//!   request adds. Thresholds: [`ADMIT_ALL_UP_TO_THREADS_PER_CORE`] and [`ADMIT_NONE_AT_THREADS_PER_CORE`].
//!   The request's own threads are multiplied by [`OWN_THREADS_WEIGHT`], and by more the more attempts are
//!   slow. This refuses requests of many threads first.
//! - In many-front mode a bulk load is admitted with a lower probability by an engine whose load is far
//!   below the usual one, as such an engine may hang while its cores are idle.
//! - An engine admits nothing while the needed share of its memory is above a threshold.
//!
//! In many-front mode an engine's load is probed before the draw, if the probe credit allows it (`probing`).
//! A request that every engine refuses draws again after an interval (`scan`). After
//! [`FORCE_ADMISSION_AFTER`] of its deadline it is admitted without a draw.
//!
//! This guards against engines that are sent more requests than they can run in time.

use crate::endpoint::EngineId;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::overload::SHED_NONE_UP_TO;
use crate::placement::Choice;
use std::time::Duration;

/// Threads per core up to which an engine counts as not loaded. The initial concurrency limits of all fronts
/// at an engine add up to this many threads per core.
pub(crate) const UNLOADED_THREADS_PER_CORE: f64 = 1.0;
/// Few fronts: from this multiple of the concurrency limit on, nothing is admitted.
pub(crate) const ADMIT_NONE_AT_LIMIT_MULTIPLE: f64 = 3.0;
/// Many fronts: estimated threads per core up to which everything is admitted.
const ADMIT_ALL_UP_TO_THREADS_PER_CORE: f64 = 2.0;
/// Many fronts: estimated threads per core from which on nothing is admitted.
pub(crate) const ADMIT_NONE_AT_THREADS_PER_CORE: f64 = 2.8;
/// Weight of a request's own threads in many-front mode while no attempt is slow.
const OWN_THREADS_WEIGHT: f64 = 1.25;
/// Weight of a request's own threads once the slow share has reached the value at which load shedding
/// begins.
const OWN_THREADS_WEIGHT_OVERLOADED: f64 = 2.5;
/// An engine whose load is below this share of the usual load may hang while its cores are idle.
const SUSPICIOUS_LOAD_SHARE: f64 = 0.6;
/// Many fronts: a bulk load's admission probability is multiplied by load / (`SUSPICIOUS_LOAD_SHARE` × usual
/// load), raised to this power; the factor is at most 1.
const SUSPICIOUS_LOAD_EXPONENT: i32 = 4;
/// One more request is admitted while the needed share of the engine's memory is at most this.
const MEMORY_ADMIT_BELOW: f64 = 0.55;
/// The same threshold if the engine's concurrency limit was decreased within the maximum age of a report.
const MEMORY_ADMIT_BELOW_PRESSURED: f64 = 0.4;
/// Once this share of its class's deadline has passed since its arrival, a request is admitted without a draw.
const FORCE_ADMISSION_AFTER: f64 = 1.0 / 3.0;

/// The initial concurrency limit of one front at one engine, in threads.
pub(crate) fn initial_concurrency_limit(cores: f64, fronts: f64) -> f64 {
    cores * UNLOADED_THREADS_PER_CORE / fronts
}

/// The highest concurrency limit of one front at one engine, in threads.
pub(crate) fn max_own_threads(cores: f64) -> f64 {
    cores * UNLOADED_THREADS_PER_CORE * ADMIT_NONE_AT_LIMIT_MULTIPLE
}

/// The values of a request that its admission probability depends on.
struct Demand {
    priority: u8,
    /// The request's threads times their weight; used in many-front mode.
    threads: f64,
    bulk_load: bool,
    /// Threads per core that engines usually report.
    usual_load: f64,
}

impl Gateway {
    /// The first of the choices that admits the request; `None` if none does, or if a probe is awaited first.
    pub(crate) fn first_admitting_engine(
        &mut self,
        now: Duration,
        sequence: u64,
        choices: &[Choice],
    ) -> Option<EngineId> {
        self.set_admission_refused(sequence, true);
        let probe_reserve = self.probe_reserve(sequence);
        let demand = self.demand(now, sequence);
        for choice in choices {
            if self.many_fronts() && self.probe_first(now, choice.engine, probe_reserve) {
                self.set_admission_refused(sequence, false);
                return None;
            }
            let Some(engine) = self.engines.at(choice.slot) else { continue };
            if self.memory_share(engine) > self.memory_threshold(now, engine) {
                continue;
            }
            let probability = self.admission_probability(engine, choice.load, &demand);
            if probability >= 1.0 || self.random.draw() < probability {
                return Some(choice.engine);
            }
        }
        None
    }

    /// Whether a request has been queued for so long that it is admitted without the random draw.
    pub(crate) fn is_admission_forced(&self, now: Duration, sequence: u64) -> bool {
        let request = &self.requests[sequence];
        let deadline = self.classes[request.class].config.deadline;
        now >= request.arrived_at + deadline.mul_f64(FORCE_ADMISSION_AFTER)
    }

    fn set_admission_refused(&mut self, sequence: u64, refused: bool) {
        if let Some(request) = self.requests.get_mut(sequence) {
            request.admission_refused = refused;
        }
    }

    fn demand(&self, now: Duration, sequence: u64) -> Demand {
        let class = &self.classes[self.requests[sequence].class];
        let overload = (self.slow_share.value() / SHED_NONE_UP_TO).min(1.0);
        let weight = OWN_THREADS_WEIGHT + (OWN_THREADS_WEIGHT_OVERLOADED - OWN_THREADS_WEIGHT) * overload;
        Demand {
            priority: class.priority,
            threads: weight * class.config.threads,
            bulk_load: class.config.bulk_load,
            usual_load: self.estimates.usual_load(now),
        }
    }

    fn memory_threshold(&self, now: Duration, engine: &Engine) -> f64 {
        if engine.is_unpressured(now, self.derived_times.max_report_age) {
            MEMORY_ADMIT_BELOW
        } else {
            MEMORY_ADMIT_BELOW_PRESSURED
        }
    }

    /// `load` is in threads per core. The result may exceed 1 or be negative.
    fn admission_probability(&self, engine: &Engine, load: f64, demand: &Demand) -> f64 {
        if !self.many_fronts() {
            let used = engine.contending_threads(demand.priority) / engine.concurrency_limit;
            return (ADMIT_NONE_AT_LIMIT_MULTIPLE - used) / (ADMIT_NONE_AT_LIMIT_MULTIPLE - 1.0);
        }
        let after = load + demand.threads / self.deployment.cores(&engine.entry);
        let probability = (ADMIT_NONE_AT_THREADS_PER_CORE - after)
            / (ADMIT_NONE_AT_THREADS_PER_CORE - ADMIT_ALL_UP_TO_THREADS_PER_CORE);
        if !demand.bulk_load {
            return probability;
        }
        let idle = load / (SUSPICIOUS_LOAD_SHARE * demand.usual_load).max(f64::MIN_POSITIVE);
        probability.min(1.0) * idle.powi(SUSPICIOUS_LOAD_EXPONENT).min(1.0)
    }
}
