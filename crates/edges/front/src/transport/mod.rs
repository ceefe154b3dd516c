//! Sockets, deadlines and byte limits. Nothing here knows a word of any protocol: what stands on a
//! connection is cut into messages by a function that the caller brings.

mod graceful_close;
mod memory_budget;
mod stall_detector;
mod write_queue;

pub use graceful_close::{close_gracefully, discard, discard_available};
pub use memory_budget::{MemoryBudget, Reservation};
pub use stall_detector::StallDetector;
pub use write_queue::WriteQueue;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::fmt;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One TCP connection, shared by what reads and what writes.
pub type Socket = Arc<Async<TcpStream>>;

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Listens with a queue long enough for a rush of clients between two turns of the loop.
pub fn listen(address: SocketAddr, backlog: i32) -> io::Result<Async<TcpListener>> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Async::new(TcpListener::from(socket))
}

/// A connection that is up within the limit.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Socket> {
    let connected = with_timeout(timeout, Async::<TcpStream>::connect(address)).await;
    let stream = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Arc::new(stream))
}

/// Whether something has come on a connection that nobody has read yet.
pub fn has_unread(socket: &Socket) -> bool {
    socket.get_ref().peek(&mut [0]).is_ok_and(|bytes| bytes > 0)
}

/// What the future yields, if it does so within the limit.
pub async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(timeout).await;
        None
    };
    async { Some(future.await) }.or(late).await
}

/// Why no further message comes from a connection.
#[derive(Debug)]
pub enum ReadError<E> {
    Io(io::Error),
    /// It ended in the middle of a message.
    Truncated,
    /// A message is longer than the limit.
    TooLong,
    /// All that has come in part, on all connections, takes more than there is room for.
    NoMemory,
    /// A message has begun and does not come to its end.
    Slow,
    /// The bytes are no message.
    Malformed(E),
}

impl<E: fmt::Display> fmt::Display for ReadError<E> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ReadError::Io(error) => write!(f, "{error}"),
            ReadError::Truncated => write!(f, "ended in the middle of a message"),
            ReadError::TooLong => write!(f, "message too long"),
            ReadError::NoMemory => write!(f, "no room for a message as long as this one"),
            ReadError::Slow => write!(f, "a message does not come to its end"),
            ReadError::Malformed(error) => write!(f, "{error}"),
        }
    }
}

/// What a message may take up until it has come whole.
#[derive(Clone)]
pub struct ReadLimits {
    pub bytes: usize,
    /// Time from its first byte to its last.
    pub time: Duration,
    /// Bytes that all connections share; the first few of each are its own.
    pub memory: Rc<MemoryBudget>,
}

/// The messages that come on a connection. Nothing is lost where a wait of theirs is dropped.
pub struct MessageReader<C> {
    socket: Socket,
    bytes: Vec<u8>,
    start: usize,
    bounds: ReadLimits,
    reservation: Reservation,
    /// When the message that comes now began.
    message_began: Option<Instant>,
    parse: C,
    ended: bool,
}

/// What has come on a connection so far.
pub enum ReadStatus<T, E> {
    Message(T),
    /// Not yet a further message.
    Pending,
    /// The other side says no more.
    End,
    ReadError(ReadError<E>),
}

/// The messages that come on a connection. `cut` is given what has come and yields the first whole message
/// and its length, if there is one. A connection on which a message goes past its bounds is broken.
pub fn read_messages<T, E, C>(socket: Socket, bounds: ReadLimits, parse: C) -> MessageReader<C>
where
    C: FnMut(&[u8]) -> Result<Option<(usize, T)>, E>,
{
    let reservation = Reservation::new(bounds.memory.clone());
    MessageReader {
        socket,
        bytes: Vec::new(),
        start: 0,
        bounds,
        reservation,
        message_began: None,
        parse,
        ended: false,
    }
}

impl<C> MessageReader<C> {
    /// The next message, waited for; `None` at the end, and after a fault.
    pub async fn next<T, E>(&mut self) -> Option<Result<T, ReadError<E>>>
    where
        C: FnMut(&[u8]) -> Result<Option<(usize, T)>, E>,
    {
        loop {
            match self.try_next() {
                ReadStatus::Message(message) => return Some(Ok(message)),
                ReadStatus::End => return None,
                ReadStatus::ReadError(error) => return Some(Err(error)),
                ReadStatus::Pending => {}
            }
            if let Err(error) = self.wait_for_more().await {
                self.ended = true;
                return Some(Err(error));
            }
        }
    }

    /// The next message, if it has come.
    pub fn try_next<T, E>(&mut self) -> ReadStatus<T, E>
    where
        C: FnMut(&[u8]) -> Result<Option<(usize, T)>, E>,
    {
        if self.ended {
            return ReadStatus::End;
        }
        let try_next = self.take();
        self.ended = matches!(try_next, ReadStatus::End | ReadStatus::ReadError(_));
        try_next
    }

    /// Whether a message has come in part.
    pub fn has_partial(&self) -> bool {
        self.bytes.len() > self.start
    }

    fn take<T, E>(&mut self) -> ReadStatus<T, E>
    where
        C: FnMut(&[u8]) -> Result<Option<(usize, T)>, E>,
    {
        loop {
            let waiting = &self.bytes[self.start..];
            if !waiting.is_empty() {
                match (self.parse)(waiting) {
                    Ok(Some((length, message))) => {
                        self.start += length;
                        self.message_began = None;
                        return ReadStatus::Message(message);
                    }
                    Ok(None) => {}
                    Err(error) => return ReadStatus::ReadError(ReadError::Malformed(error)),
                }
            }
            if waiting.len() >= self.bounds.bytes {
                return ReadStatus::ReadError(ReadError::TooLong);
            }
            self.bytes.drain(..self.start);
            self.start = 0;
            if self.bytes.is_empty() {
                self.bytes = Vec::new(); // An idle connection holds no memory.
            }
            let mut read = [0; READ_BUFFER_BYTES];
            let most = READ_BUFFER_BYTES.min(self.bounds.bytes - self.bytes.len());
            match self.socket.get_ref().read(&mut read[..most]) {
                Ok(0) if self.bytes.is_empty() => return ReadStatus::End,
                Ok(0) => return ReadStatus::ReadError(ReadError::Truncated),
                Ok(length) => self.bytes.extend_from_slice(&read[..length]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadStatus::Pending,
                Err(error) => return ReadStatus::ReadError(ReadError::Io(error)),
            }
            if !self.reservation.resize(self.bytes.capacity().saturating_sub(READ_BUFFER_BYTES)) {
                return ReadStatus::ReadError(ReadError::NoMemory);
            }
        }
    }

    /// Waits until more has come, or the message that has begun takes too long.
    pub async fn wait_for_more<E>(&mut self) -> Result<(), ReadError<E>> {
        if !self.has_partial() {
            return self.socket.readable().await.map_err(ReadError::Io);
        }
        let message_began = *self.message_began.get_or_insert_with(Instant::now);
        let left = self.bounds.time.saturating_sub(message_began.elapsed());
        with_timeout(left, self.socket.readable()).await.ok_or(ReadError::Slow)?.map_err(ReadError::Io)
    }
}
