//! Tickets: what a verdict leaves in the request, so that a retry that reaches a processor which knows nothing says
//! what it was part of. Signed, so that nobody else makes one; dated, so that none is of use for long.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use lemonusher::EngineId;
use sha2::Sha256;
use std::fmt;
use std::time::Duration;

const MAX_TOKEN_BYTES: usize = 512;
const SIGNATURE_BYTES: usize = 16; // Bytes of the signature that are sent.

/// The key that all processors of a deployment share.
#[derive(Clone)]
pub struct SigningKey(Vec<u8>);

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl SigningKey {
    pub fn new(bytes: &[u8]) -> SigningKey {
        SigningKey(bytes.to_vec())
    }

    fn sign(&self, text: &str) -> Vec<u8> {
        // Any length of key is taken, so this can't fail.
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.0) else { return Vec::new() };
        mac.update(text.as_bytes());
        let mut bytes = mac.finalize().into_bytes().to_vec();
        bytes.truncate(SIGNATURE_BYTES);
        bytes
    }
}

/// What a verdict was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContinuationToken {
    pub request: String,
    pub engine: EngineId,
    /// Which of the batch's dispatches it was, from zero.
    pub attempt: u32,
    /// Unix time in milliseconds after which it says nothing.
    pub valid_until_ms: u64,
}

/// Why a token says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// Not one of ours, or changed.
    Forged,
    Expired,
    /// Made for another batch.
    OtherRequest,
}

impl ContinuationToken {
    /// The token as it stands in a header.
    pub fn encode(&self, key: &SigningKey) -> String {
        let request = URL_SAFE_NO_PAD.encode(self.request.as_bytes());
        let text = format!("1.{request}.{:x}.{:x}.{:x}", self.engine, self.attempt, self.valid_until_ms);
        let signature = URL_SAFE_NO_PAD.encode(key.sign(&text));
        format!("{text}.{signature}")
    }

    /// Reads a header that came with this batch.
    pub fn decode(
        text: &str,
        key: &SigningKey,
        request: &str,
        now_ms: u64,
    ) -> Result<ContinuationToken, TokenError> {
        let signed =
            text.rsplit_once('.').filter(|_| text.len() <= MAX_TOKEN_BYTES).ok_or(TokenError::Forged)?;
        let signature = URL_SAFE_NO_PAD.decode(signed.1).map_err(|_| TokenError::Forged)?;
        let wanted = key.sign(signed.0);
        let differs = wanted.iter().zip(&signature).fold(0, |all, (a, b)| all | (a ^ b));
        if wanted.is_empty() || wanted.len() != signature.len() || differs != 0 {
            return Err(TokenError::Forged);
        }
        let mut parts = signed.0.split('.');
        let token = (|| {
            (parts.next()? == "1").then_some(())?;
            let request = URL_SAFE_NO_PAD.decode(parts.next()?).ok()?;
            let mut number =
                |most: u64| u64::from_str_radix(parts.next()?, 16).ok().filter(|number| *number <= most);
            Some(ContinuationToken {
                request: String::from_utf8(request).ok()?,
                engine: number(u32::MAX.into())? as u32,
                attempt: number(u32::MAX.into())? as u32,
                valid_until_ms: number(u64::MAX)?,
            })
        })();
        let token = token.ok_or(TokenError::Forged)?;
        if token.valid_until_ms < now_ms {
            return Err(TokenError::Expired);
        }
        if token.request != request {
            return Err(TokenError::OtherRequest);
        }
        Ok(token)
    }

    /// How long a token made now is to be sound.
    pub fn valid_until_ms(now_ms: u64, validity: Duration) -> u64 {
        now_ms.saturating_add(validity.as_millis() as u64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_ticket_is_read_by_its_key_in_time_and_for_its_batch_alone() {
        let key = SigningKey::new(b"a key that is long enough");
        let token =
            ContinuationToken { request: "b.1/ü".into(), engine: 7, attempt: 2, valid_until_ms: 1000 };
        let text = token.encode(&key);
        assert_eq!(ContinuationToken::decode(&text, &key, "b.1/ü", 1000), Ok(token));
        assert_eq!(ContinuationToken::decode(&text, &key, "b.1/ü", 1001), Err(TokenError::Expired));
        assert_eq!(ContinuationToken::decode(&text, &key, "b2", 0), Err(TokenError::OtherRequest));
        assert_eq!(
            ContinuationToken::decode(&text, &SigningKey::new(b"another"), "b.1/ü", 0),
            Err(TokenError::Forged)
        );
        for at in 0..text.len() {
            let mut spoilt = text.clone().into_bytes();
            spoilt[at] = if spoilt[at] == b'A' { b'B' } else { b'A' };
            let spoilt = String::from_utf8_lossy(&spoilt).into_owned();
            assert!(ContinuationToken::decode(&spoilt, &key, "b.1/ü", 0).is_err(), "{spoilt}");
        }
        for noise in ["", ".", "1....", "1.YQ.1.1.1", &"x".repeat(10_000)] {
            assert_eq!(ContinuationToken::decode(noise, &key, "a", 0), Err(TokenError::Forged));
        }
        assert_eq!(format!("{key:?}"), "Key(..)");
    }
}
