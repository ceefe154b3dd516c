//! Engines for a real front: one listener stands in for any number of them. It replies to each request and probe at
//! once, and counts requests.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

/// The reply to a request, with its reported cost and its row.
const HIT: &str = "HIT fetches=1,effort=20,high=1 6\r\nx\ty\tz\n\r\n";
const REPORT: &str = "PONG use=busy:0.2 0\r\n\r\n";
/// Upper limit of the statement bytes that are read.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Requests received so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReceivedRequests {
    /// The number of requests.
    pub requests: u64,
    /// Arrival time of the first request.
    pub first: Option<Instant>,
    /// Arrival time of the last request.
    pub last: Option<Instant>,
}

/// A listener that stands in for engines.
#[derive(Debug)]
pub struct Engines {
    /// The address of the listener.
    pub address: SocketAddrV4,
    received: Arc<Mutex<ReceivedRequests>>,
}

impl Engines {
    /// Starts the listener.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::Error::other("the listener has no IPv4 address"));
        };
        let received: Arc<Mutex<ReceivedRequests>> = Arc::default();
        let counting = Arc::downgrade(&received);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Some(received) = counting.upgrade() else { return };
                if let Ok(stream) = stream {
                    thread::spawn(move || serve(stream, &received));
                }
            }
        });
        Ok(Engines { address, received })
    }

    /// The requests received since the start or the last reset.
    pub fn received(&self) -> ReceivedRequests {
        *self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets the counters.
    pub fn reset(&self) {
        *self.received.lock().unwrap_or_else(PoisonError::into_inner) = ReceivedRequests::default();
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        self.received = Arc::default();
        let _ = TcpStream::connect(self.address); // Wakes the accepting thread, which then ends.
    }
}

/// Replies until the front closes the connection.
fn serve(stream: TcpStream, received: &Mutex<ReceivedRequests>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if lines.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["serve", id, _, length] => {
                let length = length.parse::<usize>().unwrap_or(0).min(MAX_BODY_BYTES);
                lines.read_exact(&mut vec![0; length + 2])?;
                count(received);
                out.write_all(format!("{id} {HIT}").as_bytes())?;
            }
            ["gauges" | "health", tag] => out.write_all(format!("{tag} {REPORT}").as_bytes())?,
            _ => {}
        }
    }
}

fn count(received: &Mutex<ReceivedRequests>) {
    let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    received.requests += 1;
    received.first.get_or_insert(now);
    received.last = Some(now);
}
