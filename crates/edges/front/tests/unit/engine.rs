use super::*;

fn parse_complete(bytes: &[u8]) -> Result<EngineReply, ReplyError> {
    let reply = parse_reply(bytes)?.expect("the reply is incomplete");
    assert_eq!(reply.length, bytes.len());
    Ok(reply.message)
}

#[test]
fn reads_replies_and_waits_for_complete_ones() {
    let completed: &[u8] =
        b"a1 HIT fetches=2,effort=120.5,high=64,use=inflight:7;util:0.61;a:NaN;b:-1;c:inf;odd 6\r\na\t\tb\r\n\r\n";
    for end in 0..completed.len() {
        assert_eq!(parse_reply(&completed[..end]), Ok(None), "{end}");
    }
    let reply = parse_complete(completed).unwrap();
    assert_eq!(
        reply.kind,
        ReplyKind::Completed { pages: 2, usage: Some(ReportedUsage { work_ms: 120.5, memory_mb: 64.0 }) }
    );
    assert_eq!(
        reply.load,
        Some(vec![
            LoadField { name: "inflight".into(), value: 7.0 },
            LoadField { name: "util".into(), value: 0.61 }
        ])
    );
    assert_eq!((reply.id.as_str(), reply.body.as_slice()), ("a1", b"a\t\tb\r\n".as_slice()));
    for (line, kind) in [
        ("HIT -", ReplyKind::Completed { pages: 1, usage: None }),
        ("SHED -", ReplyKind::Rejected),
        ("FAULT why=odd", ReplyKind::Failed),
        ("LATE -", ReplyKind::NotStarted),
        ("PART fetch_no=3", ReplyKind::Page { page: 3 }),
        ("PONG -", ReplyKind::Healthy),
        ("SICK -", ReplyKind::Unhealthy),
        ("INFO -", ReplyKind::Progress(None)),
        ("INFO detail=odd,figure=2", ReplyKind::Progress(None)),
        ("INFO detail=advance,figure=0.25", ReplyKind::Progress(Some(ProgressNote::Done(0.25)))),
        ("INFO detail=disk,figure=12", ReplyKind::Progress(Some(ProgressNote::Spilling(12.0)))),
        ("INFO detail=stall,figure=1", ReplyKind::Progress(Some(ProgressNote::WaitingForMemory))),
        ("INFO detail=stall,figure=2", ReplyKind::Progress(Some(ProgressNote::WaitingForBulkLoad))),
    ] {
        assert_eq!(
            parse_complete(format!("x {line} 0\r\n\r\n").as_bytes()).map(|a| a.kind),
            Ok(kind),
            "{line}"
        );
    }
}

#[test]
fn rejects_malformed_replies() {
    for (bytes, error) in [
        ("x HIT 0\r\n\r\n", ReplyError::Line),
        (" HIT - 0\r\n\r\n", ReplyError::Line),
        ("x HIT - - 0\r\n\r\n", ReplyError::Line),
        ("x WHAT - 0\r\n\r\n", ReplyError::UnknownReply),
        ("x PART - 0\r\n\r\n", ReplyError::Field),
        ("x PART fetch_no=-1 0\r\n\r\n", ReplyError::Field),
        ("x HIT fetches 0\r\n\r\n", ReplyError::Field),
        ("x HIT effort=NaN 0\r\n\r\n", ReplyError::Field),
        ("x HIT - -1\r\n\r\n", ReplyError::Length),
        ("x HIT - 99999999\r\n", ReplyError::Length),
        ("x HIT - 1\r\nab\r\n", ReplyError::Length),
        (&"x".repeat(MAX_LINE_BYTES + 1), ReplyError::Line),
    ] {
        assert_eq!(parse_reply(bytes.as_bytes()), Err(error), "{bytes}");
    }
    assert_eq!(parse_reply(b"\xff HIT - 0\r\n\r\n"), Err(ReplyError::Line));
}

#[test]
fn recognises_complete_rows() {
    for complete in ["", "a\tb\tc\n", "\t\t\n\t\té\r\n"] {
        assert!(has_complete_rows(complete.as_bytes()), "{complete}");
    }
    for malformed in [&b"\n"[..], b"a\tb\n", b"a\tb\tc", b"a\tb\tc\n\t", b"a\tb\tc\td\n", b"\xff\t\t\n"] {
        assert!(!has_complete_rows(malformed), "{malformed:?}");
    }
}

#[test]
fn writes_attempts_with_their_parameters() {
    let mut parameters =
        AttemptParameters { request_class: "look-up", budget_ms: 900, priority: 3, memory_mb: 0 };
    assert_eq!(
        encode_attempt("a1", &parameters, b"x\r\n"),
        b"serve a1 queue=look-up,budget=900,weight=3 3\r\nx\r\n\r\n"
    );
    parameters.memory_mb = 64;
    let message = encode_attempt("a1", &parameters, b"");
    assert_eq!(message, b"serve a1 queue=look-up,budget=900,workmem=64,weight=3 0\r\n\r\n");
}
