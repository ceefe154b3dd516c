//! Fake engines that serve or fail at random, by their drawn health, and record every attempt that they receive.

use crate::arrival::{ReceiveTimestamps, TimedReader};
use crate::recorder::Recorder;
use crate::records::AttemptRecord;
use crate::scenario::EngineHealth;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

/// Longest service time of an attempt at a good engine, in milliseconds.
const MAX_SERVICE_MS: u64 = 40;
/// Longest service time of an attempt at a faulty engine, in milliseconds.
const MAX_SLOW_SERVICE_MS: u64 = 400;

/// Treatment of an attempt by an engine.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behavior {
    Serve(Duration),
    Reject,
    Fail,
    Reset,
    Ignore,
}

fn draw(health: EngineHealth, rng: &mut fastrand::Rng) -> Behavior {
    let serve = |max: u64, rng: &mut fastrand::Rng| Behavior::Serve(Duration::from_millis(rng.u64(..max)));
    match (health, rng.u8(..100)) {
        (EngineHealth::Silent, _) => Behavior::Ignore,
        (EngineHealth::Good, 0..96) => serve(MAX_SERVICE_MS, rng),
        (EngineHealth::Good, 96..98) | (EngineHealth::Faulty, 0..15) => Behavior::Reject,
        (EngineHealth::Good, 98) | (EngineHealth::Faulty, 15..35) => Behavior::Fail,
        (EngineHealth::Good, _) | (EngineHealth::Faulty, 35..45) => Behavior::Reset,
        (EngineHealth::Faulty, 45..60) => Behavior::Ignore,
        (EngineHealth::Faulty, _) => serve(MAX_SLOW_SERVICE_MS, rng),
    }
}

/// Starts an engine, and returns its address. Its thread ends with the first connection after the run is over, or
/// with the process.
pub(crate) fn start(recorder: &Arc<Recorder>, engine: u32, health: EngineHealth, seed: u64) -> SocketAddr {
    let timestamps = Arc::new(ReceiveTimestamps::enable().unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let recorder = recorder.clone();
    let mut seeds = fastrand::Rng::with_seed(seed ^ (u64::from(engine) << 32));
    thread::spawn(move || {
        let mut accepting_since = SystemTime::now();
        for stream in listener.incoming().map_while(Result::ok) {
            let connected_from = std::mem::replace(&mut accepting_since, SystemTime::now());
            if recorder.has_ended() {
                return;
            }
            let _ = stream.set_nodelay(true);
            let connection = Connection {
                recorder: recorder.clone(),
                engine,
                health,
                rng: seeds.fork(),
                cancelled: BTreeSet::new(),
            };
            let timestamps = timestamps.clone();
            thread::spawn(move || connection.serve(stream, connected_from, &timestamps));
        }
    });
    address
}

/// The number of bytes that follow a line: the statement of an attempt, and its line end.
fn body_length(line: &str) -> usize {
    let statement_length = || line.rsplit(' ').next()?.parse::<usize>().ok();
    if line.starts_with("serve ") { statement_length().unwrap_or(0) + 2 } else { 0 }
}

struct Connection {
    recorder: Arc<Recorder>,
    engine: u32,
    health: EngineHealth,
    rng: fastrand::Rng,
    cancelled: BTreeSet<String>,
}

impl Connection {
    fn serve(mut self, stream: TcpStream, connected_from: SystemTime, timestamps: &ReceiveTimestamps) {
        let Ok(reading) = stream.try_clone() else { return };
        let Ok(mut messages) = TimedReader::new(reading, connected_from, timestamps) else { return };
        while let Some(message) = messages.next_message(body_length) {
            let words: Vec<&str> = message.line.split(' ').collect();
            let [verb, id, ..] = words[..] else { return };
            match verb {
                "serve" => {
                    let at = self.recorder.time_of(message.received_from);
                    self.handle_attempt(id, at, &stream);
                }
                "cancel" => drop(self.cancelled.insert(id.to_owned())),
                "read" if self.cancelled.contains(id) => {
                    self.reply(&stream, format!("{id} FAULT - 0\r\n\r\n"))
                }
                "gauges" | "health" => self.reply(&stream, format!("{id} PONG use=util:0.10 0\r\n\r\n")),
                _ => {}
            }
        }
    }

    fn handle_attempt(&mut self, id: &str, at: Duration, stream: &TcpStream) {
        let behavior = draw(self.health, &mut self.rng);
        let ran = behavior != Behavior::Reject;
        self.recorder.add_attempt(AttemptRecord { engine: self.engine, call: id.to_owned(), at, ran });
        match behavior {
            Behavior::Serve(after) => {
                let Ok(stream) = stream.try_clone() else { return };
                let reply = format!(
                    "{id} HIT fetches=1,effort={},high=1 6\r\nx\ty\tz\n\r\n",
                    after.as_millis().max(1)
                );
                thread::spawn(move || {
                    thread::sleep(after);
                    let _ = (&stream).write_all(reply.as_bytes());
                });
            }
            Behavior::Reject => self.reply(stream, format!("{id} SHED - 0\r\n\r\n")),
            Behavior::Fail => self.reply(stream, format!("{id} FAULT - 0\r\n\r\n")),
            Behavior::Reset => {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Both);
            }
            Behavior::Ignore => {}
        }
    }

    fn reply(&self, mut stream: &TcpStream, reply: String) {
        if self.health != EngineHealth::Silent {
            let _ = stream.write_all(reply.as_bytes());
        }
    }
}
