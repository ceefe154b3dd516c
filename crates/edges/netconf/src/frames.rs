//! The two framings of RFC 6242: the end-of-message delimiter of NETCONF 1.0 and the chunked framing of NETCONF 1.1.

use std::fmt;

const END_OF_MESSAGE: &[u8] = b"]]>]]>";
/// The length of the longest chunk header, `\n#4294967295\n`.
const MAX_CHUNK_HEADER_BYTES: usize = 13;

/// How messages are framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The delimiter `]]>]]>` after each message: NETCONF 1.0, and all hello messages.
    EndOfMessage,
    /// Chunks with a length header: NETCONF 1.1.
    Chunked,
}

/// A stream of bytes can't be split into messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// A message exceeds the length limit.
    MessageTooLong,
    /// A chunk header is malformed, or a message ends without a chunk.
    BadChunk,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            FramingError::MessageTooLong => "message exceeds the length limit",
            FramingError::BadChunk => "malformed chunk framing (RFC 6242)",
        })
    }
}

/// Splits a stream of bytes into messages.
#[derive(Debug)]
pub struct Framer {
    framing: Framing,
    /// Received bytes that are not part of a message yet.
    bytes: Vec<u8>,
    /// Number of bytes at the start that can't be the beginning of the end-of-message delimiter.
    searched: usize,
    /// The data of the current message's chunks so far.
    message: Vec<u8>,
    /// Bytes of the current chunk that have not been received yet.
    chunk_remaining: usize,
    max_message_bytes: usize,
}

impl Framer {
    /// Creates a framer that starts with end-of-message framing. `max_message_bytes` limits each message.
    pub fn new(max_message_bytes: usize) -> Framer {
        Framer {
            framing: Framing::EndOfMessage,
            bytes: Vec::new(),
            searched: 0,
            message: Vec::new(),
            chunk_remaining: 0,
            max_message_bytes,
        }
    }

    /// Sets the framing of the bytes that follow the last message.
    pub fn set_framing(&mut self, framing: Framing) {
        (self.framing, self.searched) = (framing, 0);
    }

    /// The number of bytes that are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() + self.message.len()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete message, if there is one.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        match self.framing {
            Framing::EndOfMessage => self.next_delimited(),
            Framing::Chunked => self.next_chunked(),
        }
    }

    fn next_delimited(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        let found = self.bytes[self.searched..]
            .windows(END_OF_MESSAGE.len())
            .position(|window| window == END_OF_MESSAGE);
        let Some(at) = found.map(|at| at + self.searched) else {
            self.searched = self.bytes.len().saturating_sub(END_OF_MESSAGE.len() - 1);
            return if self.bytes.len() > self.max_message_bytes {
                Err(FramingError::MessageTooLong)
            } else {
                Ok(None)
            };
        };
        let mut message: Vec<u8> = self.bytes.drain(..at + END_OF_MESSAGE.len()).collect();
        message.truncate(at);
        self.searched = 0;
        if message.len() > self.max_message_bytes {
            Err(FramingError::MessageTooLong)
        } else {
            Ok(Some(message))
        }
    }

    fn next_chunked(&mut self) -> Result<Option<Vec<u8>>, FramingError> {
        loop {
            if self.chunk_remaining > 0 {
                let take = self.chunk_remaining.min(self.bytes.len());
                self.message.extend(self.bytes.drain(..take));
                self.chunk_remaining -= take;
                if self.chunk_remaining > 0 {
                    return Ok(None);
                }
            }
            let Some(header) = self.chunk_header()? else { return Ok(None) };
            self.bytes.drain(..header.header_bytes);
            match header.chunk_bytes {
                None if self.message.is_empty() => return Err(FramingError::BadChunk),
                None => return Ok(Some(std::mem::take(&mut self.message))),
                Some(length) if self.message.len() + length > self.max_message_bytes => {
                    return Err(FramingError::MessageTooLong);
                }
                Some(length) => self.chunk_remaining = length,
            }
        }
    }

    /// Parses the next chunk header, without removing it; None while it is incomplete.
    fn chunk_header(&self) -> Result<Option<ChunkHeader>, FramingError> {
        let bytes = &self.bytes[..self.bytes.len().min(MAX_CHUNK_HEADER_BYTES)];
        if !b"\n#".starts_with(&bytes[..bytes.len().min(2)]) {
            return Err(FramingError::BadChunk);
        }
        if bytes.len() < 3 {
            return Ok(None);
        }
        let end = bytes[2..].iter().position(|byte| *byte == b'\n').map(|at| at + 2);
        let Some(end) = end else {
            let valid = bytes[2] == b'#' || bytes[2..].iter().all(u8::is_ascii_digit);
            return if valid && bytes.len() < MAX_CHUNK_HEADER_BYTES {
                Ok(None)
            } else {
                Err(FramingError::BadChunk)
            };
        };
        let line = &bytes[2..end];
        if line == b"#" {
            return Ok(Some(ChunkHeader { chunk_bytes: None, header_bytes: end + 1 }));
        }
        let number = std::str::from_utf8(line).ok().filter(|text| !text.starts_with(['0', '+']));
        let number = number.and_then(|text| text.parse::<u32>().ok()).ok_or(FramingError::BadChunk)?;
        Ok(Some(ChunkHeader { chunk_bytes: Some(number as usize), header_bytes: end + 1 }))
    }
}

/// A chunk header or the end-of-chunks marker.
struct ChunkHeader {
    /// The length of the chunk's data; None for the end-of-chunks marker.
    chunk_bytes: Option<usize>,
    header_bytes: usize,
}

/// Frames a message for sending.
pub fn frame(framing: Framing, message: &str) -> Vec<u8> {
    match framing {
        Framing::EndOfMessage => [message.as_bytes(), END_OF_MESSAGE].concat(),
        Framing::Chunked => format!("\n#{}\n{message}\n##\n", message.len()).into_bytes(),
    }
}
