//! A relay between clients and a front that injects faults into responses, to test the judge.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Fault that the relay applies to one response in `FAULT_ONE_IN`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFault {
    /// The client receives the response twice.
    Duplicate,
    /// The client does not receive the response.
    Lose,
}

/// One response in this many is affected.
const FAULT_ONE_IN: u64 = 25;

/// Starts a relay to this front, and returns its address. It runs until the process ends.
pub(crate) fn start(front: SocketAddr, fault: RelayFault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(server) = TcpStream::connect(front) else { continue };
            let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else { continue };
            thread::spawn(move || forward(from_client, to_server, |_| 1));
            let count = count.clone();
            let copies = move |_: &str| match (count.fetch_add(1, Ordering::SeqCst) % FAULT_ONE_IN, fault) {
                (0, RelayFault::Duplicate) => 2,
                (0, RelayFault::Lose) => 0,
                _ => 1,
            };
            thread::spawn(move || forward(server, client, copies));
        }
    });
    address
}

/// Forwards lines until either side closes; `copies` returns how often each line is sent.
fn forward(from: TcpStream, mut to: TcpStream, copies: impl Fn(&str) -> usize) {
    for line in BufReader::new(from).lines().map_while(Result::ok) {
        let text = format!("{line}\n").repeat(copies(&line));
        if to.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
