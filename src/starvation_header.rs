//! The starvation header: an engine is kept free for the request that has been queued longest.
//!
//! Inputs: the oldest queued request, once [`RESERVE_ENGINE_AFTER`] × the longest deadline has passed since
//! its arrival, if there is no other header. Its engine is the first in its preference order that is eligible
//! and where it conflicts with no other request, or else the first eligible one. Later requests that
//! conflict with the header are not sent to that engine, so that the header can be sent there once the
//! conflicting attempts in flight have ended. The header is sent to no other engine. If its engine is no
//! longer eligible, the reservation ends.
//!
//! This guards a request against waiting for ever behind later ones. The term is that of the source
//! (docs/design.md).

use crate::endpoint::EngineId;
use crate::gateway::Gateway;
use std::time::Duration;

/// The oldest queued request may become the header once this share of the longest deadline has passed since
/// its arrival.
const RESERVE_ENGINE_AFTER: f64 = 0.1;

/// The longest queued request, and the engine that is reserved for it.
#[derive(Clone, Copy)]
pub(crate) struct StarvationHeader {
    pub(crate) sequence: u64,
    pub(crate) engine: EngineId,
}

impl Gateway {
    /// Makes the oldest queued request the header, if it arrived long enough ago and there is no header.
    pub(crate) fn reserve_for_oldest(&mut self, now: Duration, queued: &[u64]) {
        let Some(&oldest) = queued.first().filter(|_| self.starvation_header.is_none()) else { return };
        let reserve_after = self.derived_times.max_deadline.mul_f64(RESERVE_ENGINE_AFTER);
        if now >= self.requests[oldest].arrived_at + reserve_after {
            self.starvation_header = self.reserve_engine(now, oldest);
        }
    }

    fn reserve_engine(&mut self, now: Duration, sequence: u64) -> Option<StarvationHeader> {
        let order = self.preference_order(sequence);
        let request = &self.requests[sequence];
        let engines = order.slots().filter_map(|slot| self.engines.at(slot));
        let mut eligible = engines.filter(|engine| self.is_eligible(now, request, engine)).peekable();
        let first = eligible.peek().copied();
        let engine = eligible.find(|engine| !self.conflicts(now, request, engine)).or(first)?;
        Some(StarvationHeader { sequence, engine: engine.entry.engine })
    }

    /// The engine that is reserved for a request; `None` if the request is not the header.
    pub(crate) fn reserved_engine(&self, sequence: u64) -> Option<EngineId> {
        self.starvation_header.filter(|header| header.sequence == sequence).map(|header| header.engine)
    }
}
