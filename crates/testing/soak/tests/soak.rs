//! A short soak test of the front, and of one with injected response faults. The program `lemonusher-soak` runs
//! more seeds.

use lemonusher_soak::*;
use std::path::PathBuf;
use std::sync::Mutex;

/// Number of seeds that run at once.
const AT_ONCE: usize = 3;

fn options(fault: Option<RelayFault>) -> RunOptions {
    RunOptions { program: PathBuf::from(env!("CARGO_BIN_EXE_lemonusher-soak-front")), fault, log: false }
}

/// Runs these scenarios, `AT_ONCE` at a time, and asserts that no rule is broken and clients are answered.
fn assert_no_rule_is_broken(scenarios: Vec<Scenario>) {
    let waiting = Mutex::new(scenarios);
    let results: Mutex<Vec<SeedResult>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                loop {
                    let Some(scenario) = waiting.lock().unwrap().pop() else { return };
                    let recording = run(&scenario, &options(None));
                    let violations = find_violations(&recording);
                    results.lock().unwrap().push(SeedResult { seed: scenario.seed, recording, violations });
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|result| result.seed);
    println!("proof: soak {}", summary(&results));
    for SeedResult { seed, recording, violations } in &results {
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        let answered = recording.requests.iter().filter(|request| !request.responses.is_empty()).count();
        assert!(answered > 100, "seed {seed}: {answered} answered");
    }
}

/// Guards against rules broken under series of signals, restarts, crowds of idle clients, and failing engines and
/// discovery. Seeds 24 and 28 guard against requests that waited in the operating system's queue during a crowd
/// and were answered after their client timeout.
#[test]
fn no_rule_is_broken() {
    assert_no_rule_is_broken((1..=16).chain([24, 28]).rev().map(Scenario::draw).collect());
}

/// Guards against rules broken by a front that stands still now and then, as on a machine without a free core.
#[test]
fn no_rule_is_broken_across_stand_stills() {
    assert_no_rule_is_broken((1..=6).rev().map(Scenario::draw_with_stand_stills).collect());
}

#[test]
fn front_that_answers_twice_or_not_at_all_is_caught() {
    for (fault, rule) in [(RelayFault::Duplicate, Rule::AnsweredOnce), (RelayFault::Lose, Rule::Answered)] {
        let violations = find_violations(&run(&Scenario::draw(1), &options(Some(fault))));
        assert!(violations.iter().any(|violation| violation.rule == rule), "{fault:?}: {violations:?}");
    }
}
