use super::*;

#[test]
fn a_long_gap_counts_and_is_forgotten() {
    let period = Duration::from_millis(10);
    let pulse = Pulse::new(period);
    let start = Instant::now();
    let at = |beat| start + period * beat;
    pulse.beat(at(1));
    assert_eq!(pulse.lag(at(2)), Duration::ZERO);
    assert_eq!(pulse.lag(at(101)), period * 99); // Read before the beat,
    pulse.beat(at(101));
    assert_eq!(pulse.lag(at(101)), period * 99); // and after it.
    (102..120).for_each(|beat| pulse.beat(at(beat)));
    assert_eq!(pulse.lag(at(120)), Duration::ZERO);
}
