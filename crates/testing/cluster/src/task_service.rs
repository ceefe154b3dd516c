//! A fake of the service that the fronts' task acts on by UDP. It records each step of an act with its time of
//! arrival, and can be configured to reject stale fencing tokens.
//!
//! A fencing token is stale if a greater one has been seen, or the same one from another holder.

use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Read timeout, after which the thread checks whether it has to end.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Time between two checks for a new step.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// A received step of an act.
#[derive(Clone, Debug)]
pub struct TaskStep {
    /// When it arrived.
    pub at: Instant,
    /// Fencing token of the lease under which the front acts.
    pub fencing_token: u64,
    /// The front's name and incarnation, such as `n3/...`.
    pub holder: String,
    /// Whether the act begins; otherwise it continues or ends.
    pub is_begin: bool,
    /// Whether the service rejected it because its fencing token is stale.
    pub rejected: bool,
}

impl TaskStep {
    /// The front's index.
    pub fn front(&self) -> usize {
        self.holder[1..self.holder.find('/').unwrap()].parse().unwrap()
    }
}

/// The task service. Its thread ends when it is dropped.
pub struct FakeTaskService {
    /// Address at which it receives steps.
    pub address: SocketAddr,
    steps: Arc<Mutex<Vec<TaskStep>>>,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeTaskService {
    /// Starts the service. `rejects_stale` sets whether it rejects stale fencing tokens.
    pub fn start(rejects_stale: bool) -> FakeTaskService {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let address = socket.local_addr().unwrap();
        let steps = Arc::new(Mutex::new(Vec::new()));
        let ending = Arc::new(AtomicBool::new(false));
        let (noted, is_ending) = (steps.clone(), ending.clone());
        let thread = std::thread::spawn(move || receive(&socket, rejects_stale, &noted, &is_ending));
        FakeTaskService { address, steps, ending, thread: Some(thread) }
    }

    /// All steps received so far.
    pub fn steps(&self) -> Vec<TaskStep> {
        self.steps.lock().unwrap().clone()
    }

    /// Waits for the beginning of an act that is not rejected, ignoring the first `after` steps. `None` on timeout.
    pub fn wait_for_begin(&self, after: usize, timeout: Duration) -> Option<TaskStep> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let begun = self.steps().into_iter().skip(after).find(|step| step.is_begin && !step.rejected);
            if begun.is_some() {
                return begun;
            }
            std::thread::sleep(WAIT_INTERVAL);
        }
        None
    }
}

impl Drop for FakeTaskService {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn receive(socket: &UdpSocket, rejects_stale: bool, steps: &Mutex<Vec<TaskStep>>, is_ending: &AtomicBool) {
    let mut bytes = [0; 2048];
    let mut highest_token = 0;
    let mut highest_holder = String::new();
    while !is_ending.load(Ordering::Relaxed) {
        let Ok((length, sender)) = socket.recv_from(&mut bytes) else { continue };
        let at = Instant::now();
        let message: Value = serde_json::from_slice(&bytes[..length]).unwrap();
        let fencing_token = message["number"].as_u64().unwrap();
        let holder = message["who"].as_str().unwrap().to_owned();
        let is_begin = message["step"] == "begin";
        let is_stale =
            fencing_token < highest_token || (fencing_token == highest_token && holder != highest_holder);
        let rejected = is_stale && rejects_stale;
        if rejected {
            let reply = json!({"task": message["task"], "seen": highest_token}).to_string();
            let _ = socket.send_to(reply.as_bytes(), sender);
        } else if fencing_token > highest_token {
            highest_token = fencing_token;
            highest_holder = holder.clone();
        }
        steps.lock().unwrap().push(TaskStep { at, fencing_token, holder, is_begin, rejected });
    }
}
