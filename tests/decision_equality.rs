//! Guards against a change of decisions by an optimization: every action in several hundred random histories
//! is the same, in the same order and at the same time, as when `tests/histories/digests.txt` was written.
//!
//! The digests may be rewritten only by a commit that intends to change decisions, or by one that extends
//! the histories and leaves the decisions alone; its message says which. The command is
//! `cargo run --example decision_digests > tests/histories/digests.txt`.

mod histories;

use histories::{HistorySummary, SEEDS, run_history};

const DIGESTS: &str = include_str!("histories/digests.txt");

#[test]
fn every_action_is_the_same_as_recorded() {
    let recorded: Vec<&str> = DIGESTS.lines().collect();
    assert_eq!(recorded.len() as u64, SEEDS, "one digest a seed");
    let differing: Vec<u64> = (0..SEEDS)
        .zip(recorded)
        .filter(|(seed, recorded)| format!("{:016x}", run_history(*seed).digest) != *recorded)
        .map(|(seed, _)| seed)
        .collect();
    println!("seeds 0 to {} run", SEEDS - 1);
    assert!(differing.is_empty(), "{} of {SEEDS} seeds differ: {differing:?}", differing.len());
}

#[test]
fn a_history_is_reproducible() {
    assert_eq!(run_history(1), run_history(1));
    assert_ne!(run_history(1), run_history(2));
}

#[test]
fn the_histories_hold_every_kind_of_action() {
    let summaries: Vec<HistorySummary> = (0..SEEDS).map(run_history).collect();
    let seeds_with =
        |count: fn(&HistorySummary) -> u32| summaries.iter().filter(|o| count(o) > 0).count() as u64;
    println!("seed 0: {:?}", summaries[0]);
    assert!(seeds_with(|o| o.attempts) > SEEDS * 9 / 10);
    assert!(seeds_with(|o| o.rejections) > SEEDS / 2);
    assert!(seeds_with(|o| o.failures) > SEEDS / 4);
    assert!(seeds_with(|o| o.cancels) > SEEDS / 4);
    assert!(seeds_with(|o| o.probes) > SEEDS / 6);
}
