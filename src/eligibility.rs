//! Eligibility: decides whether placement may consider an engine for a request.
//!
//! An engine is eligible if
//! - discovery lists it as active, and it is not blocked for the class;
//! - its zone and kind of machine are allowed;
//! - it is not ejected; if it has not responded since a failure, this front has no attempt in flight there;
//! - it is in this front's subset, or the request may leave the subset (`subsets`);
//! - slow start allows the request, if the engine warms up;
//! - the request can't have a double effect there.

use crate::endpoint::EngineState;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::request::Request;
use std::time::Duration;

impl Gateway {
    /// Whether a request may be sent to an engine now.
    pub(crate) fn is_eligible(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let entry = &engine.entry;
        entry.state == EngineState::Active
            && !entry.blocks(request.class)
            && self.classes[request.class].config.allows(entry)
            && self.may_run_at(now, request, entry)
            && engine.may_receive_attempt(now)
            && self.is_in_subset(now, request, engine)
            && self.has_slow_start_capacity(now, request, engine)
    }
}
