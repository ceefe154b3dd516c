//! Continuation tokens: what a forwarded request carries in a header, so that a retry which reaches a processor that
//! knows nothing of it states what it was part of. Signed, so that nobody else makes one; valid for a limited time.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use lemonusher::EngineId;
use sha2::Sha256;
use std::fmt;
use std::time::Duration;

/// Longest encoded token that is read, in bytes.
const MAX_TOKEN_BYTES: usize = 512;
/// Bytes of the HMAC that a token carries.
const SIGNATURE_BYTES: usize = 16;
/// The first part of an encoded token.
const FORMAT_VERSION: &str = "1";

/// The key that all processors of a deployment share. Its `Debug` form does not show it.
#[derive(Clone)]
pub struct SigningKey(Vec<u8>);

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl SigningKey {
    /// A key of any length.
    pub fn new(bytes: &[u8]) -> SigningKey {
        SigningKey(bytes.to_vec())
    }

    fn sign(&self, text: &str) -> Vec<u8> {
        // HMAC takes any length of key, so this can't fail.
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.0) else { return Vec::new() };
        mac.update(text.as_bytes());
        let mut bytes = mac.finalize().into_bytes().to_vec();
        bytes.truncate(SIGNATURE_BYTES);
        bytes
    }

    /// Compares in constant time.
    fn verifies(&self, text: &str, signature: &[u8]) -> bool {
        let expected = self.sign(text);
        let difference = expected.iter().zip(signature).fold(0, |all, (a, b)| all | (a ^ b));
        !expected.is_empty() && expected.len() == signature.len() && difference == 0
    }
}

/// States that a request has been forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContinuationToken {
    /// The request's id.
    pub request: String,
    /// The engine that it was forwarded to.
    pub engine: EngineId,
    /// Number of that attempt, from zero.
    pub attempt: u32,
    /// Unix time in milliseconds after which the token is not valid.
    pub valid_until_ms: u64,
}

/// Why a token is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// Not signed with this key, or changed.
    Forged,
    /// Its time is over.
    Expired,
    /// Made for another request.
    OtherRequest,
}

impl ContinuationToken {
    /// The token as it stands in a header.
    pub fn encode(&self, key: &SigningKey) -> String {
        let request = URL_SAFE_NO_PAD.encode(self.request.as_bytes());
        let text = format!(
            "{FORMAT_VERSION}.{request}.{:x}.{:x}.{:x}",
            self.engine, self.attempt, self.valid_until_ms
        );
        let signature = URL_SAFE_NO_PAD.encode(key.sign(&text));
        format!("{text}.{signature}")
    }

    /// Reads the header of a request with this id, at this Unix time in milliseconds.
    pub fn decode(
        text: &str,
        key: &SigningKey,
        request: &str,
        now_ms: u64,
    ) -> Result<ContinuationToken, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Forged);
        }
        let (signed, signature) = text.rsplit_once('.').ok_or(TokenError::Forged)?;
        let signature = URL_SAFE_NO_PAD.decode(signature).map_err(|_| TokenError::Forged)?;
        if !key.verifies(signed, &signature) {
            return Err(TokenError::Forged);
        }
        let token = ContinuationToken::parse(signed).ok_or(TokenError::Forged)?;
        if token.valid_until_ms < now_ms {
            return Err(TokenError::Expired);
        }
        if token.request != request {
            return Err(TokenError::OtherRequest);
        }
        Ok(token)
    }

    fn parse(signed: &str) -> Option<ContinuationToken> {
        let mut parts = signed.split('.');
        if parts.next()? != FORMAT_VERSION {
            return None;
        }
        let request = URL_SAFE_NO_PAD.decode(parts.next()?).ok()?;
        let request = String::from_utf8(request).ok()?;
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        Some(ContinuationToken {
            request,
            engine: u32::try_from(number()?).ok()?,
            attempt: u32::try_from(number()?).ok()?,
            valid_until_ms: number()?,
        })
    }

    /// Unix time in milliseconds until which a token that is made now is valid.
    pub fn valid_until_ms(now_ms: u64, validity: Duration) -> u64 {
        now_ms.saturating_add(validity.as_millis() as u64)
    }
}
