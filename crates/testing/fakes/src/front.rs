//! The built front binary, run as a process.

use crate::client::Client;
use crate::{TEST_TIMEOUT, temp_file};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// A running front. Dropping it kills the process.
pub struct Front {
    child: Child,
    /// The start file, removed on drop.
    file: PathBuf,
    /// Address that it listens on for clients.
    pub address: SocketAddr,
    log: Mutex<Receiver<String>>,
    startup_log: Vec<String>,
}

impl Front {
    /// Starts a front with this start file, and waits until it listens.
    pub fn start(program: &str, config: &Value) -> Front {
        let file = temp_file("json", &config.to_string());
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", &file).env("RUST_LOG", "info");
        Front::spawn(command, file)
    }

    /// Starts a front with a limit on open file descriptors, and waits until it listens.
    pub fn start_with_descriptor_limit(program: &str, config: &Value, descriptors: u64) -> Front {
        let file = temp_file("json", &config.to_string());
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {descriptors} && exec \"$0\"")).arg(program);
        command.env("PROXY_CONFIG", &file).env("RUST_LOG", "info");
        Front::spawn(command, file)
    }

    /// Runs a command, and waits until its log contains this text. [`address`](Self::address) is then 127.0.0.1:0.
    pub fn spawn_until(command: Command, file: PathBuf, log_text: &str) -> Front {
        Front::spawn_with(command, file, |line| {
            line.contains(log_text).then(|| SocketAddr::from(([127, 0, 0, 1], 0)))
        })
    }

    /// Runs a command that starts a front, and waits until it listens.
    pub fn spawn(command: Command, file: PathBuf) -> Front {
        Front::spawn_with(command, file, |line| {
            let address = line.split_once("listens on ").and_then(|(_, rest)| rest.split(',').next());
            address.and_then(|text| text.parse().ok())
        })
    }

    fn spawn_with(mut command: Command, file: PathBuf, ready: impl Fn(&str) -> Option<SocketAddr>) -> Front {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (send, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).for_each(|line| drop(send.send(line))));
        let mut startup_log = Vec::new();
        let address = loop {
            let line: String =
                log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("not started: {startup_log:?}"));
            if let Some(address) = ready(&line) {
                break address;
            }
            startup_log.push(line);
        };
        Front { child, file, address, log: Mutex::new(log), startup_log }
    }

    /// Returns the rest of the first start-up log line that contains this text.
    pub fn startup_log_value(&self, text: &str) -> Option<String> {
        self.startup_log.iter().find_map(|line| Some(line.split_once(text)?.1.trim().to_owned()))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, without a graceful shutdown.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Opens a client connection.
    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).unwrap())
    }

    /// Opens a client connection with a receive buffer so small that little can be sent to it while it does not
    /// read.
    pub fn slow_reader(&self) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.address.into()).unwrap();
        Client::new(socket.into())
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }

    /// Sends `SIGSTOP`, and waits until all threads have stopped.
    pub fn freeze(&self) {
        self.signal("STOP");
        let is_stopped = |task: &std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        };
        let tasks = || std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        while !tasks().all(|task| is_stopped(&task.unwrap())) {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Replaces the start file, and sends `SIGHUP`.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).unwrap();
        self.signal("HUP");
    }

    /// Returns the log lines that have not been read yet.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.log.lock().unwrap().try_iter().collect()
    }

    /// Waits for the next log line that contains this text. Earlier lines are dropped.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.lock().unwrap().recv_timeout(TEST_TIMEOUT).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits for the process to exit. Returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Returns the exit code if the process exits with one within this time.
    pub fn exit_code_within(&mut self, timeout: Duration) -> Option<i32> {
        let started = Instant::now();
        loop {
            match self.child.try_wait().unwrap() {
                Some(status) => return status.code(),
                None if started.elapsed() > timeout => return None,
                None => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Number of open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Result of a front that failed to start.
pub struct FailedStart {
    /// Exit code; `None` if a signal ended the process.
    pub exit_code: Option<i32>,
    /// Standard error of the process.
    pub stderr: String,
}

/// Runs a front that is expected to fail at start-up. Without `config`, `PROXY_CONFIG` is unset.
pub fn start_failure(program: &str, config: Option<&str>) -> FailedStart {
    let mut command = Command::new(program);
    command.env_remove("PROXY_CONFIG");
    if let Some(text) = config {
        command.env("PROXY_CONFIG", temp_file("json", text));
    }
    let output = command.output().unwrap();
    FailedStart { exit_code: output.status.code(), stderr: String::from_utf8(output.stderr).unwrap() }
}
