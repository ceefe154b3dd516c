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

fn front_with_one_engine() -> (Front, Engine, DiscoveryServer) {
    let (engine, discovery) = (Engine::start(), DiscoveryServer::start());
    (Front::start(FRONT, &start_config(&[(1, engine.address)], discovery.address)), engine, discovery)
}

/// Encodes a frame with the whole endpoint list.
fn full_list_frame(number: u64, records: &[(u32, SocketAddr, u8)]) -> Vec<u8> {
    let mut frame = delta_frame(number, records);
    frame[4 + 8] = 1;
    frame
}

/// Returns whether the front's counters contain this text by now.
fn counters_contain(front: &Front, text: &str) -> bool {
    std::thread::sleep(Duration::from_millis(5));
    front.signal("USR1");
    front.wait_for_log("counts:").contains(text)
}

/// Starts a front whose only engine, number 1, does not accept connections yet. A look-up waits for the
/// connection.
fn front_waiting_for_a_connection(
    change_config: impl Fn(&mut Value),
) -> (Front, Client, String, UnconnectableEngine, DiscoveryServer) {
    let (unconnectable, discovery) = (UnconnectableEngine::start(), DiscoveryServer::start());
    let mut config = start_config(&[(1, unconnectable.address)], discovery.address);
    config["settings"]["ceilings"]["connect_timeout_us"] = json!(10_000_000);
    change_config(&mut config);
    let front = Front::start(FRONT, &config);
    let mut client = front.client();
    let request = client.send_request(1, "look-up");
    assert!((0..200).any(|_| counters_contain(&front, "dispatched look-up=1")), "not dispatched");
    (front, client, request, unconnectable, discovery)
}

#[test]
fn a_request_revoked_in_the_read_that_brings_it_is_not_forwarded() {
    let (front, engine, _discovery) = front_with_one_engine();
    let mut client = front.client();
    assert!(client.is_ready());
    client.stream.set_nodelay(true).unwrap(); // All of it reaches the front before the front runs again.
    front.freeze();
    let request = client.send_request(1, "look-up");
    client.send_line(r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":1}}"#);
    let new_request = client.send_request(2, "look-up");
    front.signal("CONT");
    let first = engine.next_message("serve");
    assert_ne!(first.id, request);
    assert_eq!(first.id, new_request);
    first.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(2, b"a\tb\tc\n");
}

#[test]
fn a_connection_that_comes_up_for_a_removed_engine_is_dropped() {
    // With a cost per handshake, no connection is opened ahead of need: one is pending, and one is opened to
    // the other engine.
    let with_handshake_cost = |config: &mut Value| config["settings"]["prices"] = json!({"handshake": 1.0});
    let (front, mut client, request, unconnectable, discovery) =
        front_waiting_for_a_connection(with_handshake_cost);
    let (other, DiscoveryConnection { stream: mut channel, .. }) =
        (Engine::start(), discovery.next_connection());
    channel.write_all(&delta_frame(2, &[(1, unconnectable.address, 2), (2, other.address, 0)])).unwrap();
    let retry = other.next_message_within("serve", PROMPT).expect("not sent to the other engine");
    assert_eq!(retry.id, request);
    let descriptors_before = front.open_descriptors();
    let engine = unconnectable.accept_connections();
    // Sends an empty change, so that the discovery channel does not count as silent.
    let mut keep_alive = || channel.write_all(&delta_frame(2, &[])).unwrap();
    let mut is_established = || {
        keep_alive();
        counters_contain(&front, "engine connections 2")
    };
    assert!((0..1000).any(|_| is_established()), "no connection was established");
    let from = Instant::now();
    while front.open_descriptors() >= descriptors_before {
        assert!(from.elapsed() < PROMPT, "the connection was not closed");
        keep_alive();
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(engine.is_quiet(Duration::from_millis(100)));
    retry.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    drop(front);
}

/// A full list with a much higher event number lacks the engine of a pending attempt and names another engine
/// as draining.
#[test]
fn a_full_list_that_crosses_an_attempt_moves_it_from_an_engine_it_does_not_name() {
    let (front, mut client, request, unconnectable, discovery) = front_waiting_for_a_connection(|_| {});
    let (other, drains, DiscoveryConnection { stream: mut channel, .. }) =
        (Engine::start(), Engine::start(), discovery.next_connection());
    let listed = [(2, other.address, 0), (3, drains.address, 1)];
    channel.write_all(&full_list_frame(9, &listed)).unwrap();
    let retry = other.next_message_within("serve", PROMPT).expect("not sent to the other engine");
    assert_eq!(retry.id, request);
    retry.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    // After the loss of the channel, events are requested from that list on. A list with the same number
    // changes nothing.
    drop(channel);
    let DiscoveryConnection { last_event, stream: mut channel } = discovery.next_connection();
    assert_eq!(last_event, 9);
    channel.write_all(&full_list_frame(9, &[(1, unconnectable.address, 0)])).unwrap();
    let engine = unconnectable.accept_connections();
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
    let (front, mut client, request, unconnectable, discovery) = front_waiting_for_a_connection(|_| {});
    let (other, moved) = (Engine::start(), DiscoveryServer::start());
    let (_old, newer) =
        (discovery.next_connection(), start_config(&[(1, unconnectable.address)], moved.address));
    front.reload(&newer.to_string());
    let DiscoveryConnection { last_event, stream: mut channel } = moved.next_connection();
    assert_eq!(last_event, 1);
    channel.write_all(&delta_frame(2, &[(1, unconnectable.address, 1), (2, other.address, 0)])).unwrap();
    let retry = other.next_message_within("serve", PROMPT).expect("not sent to the other engine");
    assert_eq!(retry.id, request);
    let engine = unconnectable.accept_connections();
    retry.respond("HIT", "fetches=1", b"a\tb\tc\n");
    client.expect_result(1, b"a\tb\tc\n");
    assert!(engine.is_quiet(PROMPT));
}

/// Non-idempotent requests are retried as well, because nothing of them was sent.
#[test]
fn an_attempt_whose_connection_never_comes_up_is_retried_elsewhere() {
    let (unconnectable, other, discovery) =
        (UnconnectableEngine::start(), Engine::start(), DiscoveryServer::start());
    // Two of the three ids have the unconnectable address, so that it is tried whatever the order of the engines.
    let known = [(1, unconnectable.address), (2, other.address), (3, unconnectable.address)];
    let front = Front::start(FRONT, &start_config(&known, discovery.address));
    let mut client = front.client();
    for id in 1..=8 {
        let request =
            client.send_request_for_table_group(id, if id % 2 == 0 { "load" } else { "look-up" }, id);
        let attempt = other.next_message_within("serve", PROMPT).expect("not sent to the other engine");
        assert_eq!(attempt.id, request);
        attempt.respond("HIT", "fetches=1", b"a\tb\tc\n");
        client.expect_result(id, b"a\tb\tc\n");
    }
    assert!(counters_contain(&front, "dispatch ended no connection"), "no connection attempt failed");
    drop(unconnectable);
}

/// The configuration file is a named pipe, so that start-up does not proceed until the test writes to it.
#[test]
fn a_signal_during_start_up_shuts_the_front_down_gracefully() {
    let pipe = temp_path("told");
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let discovery = DiscoveryServer::start();
    let mut child: Child = Command::new(FRONT).env("PROXY_CONFIG", &pipe).spawn().unwrap();
    // Blocks until the front has opened the pipe to read the configuration.
    let mut pipe_writer = std::fs::OpenOptions::new().write(true).open(&pipe).unwrap();
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-s", "TERM", &id]).status().unwrap().success());
    pipe_writer.write_all(start_config(&[], discovery.address).to_string().as_bytes()).unwrap();
    drop(pipe_writer);
    let from = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        assert!(from.elapsed() < Duration::from_secs(10), "the front does not exit");
        std::thread::sleep(Duration::from_millis(5));
    };
    let _ = std::fs::remove_file(&pipe);
    assert_eq!(status.code(), Some(0), "{status}");
}

/// Returns the bytes that the kernel buffers on connections to this port, on either side, according to
/// `/proc/net/tcp`.
fn bytes_in_the_kernel(port: u16) -> usize {
    const STATE_LISTEN: &str = "0A";
    let port_suffix = format!(":{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let queue_lengths = table.lines().filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, from, to, state, queues, ..] = words[..] else { return None };
        let (unsent, unread) = queues.split_once(':')?;
        let queue = match (from.ends_with(&port_suffix), to.ends_with(&port_suffix)) {
            (true, _) if state != STATE_LISTEN => unread,
            (_, true) => unsent,
            _ => return None,
        };
        usize::from_str_radix(queue, 16).ok()
    });
    queue_lengths.sum()
}

/// The engine does not read at first. Once the kernel has accepted only a part of a message, later messages
/// wait in the front's queue, from which a revoked request has to be removed.
#[test]
fn an_attempt_behind_a_partly_written_message_can_be_withdrawn() {
    const STATEMENT_BYTES: usize = 100_000;
    let (engine, discovery) = (TcpListener::bind("127.0.0.1:0").unwrap(), DiscoveryServer::start());
    let mut config = start_config(&[(1, engine.local_addr().unwrap())], discovery.address);
    config["limits"]["sockets"] = json!(64); // One connection to an engine.
    config["settings"]["ceilings"]["probes"] = json!(false);
    config["settings"]["ceilings"]["connect_timeout_us"] = json!(10_000_000);
    config["settings"]["ceilings"]["streams_per_conn"] = json!(100);
    config["settings"]["family_info"]["cpu_of_kind"] = json!([1000]);
    let front = Front::start(FRONT, &config);
    let mut clients: Vec<Client> = (0..3).map(|_| front.client()).collect();
    let (stream, _) = engine.accept().unwrap();
    let port = engine.local_addr().unwrap().port();
    let data = base64(("select * from sales_17.orders".to_owned() + &" ".repeat(STATEMENT_BYTES)).as_bytes());
    let mut sent_count = 0;
    loop {
        assert!(sent_count < 96, "the kernel accepts all bytes");
        let (request, id) = (format!("{:016x}", sent_count + 1), sent_count / 3 + 1);
        let params = json!({"call": request, "ttl": 20_000, "data": data});
        let line = json!({"jsonrpc": "2.0", "id": id, "method": "look-up", "params": params});
        clients[sent_count % 3].send_line(&line.to_string());
        sent_count += 1;
        let sent = format!("dispatched look-up={sent_count}");
        assert!((0..1000).any(|_| counters_contain(&front, &sent)), "not dispatched");
        if bytes_in_the_kernel(port) < sent_count * STATEMENT_BYTES {
            break;
        }
    }
    let mut last_client = front.client();
    let request = last_client.send_request(1, "look-up");
    assert!(
        (0..1000).any(|_| counters_contain(&front, &format!("dispatched look-up={}", sent_count + 1))),
        "not dispatched"
    );
    last_client.send_line(r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":1}}"#);
    assert!((0..1000).any(|_| counters_contain(&front, "left look-up=1")), "the revoke was not counted");
    // More bytes arrive than the earlier requests' statements hold, and the id of the revoked request does not.
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut received = Vec::new();
    let _ = (&stream).read_to_end(&mut received);
    let was_received = |text: &str| received.windows(text.len()).any(|window| window == text.as_bytes());
    println!("{sent_count} asked before the system took only a part");
    assert!(received.len() > sent_count * STATEMENT_BYTES, "{} bytes for {sent_count}", received.len());
    assert!(!was_received(&request), "sent although it was revoked");
}
