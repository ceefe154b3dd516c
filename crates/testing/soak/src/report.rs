//! Reports the results of all seeds: a summary by rule, and a CSV table.

use crate::judge::{Rule, Violation};
use crate::records::{Recording, ResponseKind};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::path::Path;

/// Result of one seed.
#[derive(Debug, Clone)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// The run's recording.
    pub recording: Recording,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
}

#[derive(Serialize)]
struct Row {
    seed: u64,
    requests: usize,
    results: usize,
    rejected: usize,
    failed: usize,
    attempts: usize,
    driver_delay_ms: u128,
    violations: usize,
    first: String,
}

impl SeedResult {
    fn row(&self) -> Row {
        let responses = || self.recording.requests.iter().flat_map(|request| &request.responses);
        let count = |kind: ResponseKind| responses().filter(|response| response.kind == kind).count();
        let first = self.violations.first();
        Row {
            seed: self.seed,
            requests: self.recording.requests.len(),
            results: count(ResponseKind::Result),
            rejected: count(ResponseKind::Rejected),
            failed: count(ResponseKind::Failed),
            attempts: self.recording.attempts.len(),
            driver_delay_ms: self.recording.driver_delay.as_millis(),
            violations: self.violations.len(),
            first: first.map(|first| format!("{}: {}", first.rule, first.detail)).unwrap_or_default(),
        }
    }
}

/// Writes a CSV file with one row for each seed.
pub fn write_csv(path: &Path, results: &[SeedResult]) -> io::Result<()> {
    let mut writer = csv::Writer::from_path(path)?;
    for result in results {
        writer.serialize(result.row())?;
    }
    writer.flush()
}

/// Summary text: totals, then for each broken rule its seeds and the command that runs the first of them again.
pub fn summary(results: &[SeedResult]) -> String {
    let mut by_rule: BTreeMap<Rule, Vec<u64>> = BTreeMap::new();
    for result in results {
        for violation in &result.violations {
            let seeds = by_rule.entry(violation.rule).or_default();
            if seeds.last() != Some(&result.seed) {
                seeds.push(result.seed);
            }
        }
    }
    let requests: usize = results.iter().map(|result| result.recording.requests.len()).sum();
    let delay = results.iter().map(|result| result.recording.driver_delay).max().unwrap_or_default();
    let broken = results.iter().filter(|result| !result.violations.is_empty()).count();
    let mut text = format!(
        "{} seeds, {requests} requests, driver delayed by {delay:?} at most: {broken} seeds with a broken rule\n",
        results.len()
    );
    for (rule, seeds) in by_rule {
        let _ = writeln!(
            text,
            "  {rule}: seeds {seeds:?}; again: lemonusher-soak --first {} --seeds 1 --log",
            seeds[0]
        );
    }
    text
}
