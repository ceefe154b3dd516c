//! The log's form in bytes: a header line, then a frame for each record: the payload's length and its CRC-32, four
//! bytes each in little-endian order, and the payload, which is JSON.
//!
//! The rule: a tail that a crash has cut short is left out. Anything else that does not read is corruption, and such a
//! log is not used, as what follows the corrupt place may have been acknowledged.

use super::Record;
use std::fmt;

/// The first line of every log.
pub const HEADER: &[u8] = b"lemonusher-state 1\n";
/// Bytes of a frame before its payload.
const PREFIX_BYTES: usize = 8;
/// The longest payload of a frame.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024 * 1024;

/// A record as it stands in the log.
pub fn encode_record(record: &Record) -> Vec<u8> {
    let payload = serde_json::to_vec(record).unwrap_or_default();
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// What a log holds.
#[derive(Debug, Clone, PartialEq)]
pub struct LogContents {
    /// All complete records, in order.
    pub records: Vec<Record>,
    /// Bytes up to the end of the last complete record; what follows was cut short by a crash.
    pub valid_length: usize,
}

/// Why a log can't be trusted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogCorruption {
    /// The byte at which it was found.
    pub offset: usize,
    /// What was found there.
    pub corruption: Corruption,
}

/// What is wrong at a place in a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Corruption {
    /// The header is another one.
    NoHeader,
    /// Bytes that are no frame, with a complete record behind them.
    RecordBehind {
        /// The byte at which that record begins.
        offset: usize,
    },
    /// A frame with the right checksum, whose payload is no record; the parser's message.
    NoRecord(String),
}

impl fmt::Display for LogCorruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "spoilt at byte {}: {}", self.offset, self.corruption)
    }
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Corruption::NoHeader => f.write_str("this is no log of the front's state"),
            Corruption::RecordBehind { offset } => {
                write!(f, "a whole record stands behind, at byte {offset}")
            }
            Corruption::NoRecord(message) => f.write_str(message),
        }
    }
}

/// Reads a log, without a tail that was cut short.
pub fn read_log(bytes: &[u8]) -> Result<LogContents, LogCorruption> {
    if bytes.len() < HEADER.len() && HEADER.starts_with(bytes) {
        return Ok(LogContents { records: Vec::new(), valid_length: 0 });
    }
    if !bytes.starts_with(HEADER) {
        return Err(LogCorruption { offset: 0, corruption: Corruption::NoHeader });
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
                let corruption = Corruption::NoRecord(error.to_string());
                return Err(LogCorruption { offset, corruption });
            }
        }
        offset += PREFIX_BYTES + payload.len();
    }
    Ok(LogContents { records, valid_length: offset })
}

/// Bytes that are no frame are a tail that was cut short, unless a complete record stands behind them.
fn check_tail(bytes: &[u8], offset: usize) -> Result<(), LogCorruption> {
    let record_behind =
        (offset + 1..bytes.len()).find(|next| frame_payload(&bytes[*next..]).is_some_and(is_record));
    match record_behind {
        None => Ok(()),
        Some(next) => Err(LogCorruption { offset, corruption: Corruption::RecordBehind { offset: next } }),
    }
}

fn is_record(payload: &[u8]) -> bool {
    serde_json::from_slice::<Record>(payload).is_ok()
}

/// The payload of the frame with which the bytes begin; none if there is no complete frame with the right checksum.
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
