//! Client connections: the memory, descriptors and processor time of a real front process while its connections are
//! idle, and while they only send heartbeats.
//!
//! A front closes a connection that is silent for six seconds, so the windows are shorter, and a connection that is to
//! stay open sends heartbeats. Memory is the process's resident size, without kernel buffers.

use crate::budget;
use crate::channel::Channel;
use crate::error::MeasureError;
use crate::front::{self, Front, FrontOptions, io};
use crate::limits::Limits;
use crate::measurement::{Measurement, Options};
use crate::need::Need;
use crate::process::{self, Figures};
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::{Metric, MetricValue, Sample, metric};
use crate::watch::Watch;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Wake-ups of the front's threads, a second.
pub const WAKEUPS: Metric = Metric::new("wakeups", "1/s");
/// Connections that are still open at the end of a run.
pub const HELD: Metric = Metric::new("held", "connections");
/// Resident memory above that of a front without clients, for each open connection.
pub const BYTES_EACH: Metric = Metric::new("memory_each", "B a connection");

/// The time over which the front is measured.
const WINDOW: Duration = Duration::from_secs(3);
const QUICK_WINDOW: Duration = Duration::from_millis(500);
/// Time between two heartbeats of a connection; shorter than the front's idle timeout of six seconds.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);
/// Pause between two checks for due heartbeats.
const STEP: Duration = Duration::from_millis(10);
/// Warm-up of a front after its start.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The lateness of the harness's own timers above which a run counts as disturbed.
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// Descriptors that a front gets for each connection: clients may use a third of them.
const DESCRIPTORS_PER_CONNECTION: u32 = 3;
/// Upper limit of the memory of a connection in both processes and the kernel, in bytes.
const MAX_BYTES_PER_CONNECTION: u64 = 64 * 1024;
/// Descriptors that either process needs in addition to its connections.
const SPARE_DESCRIPTORS: u64 = 64;
const HEARTBEAT_LINE: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"heartbeat\"}\n";

/// The activity of the connections, and the descriptors of the front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Case {
    /// Each connection sends one heartbeat and is idle from then on.
    Idle,
    /// Each connection sends heartbeats often enough to stay open.
    Heartbeat,
    /// Idle connections to a front that has the platform's 1,024 descriptors.
    Platform,
}

impl Case {
    const ALL: [Case; 3] = [Case::Idle, Case::Heartbeat, Case::Platform];

    fn name(self) -> &'static str {
        match self {
            Case::Idle => "resting",
            Case::Heartbeat => "heartbeat",
            Case::Platform => "resting, 1024 descriptors",
        }
    }

    fn descriptors(self, size: u32) -> u32 {
        let wanted = size.saturating_mul(DESCRIPTORS_PER_CONNECTION);
        let platform = budget::FRONT_DESCRIPTORS as u32;
        if self == Case::Platform { platform } else { wanted.max(platform) }
    }
}

/// Measures idle connections and heartbeats at a real front.
pub struct Connections {
    options: Options,
}

impl Connections {
    /// A measurement with these options.
    pub fn new(options: &Options) -> Self {
        Connections { options: options.clone() }
    }

    fn window(&self) -> Duration {
        if self.options.quick { QUICK_WINDOW } else { WINDOW }
    }

    fn run(&self, size: u32, case: Case) -> Result<Run, MeasureError> {
        let channel = Channel::start().map_err(io("the discovery channel"))?;
        let front_options = FrontOptions {
            channel: channel.address,
            descriptors: case.descriptors(size),
            memory_mb: budget::FRONT_MEMORY_MB as u32,
        };
        let front = Front::start(&front::program(self.options.front.as_deref())?, &front_options)?;
        std::thread::sleep(SETTLE_TIME);
        let before = process::of(front.pid())?;
        let mut clients = Clients::open(front.address, size)?;
        let watch = Watch::start(MAX_LATENESS);
        let begun = (Instant::now(), process::of(front.pid())?);
        let window = self.window();
        match case {
            Case::Heartbeat => clients.heartbeat_for(window),
            Case::Idle | Case::Platform => std::thread::sleep(window),
        }
        let after = process::of(front.pid())?;
        let span = begun.0.elapsed();
        let disturbed = watch.finish().disturbed();
        Ok(Run { size, before, begun: begun.1, after, span, held: clients.held(), disturbed })
    }
}

/// The results of one run.
struct Run {
    size: u32,
    /// Figures of the front before clients connect.
    before: Figures,
    /// Figures of the front at the start of the window.
    begun: Figures,
    /// Figures of the front at the end of the window.
    after: Figures,
    span: Duration,
    held: usize,
    disturbed: bool,
}

impl Run {
    fn values(&self) -> [MetricValue; 6] {
        let seconds = self.span.as_secs_f64();
        let processor = self.after.processor.saturating_sub(self.begun.processor).as_secs_f64();
        let wakeups = self.after.wakeups.saturating_sub(self.begun.wakeups) as f64;
        let client_bytes = self.after.resident_bytes.saturating_sub(self.before.resident_bytes) as f64;
        [
            metric::MEMORY.of(self.after.resident_bytes as f64 / f64::from(1 << 20)),
            BYTES_EACH.of(client_bytes / self.held.max(1) as f64),
            metric::DESCRIPTORS.of(self.after.descriptors as f64),
            metric::PROCESSOR.of(processor / seconds * 100.0),
            WAKEUPS.of(wakeups / seconds),
            HELD.of(self.held as f64),
        ]
    }

    fn samples(&self, case: Case) -> impl Iterator<Item = Sample> {
        self.values().into_iter().map(move |MetricValue { metric, value }| Sample {
            role: Role::Connections,
            case: case.name().to_string(),
            size: self.size,
            metric,
            value,
            disturbed: self.disturbed,
        })
    }
}

/// The connections of one run.
struct Clients {
    lines: Vec<BufReader<TcpStream>>,
}

impl Clients {
    /// Opens `count` connections and sends one heartbeat on each.
    fn open(address: SocketAddr, count: u32) -> Result<Self, MeasureError> {
        let mut lines = Vec::new();
        for _ in 0..count {
            let stream = TcpStream::connect(address).map_err(io("a connection to the front"))?;
            stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(io("a connection to the front"))?;
            let mut line = BufReader::with_capacity(256, stream);
            send_heartbeat(&mut line); // Closed connections are found by `held` at the end.
            lines.push(line);
        }
        Ok(Clients { lines })
    }

    /// Sends one heartbeat on each connection in every `HEARTBEAT_INTERVAL` period, spread evenly over it.
    fn heartbeat_for(&mut self, window: Duration) {
        let begun = Instant::now();
        let mut heartbeats_sent = 0u64;
        while begun.elapsed() < window {
            let due =
                begun.elapsed().as_secs_f64() / HEARTBEAT_INTERVAL.as_secs_f64() * self.lines.len() as f64;
            while heartbeats_sent < due as u64 {
                let index = heartbeats_sent as usize % self.lines.len();
                send_heartbeat(&mut self.lines[index]);
                heartbeats_sent += 1;
            }
            std::thread::sleep(STEP);
        }
    }

    /// The number of connections that are still open.
    fn held(self) -> usize {
        self.lines.into_iter().filter_map(|line| is_open(line.into_inner()).ok()).filter(|open| *open).count()
    }
}

/// Sends a heartbeat and reads the response; returns false if the connection is closed.
fn send_heartbeat(line: &mut BufReader<TcpStream>) -> bool {
    let mut response = String::new();
    let written = line.get_mut().write_all(HEARTBEAT_LINE);
    written.is_ok() && line.read_line(&mut response).is_ok_and(|read| read > 0)
}

/// Returns whether the peer has neither closed nor reset the connection.
fn is_open(mut stream: TcpStream) -> std::io::Result<bool> {
    stream.set_nonblocking(true)?;
    match stream.read(&mut [0]) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(true),
        Err(_) | Ok(0) => Ok(false),
        Ok(_) => Ok(true),
    }
}

/// The resources that a size needs.
fn need(size: u32) -> Need {
    Need {
        memory_bytes: u64::from(size) * MAX_BYTES_PER_CONNECTION,
        descriptors: u64::from(size) + SPARE_DESCRIPTORS,
        processes: 1,
    }
}

impl Measurement for Connections {
    fn role(&self) -> Role {
        Role::Connections
    }

    fn default_sizes(&self) -> Vec<u32> {
        vec![100, 1_000, 5_000, budget::CONNECTIONS_PER_FRONT]
    }

    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError> {
        Limits::of_this_machine()?.check(size, &need(size))?;
        let mut samples = Vec::new();
        for case in Case::ALL {
            for repeat in 0..self.options.repeats {
                progress.step(format!("{size} connections, {}, run {}", case.name(), repeat + 1));
                samples.extend(self.run(size, case)?.samples(case));
            }
        }
        Ok(samples)
    }
}
