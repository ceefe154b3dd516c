//! Runs one front without management or a fleet, configured by the file that `PROXY_CONFIG` names. It logs to
//! standard error.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match lemonusher_front::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lemonusher-front: {error}");
            ExitCode::FAILURE
        }
    }
}
