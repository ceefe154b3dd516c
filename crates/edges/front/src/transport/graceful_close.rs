//! Graceful close of a connection: its writing side is shut, what still comes is read and dropped for a bounded time, and
//! only then is it closed. Closing over unread bytes resets the connection, and a reset discards what was written before
//! and has not arrived.

use super::socket::{Socket, with_timeout};
use std::io::{self, Read};
use std::net::Shutdown;
use std::time::Duration;

/// Bytes read at once.
const DISCARD_BUFFER_BYTES: usize = 4096;
/// Bytes that are read and dropped while a connection ends; one that sends more is closed over them.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Shuts the writing side, and drops what comes until the other side has ended too or the timeout has passed.
pub async fn close_gracefully(socket: &Socket, timeout: Duration) {
    if socket.get_ref().shutdown(Shutdown::Write).is_ok() {
        with_timeout(timeout, discard(socket, MAX_DISCARDED_BYTES)).await;
    }
}

/// Reads and drops at most so many bytes; true once the other side has ended.
pub async fn discard(socket: &Socket, max_bytes: usize) -> bool {
    let mut left = max_bytes;
    while left > 0 {
        match discard_some(socket, left) {
            Ok(0) => return true,
            Ok(length) => left -= length,
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

/// The same without waiting for more.
pub fn discard_available(socket: &Socket, max_bytes: usize) -> bool {
    let mut left = max_bytes;
    while left > 0 {
        match discard_some(socket, left) {
            Ok(0) => return true,
            Ok(length) => left -= length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
    }
    false
}

fn discard_some(socket: &Socket, max_bytes: usize) -> io::Result<usize> {
    let mut piece = [0; DISCARD_BUFFER_BYTES];
    socket.get_ref().read(&mut piece[..DISCARD_BUFFER_BYTES.min(max_bytes)])
}
