//! A measurement records its own lateness, and counts as disturbed above a given limit.

use lemonusher_scale::Watch;
use lemonusher_scale::watch::{Preemption, PreemptionResult};
use std::thread;
use std::time::Duration;

/// Longer than any wake-up takes, even on a busy machine.
const UNREACHED_LATENESS: Duration = Duration::from_secs(600);
const SPAN: Duration = Duration::from_millis(50);

fn is_disturbed(bound: Duration) -> bool {
    let watch = Watch::start(bound);
    thread::sleep(SPAN);
    let lateness = watch.finish();
    println!("proof: {:?} late at most in {SPAN:?}, bound {bound:?}", lateness.greatest);
    lateness.disturbed()
}

#[test]
fn timers_later_than_the_bound_mark_a_measurement() {
    // No timer is on time to the nanosecond.
    assert!(is_disturbed(Duration::ZERO));
    assert!(!is_disturbed(UNREACHED_LATENESS));
}

#[test]
fn a_computing_thread_that_was_off_its_core_is_marked() {
    let slept = Preemption::start(0.5);
    thread::sleep(SPAN);
    let PreemptionResult { processor: spent, lateness } = slept.finish();
    assert!(spent < SPAN && lateness.disturbed() && lateness.greatest >= SPAN - spent);
    let never = Preemption::start(2.0);
    thread::sleep(SPAN);
    assert!(!never.finish().lateness.disturbed());
}
