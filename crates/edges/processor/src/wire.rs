//! Names and values of the protocol: headers, statuses and texts that proxies, clients and engines receive or send.

use crate::headers::{HeaderNames, RequestError};
use std::time::Duration;

// Values of enumerations in Envoy's API.
/// `ProcessingMode.BodySendMode.BUFFERED`.
pub(crate) const BODY_BUFFERED: i32 = 2;
/// `ProcessingMode.HeaderSendMode.SEND`.
pub(crate) const HEADERS_SENT: i32 = 1;
/// `HeaderValueOption.HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD`.
pub(crate) const OVERWRITE_OR_ADD: i32 = 2;

/// Namespace of the attributes that Envoy sends to this filter.
pub(crate) const ATTRIBUTES_NAMESPACE: &str = "envoy.filters.http.ext_proc";
/// Attribute: the reason why the proxy generated a response itself.
pub(crate) const RESPONSE_CODE_DETAILS: &str = "response.code_details";

pub(crate) const STATUS_HEADER: &str = ":status";
pub(crate) const PATH_HEADER: &str = ":path";
/// Time until a retry, in whole seconds, rounded up.
pub(crate) const RETRY_AFTER_HEADER: &str = "retry-after";
/// Time until a retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS_HEADER: &str = "x-lemonusher-come-back-ms";

/// HTTP status, outcome header and response code details of the response to a rejected request.
pub(crate) const REJECTED_STATUS: i32 = 503;
pub(crate) const REJECTED_OUTCOME: &str = "pushed-back";
pub(crate) const REJECTED_DETAILS: &str = "pushed_back";
/// HTTP status, outcome header and response code details of the response to a failed request.
pub(crate) const FAILED_STATUS: i32 = 502;
pub(crate) const FAILED_OUTCOME: &str = "errored";
pub(crate) const FAILED_DETAILS: &str = "errored";

// Values of the outcome header in engines' responses.
/// The engine rejected the attempt before it ran.
pub(crate) const ENGINE_REJECTED: &str = "full";
/// The engine dropped the attempt before it ran, because the attempt's time limit had passed.
pub(crate) const ENGINE_EXPIRED: &str = "late";
/// The attempt failed at the engine.
pub(crate) const ENGINE_FAILED: &str = "errored";

// Substrings of Envoy's response code details.
pub(crate) const DETAILS_CONNECTION_FAILURE: &str = "connection_failure";
pub(crate) const DETAILS_NO_HEALTHY_UPSTREAM: &str = "no_healthy_upstream";
pub(crate) const DETAILS_TIMEOUT: &str = "timeout";
pub(crate) const DETAILS_UPSTREAM_RESET: &str = "upstream_reset";

/// Values of the client retry header that mean that the request is not a retry.
pub(crate) const NOT_A_RETRY: [&str; 3] = ["", "0", "false"];

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
            path_classes: Vec::new(),
            default_client_timeout: Duration::from_secs(5),
        }
    }
}

impl RequestError {
    /// HTTP status of the response to the client.
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
