//! Outlier ejection: nothing is sent to an engine for some time after a failure.
//!
//! Inputs: attempts that could not connect, were reset or were rejected, and probes that were not answered.
//! Timeouts do not eject.
//!
//! ejection time = [`BASE_EJECTION_TIME`] × connect timeout × 2^(counted failures - 1)
//!
//! Failures are counted up to [`MAX_COUNTED_FAILURES`]; in many-front mode ([`Gateway::many_fronts`]) one
//! counts for [`FAILURE_WEIGHT_MANY_FRONTS`]. The ejection ends after that time, with a response to an
//! attempt, or with a restart of the engine. An answered probe does not end it. After the ejection time and
//! until a response, one attempt at a time is sent to the engine.
//!
//! This guards against engines that are dead, unreachable, draining or out of connections, whatever the
//! cause. A transient fault costs one ejection.

use crate::endpoint::EngineId;
use crate::engine::Engine;
use crate::gateway::Gateway;
use std::time::Duration;

/// The ejection time after the first failure, in connect timeouts.
const BASE_EJECTION_TIME: f64 = 2.0;
/// The maximum number of consecutive failures that are counted.
const MAX_COUNTED_FAILURES: u32 = 5;
/// Number of failures that one counts for in many-front mode, as a front then rarely sends to the same
/// engine twice.
const FAILURE_WEIGHT_MANY_FRONTS: u32 = 3;

impl Gateway {
    /// Ejects an engine after a failure. A failure while it is ejected changes nothing.
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

    /// Whether an attempt may be sent: the engine is not ejected, and after an ejection no other attempt is
    /// in flight.
    pub(crate) fn may_receive_attempt(&self, now: Duration) -> bool {
        self.ejected_until <= now && (self.consecutive_failures == 0 || self.in_flight == 0)
    }

    /// Whether the engine is not ejected and has not failed since its last response.
    pub(crate) fn has_no_failure(&self, now: Duration) -> bool {
        self.ejected_until <= now && self.consecutive_failures == 0
    }
}
