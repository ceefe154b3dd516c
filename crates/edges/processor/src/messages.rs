//! Creates the messages to proxies, and reads attributes from theirs.

use crate::events::ProxyResponse;
use crate::headers::RequestError;
use crate::server::ServerConfig;
use crate::wire;
use envoy_types::pb::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use envoy_types::pb::envoy::extensions::filters::http::ext_proc::v3::ProcessingMode;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response;
use envoy_types::pb::envoy::service::ext_proc::v3::{
    BodyResponse, CommonResponse, HeaderMutation, HeadersResponse, ImmediateResponse, ProcessingRequest,
    ProcessingResponse,
};
use envoy_types::pb::envoy::r#type::v3::HttpStatus;
use envoy_types::pb::google::protobuf;
use lemonusher_external_call::{CallResponse, ContinuationToken};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum length of the response code details that are read, in characters; the rest is cut off.
const MAX_DETAILS_CHARS: usize = 256;

/// The message of the proxy that a response belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnsweredMessage {
    RequestHeaders,
    RequestBody,
}

pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub(crate) fn with_response(response: Response) -> ProcessingResponse {
    ProcessingResponse { response: Some(response), ..ProcessingResponse::default() }
}

/// Converts the front's response to a request into a message to the proxy.
pub(crate) fn response_message(
    config: &ServerConfig,
    request_id: &str,
    response: ProxyResponse,
    answered_message: AnsweredMessage,
) -> ProcessingResponse {
    let names = &config.header_names;
    match response.response {
        CallResponse::Forward { engine, token, upstream_timeout, attempt } => {
            let issuer = &config.token_issuer;
            let token = ContinuationToken {
                request: request_id.to_owned(),
                engine,
                attempt,
                valid_until_ms: ContinuationToken::valid_until_ms(unix_ms(), issuer.validity),
                processor: Some(issuer.processor),
                number: token,
            };
            forward_response(config, token, upstream_timeout, response.engine_address, answered_message)
        }
        CallResponse::ExtendTimeout(extension) => timeout_extension_response(extension),
        CallResponse::Reject { retry_after } => {
            let mut headers = vec![header(&names.outcome, wire::REJECTED_OUTCOME.to_owned())];
            if let Some(wait) = retry_after {
                let seconds = wait.as_millis().div_ceil(1000);
                headers.push(header(wire::RETRY_AFTER_HEADER, seconds.to_string()));
                headers.push(header(wire::RETRY_AFTER_MS_HEADER, wait.as_millis().to_string()));
            }
            immediate_response(wire::REJECTED_STATUS, headers, wire::REJECTED_DETAILS)
        }
        CallResponse::Fail => {
            let headers = vec![header(&names.outcome, wire::FAILED_OUTCOME.to_owned())];
            immediate_response(wire::FAILED_STATUS, headers, wire::FAILED_DETAILS)
        }
    }
}

fn forward_response(
    config: &ServerConfig,
    token: ContinuationToken,
    upstream_timeout: Duration,
    engine_address: Option<SocketAddr>,
    answered_message: AnsweredMessage,
) -> ProcessingResponse {
    let names = &config.header_names;
    let timeout_ms = (upstream_timeout.as_millis() as u64).max(1);
    let mut set_headers = vec![
        header(&names.continuation_token, token.encode(&config.token_issuer.signing_key)),
        header(&names.upstream_timeout, timeout_ms.to_string()),
    ];
    set_headers.extend(engine_address.map(|address| header(&names.engine_address, address.to_string())));
    let common = CommonResponse {
        header_mutation: Some(HeaderMutation { set_headers, ..HeaderMutation::default() }),
        clear_route_cache: true,
        ..CommonResponse::default()
    };
    with_response(match answered_message {
        AnsweredMessage::RequestBody => Response::RequestBody(BodyResponse { response: Some(common) }),
        AnsweredMessage::RequestHeaders => {
            Response::RequestHeaders(HeadersResponse { response: Some(common) })
        }
    })
}

fn timeout_extension_response(extension: Duration) -> ProcessingResponse {
    let timeout =
        protobuf::Duration { seconds: extension.as_secs() as i64, nanos: extension.subsec_nanos() as i32 };
    ProcessingResponse { override_message_timeout: Some(timeout), ..ProcessingResponse::default() }
}

/// Creates the response to request headers that leaves them unchanged and requests the whole body.
pub(crate) fn body_request_response() -> ProcessingResponse {
    let mode = ProcessingMode {
        request_body_mode: wire::BODY_BUFFERED,
        response_header_mode: wire::HEADERS_SENT,
        ..ProcessingMode::default()
    };
    ProcessingResponse {
        response: Some(Response::RequestHeaders(HeadersResponse::default())),
        mode_override: Some(mode),
        ..ProcessingResponse::default()
    }
}

/// Creates the response to a request that is refused because of its headers.
pub(crate) fn error_response(error: RequestError) -> ProcessingResponse {
    immediate_response(error.status(), Vec::new(), error.details())
}

/// Creates a response that the proxy sends to the client at once.
fn immediate_response(code: i32, set_headers: Vec<HeaderValueOption>, details: &str) -> ProcessingResponse {
    with_response(Response::ImmediateResponse(ImmediateResponse {
        status: Some(HttpStatus { code }),
        headers: Some(HeaderMutation { set_headers, ..HeaderMutation::default() }),
        details: details.to_owned(),
        ..ImmediateResponse::default()
    }))
}

fn header(name: &str, value: String) -> HeaderValueOption {
    HeaderValueOption {
        header: Some(HeaderValue {
            key: name.to_owned(),
            raw_value: value.into_bytes(),
            ..HeaderValue::default()
        }),
        append_action: wire::OVERWRITE_OR_ADD,
        ..HeaderValueOption::default()
    }
}

/// Reads the response code details: the proxy's reason if it generated the response itself.
pub(crate) fn response_code_details(request: &ProcessingRequest) -> Option<String> {
    let attributes = request.attributes.get(wire::ATTRIBUTES_NAMESPACE)?;
    let value = attributes.fields.get(wire::RESPONSE_CODE_DETAILS)?;
    match value.kind.as_ref()? {
        protobuf::value::Kind::StringValue(text) => Some(text.chars().take(MAX_DETAILS_CHARS).collect()),
        _ => None,
    }
}
