//! Continuation tokens. A forwarded request has one in a header, so that a processor that has no record of
//! the request, such as after a restart, recognizes a retry. Tokens are signed against forgery and valid for
//! a limited time.

use crate::messages::AttemptToken;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use lemonusher::EngineId;
use sha2::Sha256;
use std::fmt;
use std::time::Duration;

/// Maximum length of an encoded token, in bytes; a longer one is treated as forged.
const MAX_TOKEN_BYTES: usize = 512;
/// Length of a token's signature in bytes: the HMAC is truncated to it.
const SIGNATURE_BYTES: usize = 16;
/// First field of an encoded token.
const FORMAT_VERSION: &str = "1";

/// The signing key, shared by all processors of a deployment. Its `Debug` output does not contain the key.
#[derive(Clone)]
pub struct SigningKey(Vec<u8>);

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl SigningKey {
    /// Creates a key from bytes of any length.
    pub fn new(bytes: &[u8]) -> SigningKey {
        SigningKey(bytes.to_vec())
    }

    fn sign(&self, text: &str) -> Vec<u8> {
        // HMAC accepts keys of any length, so this can't fail.
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.0) else { return Vec::new() };
        mac.update(text.as_bytes());
        let mut bytes = mac.finalize().into_bytes().to_vec();
        bytes.truncate(SIGNATURE_BYTES);
        bytes
    }

    /// Verifies a signature, in constant time.
    fn verifies(&self, text: &str, signature: &[u8]) -> bool {
        let expected = self.sign(text);
        let difference = expected.iter().zip(signature).fold(0, |all, (a, b)| all | (a ^ b));
        !expected.is_empty() && expected.len() == signature.len() && difference == 0
    }
}

/// Number that tells the processes of a deployment's processors apart: each draws a random one when it starts.
pub type ProcessorId = u64;

/// A signed statement that a request was forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContinuationToken {
    /// The request's id.
    pub request: String,
    /// The engine that it was forwarded to.
    pub engine: EngineId,
    /// Index of that attempt within its call, from 0.
    pub attempt: u32,
    /// Unix time in milliseconds after which the token is expired.
    pub valid_until_ms: u64,
    /// The processor that instructed the proxy to forward that attempt. Earlier releases issued tokens without it.
    pub processor: Option<ProcessorId>,
    /// That attempt's number at this processor.
    pub number: AttemptToken,
}

/// The reason why a token is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenError {
    /// The token is malformed, was changed, or was not signed with this key.
    Forged,
    /// The token has expired.
    Expired,
    /// The token belongs to another request.
    OtherRequest,
}

impl ContinuationToken {
    /// Encodes and signs the token for use as a header value.
    pub fn encode(&self, key: &SigningKey) -> String {
        let request = URL_SAFE_NO_PAD.encode(self.request.as_bytes());
        let mut text = format!(
            "{FORMAT_VERSION}.{request}.{:x}.{:x}.{:x}",
            self.engine, self.attempt, self.valid_until_ms
        );
        // Earlier releases ignore the fields from here on.
        if let Some(processor) = self.processor {
            text.push_str(&format!(".{processor:x}.{:x}", self.number));
        }
        let signature = URL_SAFE_NO_PAD.encode(key.sign(&text));
        format!("{text}.{signature}")
    }

    /// Decodes and verifies a header value of the request with this id. `now_ms` is the Unix time in milliseconds.
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
            processor: number(),
            number: number().unwrap_or_default(),
        })
    }

    /// Returns the Unix time in milliseconds until which a token issued at `now_ms` is valid.
    pub fn valid_until_ms(now_ms: u64, validity: Duration) -> u64 {
        now_ms.saturating_add(validity.as_millis() as u64)
    }
}
