use super::*;

const REQUEST: &str = r#"{"jsonrpc":"2.0","id":7,"method":"report","params":{"call":"9b1f03aa5c7e2d41","ttl":1500,"data":"eA=="}}"#;

fn kind(line: &str) -> FaultKind {
    parse_message(line.as_bytes()).unwrap_err().kind
}

#[test]
fn reads_client_messages() {
    let request = |client_retry| {
        let (request_class, request) = ("report".to_owned(), "9b1f03aa5c7e2d41".to_owned());
        Ok(ClientMessage::Request(ClientRequest {
            id: 7,
            request_class,
            request,
            client_timeout_ms: 1500,
            client_retry,
            statement: b"x".to_vec(),
        }))
    };
    assert_eq!(parse_message(REQUEST.as_bytes()), request(false));
    assert_eq!(parse_message(REQUEST.replace(r#""ttl""#, r#""rep":1,"ttl""#).as_bytes()), request(true));
    let revoke = |params: &str| format!(r#"{{"jsonrpc":"2.0","method":"revoke","params":{params}}}"#);
    for params in [r#"{"id":7}"#, "[7]"] {
        assert_eq!(parse_message(revoke(params).as_bytes()), Ok(ClientMessage::Revoke(7)));
    }
    assert_eq!(kind(&revoke("{}")), FaultKind::InvalidParams);
    let line = br#"{"jsonrpc":"2.0","id":1,"method":"heartbeat"}"#;
    assert_eq!(parse_message(line), Ok(ClientMessage::Heartbeat(1)));
    assert_eq!(parse_line(b"{\n{").unwrap().map(|line| line.length), Some(2));
    assert_eq!(parse_line(b"{").unwrap(), None);
}

#[test]
fn distinguishes_faults() {
    assert_eq!(parse_message(b"{"), Err(Fault { id: None, kind: FaultKind::NotJson }));
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
fn writes_responses_that_read_as_json() {
    let read = |line: String| json::parse(line.trim_end().as_bytes()).unwrap();
    let data = |value: &Value, path: [&str; 3]| {
        path.iter().fold(value.clone(), |v, name| v.get(name).unwrap().clone())
    };
    let line = read(encode_result(7, b"a\tb\tc\n"));
    assert_eq!(line.get("result").and_then(|r| r.get("data")), Some(&Value::Text("YQliCWMK".into())));
    let line = read(encode_rejected(7, Some(200)));
    assert_eq!(data(&line, ["error", "data", "pushback"]), Value::Number(200.0));
    assert_eq!(line.get("error").and_then(|e| e.get("code")), Some(&Value::Number(-32002.0)));
    assert_eq!(read(encode_failed(7)).get("id"), Some(&Value::Number(7.0)));
    assert_eq!(
        read(encode_fault(&Fault { id: None, kind: FaultKind::NotJson })).get("id"),
        Some(&Value::Null)
    );
}
