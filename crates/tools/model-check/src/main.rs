//! Searches the models from the command line, and replays histories.

use clap::{Args, Parser, Subcommand};
use lemonusher_model_check::external_calls::{Bounds, CallsWorld, Step};
use lemonusher_model_check::{SearchResult, World, history, search};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Explores all orders of events up to a bound over the project's state machines")]
struct Cli {
    /// Number of threads of the search.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    #[command(subcommand)]
    model: ModelCommand,
}

#[derive(Subcommand)]
enum ModelCommand {
    /// External calls: processors of one deployment, a proxy that retries, one request.
    ExternalCalls(ExternalCallsArgs),
}

#[derive(Args)]
struct ExternalCallsArgs {
    /// Number of processors.
    #[arg(long, default_value_t = 2)]
    processors: usize,
    /// The proxy forwards a request that gets no response in time.
    #[arg(long)]
    fails_open: bool,
    /// The request may run any number of times.
    #[arg(long)]
    idempotent: bool,
    /// Processors may extend the proxy's timeout.
    #[arg(long)]
    extends_timeout: bool,
    /// Maximum number of the proxy's attempts each time that the client sends the request.
    #[arg(long, default_value_t = 2)]
    attempts: u32,
    /// Maximum number of times that the client comes back.
    #[arg(long, default_value_t = 1)]
    returns: u32,
    /// Maximum number of steps of time, of 100 ms each.
    #[arg(long, default_value_t = 3)]
    ticks: u32,
    /// Maximum number of restarts of processors.
    #[arg(long, default_value_t = 1)]
    restarts: u32,
    /// Replays the history in this file in place of a search.
    #[arg(long)]
    replay: Option<PathBuf>,
}

impl ExternalCallsArgs {
    fn bounds(&self) -> Bounds {
        Bounds {
            processors: self.processors,
            failure_mode_allow: self.fails_open,
            idempotent: self.idempotent,
            extends_timeout: self.extends_timeout,
            attempts: self.attempts,
            returns: self.returns,
            ticks: self.ticks,
            restarts: self.restarts,
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ModelCommand::ExternalCalls(args) = &cli.model;
    let result = match &args.replay {
        Some(path) => replay(&args.bounds(), path),
        None => print_result(&search::<CallsWorld>(args.bounds(), cli.threads)),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lemonusher-model-check: {error}");
            ExitCode::from(2)
        }
    }
}

/// Prints what a search has found. Returns whether no rule was broken and all landmarks were reached.
fn print_result(result: &SearchResult<Step>) -> Result<bool, Box<dyn std::error::Error>> {
    println!("{} states, {} events deep, {:.1?}", result.states, result.max_depth, result.duration);
    if let Some(bad) = &result.bad_history {
        println!("a rule is broken after {} events:\n{}", bad.len(), history::to_text(bad)?);
        return Ok(false);
    }
    result.missed_landmarks.iter().for_each(|name| println!("not reached: {name}"));
    Ok(result.missed_landmarks.is_empty())
}

/// Prints the state after each event of a history. Returns whether no rule was broken.
fn replay(bounds: &Bounds, path: &PathBuf) -> Result<bool, Box<dyn std::error::Error>> {
    let steps: Vec<Step> = history::from_text(&std::fs::read_to_string(path)?)?;
    let states: Vec<CallsWorld> = history::replay(bounds, &steps)?;
    for (step, state) in steps.iter().zip(&states) {
        println!("{step:?}\n    {state:?}");
    }
    let violation = states.last().and_then(|state| state.violation());
    println!("broken: {violation:?}");
    Ok(violation.is_none())
}
