//! Admission control: whether an engine takes a request that placement offers it.
//!
//! The probability falls linearly from one at the first threshold to zero at the second. Inputs and units:
//! - **Few fronts**: this front's own threads at the engine, as the request's priority feels them, over the adaptive
//!   concurrency limit there; thresholds 1 and [`ADMIT_NONE_AT_LIMIT_MULTIPLE`], no unit.
//! - **Many fronts**: the estimated threads per core with what the request adds; thresholds
//!   [`ADMIT_ALL_UP_TO_THREADS_PER_CORE`] and [`ADMIT_NONE_AT_THREADS_PER_CORE`]. A request's threads count [`OWN_THREADS_WEIGHT`]-fold, and
//!   more the more attempts are slow, above all against requests of many threads.
//! - A bulk load, in many-front mode, is admitted less by an engine that looks far idler than usual: it may stand still.
//! - An engine whose memory is needed beyond a threshold admits nothing.
//!
//! Before an engine is asked, many-front mode probes its load if it may (`probing`). A request refused by all engines
//! draws again after a while (`scan`). After [`FORCE_ADMISSION_AFTER`] of its deadline it passes without a draw.

use crate::endpoint::EngineId;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::overload::SHED_NONE_UP_TO;
use crate::placement::Choice;
use std::time::Duration;

/// Threads per core up to which an engine counts as not loaded. An engine's first concurrency limits come to as many.
pub(crate) const ADMIT_ALL_UP_TO: f64 = 1.0;
/// Few fronts: at this multiple of the concurrency limit nothing is admitted.
pub(crate) const ADMIT_NONE_AT_LIMIT_MULTIPLE: f64 = 3.0;
/// Many fronts: estimated threads per core up to which all is admitted,
const ADMIT_ALL_UP_TO_THREADS_PER_CORE: f64 = 2.0;
/// and at which nothing is.
pub(crate) const ADMIT_NONE_AT_THREADS_PER_CORE: f64 = 2.8;
/// How many times a request's own threads count in many-front mode while no attempt is slow,
const OWN_THREADS_WEIGHT: f64 = 1.25;
/// and from the slow share on at which load shedding begins.
const OWN_THREADS_WEIGHT_OVERLOADED: f64 = 2.5;
/// An engine under this share of the usual load may stand still with idle cores.
const SUSPICIOUSLY_IDLE: f64 = 0.6;
/// The power of the share of that load by which a bulk load is admitted.
const IDLE_EXPONENT: i32 = 4;
/// Share of an engine's memory that may be needed for one more request to be admitted,
const MEMORY_ADMIT_BELOW: f64 = 0.55;
/// and while this front feels pressure there.
const MEMORY_ADMIT_BELOW_PRESSURED: f64 = 0.4;
/// Past this share of its deadline a request is admitted without a draw.
const FORCE_ADMISSION_AFTER: f64 = 1.0 / 3.0;

/// Threads that one of so many fronts may run at an engine at first.
pub(crate) fn initial_concurrency_limit(cores: f64, fronts: f64) -> f64 {
    cores * ADMIT_ALL_UP_TO / fronts
}

/// Threads that one front may run at an engine at most.
pub(crate) fn max_own_threads(cores: f64) -> f64 {
    cores * ADMIT_ALL_UP_TO * ADMIT_NONE_AT_LIMIT_MULTIPLE
}

/// What a request asks of an engine.
struct Demand {
    priority: u8,
    /// Threads that it counts for in many-front mode.
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

    /// Whether a request has been queued for so long that it is admitted without a draw.
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
        if engine.is_unpressured(now, self.spans.max_report_age) {
            MEMORY_ADMIT_BELOW
        } else {
            MEMORY_ADMIT_BELOW_PRESSURED
        }
    }

    /// `load` in threads per core. May exceed one or be negative.
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
        let idle = load / (SUSPICIOUSLY_IDLE * demand.usual_load).max(f64::MIN_POSITIVE);
        probability.min(1.0) * idle.powi(IDLE_EXPONENT).min(1.0)
    }
}
