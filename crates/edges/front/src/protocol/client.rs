//! What clients say and are told: JSON-RPC 2.0, one message a line, no requests of messages.
//!
//! Seen from clients: `revoke` comes as a notification that names the request's id in its params.

use super::json::{self, Value};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Longest line that is read.
pub const MAX_LINE_BYTES: usize = 256 * 1024;

/// A message from a client.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientMessage {
    Request(ClientRequest),
    /// The client no longer waits for the request under this id.
    Revoke(u64),
    Heartbeat(u64),
}

/// A request as a client sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    pub id: u64,
    /// The request class's name.
    pub request_class: String,
    pub request: String,
    pub client_timeout_ms: u64,
    pub client_retry: bool,
    pub statement: Vec<u8>,
}

/// What a line gets that is no message: the standard error, and the id if one could be read.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    pub id: Option<u64>,
    pub kind: FaultKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    NotJson,
    InvalidRequest,
    UnknownMethod,
    InvalidParams,
}

/// A line's length, and what it says.
type ParsedLine = (usize, Result<ClientMessage, Fault>);

/// Cuts one line off what has come.
pub fn parse_line(bytes: &[u8]) -> Result<Option<ParsedLine>, std::convert::Infallible> {
    let end = bytes.iter().position(|b| *b == b'\n');
    Ok(end.map(|end| (end + 1, parse_message(&bytes[..end]))))
}

pub fn parse_message(line: &[u8]) -> Result<ClientMessage, Fault> {
    let value = json::parse(line).map_err(|_| Fault { id: None, kind: FaultKind::NotJson })?;
    let id = value.get("id").and_then(Value::whole).filter(|id| *id > 0);
    let fault = |kind| Fault { id, kind };
    if value.get("jsonrpc").and_then(Value::text) != Some("2.0") {
        return Err(fault(FaultKind::InvalidRequest));
    }
    let method = value.get("method").and_then(Value::text).ok_or(fault(FaultKind::InvalidRequest))?;
    let params = value.get("params");
    if method == "revoke" {
        let named = params.and_then(|p| p.get("id").or(p.list().and_then(|l| l.first())));
        return named
            .and_then(Value::whole)
            .map(ClientMessage::Revoke)
            .ok_or(fault(FaultKind::InvalidParams));
    }
    let id = id.ok_or(fault(FaultKind::InvalidRequest))?;
    if method == "heartbeat" {
        return Ok(ClientMessage::Heartbeat(id));
    }
    let request = || {
        let params = params?;
        let request = params.get("call")?.text()?;
        let client_retry = match params.get("rep") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(mark)) => *mark,
            Some(value) => value.whole()? > 0,
        };
        Some(ClientRequest {
            id,
            request_class: method.to_owned(),
            request: (request.len() == 16 && request.bytes().all(|b| b.is_ascii_hexdigit()))
                .then(|| request.to_owned())?,
            client_timeout_ms: params.get("ttl")?.whole()?,
            client_retry,
            statement: STANDARD.decode(params.get("data")?.text()?).ok()?,
        })
    };
    request().map(ClientMessage::Request).ok_or(fault(FaultKind::InvalidParams))
}

/// All rows of a result.
pub fn encode_result(id: u64, rows: &[u8]) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"data\":\"{}\"}}}}\n", STANDARD.encode(rows))
}

/// Trying again is harmless, after `come_back_ms` where that is said.
pub fn encode_rejected(id: u64, retry_after_ms: Option<u64>) -> String {
    let data = retry_after_ms.map_or(String::new(), |ms| format!(",\"data\":{{\"pushback\":{ms}}}"));
    error(Some(id), -32002, "pushed back", &data)
}

pub fn encode_failed(id: u64) -> String {
    error(Some(id), -32000, "errored", "")
}

pub fn encode_fault(fault: &Fault) -> String {
    let (code, message) = match fault.kind {
        FaultKind::NotJson => (-32700, "Parse error"),
        FaultKind::InvalidRequest => (-32600, "Invalid Request"),
        FaultKind::UnknownMethod => (-32601, "Method not found"),
        FaultKind::InvalidParams => (-32602, "Invalid params"),
    };
    error(fault.id, code, message, "")
}

pub fn encode_heartbeat(id: u64, fit: bool) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"fit\":{fit}}}}}\n")
}

fn error(id: Option<u64>, code: i32, message: &str, data: &str) -> String {
    let id = id.map_or("null".to_owned(), |id| id.to_string());
    let message = json::quoted(message);
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":{message}{data}}}}}\n")
}

#[cfg(test)]
#[path = "../../tests/unit/client.rs"]
mod tests;
