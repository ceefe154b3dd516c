//! Overload: how slowed down this front's requests are, and which requests are shed for it.
//!
//! An attempt is slow once it has taken [`SLOW_FACTOR`] times its work spread over its threads; one that the engine rejects counts as
//! slow in many-front mode. The slow share is the decaying mean over all engines. In many-front mode each
//! request draws once, on arrival, a number from 0 to 1. It is shed while that number is above the part of requests that the slow
//! share admits: all up to [`SHED_NONE_UP_TO`], none from [`SHED_ALL_FROM`], linear in between. Requests of less work than the
//! mean are shed less, as they relieve less. This guards a fleet that stands still, whatever the cause: short memory, dead or
//! slow engines, too many requests. Where requests are slow of their own, some are shed for nothing.

use crate::decaying_mean::DecayingMean;
use crate::endpoint::EngineId;
use crate::gateway::Gateway;
use crate::request::Request;
use crate::request_class::RequestClass;
use std::time::Duration;

/// An attempt is slow after so many times its work over its threads.
const SLOW_FACTOR: f64 = 3.5;
/// Slow share up to which nothing is shed,
pub(crate) const SHED_NONE_UP_TO: f64 = 0.1;
/// and from which all is.
const SHED_ALL_FROM: f64 = 0.5;
/// Attempts in time that the slow share begins with.
const PRIOR_WEIGHT: f64 = 1.0;

/// The share of this front's attempts that are slow, over all engines, decaying.
#[derive(Default)]
pub(crate) struct SlowShare(DecayingMean);

impl SlowShare {
    /// The time constant is in seconds.
    pub(crate) fn new(time_constant: f64) -> SlowShare {
        SlowShare(DecayingMean::new(time_constant, 1.0))
    }

    pub(crate) fn record(&mut self, now: Duration, slow: bool) {
        self.0.add(now, f64::from(u8::from(slow)), 1.0);
    }

    fn decay_to(&mut self, now: Duration) {
        self.0.add(now, 0.0, 0.0);
    }

    /// From 0 to 1, as of the last record or decay.
    pub(crate) fn value(&self) -> f64 {
        self.0.sum / (self.0.weight + PRIOR_WEIGHT)
    }
}

impl RequestClass {
    /// After how many seconds an attempt of so much work, in seconds on one thread, is slow.
    pub(crate) fn slow_after(&self, work: f64) -> f64 {
        work / self.config.threads.max(1.0) * SLOW_FACTOR
    }
}

/// An attempt that has become slow while in flight.
pub(crate) struct SlowAttempt {
    pub(crate) sequence: u64,
    pub(crate) engine: EngineId,
    /// The engine has given a sign of life since the attempt was sent.
    pub(crate) engine_alive: bool,
}

impl Gateway {
    /// Whether a request is shed for the fleet's slowness.
    pub(crate) fn is_shed_for_overload(&mut self, now: Duration, sequence: u64) -> bool {
        self.slow_share.decay_to(now);
        let request = &self.requests[sequence];
        let relief = (self.classes[request.class].work.mean() / self.mean_class_work()).min(1.0);
        let admitted = (SHED_ALL_FROM - self.slow_share.value()) / (SHED_ALL_FROM - SHED_NONE_UP_TO);
        self.many_fronts() && request.shed_draw * relief > admitted
    }

    /// The request's attempt, if it is slow and not counted yet.
    pub(crate) fn newly_slow_attempt(
        &self,
        now: Duration,
        sequence: u64,
        request: &Request,
    ) -> Option<SlowAttempt> {
        let class = &self.classes[request.class];
        let slow_after = Duration::from_secs_f64(class.slow_after(class.work.mean()));
        let attempt = request.in_flight.as_ref()?;
        if request.counted_slow || now <= attempt.sent_at + slow_after {
            return None;
        }
        let engine = self.engines.get(&attempt.engine);
        let engine_alive = engine.is_some_and(|engine| engine.last_seen > attempt.sent_at);
        Some(SlowAttempt { sequence, engine: attempt.engine, engine_alive })
    }

    /// Counts an attempt that has become slow. An engine that has been silent since is cut off or dead, which tells
    /// nothing of the others.
    pub(crate) fn record_slow_attempt(&mut self, now: Duration, slow: &SlowAttempt) {
        self.record_silence(now, slow.engine, slow.engine_alive);
        if slow.engine_alive {
            self.slow_share.record(now, true);
            if let Some(request) = self.requests.get_mut(slow.sequence) {
                request.counted_slow = true;
            }
        }
    }
}
