//! Idempotency: decides whether, where and until when a request may be sent again without a double effect
//! (safety rule 2).
//!
//! Inputs: the idempotency of the class; the time and engine of the first attempt that may have run.
//! - An idempotent request may be sent to any engine at any time.
//! - A non-idempotent request is never sent again once an attempt may have run.
//! - A request with an idempotency key is sent again only to engines within the deduplication scope of that
//!   first attempt, and only before
//!
//! deduplicated until = sent time of the first attempt + retention - transit time
//!
//! The transit time is the connect timeout, at most [`MAX_TRANSIT_SHARE`] of the retention. Until then the
//! engines are sure to drop a repeat. This guards against executing a request twice.

use crate::deployment::{DeduplicationScope, Idempotency};
use crate::endpoint::EngineEntry;
use crate::gateway::Gateway;
use crate::request::Request;
use std::time::Duration;

/// Upper limit of the transit time of a repeat, as a share of the retention time.
const MAX_TRANSIT_SHARE: f64 = 0.25;

impl Gateway {
    /// The time until which repeats of a request are sure to be dropped; `None` for requests without an
    /// idempotency key, and for those of which no attempt is in flight or may have run.
    pub(crate) fn deduplicated_until(&self, request: &Request) -> Option<Duration> {
        let Idempotency::IdempotencyKeyed { retention, .. } = self.classes[request.class].config.idempotency
        else {
            return None;
        };
        let possible_run = request.first_possible_run.map(|run| run.sent_at);
        let first = possible_run.or(request.in_flight.as_ref().map(|attempt| attempt.sent_at))?;
        let transit = self.deployment.capabilities.connect_timeout.min(retention.mul_f64(MAX_TRANSIT_SHARE));
        Some(first + retention - transit)
    }

    /// Whether a request may be sent to an engine without the risk of a double effect.
    pub(crate) fn may_run_at(&self, now: Duration, request: &Request, entry: &EngineEntry) -> bool {
        let Some(first) = request.first_possible_run else { return true };
        match self.classes[request.class].config.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKeyed { scope, .. } => {
                let first = self.engines.get(&first.engine).map(|engine| &engine.entry);
                let within_scope = match scope {
                    DeduplicationScope::Everywhere => true,
                    DeduplicationScope::Zone => first.is_some_and(|first| first.zone == entry.zone),
                    DeduplicationScope::Cell => first.is_some_and(|first| first.cell == entry.cell),
                };
                within_scope && self.deduplicated_until(request).is_none_or(|until| now < until)
            }
        }
    }

    /// Whether a request may never be sent again, because it may have run and a repeat could have a double
    /// effect.
    pub(crate) fn may_not_be_sent_again(&self, now: Duration, request: &Request) -> bool {
        let non_idempotent = self.classes[request.class].config.idempotency == Idempotency::NonIdempotent;
        (non_idempotent && request.first_possible_run.is_some())
            || self.deduplicated_until(request).is_some_and(|until| now >= until)
    }

    /// Whether a retry of the client at `retry_at` can't have a double effect.
    pub(crate) fn client_may_retry(&self, request: &Request, retry_at: Duration) -> bool {
        let may_have_run = request.first_possible_run.is_some() || request.in_flight.is_some();
        match self.classes[request.class].config.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !may_have_run,
            Idempotency::IdempotencyKeyed { scope, .. } => {
                let dropped = self.deduplicated_until(request).is_none_or(|until| retry_at < until);
                !may_have_run || (scope == DeduplicationScope::Everywhere && dropped)
            }
        }
    }
}
