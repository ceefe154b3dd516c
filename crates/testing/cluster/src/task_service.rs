//! The yard: what is acted upon. It notes each act, and refuses an older number where it is one that can.

use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A step of an act as it arrived.
#[derive(Clone, Debug)]
pub struct TaskStep {
    pub at: Instant,
    pub fencing_token: u64,
    /// The front's name, and its life.
    pub holder: String,
    pub is_begin: bool,
    /// The yard refused it, as it has seen a higher number.
    pub rejected: bool,
}

impl TaskStep {
    pub fn front(&self) -> usize {
        self.holder[1..self.holder.find('/').unwrap()].parse().unwrap()
    }
}

pub struct FakeTaskService {
    pub address: SocketAddr,
    steps: Arc<Mutex<Vec<TaskStep>>>,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeTaskService {
    pub fn start(refuses: bool) -> FakeTaskService {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let (address, notes) = (socket.local_addr().unwrap(), Arc::new(Mutex::new(Vec::new())));
        let ending = Arc::new(AtomicBool::new(false));
        let (noted, ends) = (notes.clone(), ending.clone());
        let thread = std::thread::spawn(move || {
            let (mut bytes, mut seen, mut seen_of) = ([0; 2048], 0, String::new());
            while !ends.load(Ordering::Relaxed) {
                let Ok((long, from)) = socket.recv_from(&mut bytes) else { continue };
                let at = Instant::now();
                let said: Value = serde_json::from_slice(&bytes[..long]).unwrap();
                let (number, who) =
                    (said["number"].as_u64().unwrap(), said["who"].as_str().unwrap().to_owned());
                // The same number from another life is no more than an older one.
                let older = number < seen || (number == seen && who != seen_of);
                if older && refuses {
                    let told = json!({"task": said["task"], "seen": seen}).to_string();
                    let _ = socket.send_to(told.as_bytes(), from);
                } else if number > seen {
                    (seen, seen_of) = (number, who.clone());
                }
                let begins = said["step"] == "begin";
                noted.lock().unwrap().push(TaskStep {
                    at,
                    fencing_token: number,
                    holder: who,
                    is_begin: begins,
                    rejected: older && refuses,
                });
            }
        });
        FakeTaskService { address, steps: notes, ending, thread: Some(thread) }
    }

    pub fn steps(&self) -> Vec<TaskStep> {
        self.steps.lock().unwrap().clone()
    }

    /// Waits until an act begins that is noted after so many; none if nothing comes in time.
    pub fn wait_for_begin(&self, after: usize, patience: Duration) -> Option<TaskStep> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            let found = self.steps().into_iter().skip(after).find(|noted| noted.is_begin && !noted.rejected);
            if found.is_some() {
                return found;
            }
            std::thread::sleep(Duration::from_millis(5));
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
