//! A fake discovery server, and the frames that it sends.

use crate::TEST_TIMEOUT;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A connection of a front to the discovery server.
pub struct DiscoveryConnection {
    /// Number of the last event that the front has applied.
    pub last_event: u64,
    /// The connection.
    pub stream: TcpStream,
}

/// A discovery server whose events are sent by the test.
pub struct DiscoveryServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    listener: TcpListener,
}

impl DiscoveryServer {
    /// Starts a server on a free port.
    pub fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        DiscoveryServer { address: listener.local_addr().unwrap(), listener }
    }

    /// Waits for the next connection of a front.
    pub fn next_connection(&self) -> DiscoveryConnection {
        let (mut stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut last_event = [0; 8];
        stream.read_exact(&mut last_event).unwrap();
        DiscoveryConnection { last_event: u64::from_be_bytes(last_event), stream }
    }
}

/// Encodes an event with this number that updates the given engines: id, address and state (0 active, 1 draining,
/// 2 removed).
pub fn delta_frame(number: u64, records: &[(u32, SocketAddr, u8)]) -> Vec<u8> {
    let mut frame = ((9 + 27 * records.len()) as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(2);
    for (id, address, state) in records {
        let SocketAddr::V4(address) = address else { unreachable!() };
        frame.extend(id.to_be_bytes());
        frame.extend(address.ip().octets());
        frame.extend(address.port().to_be_bytes());
        frame.extend([*state, 0, 0]);
        frame.extend(0u16.to_be_bytes());
        frame.extend(1000u32.to_be_bytes());
        frame.extend(0u64.to_be_bytes());
    }
    frame
}
