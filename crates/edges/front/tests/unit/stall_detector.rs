use super::*;

#[test]
fn a_stall_counts_as_delay_and_fades() {
    let period = Duration::from_millis(10);
    let stall_detector = StallDetector::new(period);
    let start = Instant::now();
    let at = |poll| start + period * poll;
    stall_detector.poll(at(1));
    assert_eq!(stall_detector.delay(at(2)), Duration::ZERO);
    assert_eq!(stall_detector.delay(at(101)), period * 99); // Before the late poll.
    stall_detector.poll(at(101));
    assert_eq!(stall_detector.delay(at(101)), period * 99); // After the late poll.
    (102..120).for_each(|poll| stall_detector.poll(at(poll)));
    assert_eq!(stall_detector.delay(at(120)), Duration::ZERO);
}
