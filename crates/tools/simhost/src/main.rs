//! Runs fronts for an external simulator. It reads frames on standard input and writes a reply to each on standard
//! output, one JSON object per line. This program only translates messages; all decisions are made by the fronts'
//! gateways.

#![warn(missing_docs)]

mod host;
mod translate;
mod wire;

use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::Frame;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lemonusher-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut line = String::new();
    for count in 1u64.. {
        line.clear();
        if input.read_line(&mut line).map_err(|e| format!("line {count}: cannot read input: {e}"))? == 0 {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let frame: Frame =
            serde_json::from_str(&line).map_err(|e| format!("line {count}: invalid frame: {e}"))?;
        let reply = host.handle_frame(&frame)?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("cannot write a reply: {e}"))?;
        output
            .write_all(b"\n")
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write a reply: {e}"))?;
    }
    Ok(())
}
