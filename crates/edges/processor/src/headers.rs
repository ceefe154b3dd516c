//! Reads a request's parameters from its headers, whose names are configurable.

use crate::server::TokenIssuer;
use crate::wire;
use envoy_types::pb::envoy::config::core::v3::HeaderMap;
use lemonusher_external_call::{CallRequest, ContinuationToken, StreamId, TokenEvidence};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Maximum number of headers of one message.
const MAX_HEADERS: usize = 256;
/// Maximum total size of one message's headers in bytes, names and values.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A request class of the deployment.
#[derive(Debug, Clone)]
pub struct RequestClass {
    /// The name that requests use for it.
    pub name: String,
    /// Upper limit of the client timeout; a longer one is reduced to it.
    pub max_client_timeout: Duration,
}

/// Assigns a request class to the paths with a prefix.
#[derive(Debug, Clone)]
pub struct PathClass {
    /// The path prefix.
    pub prefix: String,
    /// Name of the request class.
    pub request_class: String,
}

/// Names of the headers, in lower case. The defaults are in `wire.rs`. Request headers are set by the client
/// or the proxy and read here. Output headers are set on the forwarded request or on the response to the
/// client.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Request header: the request's id, the same for all its attempts.
    pub request_id: String,
    /// Request header: name of the request class.
    pub request_class: String,
    /// Request header: the table group that the request reads, as any text.
    pub table_group: String,
    /// Request header: client timeout, in milliseconds.
    pub client_timeout: String,
    /// Request header: whether the client has sent the request before.
    pub client_retry: String,
    /// Request header: the proxy's attempt count, from 1.
    pub attempt_count: String,
    /// Request and output header: the continuation token.
    pub continuation_token: String,
    /// Output header: address of the engine.
    pub engine_address: String,
    /// Output header: how long the proxy waits for the engine's response, in milliseconds.
    pub upstream_timeout: String,
    /// Output header, also read from engines' responses: the outcome of the request.
    pub outcome: String,
    /// Request classes by path prefix, used if the request class header is missing. The first matching prefix
    /// counts.
    pub path_classes: Vec<PathClass>,
    /// Client timeout of a request whose client timeout header is missing, zero or not a whole number.
    pub default_client_timeout: Duration,
}

/// The reason why a request is refused before the front handles it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The headers exceed the maximum number or size.
    TooManyHeaders,
    /// Neither a header nor the path names a request class of the deployment.
    NoRequestClass,
    /// The request's id is empty or too long.
    InvalidRequestId,
}

/// Headers by lower-case name. If a name occurs more than once, the first header counts.
pub(crate) struct Headers(BTreeMap<String, String>);

impl Headers {
    pub(crate) fn read(map: Option<HeaderMap>) -> Result<Headers, RequestError> {
        let headers = map.map(|map| map.headers).unwrap_or_default();
        let bytes: usize = headers.iter().map(|h| h.key.len() + h.value.len() + h.raw_value.len()).sum();
        if headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
            return Err(RequestError::TooManyHeaders);
        }
        let mut by_name = BTreeMap::new();
        for header in headers {
            let value = match header.raw_value.is_empty() {
                true => header.value,
                false => String::from_utf8_lossy(&header.raw_value).into_owned(),
            };
            by_name.entry(header.key.to_ascii_lowercase()).or_insert(value);
        }
        Ok(Headers(by_name))
    }

    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }
}

impl HeaderNames {
    /// Reads the request that opened a stream. `unix_ms` is the current Unix time in milliseconds.
    pub(crate) fn read_request(
        &self,
        stream: StreamId,
        headers: &Headers,
        classes: &[RequestClass],
        issuer: &TokenIssuer,
        unix_ms: u64,
    ) -> Result<CallRequest, RequestError> {
        let request_class = self.read_class(headers, classes)?;
        let request = self.read_request_id(stream, headers)?;
        let client_timeout = headers.number(&self.client_timeout).map(Duration::from_millis);
        let client_timeout = client_timeout.filter(|timeout| !timeout.is_zero());
        let client_timeout = client_timeout.unwrap_or(self.default_client_timeout);
        let token = match headers.get(&self.continuation_token) {
            Some(text) => token_evidence(text, issuer, &request, unix_ms),
            None => TokenEvidence::Absent,
        };
        let attempt = headers.number(&self.attempt_count).unwrap_or(1).clamp(1, u32::MAX.into()) as u32;
        Ok(CallRequest {
            stream,
            request: request.into(),
            request_class,
            table_group: headers.get(&self.table_group).map(hash_table_group).unwrap_or_default(),
            client_timeout: client_timeout.min(classes[request_class].max_client_timeout),
            client_retry: headers
                .get(&self.client_retry)
                .is_some_and(|text| !wire::NOT_A_RETRY.contains(&text)),
            attempt,
            token,
            queued: Duration::ZERO,
        })
    }

    /// Returns the index of the request class named by the header, or by the path if there is no such header.
    fn read_class(&self, headers: &Headers, classes: &[RequestClass]) -> Result<usize, RequestError> {
        let by_path = || {
            let path = headers.get(wire::PATH_HEADER)?;
            let found = self.path_classes.iter().find(|class| path.starts_with(class.prefix.as_str()))?;
            Some(found.request_class.as_str())
        };
        let name = headers.get(&self.request_class).or_else(by_path).ok_or(RequestError::NoRequestClass)?;
        classes.iter().position(|class| class.name == name).ok_or(RequestError::NoRequestClass)
    }

    /// Returns the request's id. A request without one gets an id derived from its stream.
    fn read_request_id(&self, stream: StreamId, headers: &Headers) -> Result<String, RequestError> {
        match headers.get(&self.request_id) {
            Some(id) if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES => {
                Err(RequestError::InvalidRequestId)
            }
            Some(id) => Ok(id.to_owned()),
            None => Ok(format!("unnamed-{stream}")),
        }
    }
}

/// Returns what a continuation token shows. The content of one that can't be verified is ignored, but its presence
/// shows that the request was forwarded before.
fn token_evidence(text: &str, issuer: &TokenIssuer, request: &str, unix_ms: u64) -> TokenEvidence {
    match ContinuationToken::decode(text, &issuer.signing_key, request, unix_ms) {
        Ok(token) if token.processor == Some(issuer.processor) => TokenEvidence::ForwardedHere(token.number),
        _ => TokenEvidence::ForwardedElsewhere,
    }
}

/// Hashes a table group's text. The result is the same at all processors built with the same Rust release.
fn hash_table_group(text: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
#[path = "../tests/unit/headers.rs"]
mod tests;
