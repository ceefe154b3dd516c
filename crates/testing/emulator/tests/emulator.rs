//! The engine model shares cores and memory as stated. With five seeds, the checker finds no violation without an
//! injected fault, and detects each fault with at least one of the seeds.

use lemonusher_emulator::{Engine, Fault, Finished, SimulatedDeployment, Work, simulate};

const MORNING: &str = include_str!("../worlds/morning.toml");

fn work(remaining_s: f64, threads: f64, memory_mb: f64, is_bulk_load: bool) -> Work {
    Work {
        remaining_s,
        threads,
        memory_mb,
        table_group: 1,
        is_bulk_load,
        waits_for_bulk_loads: !is_bulk_load,
    }
}

#[test]
fn engine_shares_cores_thrashes_and_pages() {
    let until = |engine: &mut Engine, number: u64| {
        (1..).find(|_| engine.run(0.01, 1.0).contains(&Finished(number))).unwrap() as f64 * 0.01
    };
    let run_alone = |requests: u64, memory: f64| {
        let mut engine = Engine::new(4.0, 1000.0, 0.2);
        (0..requests).for_each(|number| engine.run_now(number, work(1.0, 1.0, memory, false)));
        until(&mut engine, requests - 1)
    };
    let (one, full, twice, paging) =
        (run_alone(1, 10.0), run_alone(4, 10.0), run_alone(8, 10.0), run_alone(4, 500.0));
    assert!((one - 1.0).abs() < 0.02 && (full - 1.0).abs() < 0.02, "{one} {full}");
    assert!((twice - 2.4).abs() < 0.05, "{twice}"); // Twice the threads take twice as long, times 1.2 for thrashing.
    assert!((paging - 4.0).abs() < 0.1, "{paging}"); // Twice the memory gives a quarter of the speed.
    let mut engine = Engine::new(4.0, 1000.0, 0.2);
    engine.run_now(1, work(0.5, 1.0, 1.0, true));
    engine.run_now(2, work(0.1, 1.0, 1.0, false));
    assert!((until(&mut engine, 2) - 0.6).abs() < 0.03); // Request 2 waited for the bulk load of its table group.
    assert!(engine.is_empty());
}

#[test]
fn same_seed_gives_the_same_run() {
    let world = SimulatedDeployment::parse(MORNING).unwrap();
    let (a, b, c) = (
        simulate(&world, 7, Fault::None),
        simulate(&world, 7, Fault::None),
        simulate(&world, 8, Fault::None),
    );
    assert_eq!(a, b);
    assert_ne!(a.digest, c.digest);
    assert!(a.tries > 1500 && a.returned * 10 > a.tries * 7, "{} of {}", a.returned, a.tries);
    assert!(a.attempts > a.returned && a.failed > 0 && a.rejected > 0);
}

#[test]
fn correct_fronts_break_no_rule_and_each_fault_is_detected() {
    let world = SimulatedDeployment::parse(MORNING).unwrap();
    for seed in 1..=5 {
        let report = simulate(&world, seed, Fault::None);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            &report.violations[..report.violations.len().min(5)]
        );
    }
    for (fault, rule) in [
        (Fault::RespondsTwice, 1),
        (Fault::RetriesNonIdempotent, 2),
        (Fault::HidesDrains, 3),
        (Fault::HidesStarts, 4),
        (Fault::HidesKeys, 5),
        (Fault::HidesAllowedZones, 6),
        (Fault::HidesRetryBudget, 7),
    ] {
        let is_detected = (1..=5)
            .any(|seed| simulate(&world, seed, fault).violations.iter().any(|broken| broken.rule == rule));
        assert!(is_detected, "{fault:?} is not detected");
    }
}

#[test]
fn invalid_file_names_its_line() {
    let error = SimulatedDeployment::parse("seconds = 1\nfronts = 1\nper_secnd = 3\n").unwrap_err();
    assert!(error.line == Some(3) && error.message.contains("per_second"), "{error}");
    let error = SimulatedDeployment::parse(&MORNING.replace("share = 0.75", "share = 0.7")).unwrap_err();
    assert!(error.message.contains("come to 1"));
    let error = SimulatedDeployment::parse(&MORNING.replace("engine = 1", "engine = 77")).unwrap_err();
    assert!(error.message.contains("there is not"), "{error}");
}
