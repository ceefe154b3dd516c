//! Outcomes of attempts, derived from responses.

use lemonusher::AttemptOutcome;
use lemonusher_processor::attempt_outcome;

#[test]
fn outcome_claims_no_more_than_the_response_tells() {
    for (status, engine_outcome, details, outcome) in [
        (200, None, None, AttemptOutcome::Returned),
        (404, None, None, AttemptOutcome::Returned),
        (500, None, None, AttemptOutcome::Errored),
        (503, Some("full"), None, AttemptOutcome::Rejected),
        (
            503,
            None,
            Some("upstream_reset_before_response_started{connection_failure}"),
            AttemptOutcome::ConnectFailed,
        ),
        (
            503,
            None,
            Some("upstream_reset_before_response_started{connection_termination}"),
            AttemptOutcome::Reset,
        ),
        (504, None, Some("upstream_response_timeout"), AttemptOutcome::TimedOut),
    ] {
        assert_eq!(attempt_outcome(status, engine_outcome, details), outcome);
    }
}
