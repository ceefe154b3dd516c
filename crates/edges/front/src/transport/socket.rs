//! TCP sockets: listening, connecting, and timeouts.

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A TCP connection, shared by its reader and its writer.
pub type Socket = Arc<Async<TcpStream>>;

/// Listens with the given accept queue length, which has to hold the connections that arrive in a burst between
/// two iterations of the event loop.
pub fn listen(address: SocketAddr, backlog: i32) -> io::Result<Async<TcpListener>> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Async::new(TcpListener::from(socket))
}

/// Connects, with a timeout, and disables Nagle's algorithm.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Socket> {
    let connected = with_timeout(timeout, Async::<TcpStream>::connect(address)).await;
    let stream = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Arc::new(stream))
}

/// Returns whether bytes have arrived that have not been read yet.
pub fn has_unread(socket: &Socket) -> bool {
    socket.get_ref().peek(&mut [0]).is_ok_and(|bytes| bytes > 0)
}

/// Returns whether the peer has closed its side, or the connection has failed, and no byte is left to read.
pub fn is_closed_by_peer(socket: &Socket) -> bool {
    match socket.get_ref().peek(&mut [0]) {
        Ok(bytes) => bytes == 0,
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

/// Waits for the future. Returns `None` if the timeout expires first.
pub async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    async { Some(future.await) }.or(timed_out).await
}
