//! A front as built, run as a process.

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

/// A front that runs; killed when it is dropped.
pub struct Front {
    child: Child,
    /// Its start file, removed with it.
    file: PathBuf,
    /// The address that it listens at for clients.
    pub address: SocketAddr,
    log: Mutex<Receiver<String>>,
    startup_log: Vec<String>,
}

impl Front {
    /// Starts it with this start file, and waits until it listens.
    pub fn start(program: &str, config: &Value) -> Front {
        let file = temp_file("json", &config.to_string());
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", &file).env("RUST_LOG", "info");
        Front::spawn(command, file)
    }

    /// The same, with a limit on open file descriptors.
    pub fn start_within(program: &str, config: &Value, descriptors: u64) -> Front {
        let file = temp_file("json", &config.to_string());
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {descriptors} && exec \"$0\"")).arg(program);
        command.env("PROXY_CONFIG", &file).env("RUST_LOG", "info");
        Front::spawn(command, file)
    }

    /// Runs a command, and waits until its log has this text.
    pub fn spawn_until(command: Command, file: PathBuf, said: &str) -> Front {
        Front::spawn_with(command, file, |line| {
            line.contains(said).then(|| SocketAddr::from(([127, 0, 0, 1], 0)))
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
                log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("no start: {startup_log:?}"));
            if let Some(address) = ready(&line) {
                break address;
            }
            startup_log.push(line);
        };
        Front { child, file, address, log: Mutex::new(log), startup_log }
    }

    /// What stands after this text in the log up to the start.
    pub fn startup_log_value(&self, text: &str) -> Option<String> {
        self.startup_log.iter().find_map(|line| Some(line.split_once(text)?.1.trim().to_owned()))
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it, as a crash would end it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// A new client connection.
    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).unwrap())
    }

    /// A client with a receive buffer so small that next to nothing can be sent while it does not read.
    pub fn slow_reader(&self) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.address.into()).unwrap();
        Client::new(socket.into())
    }

    /// Sends it a signal, by name without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }

    /// Stops all its threads, and returns once they have stopped.
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

    /// Replaces its start file, and signals that.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).unwrap();
        self.signal("HUP");
    }

    /// All lines of the log since it was last read.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.log.lock().unwrap().try_iter().collect()
    }

    /// Waits for the next line of the log that holds this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.lock().unwrap().recv_timeout(TEST_TIMEOUT).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits until it ends.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Its exit code, if it ends within this time.
    pub fn exit_code_within(&mut self, span: Duration) -> Option<i32> {
        let started = Instant::now();
        loop {
            match self.child.try_wait().unwrap() {
                Some(status) => return status.code(),
                None if started.elapsed() > span => return None,
                None => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Number of its open file descriptors.
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

/// How a front ended that failed at its start.
pub struct FailedStart {
    /// Its exit code; none if a signal ended it.
    pub exit_code: Option<i32>,
    /// Its standard error.
    pub stderr: String,
}

/// Runs a front that should fail at its start.
pub fn start_failure(program: &str, config: Option<&str>) -> FailedStart {
    let mut command = Command::new(program);
    command.env_remove("PROXY_CONFIG");
    if let Some(text) = config {
        command.env("PROXY_CONFIG", temp_file("json", text));
    }
    let output = command.output().unwrap();
    FailedStart { exit_code: output.status.code(), stderr: String::from_utf8(output.stderr).unwrap() }
}
