//! The limits of a lease configuration, and the error message for each violated limit.

use lemonusher_leases::LeaseConfig;
use std::time::Duration;

fn error(duration_ms: u64, clock_drift_permille: u32) -> Option<String> {
    let duration = Duration::from_millis(duration_ms);
    let config = LeaseConfig { duration, clock_drift_permille, max_action_time: Duration::ZERO };
    config.validate().err().map(|error| error.to_string())
}

#[test]
fn durations_and_drifts_at_and_beyond_their_limits() {
    let (duration, drift) =
        ("lease duration must be from 100 ms to 10 minutes", "clock drift must be less than 500 thousandths");
    assert_eq!(error(100, 0), None);
    assert_eq!(error(600_000, 499), None);
    assert_eq!(error(99, 0).as_deref(), Some(duration));
    assert_eq!(error(600_001, 500).as_deref(), Some(duration));
    assert_eq!(error(3_000, 500).as_deref(), Some(drift));
}
