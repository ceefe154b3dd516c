//! 60 % of the engines of a deployment with 300 fronts are replaced within seconds. Once the new engines are warm,
//! the served share of each request class must be 90 % of that before, or more. The tests guard against a metastable
//! collapse: a deployment that keeps rejecting requests although the cause is gone.

use lemonusher_emulator::{Fault, INTERVAL_SECONDS, Report, SimulatedDeployment, simulate};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// A simulated deployment and its name.
struct Trial {
    name: &'static str,
    world: &'static str,
}

/// Second by which each deployment must have recovered. The replacement begins at 13 s and takes 7 s, the last
/// new engine is warm 11 or 12 s after that, and 10 s more are allowed.
const RECOVERED_BY: f64 = 42.0;
const RECORDS: Trial = Trial { name: "records", world: include_str!("../worlds/records-join.toml") };
const BOX_OFFICE: Trial = Trial { name: "box-office", world: include_str!("../worlds/box-office-join.toml") };
const SURVEY: Trial = Trial { name: "survey", world: include_str!("../worlds/survey-join.toml") };

/// Seconds of the run between which the served share before the replacement is measured.
const BEFORE: (f64, f64) = (5.0, 10.0);
/// Length of the measurement after the replacement, in seconds.
const JUDGED_FOR: f64 = 10.0;
/// Least served share after the replacement, as a multiple of the served share before it.
const RECOVERED: f64 = 0.9;
const THREADS: usize = 8;

/// Seeds to run, 1 to 10 by default; `COLLAPSE_SEEDS=1-40` runs more.
fn seeds() -> Vec<u64> {
    let stated = std::env::var("COLLAPSE_SEEDS").unwrap_or_else(|_| "1-10".to_owned());
    let (first, last) = stated.split_once('-').unwrap_or((&stated, &stated));
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

/// Line of measurements by interval; shares are in percent.
fn proof(name: &str, seed: u64, world: &SimulatedDeployment, report: &Report, seconds: f64) -> String {
    let spans = (world.duration_s / INTERVAL_SECONDS) as usize;
    let spans = &report.statistics.intervals[..spans.min(report.statistics.intervals.len())];
    let percent = |part: u64, whole: u64| (100 * part).checked_div(whole).unwrap_or(0).to_string();
    let served = world.request_classes.iter().enumerate().map(|(class, group)| {
        let shares =
            spans.iter().map(|span| percent(span.classes[class].served, span.classes[class].requests));
        format!("{} {}", group.name, shares.collect::<Vec<_>>().join(","))
    });
    let lost = spans.iter().map(|span| percent(span.requests() - span.served(), span.requests()));
    let rejected = spans.iter().map(|span| percent(span.rejected, span.tries));
    let attempts = spans.iter().map(|span| format!("{:.1}", span.attempts as f64 / span.requests() as f64));
    let full = spans.iter().map(|span| percent(span.refused_full, span.attempts));
    let slowdown = spans.iter().map(|span| format!("{:.1}", span.slowdown / span.returned as f64));
    let capacity = world.capacity() * INTERVAL_SECONDS;
    let load = spans.iter().map(|span| format!("{:.0}", 100.0 * span.work / capacity));
    format!(
        "proof: collapse {name} seed {seed}: served {}; lost {}; tries rejected {}; attempts a request {}; full {}; \
         slowdown {}; load {}; fell over {}; rules broken {}; {seconds:.1} s",
        served.collect::<Vec<_>>().join("; "),
        lost.collect::<Vec<_>>().join(","),
        rejected.collect::<Vec<_>>().join(","),
        attempts.collect::<Vec<_>>().join(","),
        full.collect::<Vec<_>>().join(","),
        slowdown.collect::<Vec<_>>().join(","),
        load.collect::<Vec<_>>().join(","),
        report.overloaded,
        report.violations.len(),
    )
}

/// Reasons why a run fails; empty if it passes.
fn recovery_failures(trial: &Trial, seed: u64, world: &SimulatedDeployment, report: &Report) -> Vec<String> {
    let name = trial.name;
    let mut found = Vec::new();
    for (class, group) in world.request_classes.iter().enumerate() {
        let before = report.statistics.served_share(class, BEFORE.0, BEFORE.1);
        let after = report.statistics.served_share(class, RECOVERED_BY, RECOVERED_BY + JUDGED_FOR);
        if after < RECOVERED * before {
            found.push(format!(
                "{name} seed {seed}: {} served {before:.3} before, {after:.3} after",
                group.name
            ));
        }
    }
    if let Some(broken) = report.violations.first() {
        found.push(format!("{name} seed {seed}: {} rules broken, first {broken:?}", report.violations.len()));
    }
    found
}

/// Runs every seed of a deployment, on several threads, and fails if any run did not recover.
fn recovers(trial: &Trial) {
    let world = SimulatedDeployment::parse(trial.world).unwrap();
    assert!(RECOVERED_BY + JUDGED_FOR <= world.duration_s);
    let (seeds, next, found) = (seeds(), AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let started = Instant::now();
                    let report = simulate(&world, *seed, Fault::None);
                    println!(
                        "{}",
                        proof(trial.name, *seed, &world, &report, started.elapsed().as_secs_f64())
                    );
                    found.lock().unwrap().extend(recovery_failures(trial, *seed, &world, &report));
                }
            });
        }
    });
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn a_fleet_with_reports_on_answers_recovers_from_the_replacement_of_most_engines() {
    recovers(&RECORDS);
}

#[test]
fn a_fleet_without_reports_recovers_from_the_replacement_of_most_engines() {
    recovers(&BOX_OFFICE);
}

#[test]
fn a_fleet_with_probes_recovers_from_the_replacement_of_most_engines() {
    recovers(&SURVEY);
}
