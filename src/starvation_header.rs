//! The starvation header: an engine is kept free for the request that has been queued longest.
//!
//! Input: the oldest queued request, once it has been queued for [`RESERVE_ENGINE_AFTER`] of the longest deadline, while there
//! is no other header. It is tied to the first engine of its preference order that is eligible and where it conflicts with
//! nothing, or else to the first eligible one. Requests that arrived later and conflict with it are not sent there, so what it conflicts
//! with runs out. It goes nowhere else; if its engine is not eligible any more, the tie ends. The term is the source's own
//! (docs/design.md).

use crate::endpoint::EngineId;
use crate::gateway::Gateway;
use std::time::Duration;

/// A request queued for this share of the longest deadline becomes the header.
const RESERVE_ENGINE_AFTER: f64 = 0.1;

/// The longest queued request, and the engine that is kept free for it.
#[derive(Clone, Copy)]
pub(crate) struct StarvationHeader {
    pub(crate) sequence: u64,
    pub(crate) engine: EngineId,
}

impl Gateway {
    /// Makes the oldest of the queued requests the header, if it is time and there is none.
    pub(crate) fn reserve_for_oldest(&mut self, now: Duration, queued: &[u64]) {
        let Some(&oldest) = queued.first().filter(|_| self.starvation_header.is_none()) else { return };
        let reserve_after = self.spans.max_deadline.mul_f64(RESERVE_ENGINE_AFTER);
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

    /// The engine that a request is tied to, if it is the header.
    pub(crate) fn reserved_engine(&self, sequence: u64) -> Option<EngineId> {
        self.starvation_header.filter(|header| header.sequence == sequence).map(|header| header.engine)
    }
}
