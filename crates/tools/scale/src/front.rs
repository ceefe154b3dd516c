//! A real front as a separate process, with a start file as on the platform.

use crate::budget;
use crate::error::MeasureError;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;
use tempfile::NamedTempFile;

/// The name of the front's program.
const PROGRAM: &str = "lemonusher-front";
/// Timeout for a front to listen; long enough for a busy machine.
const MAX_START_TIME: Duration = Duration::from_secs(30);
/// The text before the address in the front's log.
const LISTEN_LOG_PREFIX: &str = "listens on ";

/// The settings of a front's start file that a measurement varies.
#[derive(Debug, Clone)]
pub struct FrontOptions {
    /// The address of the discovery channel that sends its endpoint list.
    pub channel: SocketAddr,
    /// The limit of its descriptors.
    pub descriptors: u32,
    /// The limit of its memory, in MB.
    pub memory_mb: u32,
}

/// A running front; killed when dropped.
#[derive(Debug)]
pub struct Front {
    child: Child,
    /// The address that it listens on.
    pub address: SocketAddr,
    _start_file: NamedTempFile,
}

impl Front {
    /// Starts the program and waits until it has logged its address.
    pub fn start(program: &Path, options: &FrontOptions) -> Result<Self, MeasureError> {
        let file = write_start_file(options).map_err(io("the start file of the front"))?;
        let mut child = Command::new(program)
            .env("PROXY_CONFIG", file.path())
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(io(&program.display().to_string()))?;
        let found = child.stderr.take().map(|log| read_address(BufReader::new(log)));
        let address = found.and_then(|found| found.recv_timeout(MAX_START_TIME).ok());
        let Some(address) = address else {
            kill_and_wait(&mut child);
            return Err(MeasureError::Failed("the front did not log its listening address in time".into()));
        };
        Ok(Front { child, address, _start_file: file })
    }

    /// The id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        kill_and_wait(&mut self.child);
    }
}

fn kill_and_wait(child: &mut Child) {
    let _ = child.kill(); // The process may have exited already.
    let _ = child.wait();
}

/// Reads the log to its end on another thread, and sends the address that it contains.
fn read_address(log: impl BufRead + Send + 'static) -> Receiver<SocketAddr> {
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            let after = line.split_once(LISTEN_LOG_PREFIX).and_then(|(_, rest)| rest.split(',').next());
            if let Some(address) = after.and_then(|text| text.parse().ok()) {
                let _ = sender.send(address); // The receiver may have timed out.
            }
        }
    });
    receiver
}

/// The path of the front's program: as given, or in the folder of this program or, since test programs are one folder
/// deeper, in its parent.
pub fn program(given: Option<&Path>) -> Result<PathBuf, MeasureError> {
    if let Some(given) = given {
        return Ok(given.to_path_buf());
    }
    let own = std::env::current_exe().map_err(io("the path of this program"))?;
    let found = own.ancestors().skip(1).take(2).map(|folder| folder.join(PROGRAM)).find(|path| path.exists());
    found.ok_or_else(|| {
        MeasureError::Failed(format!(
            "no {PROGRAM} in the folder of this program: build it, or give its path with --front"
        ))
    })
}

/// Converts an I/O error, with the object or operation that failed.
pub fn io(what: &str) -> impl Fn(std::io::Error) -> MeasureError {
    let what = what.to_string();
    move |cause| MeasureError::Io { what: what.clone(), cause }
}

fn write_start_file(options: &FrontOptions) -> std::io::Result<NamedTempFile> {
    let mut file = NamedTempFile::new()?;
    file.write_all(start_file(options).to_string().as_bytes())?;
    Ok(file)
}

/// The content of the start file: the values of `docs/front-example.json`, with the fronts and zones of the design
/// size.
fn start_file(options: &FrontOptions) -> Value {
    let zones: Vec<String> = (0..budget::ZONES).map(|zone| format!("zone-{zone}")).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.descriptors},
        "channel": options.channel.to_string(),
        "known": {"cursor": 0, "cmds": []},
        "settings": {
            "areas": zones, "kinds": ["std"], "balancers": budget::FRONTS, "my_number": 0, "zone": 0,
            "tick_us": 5000, "discovery": "pushed", "client_habits": {"marks_retry": true},
            "ceilings": {"cancel": true, "conn_idle_us": 30_000_000, "connect_timeout_us": 250_000,
                "max_attempts": 4, "max_retry_after_us": 2_000_000, "open_cap": 1000, "peers": false,
                "probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 32},
            "classes": [{"name": "look-up", "aim_us": 1_000_000, "aim_stretch": 1.5,
                "hard_limit_us": 5_000_000, "effect": "safe", "points": 1, "late_value": 0}],
            "family_info": {"class_load": [false], "class_threads": [1], "cpu_of_kind": [8],
                "lanes_count": true, "memory_by_kind_mb": [16384], "note_period_us": 1_000_000,
                "says_cost": true, "takes_grants": true, "yields_to_loads": [true]},
            "obligations": {"ask_within_us": 10_000_000, "cold_from": 0.34, "cold_us": 14_000_000,
                "drain_grace_us": 2_000_000, "fall_multiple": 3, "tip_after_us": 1_500_000},
            "report": {"fields": ["busy"], "via": "on_probe"},
        },
    })
}
