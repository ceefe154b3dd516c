//! Tickets: what a verdict leaves in the request, so that a retry that reaches a processor which knows nothing says
//! what it was part of. Signed, so that nobody else makes one; dated, so that none is of use for long.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use lemonusher::EngineId;
use sha2::Sha256;
use std::fmt;
use std::time::Duration;

const LONGEST: usize = 512;
const SIGNED: usize = 16; // Bytes of the signature that are sent.

/// The key that all processors of a deployment share.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    pub fn new(bytes: &[u8]) -> Key {
        Key(bytes.to_vec())
    }

    fn sign(&self, text: &str) -> Vec<u8> {
        // Any length of key is taken, so this can't fail.
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.0) else { return Vec::new() };
        mac.update(text.as_bytes());
        let mut bytes = mac.finalize().into_bytes().to_vec();
        bytes.truncate(SIGNED);
        bytes
    }
}

/// What a verdict was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    pub batch: String,
    pub engine: EngineId,
    /// Which of the batch's dispatches it was, from zero.
    pub attempt: u32,
    /// Unix time in milliseconds after which it says nothing.
    pub until: u64,
}

/// Why a ticket says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsound {
    /// Not one of ours, or changed.
    Forged,
    Expired,
    /// Made for another batch.
    Foreign,
}

impl Ticket {
    /// The ticket as it stands in a header.
    pub fn seal(&self, key: &Key) -> String {
        let batch = URL_SAFE_NO_PAD.encode(self.batch.as_bytes());
        let text = format!("1.{batch}.{:x}.{:x}.{:x}", self.engine, self.attempt, self.until);
        let signature = URL_SAFE_NO_PAD.encode(key.sign(&text));
        format!("{text}.{signature}")
    }

    /// Reads a header that came with this batch.
    pub fn open(text: &str, key: &Key, batch: &str, now: u64) -> Result<Ticket, Unsound> {
        let signed = text.rsplit_once('.').filter(|_| text.len() <= LONGEST).ok_or(Unsound::Forged)?;
        let signature = URL_SAFE_NO_PAD.decode(signed.1).map_err(|_| Unsound::Forged)?;
        let wanted = key.sign(signed.0);
        let differs = wanted.iter().zip(&signature).fold(0, |all, (a, b)| all | (a ^ b));
        if wanted.is_empty() || wanted.len() != signature.len() || differs != 0 {
            return Err(Unsound::Forged);
        }
        let mut parts = signed.0.split('.');
        let ticket = (|| {
            (parts.next()? == "1").then_some(())?;
            let batch = URL_SAFE_NO_PAD.decode(parts.next()?).ok()?;
            let mut number =
                |most: u64| u64::from_str_radix(parts.next()?, 16).ok().filter(|number| *number <= most);
            Some(Ticket {
                batch: String::from_utf8(batch).ok()?,
                engine: number(u32::MAX.into())? as u32,
                attempt: number(u32::MAX.into())? as u32,
                until: number(u64::MAX)?,
            })
        })();
        let ticket = ticket.ok_or(Unsound::Forged)?;
        if ticket.until < now {
            return Err(Unsound::Expired);
        }
        if ticket.batch != batch {
            return Err(Unsound::Foreign);
        }
        Ok(ticket)
    }

    /// How long a ticket made now is to be sound.
    pub fn until(now: u64, span: Duration) -> u64 {
        now.saturating_add(span.as_millis() as u64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_ticket_is_read_by_its_key_in_time_and_for_its_batch_alone() {
        let key = Key::new(b"a key that is long enough");
        let ticket = Ticket { batch: "b.1/ü".into(), engine: 7, attempt: 2, until: 1000 };
        let text = ticket.seal(&key);
        assert_eq!(Ticket::open(&text, &key, "b.1/ü", 1000), Ok(ticket));
        assert_eq!(Ticket::open(&text, &key, "b.1/ü", 1001), Err(Unsound::Expired));
        assert_eq!(Ticket::open(&text, &key, "b2", 0), Err(Unsound::Foreign));
        assert_eq!(Ticket::open(&text, &Key::new(b"another"), "b.1/ü", 0), Err(Unsound::Forged));
        for at in 0..text.len() {
            let mut spoilt = text.clone().into_bytes();
            spoilt[at] = if spoilt[at] == b'A' { b'B' } else { b'A' };
            let spoilt = String::from_utf8_lossy(&spoilt).into_owned();
            assert!(Ticket::open(&spoilt, &key, "b.1/ü", 0).is_err(), "{spoilt}");
        }
        for noise in ["", ".", "1....", "1.YQ.1.1.1", &"x".repeat(10_000)] {
            assert_eq!(Ticket::open(noise, &key, "a", 0), Err(Unsound::Forged));
        }
        assert_eq!(format!("{key:?}"), "Key(..)");
    }
}
