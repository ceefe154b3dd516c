use super::*;

#[test]
fn an_engine_in_slow_start_has_a_start_time_and_others_have_none() {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let seconds = Duration::from_secs;
    let clock = Clock::with_history(seconds(2));
    let start = |age: u64| clock.engine_start(unix - seconds(age), clock.now(), seconds(14));
    assert!(clock.now() - start(1) < seconds(2) && !start(1).is_zero());
    assert!(!start(10).is_zero() && start(10) < start(1)); // It started before the origin and is still in slow start.
    assert!(start(20).is_zero());
}
