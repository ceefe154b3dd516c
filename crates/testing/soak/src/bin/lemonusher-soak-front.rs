//! The same program as `lemonusher-front` under another name. Cargo gives a package's tests only the paths of that
//! package's own programs, and the soak tests need a front to start.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match lemonusher_front::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lemonusher-soak-front: {error}");
            ExitCode::FAILURE
        }
    }
}
