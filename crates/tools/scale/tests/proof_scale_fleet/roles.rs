//! Each role that is measured with simulated fronts, at small sizes: the harness runs and shows the properties that
//! hold at any size. Everything except the management servers runs in virtual time, so no result depends on how busy
//! the machine is.

use lemonusher_scale::sample::{Metric, metric};
use lemonusher_scale::{MeasureError, Options};
use lemonusher_scale::{Progress, Role, Sample, roles};

const FRONTS: u32 = 14;

fn options() -> Options {
    Options { repeats: 1, quick: true, seed: 1, front: None, case: None }
}

fn measured(role: Role, size: u32) -> Vec<Sample> {
    let mut measurement = roles::measurement(role, &options()).unwrap();
    let samples = measurement.measure(size, &mut Progress::hidden()).unwrap();
    assert!(samples.iter().all(|sample| sample.role == role && sample.size == size));
    assert!(samples.iter().all(|sample| sample.value.is_finite() && sample.value >= 0.0));
    samples
}

fn value(samples: &[Sample], case: &str, name: &str) -> f64 {
    let found = samples.iter().find(|sample| sample.case == case && sample.metric.name == name);
    found.unwrap_or_else(|| panic!("{name} of {case} was not measured")).value
}

fn proof(samples: &[Sample], case: &str, name: &str) -> f64 {
    let value = value(samples, case, name);
    println!("proof: scale_{FRONTS}_{case}_{name} {value:.2}");
    value
}

#[test]
fn failure_detector_sees_all_fronts_and_sends_more_under_loss() {
    let samples = measured(Role::FailureDetector, FRONTS);
    for loss in ["loss=0", "loss=1", "loss=20"] {
        assert!(proof(&samples, loss, "bytes_control") > 0.0);
    }
    assert_eq!(proof(&samples, "loss=0", "members_seen"), 100.0);
    assert_eq!(proof(&samples, "loss=0", "false_alarms_a_front"), 0.0);
    assert!(value(&samples, "loss=20", "bytes_out") > value(&samples, "loss=0", "bytes_out"));
}

#[test]
fn leases_continue_on_the_majority_side_of_a_partition() {
    let samples = measured(Role::Leases, FRONTS);
    let partitioned = "event=regions-cut-an-hour,loss=0";
    assert_eq!(proof(&samples, partitioned, "task_holders_with_majority"), 1.0);
    assert_eq!(proof(&samples, partitioned, "task_holders_without_majority"), 0.0);
    assert_eq!(proof(&samples, partitioned, "seats_held_without_majority"), 0.0);
    assert!(proof(&samples, partitioned, "seats_held_with_majority") >= 99.0);
    proof(&samples, partitioned, "seats_99_percent_after_return");
    assert!(proof(&samples, "event=holder-lost,loss=0", &metric::REPLACEMENT.name) <= 9.0);
    proof(&samples, "event=all-voters-restart,loss=0", "seats_nine_tenths_again");
    let parts = ["leases", "registers", "reports"]
        .map(|part| proof(&samples, &format!("part={part},loss=0"), "bytes_control"));
    let all = proof(&samples, "part=all,loss=0", "bytes_control");
    assert!(parts.iter().sum::<f64>() < all, "the failure detector's are among all");
}

#[test]
fn two_lost_voters_leave_a_majority_of_five_and_seven_but_not_of_three() {
    let samples = measured(Role::ControlMachines, FRONTS);
    for (voters, holders) in [(3, 0.0), (5, 1.0), (7, 1.0)] {
        assert_eq!(proof(&samples, &format!("voters={voters},gone=2"), "task_holders"), holders);
        let held = proof(&samples, &format!("voters={voters},gone=2"), "seats_held");
        assert!((held >= 99.0) == (holders > 0.0), "{held}");
        assert!(proof(&samples, &format!("voters={voters}"), "voter_messages_in") > 0.0);
    }
}

#[test]
fn configuration_is_committed_front_by_front() {
    const SIZE: u32 = 21;
    let samples = measured(Role::Configuration, SIZE);
    let one = "way=one-manager";
    for loss in [0, 1, 20] {
        proof(&samples, &format!("{one},loss={loss}"), &metric::IN_FORCE.name);
        proof(&samples, &format!("way=8-managers,loss={loss}"), &metric::IN_FORCE.name);
    }
    // Of the 21 fronts, 0 and 20 count as unreachable during the change and never receive it.
    assert_eq!(proof(&samples, "way=8-managers", "fronts_left_behind"), 2.0);
    proof(&samples, "way=2-managers-opposed", "fronts_that_differ");
    let hollow = proof(&samples, one, "bytes_a_commit");
    if samples.iter().any(|sample| sample.case == "door=real") {
        let real = proof(&samples, "door=real", "bytes_a_commit");
        assert!((hollow / real - 1.0).abs() <= 0.1, "hollow {hollow}, real {real}");
    } else {
        println!("proof: scale_door_real not run: the program lemonusher is not built");
    }
}

#[test]
fn a_size_that_does_not_fit_is_refused_with_what_it_needs() {
    for role in [Role::FailureDetector, Role::Leases, Role::ControlMachines, Role::Configuration] {
        let mut measurement = roles::measurement(role, &options()).unwrap();
        match measurement.measure(1_000_000, &mut Progress::hidden()) {
            Err(MeasureError::DoesNotFit { size: 1_000_000, need }) => {
                println!("proof: scale_refused_{role} a million fronts need {need}");
            }
            other => panic!("{role}: {other:?}"),
        }
    }
}

/// The metrics that have budgets are among those that the roles measure.
#[test]
fn budgets_find_their_metrics() {
    let replacement: Metric = metric::REPLACEMENT;
    let samples = measured(Role::ControlMachines, FRONTS);
    assert!(samples.iter().any(|sample| sample.metric == replacement));
    assert!(samples.iter().any(|sample| sample.metric == metric::BYTES_CONTROL));
}
