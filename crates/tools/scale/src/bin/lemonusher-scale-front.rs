//! The program `lemonusher-front` under another name, for the tests of this package: Cargo gives tests only the paths
//! of their own package's programs. Measurements for the page run `lemonusher-front` itself.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match lemonusher_front::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("lemonusher-scale-front: {cause}");
            ExitCode::FAILURE
        }
    }
}
