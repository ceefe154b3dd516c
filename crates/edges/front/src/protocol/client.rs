//! What clients say and are told: JSON-RPC 2.0, one message a line, no requests of messages.
//!
//! Seen from clients: `revoke` comes as a notification that names the request's id in its params.

use super::json::{self, Value};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Longest line that is read.
pub const LONGEST_LINE: usize = 256 * 1024;

/// A message from a client.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    Request(Request),
    /// The client no longer waits for the request under this id.
    Revoke(u64),
    Heartbeat(u64),
}

/// A request as a client sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub id: u64,
    /// The request class's name.
    pub method: String,
    pub call: String,
    pub ttl_ms: u64,
    pub repeat: bool,
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
type Line = (usize, Result<Message, Fault>);

/// Cuts one line off what has come.
pub fn cut(bytes: &[u8]) -> Result<Option<Line>, std::convert::Infallible> {
    let end = bytes.iter().position(|b| *b == b'\n');
    Ok(end.map(|end| (end + 1, decode(&bytes[..end]))))
}

pub fn decode(line: &[u8]) -> Result<Message, Fault> {
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
        return named.and_then(Value::whole).map(Message::Revoke).ok_or(fault(FaultKind::InvalidParams));
    }
    let id = id.ok_or(fault(FaultKind::InvalidRequest))?;
    if method == "heartbeat" {
        return Ok(Message::Heartbeat(id));
    }
    let request = || {
        let params = params?;
        let call = params.get("call")?.text()?;
        let repeat = match params.get("rep") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(mark)) => *mark,
            Some(value) => value.whole()? > 0,
        };
        Some(Request {
            id,
            method: method.to_owned(),
            call: (call.len() == 16 && call.bytes().all(|b| b.is_ascii_hexdigit()))
                .then(|| call.to_owned())?,
            ttl_ms: params.get("ttl")?.whole()?,
            repeat,
            statement: STANDARD.decode(params.get("data")?.text()?).ok()?,
        })
    };
    request().map(Message::Request).ok_or(fault(FaultKind::InvalidParams))
}

/// All rows of a result.
pub fn result(id: u64, rows: &[u8]) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"data\":\"{}\"}}}}\n", STANDARD.encode(rows))
}

/// Trying again is harmless, after `come_back_ms` where that is said.
pub fn pushed_back(id: u64, come_back_ms: Option<u64>) -> String {
    let data = come_back_ms.map_or(String::new(), |ms| format!(",\"data\":{{\"pushback\":{ms}}}"));
    error(Some(id), -32002, "pushed back", &data)
}

pub fn errored(id: u64) -> String {
    error(Some(id), -32000, "errored", "")
}

pub fn fault(fault: &Fault) -> String {
    let (code, message) = match fault.kind {
        FaultKind::NotJson => (-32700, "Parse error"),
        FaultKind::InvalidRequest => (-32600, "Invalid Request"),
        FaultKind::UnknownMethod => (-32601, "Method not found"),
        FaultKind::InvalidParams => (-32602, "Invalid params"),
    };
    error(fault.id, code, message, "")
}

pub fn heartbeat(id: u64, fit: bool) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"fit\":{fit}}}}}\n")
}

fn error(id: Option<u64>, code: i32, message: &str, data: &str) -> String {
    let id = id.map_or("null".to_owned(), |id| id.to_string());
    let message = json::quoted(message);
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":{message}{data}}}}}\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    const REQUEST: &str = r#"{"jsonrpc":"2.0","id":7,"method":"report","params":{"call":"9b1f03aa5c7e2d41","ttl":1500,"data":"eA=="}}"#;

    fn kind(line: &str) -> FaultKind {
        decode(line.as_bytes()).unwrap_err().kind
    }

    #[test]
    fn reads_what_clients_say() {
        let request = |repeat| {
            let (method, call) = ("report".to_owned(), "9b1f03aa5c7e2d41".to_owned());
            Ok(Message::Request(Request {
                id: 7,
                method,
                call,
                ttl_ms: 1500,
                repeat,
                statement: b"x".to_vec(),
            }))
        };
        assert_eq!(decode(REQUEST.as_bytes()), request(false));
        assert_eq!(decode(REQUEST.replace(r#""ttl""#, r#""rep":1,"ttl""#).as_bytes()), request(true));
        let revoke = |params: &str| format!(r#"{{"jsonrpc":"2.0","method":"revoke","params":{params}}}"#);
        for params in [r#"{"id":7}"#, "[7]"] {
            assert_eq!(decode(revoke(params).as_bytes()), Ok(Message::Revoke(7)));
        }
        assert_eq!(kind(&revoke("{}")), FaultKind::InvalidParams);
        let line = br#"{"jsonrpc":"2.0","id":1,"method":"heartbeat"}"#;
        assert_eq!(decode(line), Ok(Message::Heartbeat(1)));
        assert_eq!(cut(b"{\n{").unwrap().map(|line| line.0), Some(2));
        assert_eq!(cut(b"{").unwrap(), None);
    }

    #[test]
    fn tells_faults_apart() {
        assert_eq!(decode(b"{"), Err(Fault { id: None, kind: FaultKind::NotJson }));
        for (from, to, wanted) in [
            ("\"2.0\"", "2.0", FaultKind::InvalidRequest),
            ("\"id\":7", "\"id\":0", FaultKind::InvalidRequest),
            ("\"id\":7", "\"id\":1.5", FaultKind::InvalidRequest),
            ("\"report\"", "7", FaultKind::InvalidRequest),
            ("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4", FaultKind::InvalidParams),
            ("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4\\u0020", FaultKind::InvalidParams),
            ("1500", "-1", FaultKind::InvalidParams),
            ("1500", "\"1500\"", FaultKind::InvalidParams),
            ("eA==", "eA", FaultKind::InvalidParams),
        ] {
            assert_eq!(kind(&REQUEST.replace(from, to)), wanted, "{to}");
        }
    }

    #[test]
    fn writes_answers_that_read_as_json() {
        let read = |line: String| json::parse(line.trim_end().as_bytes()).unwrap();
        let data = |value: &Value, path: [&str; 3]| {
            path.iter().fold(value.clone(), |v, name| v.get(name).unwrap().clone())
        };
        let line = read(result(7, b"a\tb\tc\n"));
        assert_eq!(line.get("result").and_then(|r| r.get("data")), Some(&Value::Text("YQliCWMK".into())));
        let line = read(pushed_back(7, Some(200)));
        assert_eq!(data(&line, ["error", "data", "pushback"]), Value::Number(200.0));
        assert_eq!(line.get("error").and_then(|e| e.get("code")), Some(&Value::Number(-32002.0)));
        assert_eq!(read(errored(7)).get("id"), Some(&Value::Number(7.0)));
        assert_eq!(read(fault(&Fault { id: None, kind: FaultKind::NotJson })).get("id"), Some(&Value::Null));
    }
}
