//! Stand-ins that a case starts as processes: a NETCONF manager, and the side of a proxy that calls an external
//! processor. Each prints a line per event on standard output; errors end it with exit code 1.

use std::process::ExitCode;

mod call;
mod manager;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let ended = match words[..] {
        ["netconf", address] => manager::run(address).await,
        ["call", address, batch, service_group, patience_ms] => {
            call::run(address, batch, service_group, patience_ms).await
        }
        _ => Err("usage: stand-ins-2 netconf ADDRESS | call ADDRESS BATCH SERVICE-GROUP PATIENCE-MS".into()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
