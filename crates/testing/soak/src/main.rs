//! `lemonusher-soak`: runs seeded scenarios against a front, several at a time, and exits with 1 if any rule was
//! broken.

use clap::Parser;
use lemonusher_soak::{RunOptions, Scenario, SeedResult, find_violations, run, summary, write_csv};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Runs seeded faults, signals and restarts against real fronts.
#[derive(Parser)]
struct Arguments {
    /// Number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds that run at once.
    #[arg(long, default_value_t = 3)]
    at_once: u64,
    /// Path of the front program.
    #[arg(long, default_value = "target/release/lemonusher-front")]
    program: PathBuf,
    /// Writes a CSV file with one row for each seed.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Stops the front several times in each run, for some tenths of a second.
    #[arg(long)]
    stand_stills: bool,
    /// Prints the front's log on standard error.
    #[arg(long)]
    log: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let options = RunOptions { program: arguments.program, fault: None, log: arguments.log };
    let next = AtomicU64::new(arguments.first);
    let results: Mutex<Vec<SeedResult>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..arguments.at_once.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= arguments.first + arguments.seeds {
                        return;
                    }
                    let scenario = match arguments.stand_stills {
                        true => Scenario::draw_with_stand_stills(seed),
                        false => Scenario::draw(seed),
                    };
                    let recording = run(&scenario, &options);
                    let violations = find_violations(&recording);
                    println!(
                        "seed {seed}: {} requests, {} broken",
                        recording.requests.len(),
                        violations.len()
                    );
                    violations.iter().for_each(|one| println!("  {}: {}", one.rule, one.detail));
                    if let Ok(mut results) = results.lock() {
                        results.push(SeedResult { seed, recording, violations });
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|result| result.seed);
    print!("{}", summary(&results));
    if let Some(Err(error)) = arguments.csv.map(|path| write_csv(&path, &results)) {
        eprintln!("lemonusher-soak: cannot write the CSV file: {error}");
        return ExitCode::FAILURE;
    }
    let is_clean = results.iter().all(|result| result.violations.is_empty());
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
