//! The log's byte format: a header line, then one frame for each record. A frame is the payload's length in
//! bytes and its CRC-32, each as a 32-bit little-endian integer, followed by the payload, which is JSON.
//!
//! Bytes that are not a valid frame are ignored if no complete record follows, because a crash may have
//! truncated a frame at the end. If a complete record follows, they are corruption, because that record may
//! have been acknowledged; the whole log is then rejected. So is a log with an invalid header, or with a frame
//! whose checksum is correct but whose payload is not a record.

use super::Record;
use std::fmt;

/// The first line of every log.
pub const HEADER: &[u8] = b"lemonusher-state 1\n";
/// Length of a frame's prefix: payload length and checksum.
const PREFIX_BYTES: usize = 8;
/// The longest payload of a frame. Bytes that state a greater length are not a valid frame.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024 * 1024;

/// Encodes a record as a frame.
pub fn encode_record(record: &Record) -> Vec<u8> {
    let payload = serde_json::to_vec(record).unwrap_or_default();
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// The records read from a log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogContents {
    /// All complete records, in order.
    pub records: Vec<Record>,
    /// Length in bytes up to the end of the last complete record. The rest is ignored as a truncated tail.
    pub valid_length: usize,
}

/// A corruption, with its position in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogCorruption {
    /// The offset in bytes at which it was found.
    pub offset: usize,
    /// The kind of corruption.
    pub corruption: Corruption,
}

/// The kinds of corruption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Corruption {
    /// The log does not begin with [`HEADER`].
    InvalidHeader,
    /// Bytes that are not a valid frame but are followed by a complete record, so a crash can't have
    /// truncated them.
    FollowedByRecord {
        /// The offset in bytes at which that record begins.
        offset: usize,
    },
    /// A frame whose checksum is correct but whose payload is not a record; the JSON parser's message.
    InvalidRecord(String),
}

impl fmt::Display for LogCorruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "corrupt at byte {}: {}", self.offset, self.corruption)
    }
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Corruption::InvalidHeader => f.write_str("the header is not that of a state log"),
            Corruption::FollowedByRecord { offset } => {
                write!(f, "an invalid frame is followed by a complete record at byte {offset}")
            }
            Corruption::InvalidRecord(message) => f.write_str(message),
        }
    }
}

/// Reads all complete records of a log and ignores a tail that was truncated by a crash.
pub fn read_log(bytes: &[u8]) -> Result<LogContents, LogCorruption> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        return Ok(LogContents { records: Vec::new(), valid_length: 0 });
    }
    if !bytes.starts_with(HEADER) {
        return Err(LogCorruption { offset: 0, corruption: Corruption::InvalidHeader });
    }
    let mut offset = HEADER.len();
    let mut records = Vec::new();
    while offset < bytes.len() {
        let Some(payload) = frame_payload(&bytes[offset..]) else {
            check_tail(bytes, offset)?;
            break;
        };
        match serde_json::from_slice(payload) {
            Ok(record) => records.push(record),
            Err(error) => {
                let corruption = Corruption::InvalidRecord(error.to_string());
                return Err(LogCorruption { offset, corruption });
            }
        }
        offset += PREFIX_BYTES + payload.len();
    }
    Ok(LogContents { records, valid_length: offset })
}

/// Checks that the bytes from `offset`, which are not a valid frame, are a truncated tail: no complete record
/// begins anywhere after them.
fn check_tail(bytes: &[u8], offset: usize) -> Result<(), LogCorruption> {
    let next_record =
        (offset + 1..bytes.len()).find(|next| frame_payload(&bytes[*next..]).is_some_and(is_record));
    match next_record {
        None => Ok(()),
        Some(next) => {
            Err(LogCorruption { offset, corruption: Corruption::FollowedByRecord { offset: next } })
        }
    }
}

fn is_record(payload: &[u8]) -> bool {
    serde_json::from_slice::<Record>(payload).is_ok()
}

/// The payload of the frame at the start of the bytes; `None` unless the frame is complete, not empty and its
/// checksum is correct. A length of 0 is refused because zeros are space that the file system allocated but
/// never wrote.
fn frame_payload(bytes: &[u8]) -> Option<&[u8]> {
    let number = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let length = number(0)? as usize;
    let checksum = number(4)?;
    if length == 0 || length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let payload = bytes.get(PREFIX_BYTES..PREFIX_BYTES + length)?;
    (crc32fast::hash(payload) == checksum).then_some(payload)
}
