use super::*;

fn whole(bytes: &[u8]) -> Result<Answer, Malformed> {
    let cut = cut(bytes)?.expect("a whole answer");
    assert_eq!(cut.0, bytes.len());
    Ok(cut.1)
}

#[test]
fn reads_answers_and_waits_for_whole_ones() {
    let hit: &[u8] =
        b"a1 HIT fetches=2,effort=120.5,high=64,use=inflight:7;util:0.61;a:NaN;b:-1;c:inf;odd 6\r\na\t\tb\r\n\r\n";
    for end in 0..hit.len() {
        assert_eq!(cut(&hit[..end]), Ok(None), "{end}");
    }
    let answer = whole(hit).unwrap();
    assert_eq!(answer.word, Word::Hit { pages: 2, cost: Some((120.5, 64.0)) });
    assert_eq!(answer.load, Some(vec![("inflight".into(), 7.0), ("util".into(), 0.61)]));
    assert_eq!((answer.id.as_str(), answer.body.as_slice()), ("a1", b"a\t\tb\r\n".as_slice()));
    for (line, word) in [
        ("HIT -", Word::Hit { pages: 1, cost: None }),
        ("SHED -", Word::Shed),
        ("FAULT why=odd", Word::Fault),
        ("LATE -", Word::Late),
        ("PART fetch_no=3", Word::Part { page: 3 }),
        ("PONG -", Word::Pong),
        ("SICK -", Word::Sick),
        ("INFO -", Word::Info(None)),
        ("INFO detail=odd,figure=2", Word::Info(None)),
        ("INFO detail=advance,figure=0.25", Word::Info(Some(Note::Advance(0.25)))),
        ("INFO detail=disk,figure=12", Word::Info(Some(Note::Disk(12.0)))),
        ("INFO detail=stall,figure=1", Word::Info(Some(Note::StallForMemory))),
        ("INFO detail=stall,figure=2", Word::Info(Some(Note::StallForLoad))),
    ] {
        assert_eq!(whole(format!("x {line} 0\r\n\r\n").as_bytes()).map(|a| a.word), Ok(word), "{line}");
    }
}

#[test]
fn turns_away_what_is_no_answer() {
    for (bytes, why) in [
        ("x HIT 0\r\n\r\n", Malformed::Line),
        (" HIT - 0\r\n\r\n", Malformed::Line),
        ("x HIT - - 0\r\n\r\n", Malformed::Line),
        ("x WHAT - 0\r\n\r\n", Malformed::Word),
        ("x PART - 0\r\n\r\n", Malformed::Field),
        ("x PART fetch_no=-1 0\r\n\r\n", Malformed::Field),
        ("x HIT fetches 0\r\n\r\n", Malformed::Field),
        ("x HIT effort=NaN 0\r\n\r\n", Malformed::Field),
        ("x HIT - -1\r\n\r\n", Malformed::Length),
        ("x HIT - 99999999\r\n", Malformed::Length),
        ("x HIT - 1\r\nab\r\n", Malformed::Length),
        (&"x".repeat(LONGEST_LINE + 1), Malformed::Line),
    ] {
        assert_eq!(cut(bytes.as_bytes()), Err(why), "{bytes}");
    }
    assert_eq!(cut(b"\xff HIT - 0\r\n\r\n"), Err(Malformed::Line));
}

#[test]
fn tells_whole_rows_from_others() {
    for whole in ["", "a\tb\tc\n", "\t\t\n\t\té\r\n"] {
        assert!(whole_rows(whole.as_bytes()), "{whole}");
    }
    for spoilt in [&b"\n"[..], b"a\tb\n", b"a\tb\tc", b"a\tb\tc\n\t", b"a\tb\tc\td\n", b"\xff\t\t\n"] {
        assert!(!whole_rows(spoilt), "{spoilt:?}");
    }
}

#[test]
fn writes_requests_with_their_terms() {
    let mut terms = Terms { queue: "look-up", budget_ms: 900, weight: 3, workmem: 0 };
    assert_eq!(serve("a1", &terms, b"x\r\n"), b"serve a1 queue=look-up,budget=900,weight=3 3\r\nx\r\n\r\n");
    terms.workmem = 64;
    let message = serve("a1", &terms, b"");
    assert_eq!(message, b"serve a1 queue=look-up,budget=900,workmem=64,weight=3 0\r\n\r\n");
}
