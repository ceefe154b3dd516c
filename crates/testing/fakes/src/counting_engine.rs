//! Engines that answer by themselves, and count what they are sent.

use crate::engine::Engine;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// What a counting engine does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineBehavior {
    /// Answers with a result.
    Result,
    /// The same, and states so many milliseconds of work.
    ResultAfterWork(u32),
    /// Answers with a failure.
    Fail,
    /// Rejects it unseen.
    Reject,
    /// Closes the connection.
    CloseConnection,
}

fn result(id: &str, work_ms: u32) -> String {
    format!("{id} HIT fetches=1,effort={work_ms},high=1 6\r\nx\ty\tz\n\r\n")
}

/// A request that a counting engine was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// When it came.
    pub at: Instant,
    /// Its id.
    pub id: String,
}

/// An engine that answers by itself and records its requests.
pub struct CountingEngine {
    /// Its address.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl CountingEngine {
    /// `behavior` is called with the number of each request, from zero.
    pub fn start(behavior: impl Fn(usize) -> EngineBehavior + Send + Sync + 'static) -> CountingEngine {
        let engine = Engine::start();
        let requests: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let (address, recorded) = (engine.address, requests.clone());
        thread::spawn(move || {
            while let Ok(message) = engine.messages.recv() {
                if message.verb != "serve" {
                    continue;
                }
                let number = {
                    let mut recorded = recorded.lock().unwrap();
                    recorded.push(ReceivedRequest { at: Instant::now(), id: message.id.clone() });
                    recorded.len() - 1
                };
                // Sending fails if the front has ended; that is fine.
                let response = match behavior(number) {
                    EngineBehavior::Result => result(&message.id, 1),
                    EngineBehavior::ResultAfterWork(work_ms) => result(&message.id, work_ms),
                    EngineBehavior::Fail => format!("{} FAULT - 0\r\n\r\n", message.id),
                    EngineBehavior::Reject => format!("{} SHED - 0\r\n\r\n", message.id),
                    EngineBehavior::CloseConnection => {
                        let _ = message.stream.shutdown(Shutdown::Both);
                        continue;
                    }
                };
                let _ = (&message.stream).write_all(response.as_bytes());
            }
        });
        CountingEngine { address, requests }
    }

    /// All requests that it was sent, in order.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }
}
