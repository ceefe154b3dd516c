//! Congestion: the last sign of how much an engine has to do, for fronts to which it reports no load.
//!
//! Signs, in threads per core: an attempt's slowness as it ends (times [`ADMIT_NONE_AT_THREADS_PER_CORE`]), its silence, a
//! rejection ([`REJECTED_LOAD`] times that), a load report. The highest sign counts and decays; a lower one is passed over until the
//! higher has decayed that far. The time constant is the time in which the engine's cores could finish one smallest
//! request from every front. This guards a front in many-front mode, which sends to an engine only every few seconds, against
//! sending to one that stands still because all fronts do. An engine that is well again idles until the sign has decayed.

use crate::admission::ADMIT_NONE_AT_THREADS_PER_CORE;
use crate::endpoint::EngineId;
use crate::engine::{Congestion, Engine};
use crate::gateway::Gateway;
use std::time::Duration;

/// An engine that rejects counts as loaded by so many times the load from which nothing is admitted.
const REJECTED_LOAD: f64 = 4.0;
/// No sign counts for more than so many times the load from which nothing is admitted.
const MAX_CONGESTION: f64 = 6.0;

impl Gateway {
    /// Takes in a sign of congestion. `observed`: an outcome or a report showed it, and not only silence.
    pub(crate) fn record_congestion(
        &mut self,
        now: Duration,
        id: EngineId,
        threads_per_core: f64,
        observed: bool,
    ) {
        let threads_per_core = threads_per_core.min(MAX_CONGESTION * ADMIT_NONE_AT_THREADS_PER_CORE);
        let known = self.engines.get(&id).map_or(f64::MAX, |engine| self.congestion(now, engine));
        if threads_per_core > known
            && let Some(engine) = self.engines.get_mut(&id)
        {
            engine.congestion = Some(Congestion { at: now, threads_per_core, observed });
        }
    }

    /// An engine has rejected an attempt.
    pub(crate) fn record_rejection(&mut self, now: Duration, id: EngineId) {
        self.record_congestion(now, id, REJECTED_LOAD * ADMIT_NONE_AT_THREADS_PER_CORE, true);
    }

    /// An attempt has become slow while in flight.
    pub(crate) fn record_silence(&mut self, now: Duration, id: EngineId, engine_alive: bool) {
        self.record_congestion(now, id, ADMIT_NONE_AT_THREADS_PER_CORE, engine_alive);
    }

    /// An attempt ended after so many times the span after which it is slow. One in time clears the sign, unless the
    /// engine reports its load itself.
    pub(crate) fn record_slowness(&mut self, now: Duration, id: EngineId, times: f64, reported: bool) {
        if times > 1.0 {
            self.record_congestion(now, id, times * ADMIT_NONE_AT_THREADS_PER_CORE, true);
        } else if !reported && let Some(engine) = self.engines.get_mut(&id) {
            engine.congestion = None;
        }
    }

    /// Threads per core by the last sign of congestion, decayed up to now.
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
