//! Resource limits: a size that exceeds them is rejected with an error that states its need, and the limits of this
//! machine can be read.

use lemonusher_scale::{Limits, Need, Progress, Role, roles};
use lemonusher_scale::{MeasureError, Options};

const MB: u64 = 1 << 20;

#[test]
fn limits_hold_needs_within_each_of_them() {
    let limits = Limits { memory_bytes: 64 * MB, descriptors: 100, processes: 4 };
    let fits = Need { memory_bytes: 64 * MB, descriptors: 100, processes: 4 };
    assert!(limits.check(1, &fits).is_ok());
    for need in [
        Need { memory_bytes: 64 * MB + 1, ..fits },
        Need { descriptors: 101, ..fits },
        Need { processes: 5, ..fits },
    ] {
        let refused = limits.check(7, &need).expect_err("it needs too much");
        assert!(matches!(refused, MeasureError::DoesNotFit { size: 7, need: stated } if stated == need));
    }
}

#[test]
fn the_machine_s_own_limits_are_read() {
    let limits = Limits::of_this_machine().expect("/proc can be read");
    println!("proof: this machine holds {limits:?}");
    assert!(limits.memory_bytes > 0 && limits.descriptors > 0 && limits.processes <= 200);
}

#[test]
fn a_list_of_four_thousand_million_engines_is_refused_with_what_it_would_need() {
    let options = Options { repeats: 1, quick: true, ..Options::default() };
    let mut measurement = roles::measurement(Role::Decision, &options).expect("the role is in the registry");
    let refused = measurement.measure(u32::MAX, &mut Progress::hidden()).expect_err("it can't fit");
    println!("proof: {refused}");
    let MeasureError::DoesNotFit { size: u32::MAX, need } = refused else { panic!("{refused}") };
    assert!(need.memory_bytes > 1 << 40);
}
