//! Sockets, timeouts and byte limits, independent of any protocol. The caller passes the parser that splits the
//! bytes of a connection into messages.

mod graceful_close;
mod memory_budget;
mod message_reader;
mod signal;
mod socket;
mod stall_detector;
mod write_queue;

pub use graceful_close::{close_gracefully, discard, discard_available};
pub use memory_budget::{MemoryBudget, Reservation};
pub use message_reader::{MessageReader, Parsed, ReadError, ReadLimits, ReadStatus, read_messages};
pub use signal::Signal;
pub use socket::{Socket, connect, has_unread, is_closed_by_peer, listen, with_timeout};
pub use stall_detector::StallDetector;
pub use write_queue::WriteQueue;
