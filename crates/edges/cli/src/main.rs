//! `lemonusher`: the front as operators run and manage it. Doc comments on commands and options are their help texts.

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
/// Exit codes: 0 done; 1 it failed, and standard error says why; 2 the command line can't be used; 3 a file
/// can't be used.
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
    /// Runs a front with what an operator's file switches on, until SIGTERM.
    Run {
        /// The operator's file, such as deploy/lemonusher.toml.
        file: PathBuf,
    },
    /// Checks an operator's file, and the file that it tells the front by.
    Check { file: PathBuf },
    #[command(flatten)]
    Manage(ManageCommand),
    /// Shows the voters of the fleet that a file names, and the leases that they have granted.
    Fleet { file: PathBuf },
    /// Prints the plan for lost sites as it stands, or as it would be without some: who is served where, what is refused
    /// first, and whether the rest can carry it.
    Plan {
        file: PathBuf,
        /// As if this site were lost; may be given several times.
        #[arg(long, value_name = "SITE")]
        without: Vec<String>,
    },
    /// Tells the fleet what is wanted of a site.
    Site {
        file: PathBuf,
        site: String,
        #[arg(value_enum)]
        #[arg(value_name = "WISH")]
        requested: ZoneOverride,
    },
    /// Asks for machines to be taken out for work, and says how far that has come.
    Works {
        file: PathBuf,
        #[command(subcommand)]
        command: MaintenanceCommand,
    },
    /// Asks the holder of a task to hand it over, through the voters that a file names.
    HandOver { file: PathBuf, task: String },
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let done = match command_line.command {
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
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error, command_line.json),
    }
}

/// Prints an error on standard error, one line each.
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
