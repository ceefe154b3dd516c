//! Reads the outcome of an attempt off the engine's response, as far as it tells. Inputs: the status, the engine's
//! outcome header and the proxy's response code details. Only a connection that never came up, or the engine's own
//! statement, proves that nothing ran.

use crate::wire;
use lemonusher::AttemptOutcome;

/// How an attempt ended. `engine_outcome` is the engine's outcome header; `details` are the proxy's response code
/// details, present where it answered in the engine's place.
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
