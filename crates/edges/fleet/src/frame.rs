//! The envelope of a datagram: the sender, the sequence number, and an authentication tag that only a process
//! with the fleet's key can compute. The frame is encoded with postcard and followed by the tag, a keyed
//! BLAKE3 hash of the encoded frame, truncated to 16 bytes.

use crate::body::Body;
use lemonusher_leases::Incarnation;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Length of the authentication tag, in bytes.
const TAG_BYTES: usize = 16;

/// The key that all fronts of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key")
    }
}

impl FleetKey {
    /// Derives the key from the bytes of a key file, which must be hard to guess.
    pub fn new(secret: &[u8]) -> FleetKey {
        FleetKey(blake3::derive_key("lemonusher 2026-12 talk between fronts", secret))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// The authenticated content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Incarnation,
    /// Sequence number within the sender's incarnation, starting at 1.
    pub sequence: u64,
    /// The sender's [`config_fingerprint`](crate::config_fingerprint); a receiver with another one drops the datagram.
    pub config_fingerprint: u64,
    /// The message.
    pub body: Body,
}

/// Why a datagram can't be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenError {
    /// The datagram is too short, too long, or has a wrong authentication tag.
    Unauthenticated,
    /// The datagram is sealed with this fleet's key but can't be decoded.
    Malformed,
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            OpenError::Unauthenticated => "the datagram is not authenticated by this fleet's key",
            OpenError::Malformed => "the datagram can't be decoded",
        })
    }
}

impl std::error::Error for OpenError {}

impl Frame {
    /// Encodes the frame and appends its tag; none if the datagram would exceed `MAX_DATAGRAM_BYTES`. The
    /// limits on names, values and rows keep every message of a front below that.
    pub fn seal(&self, key: &FleetKey) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self).ok()?;
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Checks the tag of a datagram and decodes it.
    pub fn open(bytes: &[u8], key: &FleetKey) -> Result<Frame, OpenError> {
        let tag_at = bytes.len().checked_sub(TAG_BYTES).filter(|_| bytes.len() <= MAX_DATAGRAM_BYTES);
        let (payload, tag) = bytes.split_at(tag_at.ok_or(OpenError::Unauthenticated)?);
        // `blake3::Hash` is compared in constant time, so the time does not reveal how much of the tag was
        // right.
        if blake3::Hash::from_bytes(padded(&key.tag(payload))) != blake3::Hash::from_bytes(padded(tag)) {
            return Err(OpenError::Unauthenticated);
        }
        postcard::from_bytes(payload).map_err(|_| OpenError::Malformed)
    }
}

fn padded(tag: &[u8]) -> [u8; 32] {
    let mut padded = [0; 32];
    padded[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
    padded
}

#[cfg(test)]
#[path = "../tests/unit/frame.rs"]
mod tests;
