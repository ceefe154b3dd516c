//! Congestion: an estimate of an engine's load while there is no recent load report, from the last sign of
//! overload.
//!
//! Signs and their values in threads per core, where full = [`ADMIT_NONE_AT_THREADS_PER_CORE`]:
//! - an attempt that ended slow: slowness × full;
//! - an attempt in flight that has become slow: full;
//! - a rejection: [`REJECTION_LOAD_FACTOR`] × full;
//! - a load report: the load estimated from it, which replaces any earlier sign.
//!
//! Between two load reports the highest sign is kept and decays exponentially. A lower sign is ignored until
//! the kept one has decayed below it. The time constant is the time in which the engine's cores could finish
//! one request of the smallest class from every front.
//!
//! In many-front mode ([`Gateway::many_fronts`]) a front sends to an engine only every few seconds. The
//! kept sign guards it against sending requests to an engine that hangs because all fronts send to it. The drawback:
//! an engine that has recovered stays idle until the sign has decayed.

use crate::admission::ADMIT_NONE_AT_THREADS_PER_CORE;
use crate::endpoint::EngineId;
use crate::engine::{Congestion, Engine};
use crate::gateway::Gateway;
use std::time::Duration;

/// The load of an engine that rejects, as a multiple of the load at which nothing is admitted.
const REJECTION_LOAD_FACTOR: f64 = 4.0;
/// The highest load that a sign counts for, as a multiple of the load at which nothing is admitted.
const MAX_CONGESTION_FACTOR: f64 = 6.0;

impl Gateway {
    /// Records a sign of congestion. `observed` is true if an outcome or a report showed it, and false if
    /// the engine was only silent.
    pub(crate) fn record_congestion(
        &mut self,
        now: Duration,
        id: EngineId,
        threads_per_core: f64,
        observed: bool,
    ) {
        let threads_per_core = threads_per_core.min(MAX_CONGESTION_FACTOR * ADMIT_NONE_AT_THREADS_PER_CORE);
        let current = self.engines.get(&id).map_or(f64::MAX, |engine| self.congestion(now, engine));
        if threads_per_core > current
            && let Some(engine) = self.engines.get_mut(&id)
        {
            engine.congestion = Some(Congestion { at: now, threads_per_core, observed });
        }
    }

    /// Records that an engine has rejected an attempt.
    pub(crate) fn record_rejection(&mut self, now: Duration, id: EngineId) {
        self.record_congestion(now, id, REJECTION_LOAD_FACTOR * ADMIT_NONE_AT_THREADS_PER_CORE, true);
    }

    /// Records that an attempt has become slow while in flight.
    pub(crate) fn record_slow_in_flight(&mut self, now: Duration, id: EngineId, engine_alive: bool) {
        self.record_congestion(now, id, ADMIT_NONE_AT_THREADS_PER_CORE, engine_alive);
    }

    /// Records the end of an attempt. `slowness` is its duration as a multiple of the time after which it is
    /// slow. An attempt that was not slow clears the sign, unless the engine reports its load.
    pub(crate) fn record_slowness(&mut self, now: Duration, id: EngineId, slowness: f64, reported: bool) {
        if slowness > 1.0 {
            self.record_congestion(now, id, slowness * ADMIT_NONE_AT_THREADS_PER_CORE, true);
        } else if !reported && let Some(engine) = self.engines.get_mut(&id) {
            engine.congestion = None;
        }
    }

    /// Threads per core according to the kept sign of congestion, decayed to `now`.
    pub(crate) fn congestion(&self, now: Duration, engine: &Engine) -> f64 {
        let smallest = self.classes.iter().map(|class| class.work.mean()).fold(f64::MAX, f64::min);
        let time_constant =
            f64::from(self.deployment.fronts) * smallest / self.deployment.cores(&engine.entry);
        let decayed = |sign: Congestion| {
            let age = now.saturating_sub(sign.at).as_secs_f64();
            sign.threads_per_core * (-age / time_constant.max(f64::MIN_POSITIVE)).exp()
        };
        engine.congestion.map_or(0.0, decayed)
    }
}
