//! One front process.

use crate::recorder::Recorder;
use crate::records::ProcessRecord;
use crate::run::RunOptions;
use lemonusher_fakes::{Client, Front, temp_file};
use serde_json::{Value, json};
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

/// Longest time that a front has after SIGTERM to finish its requests; less if the longest deadline is shorter.
const MAX_SHUTDOWN: Duration = Duration::from_millis(3000);
/// Time that the platform waits after the time for finishing requests, before it kills the front.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);
/// Time between two readiness checks of a front that has started.
const READY_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a front that is not ready is recorded as never ready.
const MAX_READY_TIME: Duration = Duration::from_secs(12);

/// Time from SIGTERM until the platform kills the front: the longest deadline, at most `MAX_SHUTDOWN`, plus
/// `SHUTDOWN_GRACE`.
fn kill_after(deadline: Duration) -> Duration {
    deadline.min(MAX_SHUTDOWN) + SHUTDOWN_GRACE
}

/// A front process and its record.
pub(crate) struct FrontProcess {
    pub(crate) front: Front,
    pub(crate) record: ProcessRecord,
}

impl FrontProcess {
    /// Starts the program, and waits until it reports that it is ready or `MAX_READY_TIME` has passed.
    pub(crate) fn start(recorder: &Recorder, options: &RunOptions, config: &Value) -> FrontProcess {
        let started_at = recorder.now();
        let file = temp_file("json", &config.to_string());
        let mut command = Command::new(&options.program);
        let level = if options.log { "debug" } else { "info" };
        command.env("PROXY_CONFIG", &file).env("RUST_LOG", level);
        let front = Front::spawn(command, file);
        let mut record = ProcessRecord { started_at, ..ProcessRecord::default() };
        while record.ready_at.is_none() && recorder.now() < started_at + MAX_READY_TIME {
            match is_ready(&front) {
                true => record.ready_at = Some(recorder.now()),
                false => std::thread::sleep(READY_INTERVAL),
            }
        }
        record.descriptors_at_start = front.open_descriptors();
        record.memory_at_start_kb = resident_kb(front.id());
        FrontProcess { front, record }
    }

    /// Records the time of SIGTERM, and sets the earliest time of the kill.
    pub(crate) fn set_terminated(&mut self, at: Duration, deadline: Duration) {
        self.record.terminated_at = at;
        self.record.kill_at = at + kill_after(deadline);
    }

    /// Records open descriptors and resident memory now that all clients have disconnected.
    pub(crate) fn measure_at_rest(&mut self) {
        self.record.descriptors_at_rest = Some(self.front.open_descriptors());
        self.record.memory_at_rest_kb = Some(resident_kb(self.front.id()));
    }

    /// Waits until the process exits, at most until `kill_at` of its record, and then kills it if it still runs.
    pub(crate) fn finish(mut self, recorder: &Recorder, options: &RunOptions) -> ProcessRecord {
        let left = self.record.kill_at.saturating_sub(recorder.now());
        if let Some(code) = self.front.exit_code_within(left) {
            self.record.exited_at = Some(recorder.now());
            self.record.exit_code = Some(code);
        }
        self.front.kill();
        if options.log {
            self.front.take_log_lines().iter().for_each(|line| eprintln!("{line}"));
        }
        self.record
    }
}

fn is_ready(front: &Front) -> bool {
    let Ok(stream) = TcpStream::connect(front.address) else { return false };
    let mut client = Client::new(stream);
    let sent = client.try_send_line(&json!({"jsonrpc": "2.0", "id": 1, "method": "heartbeat"}).to_string());
    let answer = client.try_next_response().filter(|_| sent);
    answer.is_some_and(|answer| answer["result"]["fit"].as_bool() == Some(true))
}

fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
