//! Overload: measures how slow this front's attempts are, and sheds requests in many-front mode
//! ([`Gateway::many_fronts`]) while many attempts are slow.
//!
//! An attempt is slow once it has taken [`SLOW_FACTOR`] × work / threads, with the work in seconds on one
//! thread. In many-front mode a rejected attempt counts as slow, too. The slow share is the exponentially
//! decaying mean over this front's attempts at all engines, from 0 to 1.
//!
//! Each request draws one number from 0 to 1 on arrival. In many-front mode it is shed while draw × relief
//! exceeds
//!
//! admitted share = ([`SHED_ALL_FROM`] - slow share) / ([`SHED_ALL_FROM`] - [`SHED_NONE_UP_TO`])
//!
//! Relief is the class's mean work over that of all classes, at most 1: shedding a small request relieves
//! the engines less.
//!
//! Shedding guards a fleet that hangs, whatever the cause: lack of memory, dead or slow engines, too many
//! requests. Requests that are slow without an overload raise the slow share as well, and then others are
//! shed needlessly.

use crate::decaying_mean::DecayingMean;
use crate::endpoint::EngineId;
use crate::gateway::Gateway;
use crate::request::Request;
use crate::request_class::RequestClass;
use std::time::Duration;

/// An attempt is slow after this multiple of its work divided by its threads.
const SLOW_FACTOR: f64 = 3.5;
/// Slow share up to which nothing is shed.
pub(crate) const SHED_NONE_UP_TO: f64 = 0.1;
/// Slow share from which on everything is shed.
const SHED_ALL_FROM: f64 = 0.5;
/// Weight of the prior, in attempts that were not slow.
const PRIOR_WEIGHT: f64 = 1.0;

/// The exponentially decaying share of this front's attempts that are slow, over all engines.
#[derive(Default)]
pub(crate) struct SlowShare(DecayingMean);

impl SlowShare {
    /// Starts as if one attempt had been slow. `time_constant` is in seconds.
    pub(crate) fn new(time_constant: f64) -> SlowShare {
        SlowShare(DecayingMean::new(time_constant, 1.0))
    }

    pub(crate) fn record(&mut self, now: Duration, slow: bool) {
        self.0.add(now, f64::from(u8::from(slow)), 1.0);
    }

    fn decay_to(&mut self, now: Duration) {
        self.0.add(now, 0.0, 0.0);
    }

    /// From 0 to 1, as of the last call of `record` or `decay_to`.
    pub(crate) fn value(&self) -> f64 {
        self.0.sum / (self.0.weight + PRIOR_WEIGHT)
    }
}

impl RequestClass {
    /// Seconds after which an attempt is slow. `work` is in seconds on one thread.
    pub(crate) fn slow_after(&self, work: f64) -> f64 {
        work / self.config.threads.max(1.0) * SLOW_FACTOR
    }
}

/// An attempt that has become slow while in flight.
pub(crate) struct SlowAttempt {
    pub(crate) sequence: u64,
    pub(crate) engine: EngineId,
    /// The engine has sent a response or a report since the attempt was sent.
    pub(crate) engine_alive: bool,
}

impl Gateway {
    /// Whether a request is shed because many attempts are slow.
    pub(crate) fn is_shed_for_overload(&mut self, now: Duration, sequence: u64) -> bool {
        self.slow_share.decay_to(now);
        let request = &self.requests[sequence];
        let relief = (self.classes[request.class].work.mean() / self.mean_class_work()).min(1.0);
        let admitted = (SHED_ALL_FROM - self.slow_share.value()) / (SHED_ALL_FROM - SHED_NONE_UP_TO);
        self.many_fronts() && request.shed_draw * relief > admitted
    }

    /// The request's attempt in flight, if it is slow and has not been counted as such.
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

    /// Records a sign of congestion at the engine of an attempt that has become slow. The attempt counts in
    /// the slow share only if the engine has sent a response or a report since the attempt was sent: a silent
    /// engine is taken for dead or unreachable, which says nothing about the other engines.
    pub(crate) fn record_slow_attempt(&mut self, now: Duration, slow: &SlowAttempt) {
        self.record_slow_in_flight(now, slow.engine, slow.engine_alive);
        if slow.engine_alive {
            self.slow_share.record(now, true);
            if let Some(request) = self.requests.get_mut(slow.sequence) {
                request.counted_slow = true;
            }
        }
    }
}
