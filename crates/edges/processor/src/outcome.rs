//! Derives the outcome of an attempt from the response: its HTTP status, the engine's outcome header and the
//! proxy's response code details. Only a connection that was never established, or the engine's own statement
//! in its outcome header, proves that the attempt did not run.

use crate::wire;
use lemonusher::AttemptOutcome;

/// Returns the outcome of an attempt. `engine_outcome` is the engine's outcome header. `details` are the
/// proxy's response code details, present if the proxy generated the response itself.
pub fn attempt_outcome(status: u32, engine_outcome: Option<&str>, details: Option<&str>) -> AttemptOutcome {
    match engine_outcome {
        Some(wire::ENGINE_REJECTED) => return AttemptOutcome::Rejected,
        Some(wire::ENGINE_EXPIRED) => return AttemptOutcome::NotSent,
        Some(wire::ENGINE_FAILED) => return AttemptOutcome::Errored,
        _ => {}
    }
    if let Some(outcome) = details.and_then(outcome_by_details) {
        return outcome;
    }
    if (200..500).contains(&status) { AttemptOutcome::Returned } else { AttemptOutcome::Errored }
}

fn outcome_by_details(details: &str) -> Option<AttemptOutcome> {
    let has = |part: &str| details.contains(part);
    if has(wire::DETAILS_CONNECTION_FAILURE) || has(wire::DETAILS_NO_HEALTHY_UPSTREAM) {
        Some(AttemptOutcome::ConnectFailed)
    } else if has(wire::DETAILS_TIMEOUT) {
        Some(AttemptOutcome::TimedOut)
    } else if has(wire::DETAILS_UPSTREAM_RESET) {
        Some(AttemptOutcome::Reset)
    } else {
        None
    }
}
