//! The protocol between clients and a front: JSON-RPC 2.0, one message per line, without batch arrays. Clients
//! send `revoke` as a notification with the request's message id in its params.

use super::json::{self, Value};
use crate::transport::Parsed;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Names on the wire. The method of a request is the name of its request class.
mod wire {
    /// Method of a notification: the client no longer waits for a request.
    pub const REVOKE: &str = "revoke";
    /// Method that asks whether the front is serving.
    pub const HEARTBEAT: &str = "heartbeat";

    /// Param of a request: the request's id.
    pub const REQUEST: &str = "call";
    /// Param of a request: the client timeout, in milliseconds.
    pub const CLIENT_TIMEOUT_MS: &str = "ttl";
    /// Param of a request: whether the client has sent the request before.
    pub const CLIENT_RETRY: &str = "rep";
    /// Param of a request: the statement, in base64.
    pub const STATEMENT: &str = "data";
    /// Param of a revoke: the message id of the request.
    pub const REVOKED_ID: &str = "id";

    /// Member of a result: its rows, in base64.
    pub const ROWS: &str = "data";
    /// Member of the response to a heartbeat: whether the front is serving.
    pub const IS_SERVING: &str = "fit";

    /// Error: the request was rejected without effect.
    pub const REJECTED: super::RpcError = super::RpcError { code: -32002, message: "pushed back" };
    /// Member of the data of a rejection: the time to wait before a retry, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "pushback";
    /// Error: the request failed.
    pub const FAILED: super::RpcError = super::RpcError { code: -32000, message: "errored" };
}

/// Maximum length of a line.
pub const MAX_LINE_BYTES: usize = 256 * 1024;
/// Number of hexadecimal digits in a request's id.
const REQUEST_ID_DIGITS: usize = 16;

/// A message from a client.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientMessage {
    /// A request.
    Request(ClientRequest),
    /// The client no longer waits for the request with this message id.
    Revoke(u64),
    /// The client asks whether the front is serving. Holds the message id.
    Heartbeat(u64),
}

/// A request as a client sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    /// Id of the message, unique among the open requests of the connection.
    pub id: u64,
    /// Name of the request class.
    pub request_class: String,
    /// Id of the request: 16 hexadecimal digits.
    pub request: String,
    /// Client timeout, in milliseconds.
    pub client_timeout_ms: u64,
    /// Whether the client has sent the request before.
    pub client_retry: bool,
    /// The statement's bytes.
    pub statement: Vec<u8>,
}

/// Reason why a line is not a valid message.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Id of the message; `None` if the line holds no usable id, or the error must not carry the id because a request
    /// with the same id is open.
    pub id: Option<u64>,
    /// The JSON-RPC error that the client gets.
    pub kind: FaultKind,
}

/// Standard errors of JSON-RPC 2.0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The line is not valid JSON.
    NotJson,
    /// The JSON is not a valid message.
    InvalidRequest,
    /// The method is not the name of a request class.
    UnknownMethod,
    /// The params are missing or invalid.
    InvalidParams,
}

/// Code and message of a JSON-RPC error.
struct RpcError {
    code: i32,
    message: &'static str,
}

/// The message of a line, or the reason why it is invalid.
pub type ParsedLine = Parsed<Result<ClientMessage, Fault>>;

/// Parses the first line in `bytes`; `None` while it is incomplete.
pub fn parse_line(bytes: &[u8]) -> Result<Option<ParsedLine>, std::convert::Infallible> {
    let end = bytes.iter().position(|b| *b == b'\n');
    Ok(end.map(|end| Parsed { length: end + 1, message: parse_message(&bytes[..end]) }))
}

/// Parses one line, without its line end.
pub fn parse_message(line: &[u8]) -> Result<ClientMessage, Fault> {
    let value = json::parse(line).map_err(|_| Fault { id: None, kind: FaultKind::NotJson })?;
    let id = value.get("id").and_then(Value::integer).filter(|id| *id > 0);
    let fault = |kind| Fault { id, kind };
    if value.get("jsonrpc").and_then(Value::text) != Some("2.0") {
        return Err(fault(FaultKind::InvalidRequest));
    }
    let method = value.get("method").and_then(Value::text).ok_or(fault(FaultKind::InvalidRequest))?;
    let params = value.get("params");
    if method == wire::REVOKE {
        let revoked = params.and_then(|p| p.get(wire::REVOKED_ID).or(p.list().and_then(|list| list.first())));
        return revoked
            .and_then(Value::integer)
            .map(ClientMessage::Revoke)
            .ok_or(fault(FaultKind::InvalidParams));
    }
    let id = id.ok_or(fault(FaultKind::InvalidRequest))?;
    if method == wire::HEARTBEAT {
        return Ok(ClientMessage::Heartbeat(id));
    }
    let request = params.and_then(|params| parse_request(id, method, params));
    request.map(ClientMessage::Request).ok_or(fault(FaultKind::InvalidParams))
}

fn parse_request(id: u64, method: &str, params: &Value) -> Option<ClientRequest> {
    let request = params.get(wire::REQUEST)?.text()?;
    let client_retry = match params.get(wire::CLIENT_RETRY) {
        None | Some(Value::Null) => false,
        Some(Value::Bool(is_retry)) => *is_retry,
        Some(value) => value.integer()? > 0,
    };
    let is_request_id = request.len() == REQUEST_ID_DIGITS && request.bytes().all(|b| b.is_ascii_hexdigit());
    Some(ClientRequest {
        id,
        request_class: method.to_owned(),
        request: is_request_id.then(|| request.to_owned())?,
        client_timeout_ms: params.get(wire::CLIENT_TIMEOUT_MS)?.integer()?,
        client_retry,
        statement: STANDARD.decode(params.get(wire::STATEMENT)?.text()?).ok()?,
    })
}

/// Encodes a result with all its rows.
pub fn encode_result(id: u64, rows: &[u8]) -> String {
    let rows = STANDARD.encode(rows);
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"{}\":\"{rows}\"}}}}\n", wire::ROWS)
}

/// Encodes the rejection of a request that had no effect. The client may retry it, after `retry_after_ms` if
/// given.
pub fn encode_rejected(id: u64, retry_after_ms: Option<u64>) -> String {
    let data =
        retry_after_ms.map_or(String::new(), |ms| format!(",\"data\":{{\"{}\":{ms}}}", wire::RETRY_AFTER_MS));
    encode_error(Some(id), &wire::REJECTED, &data)
}

/// Encodes the failure of a request, which may have had effects.
pub fn encode_failed(id: u64) -> String {
    encode_error(Some(id), &wire::FAILED, "")
}

/// Encodes the error response to an invalid line.
pub fn encode_fault(fault: &Fault) -> String {
    let (code, message) = match fault.kind {
        FaultKind::NotJson => (-32700, "Parse error"),
        FaultKind::InvalidRequest => (-32600, "Invalid Request"),
        FaultKind::UnknownMethod => (-32601, "Method not found"),
        FaultKind::InvalidParams => (-32602, "Invalid params"),
    };
    encode_error(fault.id, &RpcError { code, message }, "")
}

/// Encodes the response to a heartbeat.
pub fn encode_heartbeat(id: u64, is_serving: bool) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"{}\":{is_serving}}}}}\n", wire::IS_SERVING)
}

fn encode_error(id: Option<u64>, error: &RpcError, data: &str) -> String {
    let code = error.code;
    let id = id.map_or("null".to_owned(), |id| id.to_string());
    let message = json::quoted(error.message);
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":{message}{data}}}}}\n")
}

#[cfg(test)]
#[path = "../../tests/unit/client.rs"]
mod tests;
