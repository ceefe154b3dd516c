//! Fake engines that reply by themselves, and record the requests that they receive.

use crate::engine::Engine;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Reaction of a counting engine to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineBehavior {
    /// Replies with a result that reports 1 ms of work.
    Result,
    /// Replies with a result that reports this many milliseconds of work.
    ResultAfterWork(u32),
    /// Replies with a failure.
    Fail,
    /// Rejects the request without running it.
    Reject,
    /// Closes the connection.
    CloseConnection,
}

fn result(id: &str, work_ms: u32) -> String {
    format!("{id} HIT fetches=1,effort={work_ms},high=1 6\r\nx\ty\tz\n\r\n")
}

/// A request that a counting engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// When it arrived.
    pub at: Instant,
    /// Id of the request.
    pub id: String,
}

/// An engine that replies by itself and records its requests.
pub struct CountingEngine {
    /// Address that it listens on.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl CountingEngine {
    /// Starts an engine on a free port. `behavior` is called with the number of each request, from 0.
    pub fn start(behavior: impl Fn(usize) -> EngineBehavior + Send + Sync + 'static) -> CountingEngine {
        let engine = Engine::start();
        let requests: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let (address, recorded) = (engine.address, requests.clone());
        thread::spawn(move || {
            while let Ok(message) = engine.messages.recv() {
                if message.command != "serve" {
                    continue;
                }
                let number = {
                    let mut recorded = recorded.lock().unwrap();
                    recorded.push(ReceivedRequest { at: Instant::now(), id: message.id.clone() });
                    recorded.len() - 1
                };
                // Ignores errors: the front may have exited.
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

    /// All requests that were received, in order.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }
}
