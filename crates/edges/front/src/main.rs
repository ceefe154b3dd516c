//! One front on the platform: configured by the file that `PROXY_CONFIG` names, with its log on standard error.

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
