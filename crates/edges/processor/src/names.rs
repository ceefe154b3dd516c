//! Which headers say what, by the operator's file.

use envoy_types::pb::envoy::config::core::v3::HeaderMap;
use lemonusher::AttemptOutcome;
use lemonusher_external_call::{CallRequest, ContinuationToken, SigningKey, StreamId};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

const MAX_HEADERS: usize = 256;
const MAX_HEADER_BYTES: usize = 64 * 1024;
const MAX_REQUEST_ID_BYTES: usize = 128;

/// A service group that the deployment states.
#[derive(Debug, Clone)]
pub struct RequestClass {
    pub name: String,
    /// The longest client_timeout that is taken.
    pub max_client_timeout: Duration,
}

/// The headers by which a request says what it is, and by which it is told where to go.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    pub request_id: String,
    pub request_class: String,
    pub table_group: String,
    pub client_timeout: String,
    pub client_retry: String,
    pub attempt_count: String,
    pub continuation_token: String,
    /// Where the engine's address goes.
    pub engine_address: String,
    pub upstream_timeout: String,
    /// By which engines say how a request ended.
    pub outcome: String,
    /// Path prefixes that stand for a service group, where no header names one.
    pub paths: Vec<(String, String)>,
    pub default_client_timeout: Duration,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        let name = |text: &str| text.to_owned();
        HeaderNames {
            request_id: name("x-request-id"),
            request_class: name("x-service-group"),
            table_group: name("x-table-group"),
            client_timeout: name("x-envoy-expected-rq-timeout-ms"),
            client_retry: name("x-repeat"),
            attempt_count: name("x-envoy-attempt-count"),
            continuation_token: name("x-lemonusher-ticket"),
            engine_address: name("x-envoy-original-dst-host"),
            upstream_timeout: name("x-envoy-upstream-rq-timeout-ms"),
            outcome: name("x-lemonusher-outcome"),
            paths: Vec::new(),
            default_client_timeout: Duration::from_secs(5),
        }
    }
}

/// Why a request can't be request about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    TooManyHeaders,
    /// No header or path names a service group that the deployment states.
    NoRequestClass,
    InvalidRequestId,
}

/// Headers by their lower-case names; of several, the first.
pub struct Headers(BTreeMap<String, String>);

impl Headers {
    pub fn read(map: Option<HeaderMap>) -> Result<Headers, RequestError> {
        let headers = map.map(|map| map.headers).unwrap_or_default();
        let bytes: usize = headers.iter().map(|h| h.key.len() + h.value.len() + h.raw_value.len()).sum();
        if headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
            return Err(RequestError::TooManyHeaders);
        }
        let mut held = BTreeMap::new();
        for header in headers {
            let value = match header.raw_value.is_empty() {
                true => header.value,
                false => String::from_utf8_lossy(&header.raw_value).into_owned(),
            };
            held.entry(header.key.to_ascii_lowercase()).or_insert(value);
        }
        Ok(Headers(held))
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }
}

impl HeaderNames {
    /// The request as it is request about.
    pub fn read_request(
        &self,
        stream: StreamId,
        headers: &Headers,
        groups: &[RequestClass],
        key: &SigningKey,
        unix_ms: u64,
    ) -> Result<CallRequest, RequestError> {
        let by_path = || {
            let path = headers.get(":path")?;
            let found = self.paths.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()))?;
            Some(found.1.as_str())
        };
        let group = headers.get(&self.request_class).or_else(by_path).ok_or(RequestError::NoRequestClass)?;
        let request_class = groups.iter().position(|known| known.name == group);
        let request_class = request_class.ok_or(RequestError::NoRequestClass)?;
        let request = match headers.get(&self.request_id) {
            Some(id) if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES => {
                return Err(RequestError::InvalidRequestId);
            }
            Some(id) => id.to_owned(),
            None => format!("unnamed-{stream}"),
        };
        let client_timeout = headers.number(&self.client_timeout).map(Duration::from_millis);
        let client_timeout = client_timeout
            .filter(|client_timeout| !client_timeout.is_zero())
            .unwrap_or(self.default_client_timeout);
        let token = headers.get(&self.continuation_token);
        // A ticket that is not sound says nothing; that there is one says that something was tried.
        let sound = token.is_some_and(|text| ContinuationToken::decode(text, key, &request, unix_ms).is_ok());
        let attempt = headers.number(&self.attempt_count).unwrap_or(1).clamp(1, u32::MAX.into()) as u32;
        let attempt = if token.is_some() && !sound { attempt.max(2) } else { attempt };
        Ok(CallRequest {
            stream,
            request: request.into(),
            request_class,
            table_group: headers.get(&self.table_group).map(hash).unwrap_or_default(),
            client_timeout: client_timeout.min(groups[request_class].max_client_timeout),
            client_retry: headers
                .get(&self.client_retry)
                .is_some_and(|text| !matches!(text, "" | "0" | "false")),
            attempt,
            has_valid_token: sound,
        })
    }
}

/// A fixed hash: the same group goes by the same number at every processor.
fn hash(text: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// How a dispatch ended, as far as the response tells. `details` is the proxy's own word where it answered itself.
pub fn attempt_outcome(status: u32, told: Option<&str>, details: Option<&str>) -> AttemptOutcome {
    match told {
        Some("full") => return AttemptOutcome::Rejected,
        Some("late") => return AttemptOutcome::NotSent,
        Some("errored") => return AttemptOutcome::Errored,
        _ => {}
    }
    if let Some(details) = details {
        // The proxy's words for what it answered in the engine's place. Only a connection that never came up
        // proves that nothing ran.
        if details.contains("connection_failure") || details.contains("no_healthy_upstream") {
            return AttemptOutcome::ConnectFailed;
        }
        if details.contains("timeout") {
            return AttemptOutcome::TimedOut;
        }
        if details.contains("upstream_reset") {
            return AttemptOutcome::Reset;
        }
    }
    if (200..500).contains(&status) { AttemptOutcome::Returned } else { AttemptOutcome::Errored }
}

#[cfg(test)]
mod tests {
    use super::*;
    use envoy_types::pb::envoy::config::core::v3::HeaderValue;

    fn headers(list: &[(&str, &str)]) -> Headers {
        let header = |(key, value): &(&str, &str)| HeaderValue {
            key: key.to_string(),
            raw_value: value.as_bytes().to_vec(),
            ..HeaderValue::default()
        };
        Headers::read(Some(HeaderMap { headers: list.iter().map(header).collect() }))
            .unwrap_or(Headers(BTreeMap::new()))
    }

    #[test]
    fn a_request_is_read_by_its_headers_or_path() {
        let names =
            HeaderNames { paths: vec![("/report".into(), "report".into())], ..HeaderNames::default() };
        let group =
            |name: &str| RequestClass { name: name.into(), max_client_timeout: Duration::from_secs(10) };
        let groups = [group("look-up"), group("report")];
        let key = SigningKey::new(b"key");
        let ask = |list: &[(&str, &str)]| names.read_request(3, &headers(list), &groups, &key, 0);
        let request = ask(&[
            ("X-Request-Id", "r1"),
            ("x-service-group", "report"),
            ("x-envoy-expected-rq-timeout-ms", "99999"),
        ])
        .unwrap();
        assert_eq!(
            (&*request.request, request.request_class, request.client_timeout.as_secs()),
            ("r1", 1, 10)
        );
        assert_eq!(ask(&[(":path", "/report/7")]).unwrap().request_class, 1);
        assert_eq!(ask(&[(":path", "/other")]).unwrap_err(), RequestError::NoRequestClass);
        assert_eq!(ask(&[("x-service-group", "none")]).unwrap_err(), RequestError::NoRequestClass);
        let long = "x".repeat(200);
        assert_eq!(
            ask(&[("x-service-group", "report"), ("x-request-id", &long)]).unwrap_err(),
            RequestError::InvalidRequestId
        );
        // A forged ticket makes nothing sound, and counts as a try before.
        let forged = ask(&[("x-service-group", "report"), ("x-lemonusher-ticket", "1.x.1.1.1")]).unwrap();
        assert!(!forged.has_valid_token && forged.attempt == 2);
        let many: Vec<(&str, &str)> = vec![("a", "b"); 1000];
        let map = HeaderMap {
            headers: many
                .iter()
                .map(|(k, _)| HeaderValue { key: k.to_string(), ..Default::default() })
                .collect(),
        };
        assert!(matches!(Headers::read(Some(map)), Err(RequestError::TooManyHeaders)));
    }

    #[test]
    fn no_more_is_claimed_of_a_response_than_it_tells() {
        for (status, told, details, outcome) in [
            (200, None, None, AttemptOutcome::Returned),
            (404, None, None, AttemptOutcome::Returned),
            (500, None, None, AttemptOutcome::Errored),
            (503, Some("full"), None, AttemptOutcome::Rejected),
            (
                503,
                None,
                Some("upstream_reset_before_response_started{connection_failure}"),
                AttemptOutcome::ConnectFailed,
            ),
            (
                503,
                None,
                Some("upstream_reset_before_response_started{connection_termination}"),
                AttemptOutcome::Reset,
            ),
            (504, None, Some("upstream_response_timeout"), AttemptOutcome::TimedOut),
        ] {
            assert_eq!(attempt_outcome(status, told, details), outcome);
        }
    }
}
