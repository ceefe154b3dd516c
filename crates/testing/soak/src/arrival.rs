//! Reads the messages of a TCP connection, and bounds from below when the kernel received each.
//!
//! The reading thread may run late, so the time of its read proves nothing. The kernel states a receive time for
//! each read, but one time only: that of the last segment. Segments that wait in the receive queue are merged, so
//! messages that are read together have no time of their own, except the last. For the others, the bound is the
//! last time at which the queue was found empty.
//!
//! The kernel stamps packets only while some socket asks for it, and starts to a moment after the first one has.
//! [`ReceiveTimestamps`] waits for this moment, and keeps the stamps on.

use nix::cmsg_space;
use nix::errno::Errno;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime};

/// Bytes read per system call: more than the front has under way on a connection at a time.
const READ_BYTES: usize = 256 * 1024;

/// Longest wait for the kernel to start to stamp packets.
const MAX_ENABLE_TIME: Duration = Duration::from_secs(10);

/// Keeps the kernel's receive timestamps on: while this exists, every packet has one.
pub struct ReceiveTimestamps {
    _stamped: TcpStream,
}

impl ReceiveTimestamps {
    /// Turns the timestamps on, and returns once a packet has had one.
    pub fn enable() -> io::Result<ReceiveTimestamps> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut writer = TcpStream::connect(listener.local_addr()?)?;
        writer.set_nodelay(true)?;
        let stamped = listener.accept()?.0;
        setsockopt(&stamped, ReceiveTimestampns, &true)?;
        let started_at = Instant::now();
        while started_at.elapsed() < MAX_ENABLE_TIME {
            writer.write_all(&[0])?;
            if receive(&stamped, &mut [0], MsgFlags::empty())?.1.is_some() {
                return Ok(ReceiveTimestamps { _stamped: stamped });
            }
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

/// A message: its first line without the line end, and the earliest time at which the kernel can have received it.
#[derive(Debug, PartialEq, Eq)]
pub struct TimedMessage {
    /// The first line, without its end.
    pub line: String,
    /// The earliest time at which the kernel can have received it.
    pub received_from: SystemTime,
}

/// Times of one read.
#[derive(Clone, Copy)]
struct ReadTimes {
    /// When the receive queue was last found empty before the read.
    empty_at: SystemTime,
    /// When the last of the read's bytes was received.
    received_at: SystemTime,
}

/// The receiving side of a connection.
pub struct TimedReader {
    stream: TcpStream,
    /// Bytes that have been read and do not belong to a returned message.
    bytes: Vec<u8>,
    buffer: Vec<u8>,
    last_read: ReadTimes,
}

impl TimedReader {
    /// Wraps a connection that was established at `connected_from` at the earliest, while the timestamps were on, and
    /// from which nothing has been read.
    pub fn new(
        stream: TcpStream,
        connected_from: SystemTime,
        _timestamps: &ReceiveTimestamps,
    ) -> io::Result<TimedReader> {
        setsockopt(&stream, ReceiveTimestampns, &true)?;
        let last_read = ReadTimes { empty_at: connected_from, received_at: connected_from };
        Ok(TimedReader { stream, bytes: Vec::new(), buffer: vec![0; READ_BYTES], last_read })
    }

    /// Waits for the next message; `None` at the end of the connection. `body_length` returns how many bytes follow
    /// the line that it is given; they are dropped.
    pub fn next_message(&mut self, body_length: impl Fn(&str) -> usize) -> Option<TimedMessage> {
        if self.bytes.is_empty() {
            self.read().ok()?;
        }
        let first_read = self.last_read;
        let end_of_first_read = self.bytes.len();
        loop {
            if let Some(line_length) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let line = String::from_utf8_lossy(&self.bytes[..line_length]).trim_end().to_owned();
                let length = line_length + 1 + body_length(&line);
                if length <= self.bytes.len() {
                    self.bytes.drain(..length);
                    let is_last = length >= end_of_first_read;
                    let received_from = if is_last { first_read.received_at } else { first_read.empty_at };
                    return Some(TimedMessage { line, received_from });
                }
            }
            self.read().ok()?;
        }
    }

    /// Waits for bytes, and reads all that have arrived. Fails at the end of the connection.
    fn read(&mut self) -> io::Result<()> {
        let mut empty_at = self.last_read.empty_at;
        let (length, received_at) = match receive(&self.stream, &mut self.buffer, MsgFlags::MSG_DONTWAIT) {
            Err(Errno::EAGAIN) => {
                empty_at = SystemTime::now();
                receive(&self.stream, &mut self.buffer, MsgFlags::empty())?
            }
            received => received?,
        };
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.bytes.extend_from_slice(&self.buffer[..length]);
        // A time that is missing or was taken before the clock was set proves nothing.
        let received_at = received_at.unwrap_or(empty_at).max(empty_at);
        self.last_read = ReadTimes { empty_at, received_at };
        Ok(())
    }
}

/// Receives bytes, and the receive time of the last of them where the kernel states one.
fn receive(
    stream: &TcpStream,
    buffer: &mut [u8],
    flags: MsgFlags,
) -> Result<(usize, Option<SystemTime>), Errno> {
    loop {
        let mut control = cmsg_space!(TimeSpec);
        let mut slices = [IoSliceMut::new(buffer)];
        match recvmsg::<()>(stream.as_raw_fd(), &mut slices, Some(&mut control), flags) {
            Err(Errno::EINTR) => {}
            Err(error) => return Err(error),
            Ok(message) => return Ok((message.bytes, message.cmsgs()?.find_map(receive_time))),
        }
    }
}

/// The time in a control message with a receive timestamp.
fn receive_time(message: ControlMessageOwned) -> Option<SystemTime> {
    let ControlMessageOwned::ScmTimestampns(time) = message else { return None };
    Some(SystemTime::UNIX_EPOCH + Duration::from(time))
}
