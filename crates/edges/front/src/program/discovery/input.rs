//! The receiving side of the discovery channel, and the engines that the newest update lists as active.
//!
//! The discovery client reads whenever bytes arrive, and publishes what it read to the router. After the process has
//! not run for some time, the engine driver makes it read too, just before an attempt is written. An engine that
//! started to drain meanwhile is therefore known, in whatever order the tasks run. Updates that were read for the
//! engine driver are kept, in order, until the client publishes them.

use crate::protocol::discovery::{
    self, DiscoveryError, EndpointRecord, EndpointState, EndpointUpdate, Frame, MAX_FRAME_BYTES,
};
use crate::transport::{
    self, MemoryBudget, MessageReader, Parsed, ReadError, ReadLimits, ReadStatus, Signal, Socket,
    StallDetector, with_timeout,
};
use futures_lite::FutureExt;
use lemonusher::EngineId;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};
use std::{fmt, io};

/// Time without a complete frame after which the channel counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Limit of the updates that are read and not yet published.
const MAX_UNPUBLISHED_UPDATES: usize = 64;
/// Input that was read to its end within this time is not read again before an attempt is written.
const MAX_INPUT_AGE: Duration = Duration::from_millis(10);

type FrameReader = MessageReader<fn(&[u8]) -> Result<Option<Parsed<Frame>>, DiscoveryError>>;

/// Reason why a connection to the discovery channel was closed.
pub enum ChannelLoss {
    /// The connection could not be established, or failed.
    Io(io::Error),
    /// The request for events could not be written in time.
    WriteTimeout,
    /// No frame came in time.
    Silent,
    /// The server closed the connection.
    Closed,
    /// A frame could not be read.
    Read(ReadError<DiscoveryError>),
    /// The server left events out.
    MissingEvents {
        /// Number of the event that was received.
        number: u64,
        /// Number of the last event before it.
        last_event: u64,
    },
}

impl fmt::Display for ChannelLoss {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChannelLoss::Io(error) => write!(f, "{error}"),
            ChannelLoss::WriteTimeout => write!(f, "request for events not written in time"),
            ChannelLoss::Silent => write!(f, "no frame in time"),
            ChannelLoss::Closed => write!(f, "closed by the server"),
            ChannelLoss::Read(error) => write!(f, "{error}"),
            ChannelLoss::MissingEvents { number, last_event } => {
                write!(f, "event {number} follows event {last_event}: events are missing")
            }
        }
    }
}

/// What has been read from one connection.
struct ChannelReader {
    frames: FrameReader,
    /// Updates that the client has not taken yet, in order.
    unpublished: VecDeque<Frame>,
    /// Whether a frame has been read, an empty one included.
    has_received_frame: bool,
    /// Number of the last event that was read, or that the client had published before this connection.
    last_event: u64,
    last_frame_at: Instant,
    /// When everything that had arrived was last read.
    read_at: Instant,
    /// Why no more frames are read; `None` while they are.
    end: Option<ChannelLoss>,
}

/// The receiving side of the discovery channel.
pub struct DiscoveryInput {
    /// `None` while the channel is not connected.
    reader: RefCell<Option<ChannelReader>>,
    /// Engines that the newest update lists as active, whether or not the router has received it.
    active_engines: RefCell<BTreeSet<EngineId>>,
    /// Signals the client that another task has read an update, or found the channel lost.
    read_elsewhere: Signal,
}

impl DiscoveryInput {
    /// Creates the input of a channel that is not connected.
    pub fn new() -> DiscoveryInput {
        DiscoveryInput {
            reader: RefCell::new(None),
            active_engines: RefCell::default(),
            read_elsewhere: Signal::new(),
        }
    }

    /// Whether an attempt or probe may be written to an engine: whether the newest update that has arrived lists it as
    /// active. After a stall of this process, reads what has arrived, unless that was done within [`MAX_INPUT_AGE`].
    pub fn may_receive(&self, engine: EngineId, stall_detector: &StallDetector) -> bool {
        // Without a stall, the client has run since an update arrived.
        let is_current = stall_detector.delay(Instant::now()).is_zero() || self.catch_up();
        is_current && self.active_engines.borrow().contains(&engine)
    }

    /// Reads what has arrived. Returns false if that was more than the limit of unpublished updates allows.
    fn catch_up(&self) -> bool {
        let mut reader = self.reader.borrow_mut();
        let Some(reader) = reader.as_mut().filter(|reader| reader.read_at.elapsed() > MAX_INPUT_AGE) else {
            return true;
        };
        self.read_available(reader);
        if reader.end.is_some() || !reader.unpublished.is_empty() {
            self.read_elsewhere.notify();
        }
        reader.end.is_some() || reader.unpublished.len() < MAX_UNPUBLISHED_UPDATES
    }

    /// Applies an update to the set of active engines.
    pub(super) fn apply(&self, update: &EndpointUpdate) {
        let mut active_engines = self.active_engines.borrow_mut();
        let is_active = |record: &&EndpointRecord| record.state == EndpointState::Active;
        match update {
            EndpointUpdate::Empty => {}
            EndpointUpdate::Full(records) => {
                *active_engines = records.iter().filter(is_active).map(|record| record.engine).collect();
            }
            EndpointUpdate::Delta(records) => {
                for record in records {
                    match record.state {
                        EndpointState::Active => active_engines.insert(record.engine),
                        EndpointState::Draining | EndpointState::Removed => {
                            active_engines.remove(&record.engine)
                        }
                    };
                }
            }
        }
    }

    /// Begins to read from a connection on which the events after `last_event` were requested. The reader ends when
    /// the result is dropped.
    pub fn attach(&self, socket: Socket, last_event: u64) -> AttachedReader<'_> {
        let limits = ReadLimits {
            bytes: MAX_FRAME_BYTES,
            time: SILENCE_TIMEOUT,
            memory: MemoryBudget::new(MAX_FRAME_BYTES * 2),
        };
        let now = Instant::now();
        *self.reader.borrow_mut() = Some(ChannelReader {
            frames: transport::read_messages(socket, limits, discovery::parse_frame),
            unpublished: VecDeque::new(),
            has_received_frame: false,
            last_event,
            last_frame_at: now,
            read_at: now,
            end: None,
        });
        AttachedReader { input: self }
    }

    /// Reads the frames that have arrived, up to the limit of unpublished updates.
    fn read_available(&self, reader: &mut ChannelReader) {
        while reader.end.is_none() && reader.unpublished.len() < MAX_UNPUBLISHED_UPDATES {
            match reader.frames.try_next() {
                ReadStatus::Message(frame) => self.accept_frame(reader, frame),
                ReadStatus::Pending => {
                    reader.read_at = Instant::now();
                    return;
                }
                ReadStatus::End => reader.end = Some(ChannelLoss::Closed),
                ReadStatus::Failed(error) => reader.end = Some(ChannelLoss::Read(error)),
            }
        }
    }

    /// Applies the update of a frame, unless it was applied before. An update that does not follow the last one ends
    /// the reader.
    fn accept_frame(&self, reader: &mut ChannelReader, frame: Frame) {
        reader.has_received_frame = true;
        reader.last_frame_at = Instant::now();
        let Frame { number, update } = &frame;
        if *update == EndpointUpdate::Empty || *number <= reader.last_event {
            return;
        }
        let is_full = matches!(update, EndpointUpdate::Full(_));
        if *number > reader.last_event + 1 && !is_full {
            let last_event = reader.last_event;
            reader.end = Some(ChannelLoss::MissingEvents { number: *number, last_event });
            return;
        }
        reader.last_event = *number;
        self.apply(update);
        reader.unpublished.push_back(frame);
    }
}

/// The reader of an established connection, as the discovery client uses it.
pub struct AttachedReader<'a> {
    input: &'a DiscoveryInput,
}

impl AttachedReader<'_> {
    /// Whether a frame has been read, an empty one included.
    pub fn has_received_frame(&self) -> bool {
        self.input.reader.borrow().as_ref().is_some_and(|reader| reader.has_received_frame)
    }

    /// Waits for the next update, or for the loss of the channel.
    pub async fn next_update(&self) -> Result<Frame, ChannelLoss> {
        loop {
            let (wait, silence_left) = {
                let mut reader = self.input.reader.borrow_mut();
                let Some(reader) = reader.as_mut() else { return Err(ChannelLoss::Closed) };
                self.input.read_available(reader);
                if let Some(frame) = reader.unpublished.pop_front() {
                    return Ok(frame);
                }
                if let Some(loss) = reader.end.take() {
                    return Err(loss);
                }
                (reader.frames.begin_wait(), SILENCE_TIMEOUT.saturating_sub(reader.last_frame_at.elapsed()))
            };
            if silence_left.is_zero() {
                return Err(ChannelLoss::Silent);
            }
            let readable = async { wait.readable().await.map_err(ChannelLoss::Read) };
            let read_elsewhere = async {
                let _ = self.input.read_elsewhere.wait().await;
                Ok(())
            };
            // After the timeout, what has arrived is read once more.
            with_timeout(silence_left, readable.or(read_elsewhere)).await.unwrap_or(Ok(()))?;
        }
    }
}

impl Drop for AttachedReader<'_> {
    fn drop(&mut self) {
        *self.input.reader.borrow_mut() = None;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/discovery_input.rs"]
mod tests;
