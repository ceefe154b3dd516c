//! Names and numbers of the wire: headers, statuses and texts that proxies, clients and engines see.

use crate::headers::{HeaderNames, RequestError};
use std::time::Duration;

// Values of Envoy's enumerations.
/// `ProcessingMode.BodySendMode.BUFFERED`.
pub(crate) const BODY_BUFFERED: i32 = 2;
/// `ProcessingMode.HeaderSendMode.SEND`.
pub(crate) const HEADERS_SENT: i32 = 1;
/// `HeaderValueOption.HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD`.
pub(crate) const OVERWRITE_OR_ADD: i32 = 2;

/// Namespace of the attributes that Envoy sends to this filter.
pub(crate) const ATTRIBUTES_NAMESPACE: &str = "envoy.filters.http.ext_proc";
/// Attribute: why the proxy answered a request itself.
pub(crate) const RESPONSE_CODE_DETAILS: &str = "response.code_details";

pub(crate) const STATUS_HEADER: &str = ":status";
pub(crate) const PATH_HEADER: &str = ":path";
/// In whole seconds, rounded up.
pub(crate) const RETRY_AFTER_HEADER: &str = "retry-after";
/// The same in milliseconds.
pub(crate) const RETRY_AFTER_MS_HEADER: &str = "x-lemonusher-come-back-ms";

/// Status and outcome header of a request that was rejected.
pub(crate) const REJECTED_STATUS: i32 = 503;
pub(crate) const REJECTED_OUTCOME: &str = "pushed-back";
pub(crate) const REJECTED_DETAILS: &str = "pushed_back";
/// Status and outcome header of a request that failed.
pub(crate) const FAILED_STATUS: i32 = 502;
pub(crate) const FAILED_OUTCOME: &str = "errored";
pub(crate) const FAILED_DETAILS: &str = "errored";

// Values of the outcome header in engines' responses.
/// The engine turned the attempt away unseen.
pub(crate) const ENGINE_REJECTED: &str = "full";
/// The engine dropped the attempt, as its time was over, before it ran.
pub(crate) const ENGINE_EXPIRED: &str = "late";
/// The attempt failed at the engine.
pub(crate) const ENGINE_FAILED: &str = "errored";

// Parts of Envoy's response code details.
pub(crate) const DETAILS_CONNECTION_FAILURE: &str = "connection_failure";
pub(crate) const DETAILS_NO_HEALTHY_UPSTREAM: &str = "no_healthy_upstream";
pub(crate) const DETAILS_TIMEOUT: &str = "timeout";
pub(crate) const DETAILS_UPSTREAM_RESET: &str = "upstream_reset";

/// Values of the client-retry header that stand for no.
pub(crate) const NO_RETRY: [&str; 3] = ["", "0", "false"];

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

impl RequestError {
    /// Status of the response to the client.
    pub(crate) fn status(self) -> i32 {
        match self {
            RequestError::TooManyHeaders => 431,
            RequestError::NoRequestClass | RequestError::InvalidRequestId => 400,
        }
    }

    /// Response code details for the proxy's access log.
    pub(crate) fn details(self) -> &'static str {
        match self {
            RequestError::TooManyHeaders => "too_many_headers",
            RequestError::NoRequestClass => "no_service_group_is_named",
            RequestError::InvalidRequestId => "the_batch's_id_is_too_long",
        }
    }
}
