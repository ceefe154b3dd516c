//! Eligibility: whether placement may consider an engine for a request at all.
//!
//! It may if discovery lists the engine as active, it is not blocked for the class, its zone and kind of machine are allowed, it
//! is not ejected, it is in this front's subset, it has room if it warms up, and the request can't have its effect twice there.

use crate::endpoint::EngineState;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::request::Request;
use std::time::Duration;

impl Gateway {
    /// Whether the rules and the engine's health let the request go there now.
    pub(crate) fn is_eligible(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let entry = &engine.entry;
        entry.state == EngineState::Active
            && !entry.blocks(request.class)
            && self.classes[request.class].config.allows(entry)
            && self.may_run_at(now, request, entry)
            && engine.may_be_tried(now)
            && self.is_in_subset(now, request, engine)
            && self.has_slow_start_room(now, request, engine)
    }
}
