//! Outlier ejection: after a failure nothing is sent to an engine for a while.
//!
//! Inputs: attempts that could not connect, were reset or rejected, and probes that were not answered. The ejection time is
//! [`BASE_EJECTION_TIME`] connect timeouts, doubled with each further counted failure up to [`MAX_COUNTED_FAILURES`]; in many-front
//! mode a failure counts [`FAILURE_WEIGHT_MANY_FRONTS`]. It ends by time, by a response to an attempt, or when the engine restarts; an
//! answered probe does not end it, and timeouts do not eject. After it, and until a response has come, one attempt at a time is sent there. This guards against engines that are dead, cut
//! off, draining or out of connections, whatever the cause; a passing fault costs one ejection.

use crate::endpoint::EngineId;
use crate::engine::Engine;
use crate::gateway::Gateway;
use std::time::Duration;

/// Time without attempts after the first failure, in connect timeouts.
const BASE_EJECTION_TIME: f64 = 2.0;
/// Consecutive failures that are counted at most.
const MAX_COUNTED_FAILURES: u32 = 5;
/// Failures that one counts for in many-front mode, as a front then rarely sends to the same engine.
const FAILURE_WEIGHT_MANY_FRONTS: u32 = 3;

impl Gateway {
    /// Ejects an engine after a failure; one that comes while it is ejected changes nothing.
    pub(crate) fn record_failure(&mut self, now: Duration, engine: EngineId) {
        let weight = if self.many_fronts() { FAILURE_WEIGHT_MANY_FRONTS } else { 1 };
        let connect_timeout = self.deployment.capabilities.connect_timeout;
        if let Some(engine) = self.engines.get_mut(&engine).filter(|engine| engine.ejected_until <= now) {
            engine.consecutive_failures = (engine.consecutive_failures + weight).min(MAX_COUNTED_FAILURES);
            let doubled = f64::from(1 << (engine.consecutive_failures - 1));
            engine.ejected_until = now + connect_timeout.mul_f64(BASE_EJECTION_TIME * doubled);
        }
    }
}

impl Engine {
    /// Ends the ejection after a response.
    pub(crate) fn record_response(&mut self, now: Duration) {
        self.consecutive_failures = 0;
        self.ejected_until = Duration::ZERO;
        self.last_seen = now;
    }

    /// Whether it is not ejected, and not already tried after an ejection.
    pub(crate) fn may_be_tried(&self, now: Duration) -> bool {
        self.ejected_until <= now && (self.consecutive_failures == 0 || self.in_flight == 0)
    }

    /// Whether it is not ejected and has not failed since its last response.
    pub(crate) fn has_no_failure(&self, now: Duration) -> bool {
        self.ejected_until <= now && self.consecutive_failures == 0
    }
}
