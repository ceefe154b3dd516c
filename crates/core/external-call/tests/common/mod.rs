//! Helpers shared by the tests of external calls.

use lemonusher::{Idempotency, RequestId};
use lemonusher_external_call::{CallConfig, CallRequest, GrantedAttempt, TokenEvidence};
use std::time::Duration;

/// Index of a request class whose requests must not run twice.
pub const NON_IDEMPOTENT: usize = 0;
/// Index of a request class whose requests may run again.
pub const IDEMPOTENT: usize = 1;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn config(failure_mode_allow: bool, max_timeout_extension_ms: u64) -> CallConfig {
    CallConfig {
        message_timeout: ms(200),
        failure_mode_allow,
        max_timeout_extension: ms(max_timeout_extension_ms),
        retry_window: ms(300),
        unknown_outcome_retention: ms(60_000),
        idempotency: vec![Idempotency::NonIdempotent, Idempotency::Idempotent],
        max_calls: 100,
        max_finished_calls: 1000,
    }
}

pub fn call_request(stream: u64, request: &str, request_class: usize) -> CallRequest {
    CallRequest {
        stream,
        request: RequestId::from(request),
        request_class,
        table_group: 0,
        client_timeout: ms(5000),
        client_retry: false,
        attempt: 1,
        token: TokenEvidence::Absent,
        queued: Duration::ZERO,
    }
}

/// An attempt granted at `now` whose deadline is 900 ms later.
pub fn grant(now: Duration, token: u64, engine: u32) -> GrantedAttempt {
    GrantedAttempt { token, engine, until: now + ms(900), start_by: None }
}
