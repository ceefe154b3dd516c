//! Graceful close of a connection. The write side is shut down first; then incoming bytes are read and dropped,
//! for a limited time, before the socket is closed. Closing a socket with unread bytes resets the connection,
//! and a reset discards bytes that were written earlier and have not been delivered.

use super::socket::{Socket, with_timeout};
use std::io::{self, Read};
use std::net::Shutdown;
use std::time::Duration;

/// Bytes read per system call.
const DISCARD_BUFFER_BYTES: usize = 4096;
/// Bytes that are read and dropped during a graceful close. A peer that sends more gets a reset.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Shuts down the write side, and drops incoming bytes until the peer closes its side as well, the timeout
/// expires or `MAX_DISCARDED_BYTES` have arrived.
pub async fn close_gracefully(socket: &Socket, timeout: Duration) {
    if socket.get_ref().shutdown(Shutdown::Write).is_ok() {
        with_timeout(timeout, discard(socket, MAX_DISCARDED_BYTES)).await;
    }
}

/// Reads and drops at most `max_bytes`. Returns true once the peer has closed its side or the connection has
/// failed, and false at the limit.
pub async fn discard(socket: &Socket, max_bytes: usize) -> bool {
    let mut remaining = max_bytes;
    while remaining > 0 {
        match discard_some(socket, remaining) {
            Ok(0) => return true,
            Ok(length) => remaining -= length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if socket.readable().await.is_err() {
                    return true;
                }
            }
            Err(_) => return true,
        }
    }
    false
}

/// Does the same as [`discard`] with the bytes that have already arrived. Returns false if the connection is
/// still open.
pub fn discard_available(socket: &Socket, max_bytes: usize) -> bool {
    let mut remaining = max_bytes;
    while remaining > 0 {
        match discard_some(socket, remaining) {
            Ok(0) => return true,
            Ok(length) => remaining -= length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
    }
    false
}

fn discard_some(socket: &Socket, max_bytes: usize) -> io::Result<usize> {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    socket.get_ref().read(&mut buffer[..DISCARD_BUFFER_BYTES.min(max_bytes)])
}
