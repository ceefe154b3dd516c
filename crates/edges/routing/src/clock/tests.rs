use super::*;

#[test]
fn an_engine_that_is_still_cold_has_a_date_and_others_have_none() {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let seconds = Duration::from_secs;
    let clock = Clock::with_history(seconds(2));
    let date = |ago: u64| clock.engine_start(unix - seconds(ago), clock.now(), seconds(14));
    assert!(clock.now() - date(1) < seconds(2) && !date(1).is_zero());
    assert!(!date(10).is_zero() && date(10) < date(1)); // Before the origin, and cold.
    assert!(date(20).is_zero());
}
