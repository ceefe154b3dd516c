//! `lemonusher`: the front as operators run and manage it.

mod file;
mod journal;

use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A gateway that keeps short and long queries apart on shared engines.
///
/// Exit codes: 0 done; 1 it failed, and standard error says why; 2 the command line can't be used; 3 a file
/// can't be used.
#[derive(Parser)]
#[command(version)]
struct Line {
    /// Prints results and errors as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Runs a front with what an operator's file switches on, until SIGTERM.
    Run {
        /// The operator's file, such as deploy/lemonusher.toml.
        file: PathBuf,
    },
    /// Checks an operator's file, and the file that it tells the front by.
    Check { file: PathBuf },
}

/// Why a verb did not do what it is for.
#[derive(Debug)]
pub enum Failure {
    /// A file can't be used; each is one line.
    File(Vec<String>),
    /// It was tried and failed.
    Failed(String),
}

impl Failure {
    fn code(&self) -> u8 {
        match self {
            Failure::Failed(_) => 1,
            Failure::File(_) => 3,
        }
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let done = match line.verb {
        Verb::Run { file } => run(&file),
        Verb::Check { file } => check(&file, line.json),
    };
    let Err(failure) = done else { return ExitCode::SUCCESS };
    let code = failure.code();
    let told = match failure {
        Failure::File(lines) => lines,
        Failure::Failed(what) => vec![what],
    };
    for what in told {
        if line.json {
            eprintln!("{}", serde_json::json!({"error": what, "code": code}));
        } else {
            eprintln!("lemonusher: {what}");
        }
    }
    ExitCode::from(code)
}

fn read(path: &Path) -> Result<(file::File, String), Failure> {
    let wrong =
        |found: Vec<file::Wrong>| Failure::File(found.iter().map(|wrong| wrong.to_string()).collect());
    let file = file::read(path).map_err(wrong)?;
    let told = match &file.front.told {
        Some(told) => told.get_ref().to_string_lossy().into_owned(),
        None => std::env::var("PROXY_CONFIG").map_err(|_| {
            Failure::File(vec![format!(
                "{}: names no file in [front] 'told', and PROXY_CONFIG is not set",
                path.display()
            )])
        })?,
    };
    Ok((file, told))
}

fn check(path: &Path, json: bool) -> Result<(), Failure> {
    let (file, told) = read(path)?;
    let names = lemonusher_front::names(&told).map_err(|unfit| Failure::File(vec![unfit.to_string()]))?;
    if json {
        println!("{}", serde_json::json!({"file": path, "front": names.front, "ok": true}));
    } else {
        println!("{}: can be used; it runs front {}", path.display(), names.front);
        if let Some(managed) = &file.managed {
            println!("managers' counters are at most {:?} old", managed.freshness_span());
            for user in &managed.users {
                println!("user {} may {}", user.name.get_ref(), user.may);
            }
        }
    }
    Ok(())
}

fn run(path: &Path) -> Result<(), Failure> {
    let (file, told) = read(path)?;
    journal::start(file.log.level, file.log.form);
    lemonusher_front::serve(told, None).map_err(|unfit| Failure::Failed(unfit.to_string()))
}
