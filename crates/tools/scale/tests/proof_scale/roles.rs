//! The roles that are measured without simulated fronts, at small sizes: the harness runs, and the samples that the
//! tests check are present. No test depends on measured times.

use lemonusher_scale::Options;
use lemonusher_scale::sample::{Metric, metric};
use lemonusher_scale::{Progress, Role, Sample, roles};
use std::collections::BTreeMap;

/// The front program of this package, which is the same as `lemonusher-front`.
const FRONT: &str = env!("CARGO_BIN_EXE_lemonusher-scale-front");

fn options() -> Options {
    Options { repeats: 1, quick: true, seed: 1, front: Some(FRONT.into()), ..Options::default() }
}

/// The samples of one role at one size.
fn measured(role: Role, size: u32) -> Vec<Sample> {
    let mut measurement = roles::measurement(role, &options()).expect("the role is in the registry");
    let samples = measurement.measure(size, &mut Progress::hidden()).expect("the size fits");
    assert!(samples.iter().all(|sample| sample.role == role && sample.size == size));
    assert!(samples.iter().all(|sample| sample.value.is_finite() && sample.value >= 0.0));
    samples
}

/// The greatest value of a metric.
fn max(samples: &[Sample], metric: &Metric) -> f64 {
    let values = samples.iter().filter(|sample| sample.metric == *metric).map(|sample| sample.value);
    values.max_by(f64::total_cmp).expect("the metric was measured")
}

#[test]
fn decisions_on_small_lists_queue_the_requests_aimed_at() {
    for engines in [20, 40] {
        let samples = measured(Role::Decision, engines);
        let held = Metric::new("held", "requests");
        let full =
            samples.iter().filter(|sample| sample.case.ends_with("held=1000") && sample.metric == held);
        // A disturbed run is repeated, and the last one counts.
        let full: BTreeMap<&str, f64> = full.map(|sample| (sample.case.as_str(), sample.value)).collect();
        println!(
            "proof: decision at {engines} engines: {:.1} % of a core at most, {full:.0?} of 1,000; a real front serves \
             {:.0} a second",
            max(&samples, &metric::PROCESSOR),
            max(&samples, &Metric::new("served", "1/s")),
        );
        assert_eq!(full.len(), 4);
        assert!(full.values().all(|held| (700.0..1_300.0).contains(held)), "{full:?}");
    }
}

#[test]
fn idle_connections_are_kept_up_to_the_descriptor_limit() {
    let held = Metric::new("held", "connections");
    for size in [20, 400] {
        let samples = measured(Role::Connections, size);
        let of_case = |case: &str| {
            let of = samples.iter().find(|sample| sample.case == case && sample.metric == held);
            of.expect("the case was measured").value
        };
        let platform = of_case("resting, 1024 descriptors");
        println!(
            "proof: {size} connections: {} rest, {} say that they live, {platform} of them at 1,024 descriptors; {} \
             descriptors",
            of_case("resting"),
            of_case("heartbeat"),
            max(&samples, &metric::DESCRIPTORS),
        );
        assert_eq!((of_case("resting"), of_case("heartbeat")), (f64::from(size), f64::from(size)));
        // A third of the descriptors is available to clients.
        assert!(platform <= 342.0 && platform >= f64::from(size.min(300)), "{platform}");
        assert!(max(&samples, &metric::DESCRIPTORS) >= f64::from(size));
    }
}

#[test]
fn front_applies_a_list_and_the_replacement_of_a_zone() {
    for engines in [14, 70] {
        let samples = measured(Role::Discovery, engines);
        let bytes = |name| max(&samples, &Metric::new(name, "B"));
        println!(
            "proof: list of {engines}: {} bytes, {} for a zone; used {:.0} ms after it was told, the zone left {:.0} ms \
             after",
            bytes("whole_list"),
            bytes("zone_replaced"),
            max(&samples, &Metric::new("whole_list_used", "ms")),
            max(&samples, &Metric::new("zone_left", "ms")),
        );
        assert_eq!(bytes("whole_list"), f64::from(13 + 27 * engines));
        assert_eq!(bytes("zone_replaced"), f64::from(13 + 27 * 2 * engines / 7));
    }
}

#[test]
fn lost_zone_is_planned_and_maintenance_request_is_completed() {
    for machines in [70, 140] {
        let samples = measured(Role::Maintenance, machines);
        let planned = max(&samples, &Metric::new("planned_after", "s"));
        let done = max(&samples, &Metric::new("done_after", "s"));
        println!(
            "proof: {machines} machines: a lost zone is planned {planned} s after, 4 machines done after {done} s"
        );
        // The loss is confirmed after three periods of half a second. All time is virtual.
        assert!((1.5..=5.0).contains(&planned) && done > 0.0);
        assert_eq!(samples.iter().filter(|sample| sample.case == "front").count(), 4);
    }
}

#[test]
fn each_role_has_a_measurement_of_its_own_or_says_that_it_has_none() {
    for role in Role::ALL {
        match roles::measurement(role, &options()) {
            Ok(measurement) => assert_eq!(measurement.role(), role),
            Err(refused) => assert_eq!(refused.to_string(), format!("{role} is not measured yet")),
        }
    }
}
