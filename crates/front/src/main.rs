//! The front on sockets. `transport` moves bytes, `protocol` reads and writes messages, `routing` owns the
//! gateway, `program` puts them together; each uses only those before it.

mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match program::start::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(unfit) => {
            eprintln!("lemonusher-front: {unfit}");
            ExitCode::FAILURE
        }
    }
}
