//! More races between two events: a revoke read together with its request, an endpoint list that no longer
//! names an engine, a message that the kernel accepts only in part, a signal during start-up. Each test forces
//! the order of the events. `docs/races.md` lists these races with those of `races.rs`.

use lemonusher_fakes::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

const FRONT: &str = env!("CARGO_BIN_EXE_lemonusher-front");
/// Time limit for what a front does without waiting, long enough for a busy machine.
const PROMPT: Duration = Duration::from_secs(3);

fn one() -> (Front, Engine, DiscoveryServer) {
    let (engine, commands) = (Engine::start(), DiscoveryServer::start());
    (Front::start(FRONT, &start_config(&[(1, engine.address)], commands.address)), engine, commands)
}

/// Encodes a frame with the whole endpoint list.
fn whole(number: u64, records: &[(u32, SocketAddr, u8)]) -> Vec<u8> {
    let mut frame = changes(number, records);
    frame[4 + 8] = 1;
    frame
}

/// Returns whether the front's counters contain `what` by now.
fn counts(front: &Front, what: &str) -> bool {
    std::thread::sleep(Duration::from_millis(5));
    front.signal("USR1");
    front.wait_for_log("counts:").contains(what)
}

/// Starts a front whose only engine, number 1, does not accept connections yet. A look-up waits for the
/// connection.
fn waits_for_a_connection(
    shape: impl Fn(&mut Value),
) -> (Front, Client, String, UnconnectableEngine, DiscoveryServer) {
    let (late, commands) = (UnconnectableEngine::start(), DiscoveryServer::start());
    let mut config = start_config(&[(1, late.address)], commands.address);
    config["settings"]["ceilings"]["connect_timeout_us"] = json!(10_000_000);
    shape(&mut config);
    let front = Front::start(FRONT, &config);
    let mut client = front.client();
    let call = client.send_request(1, "look-up");
    assert!((0..200).any(|_| counts(&front, "dispatched look-up=1")), "not sent on");
    (front, client, call, late, commands)
}

#[test]
fn a_request_revoked_in_the_read_that_brings_it_is_not_forwarded() {
    let (front, engine, _commands) = one();
    let mut client = front.client();
    assert!(client.is_ready());
    client.stream.set_nodelay(true).unwrap(); // All of it reaches the front before the front runs again.
    front.freeze();
    let call = client.send_request(1, "look-up");
    client.send_line(r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":1}}"#);
    let ours = client.send_request(2, "look-up");
    front.signal("CONT");
    let first = engine.next_message("serve");
    assert_ne!(first.id, call);
    assert_eq!(first.id, ours);
    first.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(2, b"a\tb\tc\n");
}

#[test]
fn a_connection_that_comes_up_for_a_removed_engine_is_dropped() {
    // With a cost per handshake, no connection is opened ahead of need: one is pending, and one is opened to
    // the other engine.
    let priced = |config: &mut Value| config["settings"]["prices"] = json!({"handshake": 1.0});
    let (front, mut client, call, late, commands) = waits_for_a_connection(priced);
    let (other, DiscoveryConnection { stream: mut wire, .. }) = (Engine::start(), commands.next_connection());
    wire.write_all(&changes(2, &[(1, late.address, 2), (2, other.address, 0)])).unwrap();
    let again = other.next_message_within("serve", PROMPT).expect("not sent elsewhere");
    assert_eq!(again.id, call);
    let held = front.open_descriptors();
    let engine = late.accept_connections();
    // Sends an empty change, so that the discovery channel does not count as silent.
    let mut speaks = || wire.write_all(&changes(2, &[])).unwrap();
    let mut came_up = || {
        speaks();
        counts(&front, "engine connections 2")
    };
    assert!((0..1000).any(|_| came_up()), "it never came up");
    let from = Instant::now();
    while front.open_descriptors() >= held {
        assert!(from.elapsed() < PROMPT, "kept");
        speaks();
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(engine.is_quiet(Duration::from_millis(100)));
    again.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    drop(front);
}

/// A full list with a much higher event number lacks the engine of a pending attempt and names another engine
/// as draining.
#[test]
fn a_full_list_that_crosses_an_attempt_moves_it_from_an_engine_it_does_not_name() {
    let (front, mut client, call, late, commands) = waits_for_a_connection(|_| {});
    let (other, drains, DiscoveryConnection { stream: mut wire, .. }) =
        (Engine::start(), Engine::start(), commands.next_connection());
    let listed = [(2, other.address, 0), (3, drains.address, 1)];
    wire.write_all(&whole(9, &listed)).unwrap();
    let again = other.next_message_within("serve", PROMPT).expect("not sent elsewhere");
    assert_eq!(again.id, call);
    again.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    // After the loss of the channel, events are requested from that list on. A list with the same number
    // changes nothing.
    drop(wire);
    let DiscoveryConnection { last_change: last, stream: mut wire } = commands.next_connection();
    assert_eq!(last, 9);
    wire.write_all(&whole(9, &[(1, late.address, 0)])).unwrap();
    let engine = late.accept_connections();
    for id in 2..=9 {
        client.send_request(id, "look-up");
        other.next_message("serve").respond("HIT", "fetches=1", b"a\tb\tc\n");
        client.expect_result(id, b"a\tb\tc\n");
    }
    let served = |one: &Engine| one.try_next_request(Duration::from_millis(100)).is_some();
    assert!(!served(&engine) && !served(&drains));
    drop(front);
}

#[test]
fn a_drain_on_a_new_channel_withdraws_what_waits_for_a_connection() {
    let (front, mut client, call, late, commands) = waits_for_a_connection(|_| {});
    let (other, moved) = (Engine::start(), DiscoveryServer::start());
    let (_old, newer) = (commands.next_connection(), start_config(&[(1, late.address)], moved.address));
    front.reload(&newer.to_string());
    let DiscoveryConnection { last_change: last, stream: mut wire } = moved.next_connection();
    assert_eq!(last, 1);
    wire.write_all(&changes(2, &[(1, late.address, 1), (2, other.address, 0)])).unwrap();
    let again = other.next_message_within("serve", PROMPT).expect("not sent elsewhere");
    assert_eq!(again.id, call);
    let engine = late.accept_connections();
    again.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    assert!(engine.is_quiet(PROMPT));
}

/// Non-idempotent requests are retried as well, because nothing of them was sent.
#[test]
fn an_attempt_whose_connection_never_comes_up_is_retried_elsewhere() {
    let (late, other, commands) = (UnconnectableEngine::start(), Engine::start(), DiscoveryServer::start());
    // Two of the three ids have the unconnectable address, so that it is tried whatever the order of the engines.
    let known = [(1, late.address), (2, other.address), (3, late.address)];
    let front = Front::start(FRONT, &start_config(&known, commands.address));
    let mut client = front.client();
    for id in 1..=8 {
        let call = client.send_request_for_table_group(id, if id % 2 == 0 { "load" } else { "look-up" }, id);
        let serve = other.next_message_within("serve", PROMPT).expect("not sent elsewhere");
        assert_eq!(serve.id, call);
        serve.respond("HIT", "fetches=1", b"a\tb\tc\n");
        client.expect_result(id, b"a\tb\tc\n");
    }
    assert!(counts(&front, "dispatch ended no connection"), "none was tried in vain");
    drop(late);
}

/// The configuration file is a named pipe, so that start-up does not proceed until the test writes to it.
#[test]
fn a_signal_during_start_up_shuts_the_front_down_gracefully() {
    let pipe = temp_path("told");
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let commands = DiscoveryServer::start();
    let mut child: Child = Command::new(FRONT).env("PROXY_CONFIG", &pipe).spawn().unwrap();
    // Blocks until the front has opened the pipe to read the configuration.
    let mut told_by = std::fs::OpenOptions::new().write(true).open(&pipe).unwrap();
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-s", "TERM", &id]).status().unwrap().success());
    told_by.write_all(start_config(&[], commands.address).to_string().as_bytes()).unwrap();
    drop(told_by);
    let from = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        assert!(from.elapsed() < Duration::from_secs(10), "it does not end");
        std::thread::sleep(Duration::from_millis(5));
    };
    let _ = std::fs::remove_file(&pipe);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Returns the bytes that the kernel buffers on connections to this port, on either side, according to
/// `/proc/net/tcp`.
fn held_by_the_system(port: u16) -> usize {
    const LISTENS: &str = "0A";
    let ends = format!(":{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let held = table.lines().filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, from, to, state, queues, ..] = words[..] else { return None };
        let (unsent, unread) = queues.split_once(':')?;
        let queue = match (from.ends_with(&ends), to.ends_with(&ends)) {
            (true, _) if state != LISTENS => unread,
            (_, true) => unsent,
            _ => return None,
        };
        usize::from_str_radix(queue, 16).ok()
    });
    held.sum()
}

/// The engine does not read at first. Once the kernel has accepted only a part of a message, later messages
/// wait in the front's queue, from which a revoked request has to be removed.
#[test]
fn an_attempt_behind_a_partly_written_message_can_be_withdrawn() {
    const LARGE: usize = 100_000;
    let (engine, commands) = (TcpListener::bind("127.0.0.1:0").unwrap(), DiscoveryServer::start());
    let mut config = start_config(&[(1, engine.local_addr().unwrap())], commands.address);
    config["limits"]["sockets"] = json!(64); // One connection to an engine.
    config["settings"]["ceilings"]["probes"] = json!(false);
    config["settings"]["ceilings"]["connect_timeout_us"] = json!(10_000_000);
    config["settings"]["ceilings"]["streams_per_conn"] = json!(100);
    config["settings"]["family_info"]["cpu_of_kind"] = json!([1000]);
    let front = Front::start(FRONT, &config);
    let mut clients: Vec<Client> = (0..3).map(|_| front.client()).collect();
    let (wire, _) = engine.accept().unwrap();
    let port = engine.local_addr().unwrap().port();
    let data = base64(("select * from sales_17.orders".to_owned() + &" ".repeat(LARGE)).as_bytes());
    let mut sent_count = 0;
    loop {
        assert!(sent_count < 96, "the system takes all");
        let (call, id) = (format!("{:016x}", sent_count + 1), sent_count / 3 + 1);
        let params = json!({"call": call, "ttl": 20_000, "data": data});
        let line = json!({"jsonrpc": "2.0", "id": id, "method": "look-up", "params": params});
        clients[sent_count % 3].send_line(&line.to_string());
        sent_count += 1;
        let sent = format!("dispatched look-up={sent_count}");
        assert!((0..1000).any(|_| counts(&front, &sent)), "not sent on");
        if held_by_the_system(port) < sent_count * LARGE {
            break;
        }
    }
    let mut last = front.client();
    let call = last.send_request(1, "look-up");
    assert!(
        (0..1000).any(|_| counts(&front, &format!("dispatched look-up={}", sent_count + 1))),
        "not sent on"
    );
    last.send_line(r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":1}}"#);
    assert!((0..1000).any(|_| counts(&front, "left look-up=1")), "not heard");
    // All earlier requests arrive in full, and nothing of the revoked one.
    wire.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut all = Vec::new();
    let _ = (&wire).read_to_end(&mut all);
    let holds = |text: &str| all.windows(text.len()).any(|window| window == text.as_bytes());
    println!("{sent_count} asked before the system took only a part");
    assert!(all.len() > sent_count * LARGE, "{} bytes of {sent_count} came", all.len());
    assert!(!holds(&call), "sent though taken back");
}
