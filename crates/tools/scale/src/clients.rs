//! Clients of a real front: each connection sends a request, waits for the response, pauses, and sends the next one.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of table groups that requests are spread over.
const TABLE_GROUPS: u64 = 256;
/// Client timeout of a request, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 4_000;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Clients that send requests until they are dropped.
#[derive(Debug)]
pub struct Clients {
    stop: Arc<AtomicBool>,
    returned: Arc<AtomicU64>,
    threads: Vec<JoinHandle<io::Result<()>>>,
}

impl Clients {
    /// Starts `count` connections, each of which waits for `pause` between a response and its next request.
    pub fn start(address: SocketAddr, count: u64, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let returned = Arc::new(AtomicU64::new(0));
        let threads = (0..count).map(|number| {
            let (stop, returned) = (stop.clone(), returned.clone());
            thread::spawn(move || run(address, number, pause, &stop, &returned))
        });
        Clients { threads: threads.collect(), stop, returned }
    }

    /// The number of requests that were answered with a result.
    pub fn returned(&self) -> u64 {
        self.returned.load(Ordering::Relaxed)
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join(); // A client ends with an error when its connection breaks.
        }
    }
}

fn run(
    address: SocketAddr,
    number: u64,
    pause: Duration,
    stop: &AtomicBool,
    returned: &AtomicU64,
) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let mut lines = BufReader::new(stream);
    let mut response = String::new();
    let mut id = 0;
    while !stop.load(Ordering::Relaxed) {
        id += 1;
        lines.get_mut().write_all(request(number, id).as_bytes())?;
        response.clear();
        if lines.read_line(&mut response)? == 0 {
            return Ok(());
        }
        if response.contains("\"result\"") {
            returned.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(pause);
    }
    Ok(())
}

/// The line of one request; successive requests are for different table groups.
fn request(client: u64, id: u64) -> String {
    let group = (id.wrapping_mul(31) + client * 17) % TABLE_GROUPS;
    let statement = STANDARD.encode(format!("select 1 from s_{group}.t"));
    let call = client << 32 | id;
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"look-up\",\"params\":{{\"call\":\"{call:016x}\",\
         \"ttl\":{CLIENT_TIMEOUT_MS},\"data\":\"{statement}\"}}}}\n"
    )
}
