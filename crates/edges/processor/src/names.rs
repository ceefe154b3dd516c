//! Which headers say what, by the operator's file.

use envoy_types::pb::envoy::config::core::v3::HeaderMap;
use lemonusher::AttemptOutcome;
use lemonusher_external_call::{Asked, Key, StreamId, Ticket};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

const MOST_HEADERS: usize = 256;
const MOST_BYTES: usize = 64 * 1024;
const LONGEST_ID: usize = 128;

/// A service group that the deployment states.
#[derive(Debug, Clone)]
pub struct Group {
    pub name: String,
    /// The longest patience that is taken.
    pub most_patience: Duration,
}

/// The headers by which a request says what it is, and by which it is told where to go.
#[derive(Debug, Clone)]
pub struct Names {
    pub batch: String,
    pub service_group: String,
    pub table_group: String,
    pub patience: String,
    pub repeat: String,
    pub attempt: String,
    pub ticket: String,
    /// Where the engine's address goes.
    pub engine: String,
    pub time_limit: String,
    /// By which engines say how a request ended.
    pub outcome: String,
    /// Path prefixes that stand for a service group, where no header names one.
    pub paths: Vec<(String, String)>,
    pub usual_patience: Duration,
}

impl Default for Names {
    fn default() -> Names {
        let name = |text: &str| text.to_owned();
        Names {
            batch: name("x-request-id"),
            service_group: name("x-service-group"),
            table_group: name("x-table-group"),
            patience: name("x-envoy-expected-rq-timeout-ms"),
            repeat: name("x-repeat"),
            attempt: name("x-envoy-attempt-count"),
            ticket: name("x-lemonusher-ticket"),
            engine: name("x-envoy-original-dst-host"),
            time_limit: name("x-envoy-upstream-rq-timeout-ms"),
            outcome: name("x-lemonusher-outcome"),
            paths: Vec::new(),
            usual_patience: Duration::from_secs(5),
        }
    }
}

/// Why a request can't be asked about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    TooMany,
    /// No header or path names a service group that the deployment states.
    NoServiceGroup,
    BadBatch,
}

/// Headers by their lower-case names; of several, the first.
pub struct Headers(BTreeMap<String, String>);

impl Headers {
    pub fn read(map: Option<HeaderMap>) -> Result<Headers, Fault> {
        let headers = map.map(|map| map.headers).unwrap_or_default();
        let bytes: usize = headers.iter().map(|h| h.key.len() + h.value.len() + h.raw_value.len()).sum();
        if headers.len() > MOST_HEADERS || bytes > MOST_BYTES {
            return Err(Fault::TooMany);
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

impl Names {
    /// The request as it is asked about.
    pub fn asked(
        &self,
        stream: StreamId,
        headers: &Headers,
        groups: &[Group],
        key: &Key,
        unix_ms: u64,
    ) -> Result<Asked, Fault> {
        let by_path = || {
            let path = headers.get(":path")?;
            let found = self.paths.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()))?;
            Some(found.1.as_str())
        };
        let group = headers.get(&self.service_group).or_else(by_path).ok_or(Fault::NoServiceGroup)?;
        let service_group = groups.iter().position(|known| known.name == group);
        let service_group = service_group.ok_or(Fault::NoServiceGroup)?;
        let batch = match headers.get(&self.batch) {
            Some(id) if id.is_empty() || id.len() > LONGEST_ID => return Err(Fault::BadBatch),
            Some(id) => id.to_owned(),
            None => format!("unnamed-{stream}"),
        };
        let patience = headers.number(&self.patience).map(Duration::from_millis);
        let patience = patience.filter(|patience| !patience.is_zero()).unwrap_or(self.usual_patience);
        let ticket = headers.get(&self.ticket);
        // A ticket that is not sound says nothing; that there is one says that something was tried.
        let sound = ticket.is_some_and(|text| Ticket::open(text, key, &batch, unix_ms).is_ok());
        let attempt = headers.number(&self.attempt).unwrap_or(1).clamp(1, u32::MAX.into()) as u32;
        let attempt = if ticket.is_some() && !sound { attempt.max(2) } else { attempt };
        Ok(Asked {
            stream,
            batch: batch.into(),
            service_group,
            table_group: headers.get(&self.table_group).map(hash).unwrap_or_default(),
            patience: patience.min(groups[service_group].most_patience),
            repeat: headers.get(&self.repeat).is_some_and(|text| !matches!(text, "" | "0" | "false")),
            attempt,
            ticket: sound,
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
pub fn outcome_of(status: u32, told: Option<&str>, details: Option<&str>) -> AttemptOutcome {
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
        let names = Names { paths: vec![("/report".into(), "report".into())], ..Names::default() };
        let group = |name: &str| Group { name: name.into(), most_patience: Duration::from_secs(10) };
        let groups = [group("look-up"), group("report")];
        let key = Key::new(b"key");
        let ask = |list: &[(&str, &str)]| names.asked(3, &headers(list), &groups, &key, 0);
        let asked = ask(&[
            ("X-Request-Id", "r1"),
            ("x-service-group", "report"),
            ("x-envoy-expected-rq-timeout-ms", "99999"),
        ])
        .unwrap();
        assert_eq!((&*asked.batch, asked.service_group, asked.patience.as_secs()), ("r1", 1, 10));
        assert_eq!(ask(&[(":path", "/report/7")]).unwrap().service_group, 1);
        assert_eq!(ask(&[(":path", "/other")]).unwrap_err(), Fault::NoServiceGroup);
        assert_eq!(ask(&[("x-service-group", "none")]).unwrap_err(), Fault::NoServiceGroup);
        let long = "x".repeat(200);
        assert_eq!(
            ask(&[("x-service-group", "report"), ("x-request-id", &long)]).unwrap_err(),
            Fault::BadBatch
        );
        // A forged ticket makes nothing sound, and counts as a try before.
        let forged = ask(&[("x-service-group", "report"), ("x-lemonusher-ticket", "1.x.1.1.1")]).unwrap();
        assert!(!forged.ticket && forged.attempt == 2);
        let many: Vec<(&str, &str)> = vec![("a", "b"); 1000];
        let map = HeaderMap {
            headers: many
                .iter()
                .map(|(k, _)| HeaderValue { key: k.to_string(), ..Default::default() })
                .collect(),
        };
        assert!(matches!(Headers::read(Some(map)), Err(Fault::TooMany)));
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
            assert_eq!(outcome_of(status, told, details), outcome);
        }
    }
}
