//! `lemonusher`: the command line with which operators run and manage a front. Doc comments on commands and
//! options are their help texts.

#![warn(missing_docs)]

mod check;
mod error;
mod file;
mod fleet;
mod inputs;
mod log_output;
mod manage;
mod run;

use clap::{Parser, Subcommand};
use error::CommandError;
use fleet::{MaintenanceCommand, ZoneOverride};
use manage::{ConnectionArgs, ManageCommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A gateway that keeps short and long queries apart on shared engines.
///
/// Exit codes: 0 success; 1 the command failed, with the reason on standard error; 2 invalid command line; 3 a file
/// can't be read or is invalid.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    /// Prints results and errors as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(flatten)]
    connection: ConnectionArgs,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a front with the parts that an operator's file enables, until SIGTERM.
    Run {
        /// The operator's file, such as deploy/lemonusher.toml.
        file: PathBuf,
    },
    /// Checks an operator's file and the front's start file that it names.
    Check { file: PathBuf },
    #[command(flatten)]
    Manage(ManageCommand),
    /// Shows the voters that a file names, with their leases, registers and the fronts that they know.
    Fleet { file: PathBuf },
    /// Prints the failover plan in force, or as it would be without some sites: the traffic that each site
    /// takes, the share of each request class that is served, the order in which classes are refused, and
    /// whether the capacity suffices.
    Plan {
        file: PathBuf,
        /// Plans as if this site were lost; can be repeated.
        #[arg(long, value_name = "SITE")]
        without: Vec<String>,
    },
    /// Sets the fleet's operator override of a site.
    Site {
        file: PathBuf,
        site: String,
        #[arg(value_enum)]
        #[arg(value_name = "WISH")]
        requested: ZoneOverride,
    },
    /// Requests maintenance of machines, and shows its progress.
    Works {
        file: PathBuf,
        #[command(subcommand)]
        command: MaintenanceCommand,
    },
    /// Requests that the holder of a task hands it over to another front; sent through the voters that a file names.
    HandOver { file: PathBuf, task: String },
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let result = match command_line.command {
        Command::Run { file } => run::run(&file),
        Command::Check { file } => check::check(&file, command_line.json),
        Command::Fleet { file } => fleet::show(&file, command_line.json),
        Command::HandOver { file, task } => fleet::hand_over(&file, &task, command_line.json),
        Command::Works { file, command } => fleet::run_maintenance(&file, command, command_line.json),
        Command::Plan { file, without } => fleet::plan(&file, &without, command_line.json),
        Command::Site { file, site, requested } => {
            fleet::override_zone(&file, &site, requested, command_line.json)
        }
        Command::Manage(command) => manage::manage(command, &command_line.connection, command_line.json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error, command_line.json),
    }
}

/// Prints an error on standard error, one line per message.
fn fail(error: CommandError, json: bool) -> ExitCode {
    let code = error.exit_code();
    let messages = match error {
        CommandError::File(lines) => lines,
        CommandError::Failed(message) => vec![message],
    };
    for message in messages {
        if json {
            eprintln!("{}", serde_json::json!({"error": message, "code": code}));
        } else {
            eprintln!("lemonusher: {message}");
        }
    }
    ExitCode::from(code)
}
