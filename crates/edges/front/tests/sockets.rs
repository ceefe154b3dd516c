//! End-to-end tests of the front binary: clients, engines and the discovery server are fakes on loopback.

use lemonusher_fakes::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const FRONT: &str = env!("CARGO_BIN_EXE_lemonusher-front");
const PAUSE: Duration = Duration::from_millis(150);

/// Starts a front with one engine.
fn front_with_one_engine() -> (Front, Engine, DiscoveryServer) {
    let (engine, discovery) = (Engine::start(), DiscoveryServer::start());
    let front = Front::start(FRONT, &start_config(&[(1, engine.address)], discovery.address));
    (front, engine, discovery)
}

/// Starts a front with two engines, and returns the home engine of the look-ups in these tests first.
fn front_with_two_engines() -> (Front, [(u32, Engine); 2], DiscoveryServer) {
    let (engines, discovery) = ([(1, Engine::start()), (2, Engine::start())], DiscoveryServer::start());
    let known: Vec<(u32, SocketAddr)> = engines.iter().map(|(id, e)| (*id, e.address)).collect();
    let front = Front::start(FRONT, &start_config(&known, discovery.address));
    let mut client = front.client();
    client.send_request(1, "look-up");
    let [a, b] = engines;
    let first = [&a, &b].into_iter().cycle().find_map(|(id, e)| {
        let attempt = e.try_next_request(PAUSE)?;
        attempt.respond("HIT", "fetches=1", b"");
        Some(*id)
    });
    client.expect_result(1, b"");
    (front, if first == Some(a.0) { [a, b] } else { [b, a] }, discovery)
}

#[test]
fn a_result_of_several_pages_is_joined_in_order() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    let request = client.send_request(7, "look-up");
    let attempt = engine.next_message("serve");
    assert_eq!(
        (attempt.id.as_str(), attempt.body.as_slice()),
        (request.as_str(), b"select * from sales_17.orders".as_slice())
    );
    let fields: Vec<&str> = attempt.arguments.split(',').collect();
    assert!(fields.contains(&"queue=look-up") && fields.contains(&"weight=3"), "{fields:?}");
    let budget: u64 = fields.iter().find_map(|f| f.strip_prefix("budget=")).unwrap().parse().unwrap();
    assert!((1..=20_000).contains(&budget));
    attempt.respond("INFO", "detail=advance,figure=0.50", b"");
    attempt.respond("HIT", "fetches=3,effort=120,high=64", b"a\tb\tc\n");
    let pages = [engine.next_message("read"), engine.next_message("read")];
    assert_eq!(pages.each_ref().map(|p| p.arguments.as_str()), ["1", "2"]);
    attempt.respond("PART", "fetch_no=2", b"g\th\ti\n");
    attempt.respond("PART", "fetch_no=1", b"d\te\tf\n");
    client.expect_result(7, b"a\tb\tc\nd\te\tf\ng\th\ti\n");
    assert_eq!(engine.next_message("release").id, request);
}

#[test]
fn a_request_that_cannot_be_sent_is_rejected_with_retry_after() {
    let discovery = DiscoveryServer::start();
    let front = Front::start(FRONT, &start_config(&[], discovery.address));
    let mut client = front.client();
    client.send_request(1, "look-up");
    let answer = client.next_response().unwrap();
    assert_eq!(answer["error"]["code"], -32002);
    assert!(answer["error"]["data"]["pushback"].as_u64().unwrap() > 0);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried() {
    let (front, [(_, first), (_, second)], _discovery) = front_with_two_engines();
    let mut client = front.client();
    for (id, end) in [(1, "FAULT"), (2, "reset"), (3, "reset in mid-answer")] {
        client.send_request(id, "load");
        let attempt = first.try_next_request(PAUSE).unwrap_or_else(|| second.next_message("serve"));
        match end {
            "FAULT" => attempt.respond("FAULT", "-", b""),
            "reset" => attempt.close_connection(),
            _ => {
                attempt.respond("HIT", "fetches=2", b"a\tb\tc\n");
                attempt.close_connection();
            }
        }
        let code = client.expect_error(Some(id));
        assert!(code != -32002 && code != 0, "{end}: {code}");
    }
}

#[test]
fn an_attempt_that_an_engine_lost_or_rejected_is_retried_elsewhere() {
    for end in ["SHED", "FAULT", "LATE", "reset", "WHAT"] {
        let (front, [(_, first), (_, second)], _discovery) = front_with_two_engines();
        let mut client = front.client();
        client.send_request(2, "look-up");
        let attempt = first.next_message("serve");
        if end == "reset" {
            attempt.close_connection()
        } else {
            attempt.respond(end, "-", b"")
        }
        let retry = second.next_message("serve");
        assert_eq!(retry.id, attempt.id, "{end}");
        retry.respond("HIT", "-", b"x\ty\tz\n");
        client.expect_result(2, b"x\ty\tz\n");
    }
}

#[test]
fn a_refused_connection_proves_that_a_non_idempotent_request_never_ran() {
    let closed = ClosedPort::bind();
    let (engine, discovery) = (Engine::start(), DiscoveryServer::start());
    // Whichever engine id is the home engine, one of the two requests is first sent to the closed port.
    for known in [[(1, closed.address), (2, engine.address)], [(1, engine.address), (2, closed.address)]] {
        let front = Front::start(FRONT, &start_config(&known, discovery.address));
        let mut client = front.client();
        client.send_request(1, "load");
        engine.next_message("serve").respond("HIT", "fetches=1", b"a\tb\tc\n");
        client.expect_result(1, b"a\tb\tc\n");
    }
}

#[test]
fn a_revoked_request_is_cancelled_and_gets_no_response() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    let request = client.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    client.send_line(r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":1}}"#);
    assert_eq!(engine.next_message("cancel").id, request);
    attempt.respond("HIT", "fetches=1", b"late\t\t\n");
    assert!(client.is_ready()); // No response to the request precedes this one.
}

#[test]
fn a_client_that_disconnects_abandons_its_requests() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    let request = client.send_request(1, "look-up");
    engine.next_message("serve");
    drop(client);
    assert_eq!(engine.next_message("cancel").id, request);
}

/// The engine resets the connection while the front cancels the attempt: the event that the front handles first
/// counts, and the other one is ignored.
#[test]
fn a_reset_that_crosses_a_cancel_ends_the_attempt() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    client.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    std::thread::sleep(PAUSE);
    attempt.respond("INFO", "detail=advance,figure=0.001", b"");
    attempt.close_connection();
    let code = client.expect_error(Some(1)); // The engine is ejected, and the request rejected once it would start too late.
    assert_eq!(code, -32002);
    assert!(client.is_ready());
}

#[test]
fn a_reply_after_the_deadline_reaches_nobody() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    let request = client.send_request_with_timeout(1, "look-up", 300);
    let attempt = engine.next_message("serve");
    assert_eq!(client.expect_error(Some(1)), -32002); // In time, although the engine has not replied.
    assert_eq!(engine.next_message("cancel").id, request);
    attempt.respond("HIT", "fetches=3", b"late\t\t\n");
    engine.next_message("read behind cancel").respond("FAULT", "-", b"");
    assert_eq!(engine.next_message("release").id, request);
    client.send_request(2, "look-up");
    let retry = engine.next_message("serve");
    assert_eq!(retry.front_address(), attempt.front_address()); // The connection is still in use.
    retry.respond("HIT", "fetches=1", b"");
    client.expect_result(2, b"");
}

#[test]
fn a_lost_page_ends_the_attempt_of_a_request_that_may_run_again_elsewhere() {
    let (front, [(_, first), (_, second)], _discovery) = front_with_two_engines();
    let mut client = front.client();
    client.send_request(2, "look-up");
    let attempt = first.next_message("serve");
    attempt.respond("HIT", "fetches=2", b"a\tb\tc\n");
    first.next_message("read");
    attempt.respond("FAULT", "-", b"");
    second.next_message("serve").respond("HIT", "fetches=1", b"d\te\tf\n");
    client.expect_result(2, b"d\te\tf\n");
}

#[test]
fn endless_results_and_unexpected_pages_do_not_reach_clients() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    for (id, pages) in [(1, 9), (2, 9999)] {
        client.send_request(id, "load");
        let attempt = engine.next_message("serve");
        let large = "a\tb\tc\n".repeat(7000);
        attempt.respond("HIT", &format!("fetches={pages}"), large.as_bytes());
        if pages < 10 {
            (1..pages).for_each(|_| drop(engine.next_message("read")));
            attempt.respond("PART", "fetch_no=1", large.as_bytes());
        }
        let code = client.expect_error(Some(id));
        assert!(code != -32002, "{pages}: {code}");
        engine.next_message("release");
    }
}

#[test]
fn unmatched_and_unexpected_replies_do_not_end_requests() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    client.send_request(1, "load");
    let other = engine.next_message("serve");
    client.send_request(2, "look-up");
    let attempt = engine.next_message("serve");
    assert_eq!(attempt.front_address(), other.front_address());
    (&attempt.stream).write_all(b"00000000deadbeef HIT fetches=2 9\r\nnot a row\r\n").unwrap();
    (&attempt.stream).write_all(b"00000000deadbeef PART fetch_no=1 0\r\n\r\n").unwrap();
    attempt.respond("PART", "fetch_no=1", b"too\tsoon\t\n");
    attempt.respond("PONG", "-", b"");
    for _ in 0..2 {
        attempt.respond("HIT", "fetches=2", b"a\tb\tc\n"); // The second one arrives while the front waits for the page.
    }
    engine.next_message("read");
    for page in [7, 0, 1, 1] {
        attempt.respond("PART", &format!("fetch_no={page}"), format!("{page}\t\t\n").as_bytes());
    }
    client.expect_result(2, b"a\tb\tc\n1\t\t\n");
    attempt.respond("HIT", "fetches=1", b"late\t\t\n");
    attempt.respond("FAULT", "-", b"");
    other.respond("HIT", "fetches=1", b"d\te\tf\n");
    client.expect_result(1, b"d\te\tf\n");
    front.signal("USR1");
    assert!(front.wait_for_log("counts:").contains("engine connections 1; stray answers 10;"));
}

#[test]
fn a_malformed_reply_ends_its_connection_and_reaches_no_client() {
    for malformed in [
        "ID HIT fetches=1 5\r\nnoise\r\n",
        "ID HIT fetches=1 3000000000\r\na\tb\tc\n",
        "ID HIT fetches=1 9\r\na\tb\tc\n\r\nID HIT",
        "ID HIT fetches=1 600\r\na\tb\tc\n", // The body is never completed, and the connection stays open.
        &"x".repeat(5000),
    ] {
        let (front, engine, _discovery) = front_with_one_engine();
        let mut client = front.client();
        client.send_request(1, "load");
        let attempt = engine.next_message("serve");
        (&attempt.stream).write_all(malformed.replace("ID", &attempt.id).as_bytes()).unwrap();
        assert_ne!(client.expect_error(Some(1)), -32002, "{malformed}");
    }
}

#[test]
fn a_client_that_does_not_read_delays_nobody_and_loses_nothing() {
    let (front, engine, _discovery) = front_with_one_engine();
    let (mut slow, mut quick) = (front.client(), front.client());
    let rows = "r\t\t\n".repeat(11_750).into_bytes();
    // More than the kernel buffers for a connection that is not read.
    for id in 1..=32 {
        slow.send_request(id, "look-up");
        let attempt = engine.next_message("serve");
        attempt.respond("HIT", "fetches=1", &rows);
    }
    quick.send_request(1, "look-up");
    engine.next_message("serve").respond("HIT", "fetches=1", b"");
    quick.expect_result(1, b"");
    for id in 1..=32 {
        slow.expect_result(id, &rows);
    }
}

#[test]
fn a_client_that_closes_only_its_side_still_gets_a_response() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    let request = client.send_request(1, "load");
    engine.next_message("serve");
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_ne!(client.expect_error(Some(1)), -32002);
    assert_eq!(client.next_response(), None);
    assert_eq!(engine.next_message("cancel").id, request);
}

#[test]
fn time_in_which_the_front_does_not_run_counts_against_client_timeouts() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    assert!(client.is_ready());
    front.signal("STOP");
    client.send_request(1, "look-up");
    std::thread::sleep(PAUSE * 4);
    front.signal("CONT");
    let attempt = engine.next_message("serve");
    let budget = attempt.arguments.split(',').find_map(|field| field.strip_prefix("budget=")).unwrap();
    assert!(budget.parse::<u128>().unwrap() <= 20_000 - (PAUSE * 3).as_millis(), "{budget}");
}

/// If the request were sent again on another connection, that could overtake the cancel of the first attempt.
#[test]
fn a_request_is_not_sent_again_before_its_engine_has_read_the_cancel() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    client.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    std::thread::sleep(PAUSE); // Makes the reported progress look slow, so that the front cancels the attempt.
    attempt.respond("INFO", "detail=advance,figure=0.001", b"");
    engine.next_message("cancel");
    let behind = engine.next_message("read behind cancel");
    assert!(engine.is_quiet(PAUSE / 5));
    behind.respond("FAULT", "-", b"");
    let retry = engine.next_message("serve");
    assert_eq!(retry.id, attempt.id);
    assert_ne!(retry.front_address(), attempt.front_address());
    attempt.respond("HIT", "fetches=1", b"old\t\t\n");
    retry.respond("HIT", "fetches=1", b"new\t\t\n");
    client.expect_result(1, b"new\t\t\n");
}

#[test]
fn a_reply_that_crosses_its_cancel_counts() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    client.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    std::thread::sleep(PAUSE);
    attempt.respond("INFO", "detail=advance,figure=0.001", b"");
    engine.next_message("cancel");
    attempt.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    engine.next_message("read behind cancel").respond("FAULT", "-", b"");
    client.send_request(2, "look-up"); // The connection is still in use.
    engine.next_message("serve").respond("HIT", "fetches=1", b"");
    client.expect_result(2, b"");
}

#[test]
fn a_silent_engine_does_not_hold_a_cancelled_request() {
    let (engine, discovery) = (Engine::start(), DiscoveryServer::start());
    let mut config = start_config(&[(1, engine.address)], discovery.address);
    config["settings"]["classes"][0]["aim_us"] = json!(20_000_000); // A late retry still meets the latency objective.
    let front = Front::start(FRONT, &config);
    let mut client = front.client();
    client.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    std::thread::sleep(PAUSE);
    attempt.respond("INFO", "detail=advance,figure=0.001", b"");
    engine.next_message("cancel");
    engine.next_message("read behind cancel"); // The engine does not reply to this.
    let retry = engine.next_message("serve");
    retry.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
}

#[test]
fn the_channel_is_followed_through_split_repeated_and_missing_frames_and_losses() {
    let (front, [(first, home), (second, other)], discovery) = front_with_two_engines();
    let DiscoveryConnection { last_event: last, stream: mut channel } = discovery.next_connection();
    assert_eq!(last, 1);
    let drains = delta_frame(2, &[(first, home.address, 1)]);
    channel.write_all(&drains[..10]).unwrap();
    channel.flush().unwrap();
    std::thread::sleep(PAUSE / 5);
    channel.write_all(&drains[10..]).unwrap();
    front.wait_for_log("is Leaving");
    let mut client = front.client();
    client.send_request(1, "look-up");
    other.next_message("serve").respond("HIT", "fetches=1", b"");
    client.expect_result(1, b"");
    // After a loss, the front resumes from the last event. It skips known events and requests missing ones again.
    drop(channel);
    let DiscoveryConnection { last_event: last, stream: mut channel } = discovery.next_connection();
    assert_eq!(last, 2);
    channel.write_all(&drains).unwrap();
    channel.write_all(&delta_frame(4, &[(second, other.address, 1)])).unwrap();
    let DiscoveryConnection { last_event: last, stream: mut channel } = discovery.next_connection();
    assert_eq!(last, 2);
    // An engine of an unknown machine kind is skipped. A malformed frame ends the connection.
    let mut strange = delta_frame(3, &[(first, home.address, 0), (9, home.address, 0)]);
    strange[13 + 27 + 12] = 7;
    channel.write_all(&strange).unwrap();
    front.wait_for_log("engine 00000009 is left out");
    channel.write_all(&delta_frame(4, &[(second, other.address, 2)])).unwrap();
    front.wait_for_log("is Left");
    client.send_request(2, "look-up");
    home.next_message("serve").respond("HIT", "fetches=1", b"");
    client.expect_result(2, b"");
    channel.write_all(&[0, 0, 0, 1, 1]).unwrap();
    assert_eq!(discovery.next_connection().last_event, 4);
}

#[test]
fn a_reload_moves_the_channel_and_closes_no_connection() {
    let (front, engine, discovery) = front_with_one_engine();
    let (mut client, moved) = (front.client(), DiscoveryServer::start());
    let DiscoveryConnection { last_event: from, stream: mut channel } = discovery.next_connection();
    assert_eq!(from, 1);
    channel.write_all(&delta_frame(2, &[(2, engine.address, 1)])).unwrap();
    front.wait_for_log("engine 00000002 is Leaving");
    client.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    for config in ["{", "{}"] {
        front.reload(config);
        front.wait_for_log("the configuration stays unchanged");
    }
    let mut newer = start_config(&[(1, engine.address)], moved.address);
    newer["limits"]["sockets"] = json!(512);
    front.reload(&newer.to_string());
    front.wait_for_log("only at the next start: limits");
    let DiscoveryConnection { last_event: from, stream: mut channel } = moved.next_connection();
    assert_eq!(from, 2);
    channel.write_all(&delta_frame(3, &[(3, engine.address, 1)])).unwrap();
    front.wait_for_log("engine 00000003 is Leaving");
    attempt.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    // Moves back to the first address, where the first connection is still open.
    front.reload(&start_config(&[(1, engine.address)], discovery.address).to_string());
    assert_eq!(discovery.next_connection().last_event, 3);
    assert!(client.is_ready());
}

#[test]
fn a_silent_channel_is_reconnected() {
    let (_front, _engine, discovery) = front_with_one_engine();
    let DiscoveryConnection { last_event: from, stream: mut channel } = discovery.next_connection();
    let frame = delta_frame(2, &[(7, discovery.address, 1)]);
    channel.write_all(&frame[..20]).unwrap(); // The channel falls silent in the middle of an event.
    assert_eq!((from, discovery.next_connection().last_event), (1, 1));
}

#[test]
fn a_new_engine_at_the_address_of_a_removed_one_gets_connections_of_its_own() {
    let (front, engine, discovery) = front_with_one_engine();
    let mut client = front.client();
    client.send_request(1, "look-up");
    let old = engine.next_message("serve");
    let DiscoveryConnection { stream: mut channel, .. } = discovery.next_connection();
    channel.write_all(&delta_frame(2, &[(1, engine.address, 2), (5, engine.address, 0)])).unwrap();
    front.wait_for_log("engine 00000005 is Active");
    client.send_request(2, "look-up");
    let new = engine.next_message("serve");
    assert_ne!(new.front_address(), old.front_address());
    old.respond("HIT", "fetches=1", b"old\t\t\n"); // The attempt in flight there may still complete.
    client.expect_result(1, b"old\t\t\n");
    new.respond("HIT", "fetches=1", b"");
    client.expect_result(2, b"");
}

/// Sends invalid lines, and expects the standard error for each, with the message id if one could be parsed.
fn send_faulty_lines(client: &mut Client) {
    let params = r#""call":"9b1f03aa5c7e2d41","ttl":1500"#;
    for (line, id, code) in [
        ("{", None, -32700),
        ("[1", None, -32700),
        (&"[".repeat(500), None, -32700),
        (r#"{"jsonrpc":"1.0","id":3,"method":"look-up"}"#, Some(3), -32600),
        (r#"{"jsonrpc":"2.0","id":3}"#, Some(3), -32600),
        (r#"{"jsonrpc":"2.0","id":"x","method":"look-up"}"#, None, -32600),
        (
            &format!(r#"{{"jsonrpc":"2.0","id":4,"method":"guess","params":{{{params},"data":""}}}}"#),
            Some(4),
            -32601,
        ),
        (r#"{"jsonrpc":"2.0","id":5,"method":"look-up","params":{"ttl":1500,"data":""}}"#, Some(5), -32602),
        (
            r#"{"jsonrpc":"2.0","id":5,"method":"look-up","params":{"call":"9b1f03aa5c7e2d41","data":""}}"#,
            Some(5),
            -32602,
        ),
        (
            &format!(r#"{{"jsonrpc":"2.0","id":6,"method":"look-up","params":{{{params},"data":"!"}}}}"#),
            Some(6),
            -32602,
        ),
        (
            r#"{"jsonrpc":"2.0","id":7,"method":"look-up","params":{"call":7,"ttl":1500,"data":""}}"#,
            Some(7),
            -32602,
        ),
    ] {
        client.send_line(line);
        assert_eq!(client.expect_error(id), code, "{line}");
    }
}

#[test]
fn faulty_input_gets_its_error_and_affects_no_other_client() {
    let (front, engine, _discovery) = front_with_one_engine();
    let (mut bad, mut good) = (front.client(), front.client());
    good.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    send_faulty_lines(&mut bad);
    assert!(bad.is_ready());
    // A message id that is already open, and a request id that is open on another connection: neither ends the
    // first request.
    good.send_request(1, "look-up");
    assert_eq!(good.expect_error(None), -32600);
    let data = base64(b"select 1");
    let params = json!({"call": attempt.id, "ttl": 1500, "data": data});
    bad.send_line(&json!({"jsonrpc": "2.0", "id": 8, "method": "look-up", "params": params}).to_string());
    bad.expect_error(Some(8));
    // A line over the length limit gets one error, as other invalid lines do, and ends the connection.
    let _ = bad.stream.write_all(&[b'x'; 400_000]);
    assert_eq!(bad.expect_error(None), -32600);
    assert_eq!(bad.next_response(), None);
    assert!(engine.is_quiet(PAUSE));
    attempt.respond("HIT", "fetches=1", b"a\tb\tc\n");
    good.expect_result(1, b"a\tb\tc\n");
}

#[test]
fn connections_without_a_complete_line_are_closed_and_others_are_not() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut good = front.client();
    good.send_request(1, "look-up");
    let serve = engine.next_message("serve");
    let (mut silent, mut half, mut again) = (front.client(), front.client(), front.client());
    half.stream.write_all(b"{\"jsonrpc\"").unwrap();
    assert!(again.is_ready());
    again.stream.write_all(b"{").unwrap();
    for bad in [&mut silent, &mut half, &mut again] {
        assert_eq!(bad.next_response(), None);
    }
    serve.respond("HIT", "fetches=1", b"a\tb\tc\n");
    good.expect_result(1, b"a\tb\tc\n");
    assert!(good.is_ready());
}

#[test]
fn a_connection_that_looks_idle_is_not_closed_over_unread_bytes() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut clients: Vec<Client> = (0..8).map(|_| front.client()).collect();
    assert!(clients.iter_mut().all(Client::is_ready));
    front.signal("STOP");
    clients.iter_mut().for_each(|client| drop(client.send_request(1, "look-up")));
    std::thread::sleep(Duration::from_millis(6500)); // Longer than the idle timeout.
    front.signal("CONT");
    for _ in 0..8 {
        engine.next_message("serve").respond("HIT", "fetches=1", b"a\tb\tc\n");
    }
    clients.iter_mut().for_each(|client| client.expect_result(1, b"a\tb\tc\n"));
}

#[test]
fn unusable_lines_get_errors_up_to_a_limit() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut bad = front.client();
    bad.send_line(r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":4}}"#); // No request has this id.
    assert_eq!(bad.expect_error(None), -32602);
    for ttl in ["0", "-5", "1e400", "9e15", "NaN", "\"1500\""] {
        let params = format!(r#"{{"call":"9b1f03aa5c7e2d41","ttl":{ttl},"data":""}}"#);
        bad.send_line(&format!(r#"{{"jsonrpc":"2.0","id":4,"method":"look-up","params":{params}}}"#));
        assert!(bad.next_response().unwrap()["error"]["code"].as_i64().unwrap() < -32002, "{ttl}");
    }
    // A revoke of an id below the highest received is ignored: that request may have got its response.
    bad.send_line(r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":3}}"#);
    assert!(bad.is_ready());
    // The client may still be sending when the front closes, so the connection may end before the client has
    // read the last errors.
    let _ = bad.stream.write_all("{\n".repeat(100).as_bytes());
    while let Some(answer) = bad.next_response() {
        assert_eq!(answer["error"]["code"], -32700);
    }
    assert!(engine.is_quiet(PAUSE));
}

#[test]
fn long_lines_on_many_connections_stay_within_their_memory_budget() {
    let (engine, discovery) = (Engine::start(), DiscoveryServer::start());
    let mut config = start_config(&[(1, engine.address)], discovery.address);
    config["limits"]["memory_mb"] = json!(32);
    let front = Front::start(FRONT, &config);
    let mut good = front.client();
    good.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    let mut bad: Vec<Client> = (0..40).map(|_| front.client()).collect();
    for client in &mut bad {
        let _ = client.stream.write_all(&[b'x'; 200_000]);
    }
    good.send_request(2, "look-up");
    let second = engine.next_message("serve");
    for (id, attempt) in [(1, attempt), (2, second)] {
        attempt.respond("HIT", "fetches=1", b"a\tb\tc\n");
        good.expect_result(id, b"a\tb\tc\n");
    }
    assert!(bad.iter_mut().all(|client| client.next_response().is_none()));
    front.signal("USR1");
    assert!(front.wait_for_log("counts:").contains("lines with no room"));
}

#[test]
fn removed_engines_leave_nothing_behind() {
    let (front, engine, discovery) = front_with_one_engine();
    let DiscoveryConnection { stream: mut channel, .. } = discovery.next_connection();
    for id in 2..=60u32 {
        let frame = delta_frame(u64::from(id), &[(id - 1, engine.address, 2), (id, engine.address, 0)]);
        channel.write_all(&frame).unwrap();
    }
    front.wait_for_log("engine 0000003c is Active");
    let mut client = front.client();
    client.send_request(1, "look-up");
    engine.next_message("serve").respond("HIT", "fetches=1", b"");
    client.expect_result(1, b"");
    front.signal("USR1");
    assert!(front.wait_for_log("counts:").contains("holds 0 batches, 0 dispatches, 1 engines"));
}

#[test]
fn a_connection_carries_a_limited_number_of_requests() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    for id in 1..=33 {
        client.send_request(id, "look-up");
    }
    assert_eq!(client.expect_error(Some(33)), -32600);
    engine.next_message("serve").respond("HIT", "fetches=1", b"");
    client.expect_result(1, b"");
}

#[test]
fn a_termination_signal_is_followed_by_a_response_to_all_and_an_exit() {
    let (mut front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    client.send_request(1, "look-up");
    engine.next_message("serve").respond("HIT", "fetches=1", b"");
    client.expect_result(1, b"");
    client.send_request(2, "load");
    let running = engine.next_message("serve"); // It never completes.
    front.signal("TERM");
    front.signal("HUP"); // Ignored during the shutdown.
    front.wait_for_log("closing");
    assert!(!client.is_ready());
    let mut late = front.client();
    late.send_request(3, "look-up");
    let answered = engine.next_message("serve");
    answered.respond("HIT", "fetches=1", b"a\tb\tc\n");
    late.expect_result(3, b"a\tb\tc\n");
    let code = client.expect_error(Some(2)); // The attempt may have run: the request fails and is not rejected.
    assert_ne!(code, -32002);
    assert_eq!(engine.next_message("cancel").id, running.id);
    let counts = front.wait_for_log("counts");
    for count in ["taken look-up=2 load=1", "returned look-up=2", "errored load=1"] {
        assert!(counts.contains(count), "{counts}");
    }
    assert_eq!(front.exit_code(), Some(0));
}

#[test]
fn counters_are_printed_on_request() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    client.send_request(1, "load");
    engine.next_message("serve").respond("HIT", "fetches=1", b"");
    client.expect_result(1, b"");
    front.signal("USR1");
    let counts = front.wait_for_log("counts");
    assert!(counts.contains("dispatched load=1") && counts.contains("returned load=1"), "{counts}");
    assert!(client.is_ready());
}

#[test]
fn idle_clients_are_closed_when_descriptors_run_short() {
    let (engine, discovery) = (Engine::start(), DiscoveryServer::start());
    let mut config = start_config(&[(1, engine.address)], discovery.address);
    config["limits"]["sockets"] = json!(96);
    let front = Front::start(FRONT, &config);
    let mut busy = front.client();
    busy.send_request(1, "look-up");
    let attempt = engine.next_message("serve");
    let idle: Vec<TcpStream> = (0..120).map(|_| TcpStream::connect(front.address).unwrap()).collect();
    let mut last = front.client();
    assert!(last.is_ready());
    attempt.respond("HIT", "fetches=1", b"a\tb\tc\n");
    busy.expect_result(1, b"a\tb\tc\n");
    drop(idle);
}

#[test]
fn a_front_that_cannot_start_reports_the_reason() {
    let discovery = DiscoveryServer::start();
    let good = start_config(&[], discovery.address);
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let shaped = |shape: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        shape(&mut config);
        start_failure(FRONT, Some(&config.to_string()))
    };
    for (FailedStart { exit_code, stderr }, names) in [
        (start_failure(FRONT, None), "PROXY_CONFIG"),
        (start_failure(FRONT, Some("{")), "can't use"),
        (shaped(&|config| drop(config["settings"].as_object_mut().unwrap().remove("classes"))), "classes"),
        (shaped(&|config| config["seed"] = json!("none")), "seed"),
        (shaped(&|config| drop(config["known"].as_object_mut().unwrap().remove("cmds"))), "cmds"),
        (shaped(&|config| config["listen"] = json!(taken.local_addr().unwrap().to_string())), "listen"),
    ] {
        assert_eq!(exit_code, Some(1), "{names}: {stderr}");
        assert!(stderr.contains(names) && stderr.lines().count() == 1, "{names}: {stderr}");
    }
}
